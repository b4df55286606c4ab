"""Dissemination of changes to all daemons of the region in two hops."""

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

MAX_DIRECT_PEERS = 12
URGENT_RELAYS = 4
PACKET_BYTES = 1_600  # about 20 records; compresses to a quarter
URGENT_OVERDRAFT_BYTES = 8_000
QUIET_PERIOD = datetime.timedelta(seconds=2)
WHOLE_RING = (0, daemons.RING_END)

Body = (
    messages.Daemon
    | messages.UpstreamTombstone
    | messages.UpstreamDelta
    | messages.Upstream
    | zones_messages.ZoneNotice
)
Span = tuple[int, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingChange:
    body: Body
    size: int
    urgent: bool


@functools.singledispatch
def change_key(body: typing.Any) -> str:
    """Return the key of the member or zone that a change concerns.

    Of the pending changes with the same key, only the newest is kept.
    """
    raise TypeError(type(body).__name__)


@change_key.register
def _(body: messages.Daemon) -> str:
    return f"d{body.daemon_id}"


@change_key.register(messages.UpstreamTombstone)
@change_key.register(messages.UpstreamDelta)
@change_key.register(messages.Upstream)
def _(body: typing.Any) -> str:
    return f"u{body.upstream_id}"


@change_key.register
def _(body: zones_messages.ZoneNotice) -> str:
    return f"z{body.zone}"


def build_gossip(
    bodies: collections.abc.Iterable[Body],
    *,
    syncs: bool = False,
    span: Span | None = None,
) -> messages.Gossip:
    """Return a gossip message with the given changes."""
    parts: dict[type, list[typing.Any]] = {}
    for body in bodies:
        parts.setdefault(type(body), []).append(body)
    return messages.Gossip(
        daemons=tuple(parts.get(messages.Daemon, ())),
        gone=tuple(parts.get(messages.UpstreamTombstone, ())),
        changes=tuple(parts.get(messages.UpstreamDelta, ())),
        upstreams=tuple(parts.get(messages.Upstream, ())),
        zones=tuple(parts.get(zones_messages.ZoneNotice, ())),
        syncs=syncs,
        span=span,
    )


class Broadcast:
    """Sends changes through relays in each span of a ring of daemons.

    The daemons of the region form a ring, ordered by their hashed ids. The
    origin of a change divides the ring into about as many spans as there are
    members in each, and sends the change to one random member per span, the
    relay. A relay forwards changes that are new to it to the rest of its
    span, so each daemon receives and sends a change about once. Urgent
    changes use four relays per span. Anti-entropy repairs what is lost.
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
        self._pending: dict[Span, dict[str, _PendingChange]] = {}
        self._new_urgent = False
        self._last_added_at: datetime.datetime | None = None

    def __len__(self) -> int:
        """Return the number of pending changes."""
        return sum(map(len, self._pending.values()))

    @property
    def has_new_urgent(self) -> bool:
        """Whether an urgent change was added since the last ``flush``."""
        return self._new_urgent

    def is_quiet(self, now: datetime.datetime) -> bool:
        """Return whether no change was added within ``QUIET_PERIOD``."""
        return (
            self._last_added_at is None
            or now - self._last_added_at > QUIET_PERIOD
        )

    def enqueue(
        self,
        body: Body,
        now: datetime.datetime,
        *,
        span: Span = WHOLE_RING,
        urgent: bool = False,
        full: messages.Upstream | None = None,
    ) -> None:
        """Queue a change for the daemons of a span.

        If another change of the same upstream is pending, the record ``full``
        is sent instead of ``body``, as a delta does not apply without the one
        before it.
        """
        self._last_added_at = now
        pending = self._pending.setdefault(span, {})
        item_key = change_key(body)
        previous = pending.get(item_key)
        if previous is not None:
            urgent = urgent or previous.urgent
            body = full or body
        pending[item_key] = _PendingChange(
            body=body, size=self._outbox.size(body), urgent=urgent
        )
        self._new_urgent = self._new_urgent or urgent

    def forward(
        self,
        body: Body,
        now: datetime.datetime,
        span: Span | None,
        *,
        urgent: bool = False,
    ) -> None:
        """Forward a received change to its span, if it has one."""
        if span is not None:
            self.enqueue(body, now, span=span, urgent=urgent)

    def flush(self, *, urgent_only: bool = False) -> None:
        """Send pending changes within the byte rate, urgent ones first."""
        self._new_urgent = False
        for span, pending in list(self._pending.items()):
            while self._send_packet(span, pending, urgent_only):
                pass
            if not pending:
                del self._pending[span]

    def _send_packet(
        self, span: Span, pending: dict[str, _PendingChange], urgent_only: bool
    ) -> bool:
        """Send the next packet of a span; return whether one was sent."""
        available_bytes = self._outbox.available_bytes
        item_keys = [
            item_key for item_key, item in pending.items() if item.urgent
        ]
        urgent = bool(item_keys) and available_bytes > -URGENT_OVERDRAFT_BYTES
        if not urgent:
            item_keys = []
            if available_bytes > 0 and not urgent_only:
                item_keys = sorted(pending, key=_is_daemon_key, reverse=True)
        chosen = _select_packet(item_keys, pending)
        if not chosen:
            return False
        bodies = [pending.pop(item_key).body for item_key in chosen]
        if span == WHOLE_RING:
            self._send_as_origin(bodies, urgent=urgent)
        else:
            packet = build_gossip(bodies)
            for known in self._table.ring(span):
                self._send(known, packet, urgent=urgent)
        return True

    def _send_as_origin(self, bodies: list[Body], *, urgent: bool) -> None:
        members = self._table.ring(WHOLE_RING)
        if len(members) <= MAX_DIRECT_PEERS:
            packet = build_gossip(bodies)
            for known in members:
                self._send(known, packet, urgent=urgent)
        else:
            self._send_to_relays(bodies, members, urgent=urgent)
        self._send_to_other_regions(bodies)

    def _send_to_relays(
        self,
        bodies: list[Body],
        members: list[daemons.KnownDaemon],
        *,
        urgent: bool,
    ) -> None:
        size = math.ceil(math.sqrt(len(members)))
        starts = list(range(0, len(members), size))
        relay_count = URGENT_RELAYS if urgent else 1
        for start in starts:
            part = members[start : start + size]
            low = part[0].ring_position if start else 0
            end = start + size
            high = (
                members[end].ring_position
                if end < len(members)
                else daemons.RING_END
            )
            packet = build_gossip(bodies, span=(low, high))
            for known in self._rng.sample(part, min(relay_count, len(part))):
                self._send(known, packet, urgent=urgent)

    def _send_to_other_regions(self, bodies: list[Body]) -> None:
        """Send fleet-wide changes to one daemon of each other region."""
        fleet_wide = [
            body
            for body in bodies
            if isinstance(body, messages.Daemon | zones_messages.ZoneNotice)
        ]
        if not fleet_wide:
            return
        packet = build_gossip(fleet_wide, span=WHOLE_RING)
        for known in self._table.one_per_other_region(self._rng):
            self._send(known, packet, urgent=False)

    def _send(
        self,
        known: daemons.KnownDaemon,
        packet: messages.Gossip,
        *,
        urgent: bool,
    ) -> None:
        self._outbox.send(known.daemon.address, packet, urgent=urgent)


def _is_daemon_key(item_key: str) -> bool:
    """Return whether a key is that of a daemon.

    Daemon changes are sent first, as they determine which daemons may own
    upstreams.
    """
    return item_key.startswith("d")


def _select_packet(
    item_keys: list[str], pending: dict[str, _PendingChange]
) -> list[str]:
    """Return the leading keys whose changes fit into one packet."""
    size = 0
    chosen: list[str] = []
    for item_key in item_keys:
        size += pending[item_key].size
        if chosen and size > PACKET_BYTES:
            break
        chosen.append(item_key)
    return chosen
