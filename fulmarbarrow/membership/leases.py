"""Expiry of the leases of upstreams that no longer announce themselves."""

from __future__ import annotations

import collections.abc
import datetime

from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import ownership as ownerships
from fulmarbarrow.membership import state
from fulmarbarrow.membership import upstreams

QUERY_TIMEOUT = datetime.timedelta(seconds=1)
# A longer gap between two ticks means that this process was paused.
PAUSE_THRESHOLD = datetime.timedelta(milliseconds=1_500)

LeaseEnded = collections.abc.Callable[
    [messages.UpstreamTombstone, datetime.datetime], None
]


class LeaseManager:
    """Manages the leases that are held by this daemon.

    An upstream may announce itself to any router, which forwards the renewal
    to the holder of the lease. Only the holder ends a lease. Before that, it
    queries the other routers of the zone, as they may have forwarded renewals
    to a different holder.
    """

    def __init__(
        self,
        *,
        upstream_table: upstreams.UpstreamTable,
        daemon_table: daemons.DaemonTable,
        ownership: ownerships.Ownership,
        outbox: outboxes.Outbox,
        lease: datetime.timedelta,
        lease_ended: LeaseEnded,
    ) -> None:
        self._upstream_table = upstream_table
        self._daemon_table = daemon_table
        self._ownership = ownership
        self._outbox = outbox
        self._lease_duration = lease
        self._lease_ended = lease_ended
        self._held: dict[str, state.UpstreamEntry] = {}
        self._last_tick: datetime.datetime | None = None

    @property
    def held_count(self) -> int:
        """The number of leases held here."""
        return len(self._held)

    def update_holder(
        self, entry: state.UpstreamEntry, now: datetime.datetime
    ) -> None:
        """Determine the holder of an upstream's lease again."""
        holder = self._ownership.lease_holder(entry.upstream)
        upstream_id = entry.upstream.upstream_id
        entry.lease_holder = holder
        if holder != self._daemon_table.own.daemon_id or entry.hidden:
            self._held.pop(upstream_id, None)
            entry.lease_held_since = None
        elif upstream_id not in self._held:
            self._held[upstream_id] = entry
            entry.lease_held_since = now
            entry.lease_queried_at = None

    def renew(
        self, entry: state.UpstreamEntry, sequence: int, now: datetime.datetime
    ) -> None:
        """Renew a lease for an announcement, direct or forwarded."""
        entry.sequence = max(entry.sequence, sequence)
        entry.renewed_at = now
        entry.lease_queried_at = None

    def tick(self, now: datetime.datetime) -> None:
        """Query expired leases, and end those that the query did not renew.

        After a pause of this process every lease starts again, as renewals
        sent during the pause may have been missed.
        """
        paused = self._last_tick and now - self._last_tick > PAUSE_THRESHOLD
        self._last_tick = now
        if paused:
            for entry in self._held.values():
                entry.lease_held_since = now
                entry.lease_queried_at = None
        expired = []
        for entry in list(self._held.values()):
            if (
                self._upstream_table.get(entry.upstream.upstream_id)
                is not entry
            ):
                del self._held[entry.upstream.upstream_id]
            elif self._is_expired(entry, now):
                expired.extend(self._query_or_end(entry, now))
        self._send_queries(expired)

    def handle_query(
        self, event: messages.LeaseQuery, now: datetime.datetime
    ) -> None:
        """Reply with a renewal for each upstream still announcing here."""
        for upstream_id, incarnation, sequence in event.upstreams:
            entry = self._upstream_table.get(upstream_id)
            if entry is None or not entry.renewed_within(
                self._lease_duration, now
            ):
                continue
            newest = (entry.upstream.incarnation, entry.sequence)
            if newest > (incarnation, sequence):
                self._outbox.send(
                    event.reply_to,
                    messages.LeaseRenewal(
                        reply_to=self._daemon_table.own.address,
                        upstream_id=upstream_id,
                        incarnation=entry.upstream.incarnation,
                        sequence=entry.sequence,
                    ),
                )

    def _is_expired(
        self, entry: state.UpstreamEntry, now: datetime.datetime
    ) -> bool:
        held_since = entry.lease_held_since or entry.received_at
        renewed = entry.renewed_at or held_since
        return now - max(held_since, renewed) > self._lease_duration

    def _query_or_end(
        self, entry: state.UpstreamEntry, now: datetime.datetime
    ) -> list[state.UpstreamEntry]:
        if entry.lease_queried_at is None:
            entry.lease_queried_at = now
            return [entry]
        if now - entry.lease_queried_at >= QUERY_TIMEOUT:
            self._end_lease(entry, now)
        return []

    def _end_lease(
        self, entry: state.UpstreamEntry, now: datetime.datetime
    ) -> None:
        upstream = entry.upstream
        del self._held[upstream.upstream_id]
        left = upstream.state is messages.UpstreamState.LEAVING
        self._lease_ended(
            messages.UpstreamTombstone(
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                sequence=entry.sequence,
                at=now,
                left=left,
            ),
            now,
        )

    def _send_queries(self, expired: list[state.UpstreamEntry]) -> None:
        by_zone: dict[str, list[state.UpstreamEntry]] = {}
        for entry in expired:
            by_zone.setdefault(entry.upstream.zone, []).append(entry)
        own = self._daemon_table.own
        for zone, entries in by_zone.items():
            query = messages.LeaseQuery(
                reply_to=own.address,
                upstreams=tuple(
                    (
                        entry.upstream.upstream_id,
                        entry.upstream.incarnation,
                        entry.sequence,
                    )
                    for entry in entries
                ),
            )
            for daemon_id in self._daemon_table.owner_candidates(zone):
                if daemon_id != own.daemon_id:
                    address = self._daemon_table.address(daemon_id)
                    self._outbox.send(address, query)
