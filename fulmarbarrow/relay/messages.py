"""Messages that open a connection to an upstream by way of a peer.

They travel on the connection that is relayed afterwards: the first frame of a
connection to a peer asks, the first frame back answers, and what follows is
the upstream's.

Towards the upstream the bytes follow as they are. Back they follow in frames:
the length in four bytes, the kind in one and at most 64 KiB of the upstream's
bytes. The last frame says how the upstream's connection ended, so an end
without it is that of the peer, and never the end of an answer. After a regular
end it holds how many bytes the upstream has taken; earlier builds leave that
out. A daemon of a build without frames neither asks for them nor confirms
them, and gets and sends plain bytes.
"""

from __future__ import annotations

import enum
import struct

from fulmarbarrow import message

MAX_FRAME_BYTES = 64 << 10
_TAKEN_BYTES = struct.Struct(">Q")


class FrameKind(bytes, enum.Enum):
    """What a frame of a relayed connection carries."""

    DATA = b"d"
    # The upstream closed its connection regularly, or it was lost.
    END = b"e"
    RESET = b"r"


def end_frame(taken_bytes: int) -> bytes:
    """Return the last frame after a regular end."""
    return FrameKind.END.value + _TAKEN_BYTES.pack(max(0, taken_bytes))


def taken_bytes(data: bytes) -> int | None:
    """Return how many bytes an upstream took, None from an earlier build."""
    if len(data) != _TAKEN_BYTES.size:
        return None
    return _TAKEN_BYTES.unpack(data)[0]


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
    """Asks a peer to connect this connection to an upstream.

    ``framed`` asks for the upstream's bytes in frames.
    """

    daemon_id: str
    reply_to: str
    host: str
    port: int
    framed: bool = False


class RelayOpened(message.Message, frozen=True, kw_only=True):
    """The answer; unless it is opened, the peer ends the connection.

    ``framed`` confirms that the upstream's bytes come in frames.
    """

    code: RelayCode = RelayCode.OPENED
    framed: bool = False


PEER_MESSAGES = (OpenRelay, RelayOpened)
