"""Keeps the lists of live upstreams and daemons."""

from __future__ import annotations

import datetime
import functools
import logging
import random
import typing

from fulmarbarrow.membership import announcements
from fulmarbarrow.membership import broadcast
from fulmarbarrow.membership import contacts
from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import damping
from fulmarbarrow.membership import detector
from fulmarbarrow.membership import leases
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import ownership
from fulmarbarrow.membership import records
from fulmarbarrow.membership import state
from fulmarbarrow.membership import sync
from fulmarbarrow.membership import upstreams
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.observe import plain
from fulmarbarrow.zones import messages as zones_messages

log = logging.getLogger(__name__)

CLEAN_PERIOD = datetime.timedelta(seconds=10)


class MembershipCore:
    """Announcements and gossip in, changes of membership out."""

    handles = (
        messages.Announced,
        messages.Gossip,
        messages.Join,
        messages.LeaseDoubt,
        messages.LeaseRenewal,
        messages.LeaveStarted,
        messages.Probe,
        messages.ProbeAck,
        messages.ProbeRequest,
        messages.SyncDigest,
        messages.SyncListing,
        messages.SyncWanted,
        messages.ZoneView,
        zones_messages.ZoneAnnounced,
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
        rate_bytes: int = outboxes.RATE_BYTES,
    ) -> None:
        others = tuple(seed for seed in seeds if seed != daemon.address)
        self._metrics = metrics
        self._rng = rng
        self._outbox = outboxes.Outbox(rate=rate_bytes)
        self._index = records.RecordIndex()
        self._daemons = daemons.DaemonTable(own=daemon, index=self._index)
        self._damping = damping.Damping()
        self._upstreams = upstreams.UpstreamTable(
            index=self._index, outbox=self._outbox, flaps=self._damping
        )
        self._broadcast = broadcast.Broadcast(
            table=self._daemons, outbox=self._outbox, rng=rng
        )
        self._ownership = ownership.Ownership(
            table=self._daemons, outbox=self._outbox
        )
        self._leases = leases.LeaseKeeper(
            table=self._upstreams,
            members=self._daemons,
            ownership=self._ownership,
            outbox=self._outbox,
            lease=lease,
            ended=self._lease_ended,
        )
        self._announcements = announcements.Announcements(
            table=self._upstreams,
            members=self._daemons,
            ownership=self._ownership,
            leases=self._leases,
            flaps=self._damping,
            outbox=self._outbox,
            lease=lease,
            learned=self._learned,
        )
        self._detector = detector.Detector(
            table=self._daemons,
            index=self._index,
            outbox=self._outbox,
            rng=rng,
            changed=self._daemon_changed,
        )
        self._sync = sync.Sync(
            table=self._daemons,
            index=self._index,
            outbox=self._outbox,
            rng=rng,
            fetch=self._fetch,
        )
        self._contacts = contacts.Contacts(
            table=self._daemons, outbox=self._outbox, rng=rng, seeds=others
        )
        self._lease = lease
        self._seeded = bool(others)
        self._started = False
        self._joined = False
        self._refreshed = -1
        self._view = 0
        self._zones: dict[str, tuple[int, bool]] = {}
        self._next_clean: datetime.datetime | None = None
        self._daemons.publish_own()

    @property
    def digest(self) -> int:
        """Digest of all live records; equal on daemons that agree."""
        return self._index.root

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        self._outbox.refill(now)
        if not self._started:
            self._started = True
            self._ownership.start(now, seeds=self._seeded)
            self._ownership.check_agreement(now)
        self._take(event, now)
        if self._broadcast.fresh_urgent:
            self._broadcast.flush(urgent_only=True)
        return self._outbox.take()

    def dump(self) -> dict[str, typing.Any]:
        """Return the members as plain data."""
        return {
            "self": plain.plain(self._daemons.own),
            "upstreams": [
                {
                    **plain.plain(entry.upstream),
                    "hidden": entry.hidden,
                    "lease_holder": entry.holder,
                    "effective_owner": (
                        entry.owner.daemon_id if entry.owner else ""
                    ),
                }
                for entry in self._upstreams.entries
            ],
            "daemons": [
                plain.plain(known.daemon) for known in self._daemons.others
            ],
            "tombstones": self._upstreams.tombstones,
            "returns_held_back": self._damping.held,
            "leases_held": self._leases.held,
            "changes_spreading": len(self._broadcast),
            "records_waiting": self._sync.waiting,
            "sent_bytes": self._outbox.sent_bytes,
        }

    @functools.singledispatchmethod
    def _take(self, event: message.Message, now: datetime.datetime) -> None:
        raise TypeError(type(event).__name__)

    @_take.register
    def _(self, event: messages.Announced, now: datetime.datetime) -> None:
        self._announcements.announced(event, now)

    @_take.register
    def _(self, event: messages.LeaseRenewal, now: datetime.datetime) -> None:
        known = self._announcements.renewed(event, now)
        if not known:
            self._sync.ask(event.reply_to, event.upstream_id)

    @_take.register
    def _(self, event: messages.LeaseDoubt, now: datetime.datetime) -> None:
        self._leases.answer(event, now)

    @_take.register
    def _(self, event: messages.Gossip, now: datetime.datetime) -> None:
        for daemon in event.daemons:
            self._hear(daemon, now, span=event.span)
        for gone in event.gone:
            if self._upstreams.bury(gone, now, reason="lease ended"):
                self._pass_on(gone, now, event.span, urgent=True)
        for change in event.changes:
            entry = self._upstreams.change(change)
            if entry is not None:
                self._refresh_entry(entry, now)
                leaving = change.state is messages.UpstreamState.LEAVING
                self._pass_on(change, now, event.span, urgent=leaving)
        for upstream in event.upstreams:
            entry = self._upstreams.learn(upstream, now)
            if entry is not None:
                self._refresh_entry(entry, now)
                self._pass_on(upstream, now, event.span)
        self._hear_zones(event, now)
        self._bootstrap()

    @_take.register
    def _(self, event: messages.Join, now: datetime.datetime) -> None:
        self._hear(event.daemon, now, span=broadcast.WHOLE_RING)
        self._contacts.answer(event)

    @_take.register
    def _(self, event: messages.LeaveStarted, now: datetime.datetime) -> None:
        own = self._daemons.set_own(
            state=messages.DaemonState.LEAVING,
            refutation=self._daemons.own.refutation,
        )
        self._broadcast.add(own, now, urgent=True)
        self._refresh(now)

    @_take.register
    def _(self, event: messages.Probe, now: datetime.datetime) -> None:
        self._detector.probed(event)
        self._view_heard(event.daemon_id, event.view)
        self._compare(event.daemon_id, event.reply_to, event.digest, now)

    @_take.register
    def _(self, event: messages.ProbeAck, now: datetime.datetime) -> None:
        self._detector.answered(event, now)
        self._compare(event.daemon_id, event.reply_to, event.digest, now)

    @_take.register
    def _(self, event: messages.ProbeRequest, now: datetime.datetime) -> None:
        self._detector.asked(event, now)

    @_take.register
    def _(self, event: messages.SyncDigest, now: datetime.datetime) -> None:
        self._sync.digest(event)

    @_take.register
    def _(self, event: messages.SyncListing, now: datetime.datetime) -> None:
        self._sync.listing(event)

    @_take.register
    def _(self, event: messages.SyncWanted, now: datetime.datetime) -> None:
        self._sync.wanted(event)

    @_take.register
    def _(self, event: messages.ZoneView, now: datetime.datetime) -> None:
        self._view_heard(event.daemon_id, event.view)
        self._agree(now)

    @_take.register
    def _(
        self, event: zones_messages.ZoneAnnounced, now: datetime.datetime
    ) -> None:
        for notice in event.notices:
            self._zones[notice.zone] = (notice.revision, notice.out)
            self._broadcast.add(notice, now, urgent=True)

    @_take.register
    def _(self, event: message.Tick, now: datetime.datetime) -> None:
        self._detector.tick(now)
        self._contacts.tick(now)
        self._leases.tick(now)
        if self._refreshed != self._daemons.generation:
            self._refresh(now)
        self._tell_view()
        self._agree(now)
        self._broadcast.flush()
        self._sync.tick(now)
        self._clean(now)

    # Daemons.

    def _hear(
        self,
        daemon: messages.Daemon,
        now: datetime.datetime,
        *,
        span: broadcast.Span | None,
    ) -> None:
        """Take a daemon's record from another daemon."""
        if daemon.daemon_id == self._daemons.own.daemon_id:
            self._hear_of_self(daemon, now)
            return
        known = self._daemons.get(daemon.daemon_id)
        if known is not None and _needs_proof(known.daemon, daemon):
            daemon = daemons.suspected(daemon)
        self._daemon_changed(daemon, now, span)

    def _hear_of_self(
        self, daemon: messages.Daemon, now: datetime.datetime
    ) -> None:
        own = self._daemons.own
        if daemon.incarnation > own.incarnation:
            self._metrics.count("daemon_incarnation_behind")
        if self._detector.refute(daemon, now):
            self._metrics.count("suspicions_refuted")
            self._broadcast.add(self._daemons.own, now, urgent=True)
            self._contacts.hurry()

    def _daemon_changed(
        self,
        daemon: messages.Daemon,
        now: datetime.datetime,
        span: broadcast.Span | None = broadcast.WHOLE_RING,
    ) -> None:
        """Enter a daemon's record and tell the others if it is news."""
        before = self._daemons.get(daemon.daemon_id)
        was_suspect = before is not None and _is_suspect(before.daemon)
        if not self._daemons.apply(daemon, now):
            return
        self._metrics.count("daemon_changes", state=daemon.state.value)
        alive = daemon.state is messages.DaemonState.ALIVE
        self._pass_on(daemon, now, span, urgent=not alive)
        if _is_suspect(daemon) and not was_suspect:
            self._outbox.send(daemon.address, broadcast.pack([daemon]))
        if daemon.state is messages.DaemonState.DEAD:
            log.info("daemon %s is dead", daemon.daemon_id)
            self._outbox.emit(
                messages.DaemonGone(
                    daemon_id=daemon.daemon_id,
                    incarnation=daemon.incarnation,
                )
            )
        else:
            self._outbox.emit(messages.DaemonChanged(daemon=daemon))

    def _bootstrap(self) -> None:
        """Get all records as soon as the first peers are known."""
        if self._joined:
            return
        peers = [known.daemon.address for known in self._daemons.peers()]
        if peers:
            self._joined = True
            self._rng.shuffle(peers)
            self._sync.bootstrap(peers)

    # Agreement on the live routers of the zone.

    def _view_heard(self, daemon_id: str, view: int) -> None:
        known = self._daemons.get(daemon_id)
        if known is not None:
            known.view = view

    def _tell_view(self) -> None:
        view = self._daemons.view()
        if view == self._view:
            return
        self._view = view
        own = self._daemons.own
        told = messages.ZoneView(daemon_id=own.daemon_id, view=view)
        for name in self._daemons.routers(own.zone):
            if name != own.daemon_id:
                self._outbox.send(self._daemons.address(name), told)

    def _agree(self, now: datetime.datetime) -> None:
        if self._ownership.check_agreement(now):
            for entry in self._upstreams.entries:
                if not entry.upstream.owner:
                    self._ownership.refresh(entry)

    def _compare(
        self,
        daemon_id: str,
        address: str,
        digest: int,
        now: datetime.datetime,
    ) -> None:
        if self._daemons.get(daemon_id) is not None:
            busy = not self._broadcast.quiet(now)
            self._sync.seen(address, digest, now, busy=busy)

    # Upstreams.

    def _learned(
        self,
        entry: state.Entry,
        before: messages.Upstream | None,
        now: datetime.datetime,
    ) -> None:
        """Spread what an announcement at this daemon has changed."""
        upstream = entry.upstream
        self._refresh_entry(entry, now)
        change = state.partial(before, upstream) if before else None
        if change is None:
            self._broadcast.add(upstream, now)
            return
        urgent = before.state is not upstream.state
        self._broadcast.add(change, now, urgent=urgent, full=upstream)

    def _lease_ended(
        self, gone: messages.Gone, now: datetime.datetime
    ) -> None:
        if self._upstreams.bury(gone, now, reason="lease ended"):
            self._metrics.count("leases_ended")
            self._broadcast.add(gone, now, urgent=True)

    def _refresh(self, now: datetime.datetime) -> None:
        """Follow a change of the live routers in all upstreams."""
        self._refreshed = self._daemons.generation
        self._ownership.check_agreement(now)
        reachable: dict[str, bool | None] = {}
        for entry in list(self._upstreams.entries):
            zone = entry.upstream.zone
            if zone not in reachable:
                reachable[zone] = self._daemons.zone_reachable(zone)
            self._hide_or_show(entry, reachable[zone], now)
            self._refresh_entry(entry, now)

    def _hide_or_show(
        self,
        entry: state.Entry,
        zone_reachable: bool | None,
        now: datetime.datetime,
    ) -> None:
        owner = entry.upstream.owner
        reached = bool(owner and self._daemons.address(owner))
        heard = entry.heard_within(self._lease, now)
        if zone_reachable or reached or heard:
            self._upstreams.show(entry)
        elif zone_reachable is False:
            self._upstreams.hide(entry)

    def _refresh_entry(
        self, entry: state.Entry, now: datetime.datetime
    ) -> None:
        self._leases.refresh(entry, now)
        self._ownership.refresh(entry)

    def _fetch(self, record: records.Record) -> broadcast.Body | None:
        """Return the present record of a member."""
        if record.kind is records.Kind.UPSTREAM:
            entry = self._upstreams.get(record.member_id)
            if entry is not None:
                return entry.upstream
            return self._upstreams.tombstone(record.member_id)
        if record.member_id == self._daemons.own.daemon_id:
            return self._daemons.own
        known = self._daemons.get(record.member_id)
        return known.daemon if known else None

    # Gossip.

    def _pass_on(
        self,
        body: broadcast.Body,
        now: datetime.datetime,
        span: broadcast.Span | None,
        *,
        urgent: bool = False,
    ) -> None:
        """Send news on to the part of the ring that it came for."""
        if span is not None:
            self._broadcast.add(body, now, span=span, urgent=urgent)

    def _hear_zones(
        self, event: messages.Gossip, now: datetime.datetime
    ) -> None:
        news = tuple(
            notice
            for notice in event.zones
            if self._zones.get(notice.zone, (0, False))
            < (notice.revision, notice.out)
        )
        for notice in news:
            self._zones[notice.zone] = (notice.revision, notice.out)
            self._pass_on(notice, now, event.span, urgent=True)
        if news:
            self._outbox.emit(zones_messages.ZoneHeard(notices=news))

    def _clean(self, now: datetime.datetime) -> None:
        if self._next_clean is not None and now < self._next_clean:
            return
        self._next_clean = now + CLEAN_PERIOD
        self._daemons.forget_dead(now)
        self._upstreams.forget_gone(now)
        self._damping.forget(now, lease=self._lease)


def _is_suspect(daemon: messages.Daemon) -> bool:
    return daemon.state is messages.DaemonState.SUSPECT


def _needs_proof(known: messages.Daemon, heard: messages.Daemon) -> bool:
    """Return whether news of a death is only taken as a suspicion.

    Both sides of a healed partition believe the other dead; none of their
    daemons may lose its upstreams over that.
    """
    return (
        heard.state is messages.DaemonState.DEAD
        and known.state is messages.DaemonState.ALIVE
        and heard.incarnation == known.incarnation
    )
