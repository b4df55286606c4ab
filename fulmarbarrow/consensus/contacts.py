"""The control hosts that a control host hears, with or without a leader."""

from __future__ import annotations

import datetime
import functools

from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import timing
from fulmarbarrow import message


class Contacts:
    """Notes when each control host was last heard.

    Hosts without a leader request pre-votes, or to join, all the time.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._heard_at: dict[str, datetime.datetime] = {}

    def hear(self, event: message.Message, now: datetime.datetime) -> None:
        """Note the sender of a message between control hosts."""
        address = _sender(event)
        if address:
            self._heard_at[address] = now

    def recent(self, now: datetime.datetime) -> tuple[str, ...]:
        """Return the addresses of the hosts heard lately, with this one."""
        heard = (
            address
            for address, at in self._heard_at.items()
            if now - at < timing.CONTACT_TIMEOUT
        )
        return tuple(sorted({self._address, *heard}))


@functools.singledispatch
def _sender(event: message.Message) -> str:
    """Return the sender's address, empty if the message has none."""
    return ""


@_sender.register
def _(event: peer.VoteRequest) -> str:
    return event.candidate.address


@_sender.register(peer.AppendRequest)
@_sender.register(peer.InstallRequest)
def _(event: peer.AppendRequest | peer.InstallRequest) -> str:
    return event.leader.address


@_sender.register(peer.JoinRequest)
@_sender.register(peer.JoinReply)
def _(event: peer.JoinRequest | peer.JoinReply) -> str:
    return event.member.address
