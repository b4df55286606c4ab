"""Processing of announcements and forwarding of lease renewals."""

from __future__ import annotations

import collections.abc
import datetime

import msgspec

from fulmarbarrow.membership import broadcast as broadcasts
from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import damping
from fulmarbarrow.membership import leases as lease_managers
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import ownership as ownerships
from fulmarbarrow.membership import state
from fulmarbarrow.membership import upstreams

# Values of ``cold_until`` closer than this are treated as equal.
COLD_TOLERANCE = datetime.timedelta(milliseconds=500)
# With these refusal codes the platform adapter replies with HTTP 503, so that
# the upstream tries another daemon.
NOT_JOINED = "not_joined"
NOT_KNOWN = "not_known"
NOT_CONFIRMED = "not_confirmed"

RecordChanged = collections.abc.Callable[
    [state.UpstreamEntry, messages.Upstream | None, datetime.datetime], None
]


class Announcements:
    """Replies to announcements and forwards them to the lease holder.

    A renewal is sent to the holder only. A new or changed record is sent to
    the holder as well, which broadcasts it. If ``names_owner`` is False, the
    owner is named by the daemon that receives an announcement instead of the
    upstream: as the newest announcement wins, so does the owner in it.

    A leave is acknowledged only once other daemons have acknowledged it, so
    that it is not lost with this one.
    """

    def __init__(
        self,
        *,
        upstream_table: upstreams.UpstreamTable,
        daemon_table: daemons.DaemonTable,
        ownership: ownerships.Ownership,
        leases: lease_managers.LeaseManager,
        flap_damping: damping.FlapDamping,
        outbox: outboxes.Outbox,
        lease: datetime.timedelta,
        broadcast: broadcasts.Broadcast,
        record_changed: RecordChanged,
        names_owner: bool = True,
    ) -> None:
        self._upstream_table = upstream_table
        self._daemon_table = daemon_table
        self._ownership = ownership
        self._leases = leases
        self._flap_damping = flap_damping
        self._outbox = outbox
        self._lease_duration = lease
        self._broadcast = broadcast
        self._record_changed = record_changed
        self._names_owner = names_owner

    def handle_announcement(
        self, event: messages.Announced, now: datetime.datetime
    ) -> None:
        """Process an announcement that an upstream sent to this daemon."""
        upstream = event.upstream
        code = self._refusal_code(upstream)
        if not self._names_owner and not code:
            upstream = self._assign_owner(upstream, now)
            event = msgspec.structs.replace(event, upstream=upstream)
            if not upstream.owner:
                code = NOT_JOINED
        if code:
            self._outbox.emit(
                messages.AnnounceRefused(
                    upstream_id=upstream.upstream_id,
                    incarnation=upstream.incarnation,
                    code=code,
                    call=event.call,
                )
            )
            return
        holder = self._ownership.lease_holder(upstream)
        if holder == self._daemon_table.own.daemon_id:
            entry = self._apply_as_holder(upstream, now)
        else:
            entry, holder_has_record = self._apply_as_relay(upstream, now)
            self._forward(event, holder, holder_has_record=holder_has_record)
        if entry is not None:
            self._leases.renew(entry, upstream.sequence, now)
            self._report_load(upstream, event.load)
        owner, epoch = "", 0
        if not self._is_suppressed(upstream, entry, now):
            received_at = entry.received_at if entry is not None else now
            owner, epoch = self._ownership.suggest_owner(
                upstream, received_at, now
            )
        self._accept_when_known(
            messages.AnnounceAccepted(
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                lease=self._lease_duration,
                owner=owner,
                owner_epoch=epoch,
                call=event.call,
            ),
            leaving=upstream.state is messages.UpstreamState.LEAVING,
        )

    def handle_withdrawal(
        self, event: messages.Withdrawn, now: datetime.datetime
    ) -> None:
        """Mark an upstream as leaving, given only its id, and broadcast it.

        The withdrawal has no sequence, and other daemons may have taken later
        announcements than this one knows of. As an incarnation that withdraws
        does not return, the withdrawal outranks all of its announcements.
        """
        entry = self._upstream_table.get(event.upstream_id)
        if entry is None:
            known = (
                self._upstream_table.get_tombstone(event.upstream_id)
                is not None
            )
            if known:
                self._accept_when_known(self._acceptance(event, 0))
            else:
                self._refuse(event, 0, NOT_KNOWN)
            return
        before = entry.upstream
        if event.incarnation not in (None, before.incarnation):
            return
        leaving = msgspec.structs.replace(
            before,
            sequence=state.DEREGISTERED_SEQUENCE,
            state=messages.UpstreamState.LEAVING,
        )
        if before.state is not messages.UpstreamState.LEAVING:
            self._upstream_table.apply_record(leaving, now)
            self._record_changed(entry, before, now)
        self._accept_when_known(self._acceptance(event, before.incarnation))

    def handle_renewal(
        self, event: messages.LeaseRenewal, now: datetime.datetime
    ) -> bool:
        """Process a forwarded renewal; return if the upstream is known."""
        record = event.upstream
        if record is not None and not self._refusal_code(record):
            self._apply_as_holder(record, now)
        entry = self._upstream_table.get(event.upstream_id)
        if entry is None:
            tombstone = self._upstream_table.get_tombstone(event.upstream_id)
            return tombstone is not None or record is not None
        if event.incarnation != entry.upstream.incarnation:
            older = event.incarnation < entry.upstream.incarnation
            return older or record is not None
        if event.sequence >= entry.sequence:
            self._leases.renew(entry, event.sequence, now)
            if event.load is not None:
                self._report_load(entry.upstream, event.load)
        return True

    def _accept_when_known(
        self, reply: messages.AnnounceAccepted, *, leaving: bool = True
    ) -> None:
        """Accept a call, if it tells a leave once others know of that."""

        def report(confirmed: bool) -> None:
            if confirmed:
                self._outbox.emit(reply)
            else:
                self._refuse(reply, reply.incarnation, NOT_CONFIRMED)

        key = broadcasts.upstream_key(reply.upstream_id)
        if leaving and self._broadcast.report_when_confirmed(key, report):
            self._outbox.emit(
                messages.AnnounceDelayed(
                    upstream_id=reply.upstream_id, call=reply.call
                )
            )
        else:
            self._outbox.emit(reply)

    def _acceptance(
        self, event: messages.Withdrawn, incarnation: int
    ) -> messages.AnnounceAccepted:
        return messages.AnnounceAccepted(
            upstream_id=event.upstream_id,
            incarnation=incarnation,
            lease=self._lease_duration,
            call=event.call,
        )

    def _refuse(
        self,
        event: messages.Withdrawn | messages.AnnounceAccepted,
        incarnation: int,
        code: str,
    ) -> None:
        self._outbox.emit(
            messages.AnnounceRefused(
                upstream_id=event.upstream_id,
                incarnation=incarnation,
                code=code,
                call=event.call,
            )
        )

    def _assign_owner(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> messages.Upstream:
        """Return the record with an owner that this daemon assigns."""
        entry = self._upstream_table.get(upstream.upstream_id)
        received_at = now
        if entry is not None:
            known = entry.upstream
            if known.incarnation == upstream.incarnation:
                received_at = entry.received_at
                upstream = msgspec.structs.replace(
                    upstream,
                    owner=known.owner,
                    owner_epoch=known.owner_epoch,
                    cold_until=_stabilize(
                        known.cold_until, upstream.cold_until
                    ),
                )
        owner, epoch = self._ownership.suggest_owner(
            upstream, received_at, now
        )
        if owner != upstream.owner:
            # Epochs derived from the clock order the owners that are assigned
            # by different daemons.
            epoch = max(epoch, int(now.timestamp() * 1000))
        return msgspec.structs.replace(
            upstream, owner=owner, owner_epoch=epoch
        )

    def _refusal_code(self, upstream: messages.Upstream) -> str:
        """Return the code to refuse an announcement with, "" to accept it."""
        tombstone = self._upstream_table.get_tombstone(upstream.upstream_id)
        if tombstone is not None:
            if upstream.incarnation < tombstone.incarnation:
                return "stale_incarnation"
            if upstream.incarnation == tombstone.incarnation:
                if tombstone.left:
                    return "already_left"
                if upstream.sequence <= tombstone.sequence:
                    return "stale_sequence"
        entry = self._upstream_table.get(upstream.upstream_id)
        if entry is not None:
            if upstream.incarnation < entry.upstream.incarnation:
                return "stale_incarnation"
            same_incarnation = (
                upstream.incarnation == entry.upstream.incarnation
            )
            if same_incarnation and entry.withdrawn:
                return "already_left"
            if same_incarnation and upstream.sequence <= entry.sequence:
                return "stale_sequence"
        return ""

    def _apply_as_holder(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> state.UpstreamEntry | None:
        """Apply a record as lease holder; None while its return is delayed."""
        entry = self._upstream_table.get(upstream.upstream_id)
        before = entry.upstream if entry is not None else None
        same_incarnation = (
            before and before.incarnation == upstream.incarnation
        )
        if same_incarnation and state.differ_only_in_sequence(
            before, upstream
        ):
            self._unhide(entry, now)
            return entry
        suppressed = self._is_suppressed(upstream, entry, now)
        if suppressed and not self._flap_damping.may_rejoin(upstream, now):
            return None
        entry = self._upstream_table.apply_record(upstream, now)
        if entry is not None:
            self._record_changed(
                entry, before if same_incarnation else None, now
            )
        return entry

    def _apply_as_relay(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> tuple[state.UpstreamEntry | None, bool]:
        """Apply an announcement whose lease another daemon holds.

        Returns the entry that the announcement renews, and whether the
        holder can be expected to have the same record.

        Changes are left to the holder, so that they are broadcast only once,
        except for a change of state, which must not be delayed by a holder
        that may have failed.
        """
        entry = self._upstream_table.get(upstream.upstream_id)
        if entry is None or entry.upstream.incarnation != upstream.incarnation:
            if upstream.state is messages.UpstreamState.LEAVING:
                entry = self._upstream_table.apply_record(upstream, now)
                if entry is not None:
                    self._record_changed(entry, None, now)
                return entry, False
            return None, False
        before = entry.upstream
        if state.differ_only_in_sequence(before, upstream):
            self._unhide(entry, now)
            return entry, True
        if before.state is not upstream.state:
            self._upstream_table.apply_record(upstream, now)
            self._record_changed(entry, before, now)
        return entry, False

    def _is_suppressed(
        self,
        upstream: messages.Upstream,
        entry: state.UpstreamEntry | None,
        now: datetime.datetime,
    ) -> bool:
        """Return whether flap damping delays the return of an upstream."""
        known_incarnation = (
            entry.upstream.incarnation if entry is not None else None
        )
        if known_incarnation == upstream.incarnation:
            return False
        tombstone = self._upstream_table.get_tombstone(upstream.upstream_id)
        return not self._flap_damping.admits_at_once(upstream, tombstone, now)

    def _unhide(
        self, entry: state.UpstreamEntry, now: datetime.datetime
    ) -> None:
        """Make a hidden upstream available again."""
        if entry.hidden:
            self._upstream_table.unhide(entry)
            self._leases.update_holder(entry, now)
            self._ownership.update_owner(entry)

    def _forward(
        self,
        event: messages.Announced,
        holder: str,
        *,
        holder_has_record: bool,
    ) -> None:
        """Forward the renewal to the lease holder."""
        upstream = event.upstream
        address = self._daemon_table.address(holder)
        if address:
            self._outbox.send(
                address,
                messages.LeaseRenewal(
                    reply_to=self._daemon_table.own.address,
                    upstream_id=upstream.upstream_id,
                    incarnation=upstream.incarnation,
                    sequence=upstream.sequence,
                    load=event.load,
                    upstream=None if holder_has_record else upstream,
                ),
                heartbeat=True,
            )

    def _report_load(
        self, upstream: messages.Upstream, load: messages.Load
    ) -> None:
        self._outbox.emit(
            messages.LoadReported(
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                load=load,
            )
        )


def _stabilize(
    before: datetime.datetime | None, after: datetime.datetime | None
) -> datetime.datetime | None:
    """Return the previous value if the new one is within the tolerance."""
    if before is None or after is None:
        return after
    return before if abs(after - before) < COLD_TOLERANCE else after
