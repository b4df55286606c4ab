"""Spreads changes over the region in two hops."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import functools
import math
import random
import typing

from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.zones import messages as zones_messages

DIRECT_PEERS = 12
URGENT_HEADS = 4
PACKET_BYTES = 1_600  # some 20 records, a quarter of it once packed
URGENT_DEBT_BYTES = 8_000
QUIET = datetime.timedelta(seconds=2)
WHOLE_RING = (0, daemons.RING_END)

Body = (
    messages.Daemon
    | messages.Gone
    | messages.Change
    | messages.Upstream
    | zones_messages.ZoneNotice
)
Span = tuple[int, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class _Waiting:
    body: Body
    size: int
    urgent: bool


@functools.singledispatch
def subject(body: typing.Any) -> str:
    """Return what a change is about; a newer one replaces the older."""
    raise TypeError(type(body).__name__)


@subject.register
def _(body: messages.Daemon) -> str:
    return f"d{body.daemon_id}"


@subject.register(messages.Gone)
@subject.register(messages.Change)
@subject.register(messages.Upstream)
def _(body: typing.Any) -> str:
    return f"u{body.upstream_id}"


@subject.register
def _(body: zones_messages.ZoneNotice) -> str:
    return f"z{body.zone}"


def pack(
    bodies: collections.abc.Iterable[Body],
    *,
    syncs: bool = False,
    span: Span | None = None,
) -> messages.Gossip:
    """Return one message with the changes sorted into its fields."""
    parts: dict[type, list[typing.Any]] = {}
    for body in bodies:
        parts.setdefault(type(body), []).append(body)
    return messages.Gossip(
        daemons=tuple(parts.get(messages.Daemon, ())),
        gone=tuple(parts.get(messages.Gone, ())),
        changes=tuple(parts.get(messages.Change, ())),
        upstreams=tuple(parts.get(messages.Upstream, ())),
        zones=tuple(parts.get(zones_messages.ZoneNotice, ())),
        syncs=syncs,
        span=span,
    )


class Broadcast:
    """Sends changes through a head in each part of a ring of daemons.

    All daemons of the region lie on a ring by their hashed ids. The origin
    of a change cuts the ring into about as many spans as a span has
    members, and sends the change to one random member of each, its head,
    which passes on what is news to it to the rest of the span. So each
    daemon gets and sends a change about once. Urgent changes go through four
    heads a span; whatever is still missed is found by comparing digests.
    """

    def __init__(
        self,
        *,
        table: daemons.DaemonTable,
        outbox: outboxes.Outbox,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._outbox = outbox
        self._rng = rng
        self._waiting: dict[Span, dict[str, _Waiting]] = {}
        self._fresh = False
        self._last: datetime.datetime | None = None

    def __len__(self) -> int:
        """Return the number of changes that wait to be sent."""
        return sum(map(len, self._waiting.values()))

    @property
    def fresh_urgent(self) -> bool:
        """Whether an urgent change came in since the last ``flush``."""
        return self._fresh

    def quiet(self, now: datetime.datetime) -> bool:
        """Return whether no change has passed here lately."""
        return self._last is None or now - self._last > QUIET

    def add(
        self,
        body: Body,
        now: datetime.datetime,
        *,
        span: Span = WHOLE_RING,
        urgent: bool = False,
        full: messages.Upstream | None = None,
    ) -> None:
        """Send a change on to the daemons of a span.

        ``full`` is sent instead of a partial change that overtakes an
        earlier change of the same upstream.
        """
        self._last = now
        waiting = self._waiting.setdefault(span, {})
        name = subject(body)
        before = waiting.get(name)
        if before is not None:
            urgent = urgent or before.urgent
            body = full or body
        waiting[name] = _Waiting(
            body=body, size=self._outbox.size(body), urgent=urgent
        )
        self._fresh = self._fresh or urgent

    def pass_on(
        self,
        body: Body,
        now: datetime.datetime,
        span: Span | None,
        *,
        urgent: bool = False,
    ) -> None:
        """Send news on to the part of the ring that they came for."""
        if span is not None:
            self.add(body, now, span=span, urgent=urgent)

    def flush(self, *, urgent_only: bool = False) -> None:
        """Send what waits, urgent changes first, within the byte rate."""
        self._fresh = False
        for span, waiting in list(self._waiting.items()):
            while self._send_packet(span, waiting, urgent_only):
                pass
            if not waiting:
                del self._waiting[span]

    def _send_packet(
        self, span: Span, waiting: dict[str, _Waiting], urgent_only: bool
    ) -> bool:
        """Send the next packet of a span; return whether there was one."""
        room = self._outbox.room
        names = [name for name, item in waiting.items() if item.urgent]
        urgent = bool(names) and room > -URGENT_DEBT_BYTES
        if not urgent:
            names = []
            if room > 0 and not urgent_only:
                names = sorted(waiting, key=_daemons_last, reverse=True)
        chosen = _first_packet(names, waiting)
        if not chosen:
            return False
        bodies = [waiting.pop(name).body for name in chosen]
        if span == WHOLE_RING:
            self._originate(bodies, urgent=urgent)
        else:
            packet = pack(bodies)
            for known in self._table.ring(span):
                self._send(known, packet, urgent=urgent)
        return True

    def _originate(self, bodies: list[Body], *, urgent: bool) -> None:
        members = self._table.ring(WHOLE_RING)
        if len(members) <= DIRECT_PEERS:
            packet = pack(bodies)
            for known in members:
                self._send(known, packet, urgent=urgent)
        else:
            self._send_to_heads(bodies, members, urgent=urgent)
        self._tell_other_regions(bodies)

    def _send_to_heads(
        self, bodies: list[Body], members: list[daemons.Known], *, urgent: bool
    ) -> None:
        size = math.ceil(math.sqrt(len(members)))
        starts = list(range(0, len(members), size))
        heads = URGENT_HEADS if urgent else 1
        for start in starts:
            part = members[start : start + size]
            low = part[0].position if start else 0
            end = start + size
            high = (
                members[end].position
                if end < len(members)
                else daemons.RING_END
            )
            packet = pack(bodies, span=(low, high))
            for known in self._rng.sample(part, min(heads, len(part))):
                self._send(known, packet, urgent=urgent)

    def _tell_other_regions(self, bodies: list[Body]) -> None:
        """Send what concerns the whole fleet to one daemon a region."""
        common = [
            body
            for body in bodies
            if isinstance(body, messages.Daemon | zones_messages.ZoneNotice)
        ]
        if not common:
            return
        packet = pack(common, span=WHOLE_RING)
        for known in self._table.one_per_other_region(self._rng):
            self._send(known, packet, urgent=False)

    def _send(
        self, known: daemons.Known, packet: messages.Gossip, *, urgent: bool
    ) -> None:
        self._outbox.send(known.daemon.address, packet, urgent=urgent)


def _daemons_last(name: str) -> bool:
    """Sort key: news of daemons decide who may answer for upstreams."""
    return name.startswith("d")


def _first_packet(names: list[str], waiting: dict[str, _Waiting]) -> list[str]:
    """Return the first names whose changes fill one packet."""
    size = 0
    chosen: list[str] = []
    for name in names:
        size += waiting[name].size
        if chosen and size > PACKET_BYTES:
            break
        chosen.append(name)
    return chosen
