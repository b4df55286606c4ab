"""Core that tracks the live daemons and upstreams."""

from __future__ import annotations

import datetime
import functools
import logging
import random
import typing
import zlib

import msgspec

from fulmarbarrow.membership import broadcast
from fulmarbarrow.membership import catalogue
from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import detector
from fulmarbarrow.membership import discovery
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import packing
from fulmarbarrow.membership import records
from fulmarbarrow.membership import roster
from fulmarbarrow.membership import state
from fulmarbarrow.membership import sync
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.observe import plain
from fulmarbarrow.zones import messages as zones_messages

log = logging.getLogger(__name__)

EXPIRY_PERIOD = datetime.timedelta(seconds=10)


class MembershipCore:
    """Turns announcements and gossip into membership changes.

    It dispatches each event to the component that is responsible for it.
    ``names_owner`` states whether upstreams name their owners themselves.
    """

    handles = (
        messages.Announced,
        messages.Withdrawn,
        messages.Gossip,
        messages.GossipAck,
        messages.PackedGossip,
        messages.Join,
        messages.LeaseQuery,
        messages.LeaseRenewal,
        messages.LeaveStarted,
        messages.SeedsChanged,
        messages.Probe,
        messages.ProbeAck,
        messages.ProbeRequest,
        messages.SyncDigest,
        messages.SyncListing,
        messages.SyncWanted,
        messages.ZoneView,
        zones_messages.ZoneNoticesAnnounced,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: messages.Daemon,
        seeds: tuple[str, ...],
        lease: datetime.timedelta,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        rate_bytes_per_second: int = outboxes.RATE_BYTES_PER_SECOND,
        names_owner: bool = True,
    ) -> None:
        other_seeds = tuple(seed for seed in seeds if seed != daemon.address)
        self._rng = rng
        self._metrics = metrics
        self._outbox = outboxes.Outbox(
            rate_bytes_per_second=rate_bytes_per_second
        )
        self._index = records.RecordIndex()
        self._daemon_table = daemons.DaemonTable(own=daemon, index=self._index)
        self._broadcast = broadcast.Broadcast(
            daemon_table=self._daemon_table, outbox=self._outbox, rng=rng
        )
        self._roster = roster.Roster(
            daemon_table=self._daemon_table,
            broadcast=self._broadcast,
            outbox=self._outbox,
            metrics=metrics,
        )
        self._catalogue = catalogue.Catalogue(
            daemon_table=self._daemon_table,
            index=self._index,
            broadcast=self._broadcast,
            outbox=self._outbox,
            lease=lease,
            metrics=metrics,
            names_owner=names_owner,
        )
        self._detector = detector.FailureDetector(
            daemon_table=self._daemon_table,
            index=self._index,
            outbox=self._outbox,
            rng=rng,
            state_changed=self._roster.apply_local,
        )
        self._sync = sync.AntiEntropy(
            daemon_table=self._daemon_table,
            index=self._index,
            outbox=self._outbox,
            rng=rng,
            find_record=self._find_record,
        )
        self._discovery = discovery.PeerDiscovery(
            daemon_table=self._daemon_table,
            outbox=self._outbox,
            rng=rng,
            seeds=other_seeds,
        )
        self._has_seeds = bool(other_seeds)
        self._started = False
        self._bootstrapped = False
        self._zone_revisions: dict[str, int] = {}
        self._next_expiry: datetime.datetime | None = None
        self._daemon_table.index_own()

    @property
    def digest(self) -> int:
        """The digest of all live records; equal on consistent daemons."""
        return self._index.root_digest

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Process an event and return its effects."""
        self._outbox.refill(now)
        if not self._started:
            self._started = True
            self._catalogue.ownership.start(now, has_seeds=self._has_seeds)
            self._catalogue.update_agreement(now)
        self._dispatch(event, now)
        if self._broadcast.has_new_urgent:
            self._broadcast.flush(now, urgent_only=True)
        return self._outbox.drain()

    def dump(self) -> dict[str, typing.Any]:
        """Return the members and counters as plain data."""
        catalogue_state = self._catalogue
        return {
            "self": plain.plain(self._daemon_table.own),
            "upstreams": [
                _dump_entry(entry)
                for entry in catalogue_state.upstream_table.entries
            ],
            "daemons": [
                plain.plain(known.daemon)
                for known in self._daemon_table.others
            ],
            "tombstones": catalogue_state.upstream_table.tombstone_count,
            "returns_held_back": catalogue_state.flap_damping.pending_count,
            "leases_held": catalogue_state.leases.held_count,
            "changes_spreading": len(self._broadcast),
            "urgent_unacknowledged": len(self._broadcast.deliveries),
            "records_waiting": self._sync.queued_count,
            "sent_bytes": self._outbox.sent_bytes,
            "sent_bytes_by_type": dict(self._outbox.sent_by_type),
            "available_bytes": self._outbox.available_bytes,
        }

    @functools.singledispatchmethod
    def _dispatch(
        self, event: message.Message, now: datetime.datetime
    ) -> None:
        raise TypeError(f"unexpected event {type(event).__name__}")

    @_dispatch.register
    def _(self, event: messages.Announced, now: datetime.datetime) -> None:
        self._catalogue.announcements.handle_announcement(event, now)

    @_dispatch.register
    def _(self, event: messages.Withdrawn, now: datetime.datetime) -> None:
        self._catalogue.announcements.handle_withdrawal(event, now)

    @_dispatch.register
    def _(self, event: messages.LeaseRenewal, now: datetime.datetime) -> None:
        known = self._catalogue.announcements.handle_renewal(event, now)
        if not known:
            self._sync.request_upstream(event.reply_to, event.upstream_id)

    @_dispatch.register
    def _(self, event: messages.LeaseQuery, now: datetime.datetime) -> None:
        self._catalogue.leases.handle_query(event, now)

    @_dispatch.register
    def _(self, event: messages.Gossip, now: datetime.datetime) -> None:
        for daemon in event.daemons:
            if self._roster.apply_remote(
                daemon, now, event.span, forwards=_must_forward(event)
            ):
                self._discovery.contact_soon()
        self._catalogue.apply_gossip(event, now, forwards=_must_forward(event))
        self._apply_zone_notices(event, now)
        self._broadcast.deliveries.acknowledge(event)
        self._bootstrap()

    @_dispatch.register
    def _(self, event: messages.GossipAck, now: datetime.datetime) -> None:
        self._broadcast.deliveries.handle_ack(event, now)

    @_dispatch.register
    def _(self, event: messages.PackedGossip, now: datetime.datetime) -> None:
        try:
            gossip = packing.unpack(event)
        except (zlib.error, msgspec.DecodeError) as error:
            self._metrics.count("gossip_unreadable")
            log.warning("discarded malformed gossip: %s", error)
            return
        self._dispatch(gossip, now)

    @_dispatch.register
    def _(self, event: messages.Join, now: datetime.datetime) -> None:
        self._roster.apply_remote(event.daemon, now, broadcast.WHOLE_RING)
        self._discovery.handle_join(event)

    @_dispatch.register
    def _(self, event: messages.LeaveStarted, now: datetime.datetime) -> None:
        self._roster.leave(now)
        self._catalogue.update_all(now)

    @_dispatch.register
    def _(self, event: messages.SeedsChanged, now: datetime.datetime) -> None:
        own_address = self._daemon_table.own.address
        other_seeds = tuple(
            address for address in event.addresses if address != own_address
        )
        self._discovery.set_seeds(other_seeds)

    @_dispatch.register
    def _(self, event: messages.Probe, now: datetime.datetime) -> None:
        self._detector.handle_probe(event)
        self._roster.set_zone_view(event.daemon_id, event.view)
        self._compare_digest(event, now)

    @_dispatch.register
    def _(self, event: messages.ProbeAck, now: datetime.datetime) -> None:
        self._detector.handle_ack(event, now)
        self._compare_digest(event, now)

    @_dispatch.register
    def _(self, event: messages.ProbeRequest, now: datetime.datetime) -> None:
        self._detector.handle_probe_request(event, now)

    @_dispatch.register
    def _(self, event: messages.SyncDigest, now: datetime.datetime) -> None:
        self._sync.handle_digest(event)

    @_dispatch.register
    def _(self, event: messages.SyncListing, now: datetime.datetime) -> None:
        self._sync.handle_listing(event)

    @_dispatch.register
    def _(self, event: messages.SyncWanted, now: datetime.datetime) -> None:
        self._sync.handle_request(event)

    @_dispatch.register
    def _(self, event: messages.ZoneView, now: datetime.datetime) -> None:
        self._roster.set_zone_view(event.daemon_id, event.view)
        self._catalogue.update_agreement(now)

    @_dispatch.register
    def _(
        self,
        event: zones_messages.ZoneNoticesAnnounced,
        now: datetime.datetime,
    ) -> None:
        for notice in self._take_new_notices(event.notices):
            self._broadcast.enqueue(notice, now, urgent=True)

    @_dispatch.register
    def _(self, event: message.Tick, now: datetime.datetime) -> None:
        self._detector.tick(now)
        self._discovery.tick(now)
        self._catalogue.tick(now)
        self._roster.tick(now)
        self._catalogue.update_agreement(now)
        self._broadcast.flush(now)
        self._broadcast.deliveries.tick(now)
        self._sync.tick(now)
        self._expire(now)

    def _bootstrap(self) -> None:
        """Request all records as soon as the first peers are known."""
        if self._bootstrapped:
            return
        peers = [known.daemon.address for known in self._daemon_table.peers()]
        if peers:
            self._bootstrapped = True
            self._rng.shuffle(peers)
            self._sync.bootstrap(peers)

    def _compare_digest(
        self, event: messages.Probe | messages.ProbeAck, now: datetime.datetime
    ) -> None:
        """Synchronize with a known daemon if its digest differs."""
        if self._daemon_table.get(event.daemon_id) is not None:
            busy = not self._broadcast.is_quiet(now)
            self._sync.compare_digest(
                event.reply_to, event.digest, now, busy=busy
            )

    def _find_record(
        self, record: records.IndexedRecord
    ) -> broadcast.Change | None:
        """Return the current record or tombstone of a member, or None."""
        if record.kind is records.Kind.UPSTREAM:
            upstream_table = self._catalogue.upstream_table
            entry = upstream_table.get(record.member_id)
            if entry is not None:
                return entry.upstream
            return upstream_table.get_tombstone(record.member_id)
        if record.member_id == self._daemon_table.own.daemon_id:
            return self._daemon_table.own
        known = self._daemon_table.get(record.member_id)
        return known.daemon if known else None

    def _apply_zone_notices(
        self, event: messages.Gossip, now: datetime.datetime
    ) -> None:
        new_notices = self._take_new_notices(event.zones)
        forwarded = event.zones if _must_forward(event) else new_notices
        for notice in forwarded:
            self._broadcast.forward(notice, now, event.span, urgent=True)
        if new_notices:
            self._outbox.emit(
                zones_messages.ZoneNoticesReceived(notices=new_notices)
            )

    def _take_new_notices(
        self, notices: tuple[zones_messages.ZoneNotice, ...]
    ) -> tuple[zones_messages.ZoneNotice, ...]:
        """Return the notices with a new revision and store their revisions."""
        new_notices = tuple(
            notice
            for notice in notices
            if self._zone_revisions.get(notice.zone, -1) < notice.revision
        )
        for notice in new_notices:
            self._zone_revisions[notice.zone] = notice.revision
        return new_notices

    def _expire(self, now: datetime.datetime) -> None:
        if self._next_expiry is not None and now < self._next_expiry:
            return
        self._next_expiry = now + EXPIRY_PERIOD
        self._daemon_table.expire_dead(now)
        self._catalogue.expire(now)


def _must_forward(event: messages.Gossip) -> bool:
    """Return whether changes are forwarded even if they are known here.

    The origin of urgent changes relies on its relays. Those for the whole
    ring come from another region and would go back there.
    """
    return bool(event.nonce) and event.span != broadcast.WHOLE_RING


def _dump_entry(entry: state.UpstreamEntry) -> dict[str, typing.Any]:
    owner = entry.owner.daemon_id if entry.owner else ""
    return {
        **plain.plain(entry.upstream),
        "hidden": entry.hidden,
        "lease_holder": entry.lease_holder,
        "effective_owner": owner,
    }
