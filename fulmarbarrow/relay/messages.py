"""Messages that open a connection to an upstream by way of a peer.

They travel on the connection that is relayed afterwards: the first frame of a
connection to a peer asks, the first frame back answers, and all bytes after
them are the upstream's.
"""

from __future__ import annotations

import enum

from fulmarbarrow import message


class RelayCode(enum.StrEnum):
    """Why a peer does not relay a connection; empty if it does."""

    OPENED = ""
    # The peer tried and could not connect to the upstream either.
    UNREACHABLE = "unreachable"
    # The peer goes by way of others itself.
    CUT_OFF = "cut_off"
    UNKNOWN_UPSTREAM = "unknown_upstream"
    FULL = "full"
    LEAVING = "leaving"


class OpenRelay(message.Message, frozen=True, kw_only=True):
    """Asks a peer to connect this connection to an upstream."""

    daemon_id: str
    reply_to: str
    host: str
    port: int


class RelayOpened(message.Message, frozen=True, kw_only=True):
    """The answer; unless it is opened, the peer ends the connection."""

    code: RelayCode = RelayCode.OPENED


PEER_MESSAGES = (OpenRelay, RelayOpened)
