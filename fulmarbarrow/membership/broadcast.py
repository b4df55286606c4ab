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
from fulmarbarrow.membership import deliveries
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.zones import messages as zones_messages

MAX_DIRECT_PEERS = 12
PACKET_BYTES = 1_600  # about 20 records; compresses to a quarter
QUIET_PERIOD = datetime.timedelta(seconds=2)
DELAY_REPORT_PERIOD = datetime.timedelta(seconds=1)
MAX_REPORTED_CHANGES = 16
WHOLE_RING = (0, daemons.RING_END)

Change = (
    messages.Daemon
    | messages.UpstreamTombstone
    | messages.UpstreamDelta
    | messages.Upstream
    | zones_messages.ZoneNotice
)
Span = tuple[int, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingChange:
    change: Change
    size: int
    urgent: bool
    exempt: bool
    queued_at: datetime.datetime
    reports: list[deliveries.Report]


@functools.singledispatch
def change_key(change: typing.Any) -> str:
    """Return the key of the member or zone that a change concerns.

    Of the pending changes with the same key, only the newest is kept.
    """
    raise TypeError(f"unexpected change {type(change).__name__}")


def upstream_key(upstream_id: str) -> str:
    """Return the key of the changes of an upstream."""
    return f"u{upstream_id}"


@change_key.register
def _(change: messages.Daemon) -> str:
    return f"d{change.daemon_id}"


@change_key.register(messages.UpstreamTombstone)
@change_key.register(messages.UpstreamDelta)
@change_key.register(messages.Upstream)
def _(change: typing.Any) -> str:
    return upstream_key(change.upstream_id)


@change_key.register
def _(change: zones_messages.ZoneNotice) -> str:
    return f"z{change.zone}"


def build_gossip(
    changes: collections.abc.Iterable[Change],
    *,
    syncs: bool = False,
    span: Span | None = None,
) -> messages.Gossip:
    """Return a gossip message with the given changes."""
    changes_by_type: dict[type, list[typing.Any]] = {}
    for change in changes:
        changes_by_type.setdefault(type(change), []).append(change)
    return messages.Gossip(
        daemons=tuple(changes_by_type.get(messages.Daemon, ())),
        gone=tuple(changes_by_type.get(messages.UpstreamTombstone, ())),
        changes=tuple(changes_by_type.get(messages.UpstreamDelta, ())),
        upstreams=tuple(changes_by_type.get(messages.Upstream, ())),
        zones=tuple(changes_by_type.get(zones_messages.ZoneNotice, ())),
        syncs=syncs,
        span=span,
    )


class Broadcast:
    """Sends changes through relays in each span of a ring of daemons.

    The daemons of the region form a ring, ordered by their hashed ids. The
    origin of a change divides the ring into about as many spans as there are
    members in each, and sends the change to one random member per span, the
    relay. A relay forwards changes that are new to it to the rest of its
    span, so each daemon receives and sends a change about once. If the relay
    fails, its whole span misses the change until anti-entropy repairs it.

    Urgent changes go through several relays per span and are acknowledged at
    each hop, see ``deliveries``. They wait at most for the next tick, at the
    origin and at a relay, whatever the byte rate permits.
    """

    def __init__(
        self,
        *,
        daemon_table: daemons.DaemonTable,
        outbox: outboxes.Outbox,
        rng: random.Random,
    ) -> None:
        self._daemon_table = daemon_table
        self._outbox = outbox
        self._rng = rng
        self._deliveries = deliveries.Deliveries(
            daemon_table=daemon_table, outbox=outbox, rng=rng
        )
        self._pending: dict[Span, dict[str, _PendingChange]] = {}
        self._new_urgent = False
        self._last_added_at: datetime.datetime | None = None
        self._delay_reported_at: datetime.datetime | None = None

    def __len__(self) -> int:
        """Return the number of pending changes."""
        return sum(map(len, self._pending.values()))

    @property
    def has_new_urgent(self) -> bool:
        """Whether an urgent change was added since the last ``flush``."""
        return self._new_urgent

    @property
    def deliveries(self) -> deliveries.Deliveries:
        """The urgent changes that are on their way."""
        return self._deliveries

    def report_when_confirmed(
        self, key: str, report: deliveries.Report
    ) -> bool:
        """Report once an urgent change of this daemon is acknowledged.

        Returns False, and reports nothing, if no such change of the member
        is queued or on its way.
        """
        pending_change = self._pending.get(WHOLE_RING, {}).get(key)
        if pending_change is not None and pending_change.urgent:
            pending_change.reports.append(report)
            return True
        batch = self._deliveries.batch_of(key)
        if batch is not None:
            batch.reports.append(report)
        return batch is not None

    def is_quiet(self, now: datetime.datetime) -> bool:
        """Return whether no change was added within ``QUIET_PERIOD``."""
        return (
            self._last_added_at is None
            or now - self._last_added_at > QUIET_PERIOD
        )

    def enqueue(
        self,
        change: Change,
        now: datetime.datetime,
        *,
        span: Span = WHOLE_RING,
        urgent: bool = False,
        exempt: bool = False,
        full_record: messages.Upstream | None = None,
    ) -> None:
        """Queue a change for the daemons of a span.

        An ``exempt`` change is sent at the next tick whatever the byte rate
        permits, but is neither acknowledged nor forwarded before others. If
        another change of the same upstream is pending, ``full_record`` is
        sent instead of ``change``, as a delta does not apply without the one
        before it.
        """
        self._last_added_at = now
        pending = self._pending.setdefault(span, {})
        key = change_key(change)
        previous = pending.get(key)
        queued_at = now
        reports: list[deliveries.Report] = []
        if previous is not None:
            reports = previous.reports
            urgent = urgent or previous.urgent
            exempt = exempt or previous.exempt
            change = full_record or change
            if previous.urgent:
                queued_at = previous.queued_at
        pending[key] = _PendingChange(
            change=change,
            size=self._outbox.size(change),
            urgent=urgent,
            exempt=exempt,
            queued_at=queued_at,
            reports=reports,
        )
        self._new_urgent = self._new_urgent or urgent
        if urgent:
            self._outbox.emit(
                messages.UrgentChangeQueued(
                    key=key,
                    relayed=span != WHOLE_RING,
                    available_bytes=self._outbox.available_bytes,
                    pending=len(self),
                )
            )

    def forward(
        self,
        change: Change,
        now: datetime.datetime,
        span: Span | None,
        *,
        urgent: bool = False,
        full_record: messages.Upstream | None = None,
    ) -> None:
        """Forward a received change to its span, if it has one."""
        if span is not None:
            self.enqueue(
                change, now, span=span, urgent=urgent, full_record=full_record
            )

    def flush(
        self, now: datetime.datetime, *, urgent_only: bool = False
    ) -> None:
        """Send urgent changes, then others within the byte rate.

        With ``urgent_only`` nothing else is sent, and urgent changes wait if
        their reserve is used up, so that those of one tick share packets.
        """
        self._new_urgent = False
        for span, pending in list(self._pending.items()):
            while self._send_packet(span, pending, urgent_only, now):
                pass
            if not pending:
                del self._pending[span]
        self._report_delayed(now)

    def _report_delayed(self, now: datetime.datetime) -> None:
        """Tell once a second which urgent changes wait."""
        delayed = {
            key: now - pending_change.queued_at
            for pending in self._pending.values()
            for key, pending_change in pending.items()
            if pending_change.urgent
        }
        if not delayed or (
            self._delay_reported_at is not None
            and now - self._delay_reported_at < DELAY_REPORT_PERIOD
        ):
            return
        self._delay_reported_at = now
        self._outbox.emit(
            messages.UrgentChangesDelayed(
                keys=tuple(delayed)[:MAX_REPORTED_CHANGES],
                oldest=max(delayed.values()),
                available_bytes=self._outbox.available_bytes,
                sent_bytes=dict(self._outbox.sent_by_type),
            )
        )

    def _send_packet(
        self,
        span: Span,
        pending: dict[str, _PendingChange],
        urgent_only: bool,
        now: datetime.datetime,
    ) -> bool:
        """Send the next packet of a span; return whether one was sent."""
        available_bytes = self._outbox.available_bytes
        keys = [
            key
            for key, pending_change in pending.items()
            if pending_change.urgent
        ]
        urgent = bool(keys)
        if urgent_only and self._outbox.urgent_bytes <= 0:
            keys = []
        elif not urgent and not urgent_only:
            keys = sorted(pending, key=_is_daemon_key, reverse=True)
            if available_bytes <= 0:
                keys = [key for key in keys if pending[key].exempt]
        selected = _select_packet(keys, pending)
        if not selected:
            return False
        sent = {key: pending.pop(key) for key in selected}
        changes = [pending_change.change for pending_change in sent.values()]
        batch = None
        if span == WHOLE_RING and urgent:
            batch = deliveries.Batch(
                keys=tuple(selected),
                reports=[
                    report
                    for pending_change in sent.values()
                    for report in pending_change.reports
                ],
            )
        if span == WHOLE_RING:
            receivers = self._send_as_origin(changes, now, batch)
        else:
            receivers = self._send_to_all(
                self._daemon_table.ring(span), changes, now, urgent=urgent
            )
        if urgent and (span != WHOLE_RING or self._sends_directly):
            self._send_to_restarting(span, changes, now)
        if batch is not None:
            self._deliveries.begin(batch)
        for key, pending_change in sent.items():
            if pending_change.urgent:
                self._outbox.emit(
                    messages.UrgentChangeSent(
                        key=key,
                        relayed=span != WHOLE_RING,
                        waited=now - pending_change.queued_at,
                        receivers=receivers,
                        available_bytes=available_bytes,
                    )
                )
        return True

    def _send_as_origin(
        self,
        changes: list[Change],
        now: datetime.datetime,
        batch: deliveries.Batch | None,
    ) -> int:
        """Send changes to the region and beyond; return how many get them.

        Urgent changes are those of a batch.
        """
        members = self._daemon_table.ring(WHOLE_RING)
        if self._sends_directly:
            receivers = self._send_to_all(
                members, changes, now, urgent=batch is not None, batch=batch
            )
        else:
            receivers = self._send_to_relays(changes, members, now, batch)
        self._send_to_other_regions(changes, now, urgent=batch is not None)
        return receivers

    @property
    def _sends_directly(self) -> bool:
        """Whether the region is so small that there are no relays."""
        return len(self._daemon_table.ring(WHOLE_RING)) <= MAX_DIRECT_PEERS

    def _send_to_restarting(
        self, span: Span, changes: list[Change], now: datetime.datetime
    ) -> None:
        """Send urgent changes to daemons that died a short time ago.

        While daemons restart in series, it takes seconds until all know that
        one is back, and it uses what its first peer told it.
        """
        members = self._daemon_table.recently_dead(span, now)
        self._deliveries.send_to_all(members, build_gossip(changes), now, None)

    def _send_to_all(
        self,
        members: list[daemons.KnownDaemon],
        changes: list[Change],
        now: datetime.datetime,
        *,
        urgent: bool,
        batch: deliveries.Batch | None = None,
    ) -> int:
        gossip = build_gossip(changes)
        if urgent:
            return self._deliveries.send_to_all(members, gossip, now, batch)
        for known in members:
            self._outbox.send(known.daemon.address, gossip)
        return len(members)

    def _send_to_relays(
        self,
        changes: list[Change],
        members: list[daemons.KnownDaemon],
        now: datetime.datetime,
        batch: deliveries.Batch | None,
    ) -> int:
        receivers = 0
        segment_size = math.ceil(math.sqrt(len(members)))
        for offset in range(0, len(members), segment_size):
            segment = members[offset : offset + segment_size]
            span_start = segment[0].ring_position if offset else 0
            next_offset = offset + segment_size
            span_end = (
                members[next_offset].ring_position
                if next_offset < len(members)
                else daemons.RING_END
            )
            gossip = build_gossip(changes, span=(span_start, span_end))
            if batch is not None:
                receivers += self._deliveries.send_to_span(
                    segment, gossip, now, batch
                )
            else:
                relay = self._rng.choice(segment)
                self._outbox.send(relay.daemon.address, gossip)
                receivers += 1
        return receivers

    def _send_to_other_regions(
        self, changes: list[Change], now: datetime.datetime, *, urgent: bool
    ) -> None:
        """Send fleet-wide changes to a daemon of each other region."""
        fleet_wide = [
            change
            for change in changes
            if isinstance(change, messages.Daemon | zones_messages.ZoneNotice)
        ]
        if not fleet_wide:
            return
        gossip = build_gossip(fleet_wide, span=WHOLE_RING)
        for members in self._daemon_table.other_regions():
            if urgent:
                self._deliveries.send_to_span(members, gossip, now, None)
            else:
                relay = self._rng.choice(members)
                self._outbox.send(relay.daemon.address, gossip)


def _is_daemon_key(key: str) -> bool:
    """Return whether a key is that of a daemon.

    Daemon changes are sent first, as they determine which daemons may own
    upstreams.
    """
    return key.startswith("d")


def _select_packet(
    keys: list[str], pending: dict[str, _PendingChange]
) -> list[str]:
    """Return the leading keys whose changes fit into one packet."""
    size = 0
    selected: list[str] = []
    for key in keys:
        size += pending[key].size
        if selected and size > PACKET_BYTES:
            break
        selected.append(key)
    return selected
