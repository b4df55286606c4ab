"""Decides the next step of a version move."""

from __future__ import annotations

import collections.abc
import datetime

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.versions import evidence as evidence_module
from fulmarbarrow.versions import machine
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import orders as orders_module
from fulmarbarrow.versions import schedule
from fulmarbarrow.versions import state

# The share cap is halved for this many attempts at the new version.
HALF_CAP_ATTEMPTS = 60
CANARY_ATTEMPTS = 200  # attempts at the new version
SHARE_TOLERANCE = 1e-9

Upstreams = collections.abc.Mapping[str, membership_messages.Upstream]


class Decider:
    """Holds the leader's evidence on each move and decides on it."""

    def __init__(self) -> None:
        self.orders = orders_module.Orders()
        self.faults: dict[str, str] = {}
        self._evidence: dict[str, evidence_module.MoveEvidence] = {}

    def start_term(
        self, *, fencing_number: int, now: datetime.datetime
    ) -> None:
        """Start a new leadership term without any evidence."""
        self.orders.start_term(fencing_number=fencing_number, now=now)
        self._evidence.clear()

    def evidence(self, move_id: str) -> evidence_module.MoveEvidence:
        """Return the evidence on a move."""
        evidence = self._evidence.get(move_id)
        if evidence is None:
            evidence = self._evidence[move_id] = evidence_module.MoveEvidence()
        return evidence

    def next_step(
        self,
        record: state.MoveRecord,
        upstreams: Upstreams,
        now: datetime.datetime,
    ) -> messages.MoveStep | None:
        """Return the step that is due for a move, if any."""
        move = record.move
        pool = state.split_pool(move, upstreams)
        recorder = _PhaseRecorder()
        state_machine = machine.resume(record.phase, recorder)
        self._feed_input(record, pool, state_machine, now)
        phase = recorder.phase or record.phase
        share = _share(move, phase, pool, self.evidence(move.id).attempts)
        same_share = abs(share - record.share) < SHARE_TOLERANCE
        if phase is record.phase and same_share:
            return None
        return messages.MoveStep(
            move_id=move.id,
            service=move.service,
            model=move.model,
            phase=phase,
            share=share,
            at=now,
            reason=self.faults.get(move.id, record.reason),
        )

    def load(
        self,
        record: state.MoveRecord,
        upstreams: Upstreams,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Order the next engine to load a version; one loads at a time."""
        move = record.move
        pool = state.split_pool(move, upstreams)
        phase = messages.Phase
        if record.phase is phase.ROLLING_BACK:
            return self.orders.load(move, move.old, pool.new, now)
        if record.phase is phase.LOADING and not pool.new:
            return self.orders.load(move, move.new, pool.old, now)
        if record.phase is phase.EXPANDING and len(pool.old) > 1:
            step = self._plan(record, pool, now).step
            if self.orders.idle_time(move.id, now) >= step:
                return self.orders.load(move, move.new, pool.old, now)
        if record.phase is phase.COMPLETING:
            return self.orders.load(move, move.new, pool.old, now)
        return []

    def _feed_input(
        self,
        record: state.MoveRecord,
        pool: state.Pool,
        state_machine: machine.Move,
        now: datetime.datetime,
    ) -> None:
        """Feed the state machine of a move the input that applies now."""
        phase = messages.Phase
        plan = self._plan(record, pool, now)
        if self._must_roll_back(record, now) and record.phase not in (
            phase.ROLLING_BACK,
            phase.ROLLED_BACK,
        ):
            state_machine.fault()
        elif record.phase is phase.LOADING and pool.new:
            state_machine.first_loaded()
        elif record.phase is phase.CANARY and self._canary_passed(
            record, plan, now
        ):
            state_machine.canary_passed()
        elif record.phase is phase.EXPANDING and self._expansion_complete(
            record, pool
        ):
            state_machine.expanded()
        elif record.phase is phase.WATCHING and now >= plan.watch_until:
            state_machine.watch_ended()
        elif record.phase is phase.COMPLETING and not pool.old and pool.new:
            state_machine.all_new()
        elif record.phase is phase.ROLLING_BACK and not pool.new:
            state_machine.all_old()

    def _must_roll_back(
        self, record: state.MoveRecord, now: datetime.datetime
    ) -> bool:
        """Whether the move must be rolled back."""
        move = record.move
        if move.id in self.faults:
            return True
        late = now >= move.deadline
        if late and record.phase is not messages.Phase.COMPLETED:
            self.faults[move.id] = "not complete by its deadline"
            return True
        return False

    def _canary_passed(
        self,
        record: state.MoveRecord,
        plan: schedule.Schedule,
        now: datetime.datetime,
    ) -> bool:
        """Whether the canary has run long enough.

        With little traffic the deadline decides. The comparison of the
        versions continues in later phases.
        """
        if now < record.since + schedule.MINIMUM_DWELL:
            return False
        attempts = self.evidence(record.move.id).attempts
        return attempts >= CANARY_ATTEMPTS or now >= plan.canary_until

    def _expansion_complete(
        self, record: state.MoveRecord, pool: state.Pool
    ) -> bool:
        """Whether all engines but the last one have the new version.

        The last one keeps the old version until the watch period is over.
        """
        is_loading = self.orders.is_loading(record.move.id)
        return len(pool.old) <= 1 and bool(pool.new) and not is_loading

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
            load_time=self.orders.load_time,
        )


class _PhaseRecorder:
    """Records the phase that a move's state machine enters."""

    def __init__(self) -> None:
        self.phase: messages.Phase | None = None

    def enter(self, phase: messages.Phase) -> None:
        """Record a phase."""
        self.phase = phase


def _share(
    move: bundles.VersionMove,
    phase: messages.Phase,
    pool: state.Pool,
    attempts: int,
) -> float:
    """Return the new version's share of new requests in a phase.

    The share is capped until the canary has passed, at first to half the cap:
    detecting a fault takes a certain number of attempts, whatever the share.
    Afterwards it follows the loaded capacity, so that neither version is
    overloaded.
    """
    match phase:
        case messages.Phase.CANARY:
            cap = move.share_cap
            if attempts < HALF_CAP_ATTEMPTS:
                cap = cap / 2
            return min(cap, pool.new_fraction)
        case messages.Phase.EXPANDING | messages.Phase.WATCHING:
            return pool.new_fraction
        case messages.Phase.COMPLETING | messages.Phase.COMPLETED:
            return 1.0
    return 0.0
