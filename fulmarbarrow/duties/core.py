"""Leases of duties on a control host."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from fulmarbarrow.consensus import authority
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.duties import holder
from fulmarbarrow.duties import leader
from fulmarbarrow.duties import messages
from fulmarbarrow.duties import state
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.observe import plain

# Reports within a lease; one of them may be lost, and one more be late.
REPORTS_PER_LEASE = 4
# With the interval of ticks, routers hear of a holder within 5 s.
ANNOUNCE_INTERVAL = datetime.timedelta(seconds=4.5)
# A new number is told again at these times, as an announcement may be lost:
# the holder of `usage` waits 2.5 s for the counts of earlier windows.
REPEAT_AFTER = (
    datetime.timedelta(milliseconds=250),
    datetime.timedelta(milliseconds=500),
    datetime.timedelta(seconds=1),
)
ROUTER_ROLE = "router"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announced:
    """A number that routers were told, and when to tell it again."""

    number: int
    repeat_at: tuple[datetime.datetime, ...]


class DutiesCore:
    """Applies grants, holds duties, and as the leader grants them.

    Every event is handled with the time at which its turn began, and leases
    that have ended by then are given up before anything else is done.
    """

    handles = (
        messages.SubjectsWanted,
        messages.DutyRefused,
        messages.PlatformUnreachable,
        messages.RenewDuties,
        messages.DutiesRenewed,
        consensus_messages.Applied,
        consensus_messages.LeaderChanged,
        consensus_messages.ProposeResult,
        consensus_messages.SnapshotWanted,
        consensus_messages.SnapshotRestored,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        membership_messages.LeaveStarted,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        group: consensus_messages.Group,
        lease: datetime.timedelta,
        metrics: metrics_module.Metrics,
        now: datetime.datetime,
    ) -> None:
        self._daemon = daemon
        self._group = group
        self._lease = lease
        self._metrics = metrics
        self._grants = state.Grants()
        self._holder = holder.Holder(
            daemon=daemon, lease=lease, grants=self._grants, now=now
        )
        self._granting = leader.Leader(
            daemon_id=daemon.daemon_id,
            incarnation=daemon.incarnation,
            group=group,
            lease=lease,
            grants=self._grants,
        )
        self._leader: consensus_messages.LeaderChanged | None = None
        self._routers: dict[str, membership_messages.Daemon] = {}
        self._next_report_at: datetime.datetime | None = None
        self._next_announce_at: datetime.datetime | None = None
        self._announced: dict[messages.Duty, Announced] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        effects = self._holder.check(now)
        if effects:
            self._metrics.count("duty_leases_ended")
        effects += self._handle(event, now)
        if self._leader is not None and self._is_leader(now):
            self._granting.lead(self._leader.term, now)
            effects += self._granting.grant(now)
        return [*effects, *self._announce(now)]

    def dump(self) -> dict[str, typing.Any]:
        """Return the grants and leases for debugging."""
        return {
            "highest": self._grants.highest,
            "granted": [plain.plain(item) for item in self._grants.records],
            "held": self._holder.dump(),
            "leader": self._leader.leader if self._leader else "",
            "granting": self._granting.dump(),
        }

    def _handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        match event:
            case message.Tick():
                due = self._next_report_at
                if due and now < due and not self._holder.awaits_lease:
                    return []
                return self._report(now)
            case messages.RenewDuties():
                return self._on_report(event, now)
            case messages.DutiesRenewed():
                return self._holder.renewed(event, now)
            case messages.SubjectsWanted():
                self._granting.want(event)
            case messages.DutyRefused():
                self._metrics.count("duty_numbers_refused", duty=event.duty)
                return self._holder.refuse(event, now)
            case messages.PlatformUnreachable():
                lost = self._holder.release(
                    event.duty, messages.Reason.UNREACHABLE, now
                )
                return [*lost, *self._report(now)] if lost else []
            case membership_messages.LeaveStarted():
                return [*self._holder.leave(now), *self._report(now)]
            case membership_messages.DaemonChanged():
                return self._on_daemon(event.daemon)
            case membership_messages.DaemonGone():
                self._routers.pop(event.daemon_id, None)
            case _:
                return self._on_log_event(event, now)
        return []

    def _on_log_event(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        match event:
            case consensus_messages.LeaderChanged(group=self._group):
                return self._on_leader(event, now)
            case consensus_messages.ProposeResult(group=self._group):
                self._granting.proposal_ended(event)
            case consensus_messages.Applied(
                group=self._group, machine=messages.MACHINE
            ):
                return self._on_applied(event, now)
            case consensus_messages.SnapshotWanted(group=self._group):
                return [
                    consensus_messages.SnapshotTaken(
                        group=self._group,
                        index=event.index,
                        state=self._grants.snapshot(),
                        machine=messages.MACHINE,
                    )
                ]
            case consensus_messages.SnapshotRestored(
                group=self._group, machine=messages.MACHINE
            ):
                self._grants.restore(event.state)
                return self._holder.follow(now)
        return []

    def _is_leader(self, now: datetime.datetime) -> bool:
        return authority.has_lease(self._leader, self._daemon.daemon_id, now)

    def _on_leader(
        self, event: consensus_messages.LeaderChanged, now: datetime.datetime
    ) -> list[message.Message]:
        before = self._leader
        self._leader = event
        if before is not None and (before.term, before.leader) == (
            event.term,
            event.leader,
        ):
            return []
        self._granting.forget()
        return self._report(now)

    def _on_applied(
        self, event: consensus_messages.Applied, now: datetime.datetime
    ) -> list[message.Message]:
        before = {record.duty: record for record in self._grants.records}
        record = self._grants.apply(event.command, event.term)
        if record is None:
            return []
        self._granting.applied(before.get(record.duty), record, now)
        effects = self._holder.follow(now)
        if record.is_of(self._daemon.daemon_id, self._daemon.incarnation):
            effects += self._report(now)
        return effects

    def _report(self, now: datetime.datetime) -> list[message.Message]:
        """Report to the leader, which may be this host."""
        self._next_report_at = now + self._lease / REPORTS_PER_LEASE
        known = self._leader
        if known is None or not known.leader:
            return []
        report = self._holder.report(now)
        if known.leader != self._daemon.daemon_id:
            return [message.Send(address=known.address, message=report)]
        if not self._is_leader(now):
            return []
        self._granting.lead(known.term, now)
        return self._holder.renewed(self._granting.take(report, now), now)

    def _on_report(
        self, event: messages.RenewDuties, now: datetime.datetime
    ) -> list[message.Message]:
        if self._leader is None or not self._is_leader(now):
            return []
        self._granting.lead(self._leader.term, now)
        answer = self._granting.take(event, now)
        if not answer.tenures:
            return []
        return [message.Send(address=event.address, message=answer)]

    def _on_daemon(
        self, daemon: membership_messages.Daemon
    ) -> list[message.Message]:
        """Tell a router that has started who holds this host's duties."""
        if ROUTER_ROLE not in daemon.roles:
            return []
        known = self._routers.get(daemon.daemon_id)
        self._routers[daemon.daemon_id] = daemon
        if known is not None and known.incarnation == daemon.incarnation:
            return []
        return [
            message.Send(
                address=daemon.address, message=self._announcement(record)
            )
            for record in self._holder.usable
            if daemon.daemon_id != self._daemon.daemon_id
        ]

    def _announce(self, now: datetime.datetime) -> list[message.Message]:
        """Tell all routers of a new number, and of all from time to time."""
        held = {record.duty: record for record in self._holder.usable}
        due = self._next_announce_at is None or now >= self._next_announce_at
        if due:
            self._next_announce_at = now + ANNOUNCE_INTERVAL
        effects: list[message.Message] = []
        for duty, record in held.items():
            known = self._announced.get(duty)
            if known is None or known.number != record.number:
                times = tuple(now + after for after in REPEAT_AFTER)
            else:
                times = tuple(at for at in known.repeat_at if now < at)
                if not due and times == known.repeat_at:
                    continue
            self._announced[duty] = Announced(
                number=record.number, repeat_at=times
            )
            told = self._announcement(record)
            effects.append(told)
            effects += [
                message.Send(address=router.address, message=told)
                for router in self._routers.values()
                if router.daemon_id != self._daemon.daemon_id
            ]
        for duty in self._announced.keys() - held.keys():
            del self._announced[duty]
        return effects

    def _announcement(self, record: state.Record) -> messages.HolderAnnounced:
        return messages.HolderAnnounced(
            duty=record.duty,
            holder=self._daemon.daemon_id,
            address=self._daemon.address,
            number=record.number,
        )
