"""Calls of upstreams to membership, answered now or later."""

from __future__ import annotations

import datetime
import itertools

import msgspec
from twisted.internet import defer

from fulmarbarrow import bus as buses
from fulmarbarrow.membership import messages

Reply = messages.AnnounceAccepted | messages.AnnounceRefused


class AnnounceCalls:
    """Posts what upstreams say of themselves and returns the replies."""

    def __init__(self, *, bus: buses.Bus) -> None:
        self._bus = bus
        self._numbers = itertools.count(1)
        self._waiting: dict[int, defer.Deferred[Reply | None]] = {}
        self._delayed: set[int] = set()
        for kind in (messages.AnnounceAccepted, messages.AnnounceRefused):
            bus.subscribe(kind, self._take_reply)
        bus.subscribe(messages.AnnounceDelayed, self._take_delay)

    def post(
        self, event: messages.Announced | messages.Withdrawn
    ) -> defer.Deferred[Reply | None]:
        """Post an event; its reply is None if membership gives none."""
        number = next(self._numbers)
        reply: defer.Deferred[Reply | None] = defer.Deferred()
        self._waiting[number] = reply
        self._bus.post(msgspec.structs.replace(event, call=number))
        if number in self._waiting and number not in self._delayed:
            del self._waiting[number]
            reply.callback(None)
        return reply

    def _take_reply(self, event: Reply, _: datetime.datetime) -> None:
        self._delayed.discard(event.call)
        reply = self._waiting.pop(event.call, None)
        if reply is not None:
            reply.callback(event)

    def _take_delay(
        self, event: messages.AnnounceDelayed, _: datetime.datetime
    ) -> None:
        if event.call in self._waiting:
            self._delayed.add(event.call)
