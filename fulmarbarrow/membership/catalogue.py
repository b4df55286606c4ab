"""Processing and forwarding of upstream records."""

from __future__ import annotations

import datetime

from fulmarbarrow.membership import announcements
from fulmarbarrow.membership import broadcast as broadcasts
from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import damping
from fulmarbarrow.membership import leases
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import ownership
from fulmarbarrow.membership import records
from fulmarbarrow.membership import state
from fulmarbarrow.membership import upstreams
from fulmarbarrow.observe import metrics as metrics_module


class Catalogue:
    """Combines the table of upstreams with their leases and owners."""

    def __init__(
        self,
        *,
        daemon_table: daemons.DaemonTable,
        index: records.RecordIndex,
        broadcast: broadcasts.Broadcast,
        outbox: outboxes.Outbox,
        lease: datetime.timedelta,
        metrics: metrics_module.Metrics,
        names_owner: bool = True,
    ) -> None:
        self._daemon_table = daemon_table
        self._broadcast = broadcast
        self._lease_duration = lease
        self._metrics = metrics
        self._updated_generation = -1
        self.flap_damping = damping.FlapDamping()
        self.upstream_table = upstreams.UpstreamTable(
            index=index, outbox=outbox, flap_damping=self.flap_damping
        )
        self.ownership = ownership.Ownership(
            daemon_table=daemon_table, outbox=outbox
        )
        self.leases = leases.LeaseManager(
            upstream_table=self.upstream_table,
            daemon_table=daemon_table,
            ownership=self.ownership,
            outbox=outbox,
            lease=lease,
            lease_ended=self._lease_ended,
        )
        self.announcements = announcements.Announcements(
            upstream_table=self.upstream_table,
            daemon_table=daemon_table,
            ownership=self.ownership,
            leases=self.leases,
            flap_damping=self.flap_damping,
            outbox=outbox,
            lease=lease,
            broadcast=broadcast,
            record_changed=self._record_changed,
            names_owner=names_owner,
        )

    def apply_gossip(
        self,
        event: messages.Gossip,
        now: datetime.datetime,
        *,
        forwards: bool = False,
    ) -> None:
        """Apply and forward the upstream changes in a gossip message.

        With ``forwards`` changes are forwarded even if they are known here.
        """
        span = event.span
        for tombstone in event.gone:
            newer = self.upstream_table.apply_tombstone(
                tombstone, now, reason="lease ended"
            )
            if newer or forwards:
                self._broadcast.forward(tombstone, now, span, urgent=True)
        for delta in event.changes:
            entry = self.upstream_table.apply_delta(delta, now)
            if entry is not None:
                self._update_entry(entry, now)
            if entry is not None or forwards:
                leaving = delta.state is messages.UpstreamState.LEAVING
                self._broadcast.forward(
                    delta,
                    now,
                    span,
                    urgent=leaving or forwards,
                    full_record=entry.upstream if entry else None,
                )
        for upstream in event.upstreams:
            entry = self.upstream_table.apply_record(upstream, now)
            if entry is not None:
                self._update_entry(entry, now)
            if entry is not None or forwards:
                leaving = upstream.state is messages.UpstreamState.LEAVING
                self._broadcast.forward(
                    upstream, now, span, urgent=leaving or forwards
                )

    def tick(self, now: datetime.datetime) -> None:
        """End expired leases and handle changes of the live routers."""
        self.leases.tick(now)
        if self._updated_generation != self._daemon_table.generation:
            self.update_all(now)

    def update_agreement(self, now: datetime.datetime) -> None:
        """Assign or withdraw the owners of upstreams that name none."""
        if self.ownership.check_agreement(now):
            for entry in self.upstream_table.entries:
                if not entry.upstream.owner:
                    self.ownership.update_owner(entry)

    def update_all(self, now: datetime.datetime) -> None:
        """Update all upstreams after a change of the live routers."""
        self._updated_generation = self._daemon_table.generation
        self.ownership.check_agreement(now)
        reachable: dict[str, bool | None] = {}
        for entry in list(self.upstream_table.entries):
            zone = entry.upstream.zone
            if zone not in reachable:
                reachable[zone] = self._daemon_table.zone_reachable(zone)
            self._update_visibility(entry, reachable[zone], now)
            self._update_entry(entry, now)

    def expire(self, now: datetime.datetime) -> None:
        """Drop expired tombstones and flap penalties."""
        self.upstream_table.expire_tombstones(now)
        self.flap_damping.prune(now, lease=self._lease_duration)

    def _record_changed(
        self,
        entry: state.UpstreamEntry,
        before: messages.Upstream | None,
        now: datetime.datetime,
    ) -> None:
        """Broadcast a change made by an announcement to this daemon."""
        upstream = entry.upstream
        self._update_entry(entry, now)
        delta = state.delta_between(before, upstream) if before else None
        leaving = upstream.state is messages.UpstreamState.LEAVING
        urgent = before.state is not upstream.state if before else leaving
        if delta is None:
            self._broadcast.enqueue(upstream, now, urgent=urgent)
            return
        self._broadcast.enqueue(
            delta, now, urgent=urgent, full_record=upstream
        )

    def _lease_ended(
        self, tombstone: messages.UpstreamTombstone, now: datetime.datetime
    ) -> None:
        if self.upstream_table.apply_tombstone(
            tombstone, now, reason="lease ended"
        ):
            self._metrics.count("leases_ended")
            self._broadcast.enqueue(tombstone, now, urgent=True)

    def _update_visibility(
        self,
        entry: state.UpstreamEntry,
        zone_reachable: bool | None,
        now: datetime.datetime,
    ) -> None:
        owner = entry.upstream.owner
        owner_reachable = bool(owner and self._daemon_table.address(owner))
        recently_renewed = entry.renewed_within(self._lease_duration, now)
        if zone_reachable or owner_reachable or recently_renewed:
            self.upstream_table.unhide(entry)
        elif zone_reachable is False:
            self.upstream_table.hide(entry)

    def _update_entry(
        self, entry: state.UpstreamEntry, now: datetime.datetime
    ) -> None:
        self.leases.update_holder(entry, now)
        self.ownership.update_owner(entry)
