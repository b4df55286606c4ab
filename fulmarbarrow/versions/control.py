"""Leads version moves on the control hosts."""

from __future__ import annotations

import datetime
import logging
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import plain
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import evidence as evidence_module
from fulmarbarrow.versions import machine
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import orders as orders_module
from fulmarbarrow.versions import schedule
from fulmarbarrow.versions import state

log = logging.getLogger(__name__)

_STEPS = msgspec.msgpack.Decoder(messages.MoveStep)

PUSH_INTERVAL = datetime.timedelta(seconds=10)
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=5)
FIRST_ATTEMPTS = 60  # attempts at the new version under half its cap
CANARY_ATTEMPTS = 200  # attempts at the new version
ROUTER_ROLE = "router"


class VersionsControl:
    """Evidence and engines' offers in; steps, shares and orders out.

    Every control host keeps the committed steps; only the leader of the
    replicated log decides, and each of its decisions is a committed step
    before it takes effect.
    """

    handles = (
        publishing_messages.ConfigurationChanged,
        consensus_messages.Applied,
        consensus_messages.LeaderChanged,
        consensus_messages.ProposeResult,
        consensus_messages.SnapshotWanted,
        consensus_messages.SnapshotRestored,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        messages.VersionEvidence,
        messages.VersionStopped,
        messages.OrderResult,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        group: consensus_messages.Group,
    ) -> None:
        self._daemon = daemon
        self._group = group
        self._leader: consensus_messages.LeaderChanged | None = None
        self._steps = state.StepStore()
        self._records: dict[str, state.MoveRecord] = {}
        self._upstreams: dict[str, membership_messages.Upstream] = {}
        self._daemons: dict[str, membership_messages.Daemon] = {
            daemon.daemon_id: daemon
        }
        self._evidence: dict[str, evidence_module.MoveEvidence] = {}
        self._faults: dict[str, str] = {}
        self._orders = orders_module.Orders()
        self._proposed: dict[str, datetime.datetime] = {}
        self._proposals = 0
        self._push_at: datetime.datetime | None = None

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        match event:
            case messages.VersionEvidence():
                return self._weigh(event, now)
            case messages.VersionStopped():
                return self._fault(event.move_id, event.reason, now)
            case messages.OrderResult():
                self._orders.result(event)
            case consensus_messages.ProposeResult(group=self._group):
                self._proposal_ended(event)
            case consensus_messages.LeaderChanged(group=self._group):
                self._lead(event, now)
            case publishing_messages.ConfigurationChanged():
                self._configure(event.bundle, now)
            case message.Tick():
                return self._tick(now)
            case _:
                return [
                    *self._replicate(event, now),
                    *self._meet(event, now),
                ]
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return each move's phase, share and evidence."""
        return {
            "leader": self._leader.leader if self._leader else "",
            "moves": {
                move_id: {
                    **plain.plain(record),
                    "evidence": self._evidence_of(move_id).strongest,
                }
                for move_id, record in self._records.items()
            },
            "orders": self._orders.dump(),
        }

    def _leading(self, now: datetime.datetime) -> bool:
        """Whether this host leads and its lease has not ended."""
        leader = self._leader
        if leader is None or leader.leader != self._daemon.daemon_id:
            return False
        return leader.lease_until is None or now < leader.lease_until

    def _replicate(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take an event of this slice's state machine."""
        match event:
            case consensus_messages.Applied(
                group=self._group, machine=messages.MACHINE
            ):
                return self._applied(event, now)
            case consensus_messages.SnapshotWanted(group=self._group):
                return [
                    consensus_messages.SnapshotTaken(
                        group=self._group,
                        index=event.index,
                        state=self._steps.snapshot(),
                        machine=messages.MACHINE,
                    )
                ]
            case consensus_messages.SnapshotRestored(
                group=self._group, machine=messages.MACHINE
            ):
                self._steps.restore(event.state)
                self._records = {
                    move_id: self._record(record.move, record.since)
                    for move_id, record in self._records.items()
                }
        return []

    def _meet(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        match event:
            case membership_messages.UpstreamChanged():
                self._upstreams[event.upstream.upstream_id] = event.upstream
                self._orders.announced(event.upstream, now)
            case membership_messages.UpstreamGone():
                self._upstreams.pop(event.upstream_id, None)
            case membership_messages.DaemonChanged():
                self._daemons[event.daemon.daemon_id] = event.daemon
                if self._leading(now):
                    return self._push_to(event.daemon)
            case membership_messages.DaemonGone():
                self._daemons.pop(event.daemon_id, None)
        return []

    def _lead(
        self, event: consensus_messages.LeaderChanged, now: datetime.datetime
    ) -> None:
        """Start to lead with empty soft state, or stop to lead."""
        before = self._leader
        self._leader = event
        if before is not None and before.term == event.term:
            return
        self._orders.lead(fencing_number=event.fencing_number, now=now)
        self._evidence.clear()
        self._proposed.clear()

    def _configure(
        self, bundle: bundles.Bundle, now: datetime.datetime
    ) -> None:
        """Take the moves of a new configuration."""
        self._records = {
            move.id: self._record(move, now) for move in bundle.version_move
        }

    def _record(
        self, move: bundles.VersionMove, now: datetime.datetime
    ) -> state.MoveRecord:
        """Return a move with its last committed step, if it has one."""
        committed = self._steps.get(move.id)
        if committed is None:
            return state.MoveRecord(
                move=move,
                phase=messages.Phase.LOADING,
                share=0.0,
                since=now,
            )
        return state.MoveRecord(
            move=move,
            phase=committed.step.phase,
            share=committed.step.share,
            since=committed.since,
            reason=committed.step.reason,
            sequence=committed.index,
        )

    def _evidence_of(self, move_id: str) -> evidence_module.MoveEvidence:
        found = self._evidence.get(move_id)
        if found is None:
            found = self._evidence[move_id] = evidence_module.MoveEvidence()
        return found

    def _weigh(
        self, event: messages.VersionEvidence, now: datetime.datetime
    ) -> list[message.Message]:
        """Add a router's evidence to that of the whole fleet."""
        if event.move_id not in self._records:
            return []
        fault = self._evidence_of(event.move_id).add(event.routes)
        if not fault:
            return []
        return self._fault(event.move_id, fault, now)

    def _fault(
        self, move_id: str, reason: str, now: datetime.datetime
    ) -> list[message.Message]:
        """Stop a bad version everywhere, then take it back."""
        record = self._records.get(move_id)
        if record is None or not self._leading(now) or move_id in self._faults:
            return []
        self._faults[move_id] = reason
        stopped = messages.VersionStopped(move_id=move_id, reason=reason)
        sends: list[message.Message] = [
            message.Send(address=daemon.address, message=stopped, urgent=True)
            for daemon in self._routers()
        ]
        return [stopped, *sends, *self._advance(record, now)]

    def _routers(self) -> list[membership_messages.Daemon]:
        return [
            daemon
            for daemon in self._daemons.values()
            if ROUTER_ROLE in daemon.roles
            and daemon.daemon_id != self._daemon.daemon_id
        ]

    def _tick(self, now: datetime.datetime) -> list[message.Message]:
        if not self._leading(now):
            return []
        effects: list[message.Message] = []
        for record in list(self._records.values()):
            effects.extend(self._advance(record, now))
            effects.extend(self._load(self._records[record.move.id], now))
        if self._push_at is None or now >= self._push_at:
            self._push_at = now + PUSH_INTERVAL
            for daemon in self._routers():
                effects.extend(self._push_to(daemon))
        return effects

    def _advance(
        self, record: state.MoveRecord, now: datetime.datetime
    ) -> list[message.Message]:
        """Propose the next step of a move if it is due."""
        move = record.move
        asked = self._proposed.get(move.id)
        if asked is not None and now < asked + PROPOSAL_TIMEOUT:
            return []
        pool = state.split_pool(move, self._upstreams)
        entered = _Entered()
        life = machine.resume(record.phase, entered)
        self._judge(record, pool, life, now)
        phase = entered.phase or record.phase
        attempts = self._evidence_of(move.id).attempts
        share = _share(move, phase, pool, attempts)
        if phase is record.phase and abs(share - record.share) < 1e-9:
            return []
        step = messages.MoveStep(
            move_id=move.id,
            service=move.service,
            model=move.model,
            phase=phase,
            share=share,
            at=now,
            reason=self._faults.get(move.id, record.reason),
        )
        return [self._propose(step, now)]

    def _judge(
        self,
        record: state.MoveRecord,
        pool: state.Pool,
        life: machine.Move,
        now: datetime.datetime,
    ) -> None:
        """Give a move's machine the input that the facts call for."""
        phase = messages.Phase
        plan = self._plan(record, pool, now)
        if self._failed(record, now) and record.phase not in (
            phase.TAKING_BACK,
            phase.TAKEN_BACK,
        ):
            life.fault()
        elif record.phase is phase.LOADING and pool.new:
            life.warm()
        elif record.phase is phase.CANARY and self._proven(record, plan, now):
            life.proven()
        elif record.phase is phase.EXPANDING and self._expanded(record, pool):
            life.expanded()
        elif record.phase is phase.WATCHING and now >= plan.watch_until:
            life.watched()
        elif record.phase is phase.COMPLETING and not pool.old and pool.new:
            life.all_new()
        elif record.phase is phase.TAKING_BACK and not pool.new:
            life.all_old()

    def _failed(
        self, record: state.MoveRecord, now: datetime.datetime
    ) -> bool:
        """Whether the move must be taken back."""
        move = record.move
        if move.id in self._faults:
            return True
        late = now >= move.deadline
        if late and record.phase is not messages.Phase.COMPLETED:
            self._faults[move.id] = "not complete by its deadline"
            return True
        return False

    def _proven(
        self,
        record: state.MoveRecord,
        plan: schedule.Schedule,
        now: datetime.datetime,
    ) -> bool:
        """Whether the new version stood beside the old one long enough.

        With few requests the deadline decides; the watch goes on anyway.
        """
        if now < record.since + schedule.MINIMUM_DWELL:
            return False
        attempts = self._evidence_of(record.move.id).attempts
        return attempts >= CANARY_ATTEMPTS or now >= plan.canary_until

    def _expanded(self, record: state.MoveRecord, pool: state.Pool) -> bool:
        """Whether only the engine that is held back has the old version."""
        loading = self._orders.loading(record.move.id)
        return len(pool.old) <= 1 and bool(pool.new) and not loading

    def _plan(
        self,
        record: state.MoveRecord,
        pool: state.Pool,
        now: datetime.datetime,
    ) -> schedule.Schedule:
        return schedule.plan(
            now=record.since if record.phase is messages.Phase.CANARY else now,
            deadline=record.move.deadline,
            engines=pool.size,
            loaded=len(pool.new),
            load_time=self._orders.load_time,
        )

    def _load(
        self, record: state.MoveRecord, now: datetime.datetime
    ) -> list[message.Message]:
        """Order the next engine to load a version, one at a time."""
        move = record.move
        pool = state.split_pool(move, self._upstreams)
        phase = messages.Phase
        if record.phase is phase.TAKING_BACK:
            return self._orders.load(move, move.old, pool.new, now)
        if record.phase is phase.LOADING and not pool.new:
            return self._orders.load(move, move.new, pool.old, now)
        if record.phase is phase.EXPANDING and len(pool.old) > 1:
            step = self._plan(record, pool, now).step
            if self._orders.idle_since(move.id, now) >= step:
                return self._orders.load(move, move.new, pool.old, now)
        if record.phase is phase.COMPLETING:
            return self._orders.load(move, move.new, pool.old, now)
        return []

    def _propose(
        self, step: messages.MoveStep, now: datetime.datetime
    ) -> message.Message:
        self._proposed[step.move_id] = now
        self._proposals += 1
        return consensus_messages.Propose(
            proposal_id=f"{step.move_id}/{self._daemon.incarnation}"
            f"/{self._proposals}",
            group=self._group,
            command=msgspec.msgpack.encode(step),
            machine=messages.MACHINE,
        )

    def _proposal_ended(self, event: consensus_messages.ProposeResult) -> None:
        self._proposed.pop(event.proposal_id.partition("/")[0], None)

    def _applied(
        self, event: consensus_messages.Applied, now: datetime.datetime
    ) -> list[message.Message]:
        """Apply a committed step."""
        step = _STEPS.decode(event.command)
        self._steps.apply(step, event.index)
        before = self._records.get(step.move_id)
        if before is None:
            return []
        record = self._record(before.move, step.at)
        self._records[step.move_id] = record
        if step.phase is not before.phase:
            log.info(
                "version move %s is %s at share %.3f %s",
                step.move_id,
                step.phase.value,
                step.share,
                step.reason,
            )
        return [messages.MoveChanged(step=step), *self._push(record, now)]

    def _push(
        self, record: state.MoveRecord, now: datetime.datetime
    ) -> list[message.Message]:
        """Tell every router a move's share; the leader does."""
        effects: list[message.Message] = [_shares_push(record, self._daemon)]
        if self._leading(now):
            effects.extend(
                message.Send(
                    address=daemon.address,
                    message=_shares_push(record, daemon),
                )
                for daemon in self._routers()
            )
        return effects

    def _push_to(
        self, daemon: membership_messages.Daemon
    ) -> list[message.Message]:
        """Tell one router all moves' shares, stops before them."""
        if daemon.daemon_id == self._daemon.daemon_id:
            return []
        items: list[message.Message] = [
            messages.VersionStopped(move_id=move_id, reason=reason)
            for move_id, reason in self._faults.items()
            if move_id in self._records
        ]
        items.extend(
            _shares_push(record, daemon)
            for record in self._records.values()
            if record.sequence
        )
        return [
            message.Send(address=daemon.address, message=item)
            for item in items
        ]


class _Entered:
    """Remembers the phase that a move's machine enters."""

    def __init__(self) -> None:
        self.phase: messages.Phase | None = None

    def enter(self, phase: messages.Phase) -> None:
        """Remember a phase."""
        self.phase = phase


def _shares_push(
    record: state.MoveRecord, daemon: membership_messages.Daemon
) -> messages.SharesPush:
    return messages.SharesPush(
        move_id=record.move.id,
        sequence=record.sequence,
        share=record.share,
        incarnation=daemon.incarnation,
    )


def _share(
    move: bundles.VersionMove,
    phase: messages.Phase,
    pool: state.Pool,
    attempts: int,
) -> float:
    """Return the new version's share of new requests in a phase.

    Until it is proven it is capped, at first at half the cap, since a fault
    takes a number of attempts to prove, whatever their share. Then the share
    follows the capacity that has been loaded, so that neither version is
    overloaded.
    """
    match phase:
        case messages.Phase.CANARY:
            cap = move.share_cap
            if attempts < FIRST_ATTEMPTS:
                cap = cap / 2
            return min(cap, pool.new_fraction)
        case messages.Phase.EXPANDING | messages.Phase.WATCHING:
            return pool.new_fraction
        case messages.Phase.COMPLETING | messages.Phase.COMPLETED:
            return 1.0
    return 0.0
