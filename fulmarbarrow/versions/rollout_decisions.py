"""Decides the next state of a rollout."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import rollout_evidence

SECOND = datetime.timedelta(seconds=1)
LEAST_MOVING = 1 * SECOND
MOST_MOVING = 4 * SECOND
# The last step is proposed this long before the deadline, so that a leader
# that is elected meanwhile can still commit it.
COMMIT_TIME = 1.5 * SECOND
# A version that is not proven this long before the deadline is rolled back.
LEAST_REMAINING = COMMIT_TIME + LEAST_MOVING
# Routers have the new share this long after its commit.
PUSH_TIME = 0.5 * SECOND

_State = messages.RolloutState
FINAL = (_State.COMPLETED, _State.ROLLED_BACK)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Situation:
    """What a decision on a rollout depends on.

    ``since`` is when the committed ``state`` was entered. ``fault`` was found
    by a router or in the evidence. ``serving`` and ``others`` are the numbers
    of serving upstreams of the new version and of all others.
    """

    move: bundles.VersionMove
    state: messages.RolloutState | None
    since: datetime.datetime
    evidence: rollout_evidence.RolloutEvidence
    fault: str
    superseded: str
    serving: int
    others: int
    routers: frozenset[str]


def next_step(
    situation: Situation, now: datetime.datetime
) -> messages.RolloutStep | None:
    """Return the step that is due, if any."""
    state = situation.state
    if state in FINAL:
        return None
    reason = _reason_to_roll_back(situation, now)
    if reason:
        return _step(situation, _State.ROLLED_BACK, now, reason)
    match state:
        case None:
            return _step(situation, _State.EXPOSING, now)
        case _State.EXPOSING if _may_move(situation, now):
            return _step(situation, _State.MOVING, now)
        case _State.MOVING if _moved(situation, now):
            return _step(situation, _State.COMPLETED, now)
    return None


def moving_time(situation: Situation) -> datetime.timedelta:
    """Return how long the remaining requests take to move."""
    measured = situation.evidence.request_time
    return min(MOST_MOVING, max(LEAST_MOVING, measured))


def _reason_to_roll_back(situation: Situation, now: datetime.datetime) -> str:
    if situation.superseded:
        return f"superseded by an order for {situation.superseded}"
    if situation.fault:
        return situation.fault
    remaining = situation.move.deadline - now
    if remaining <= datetime.timedelta():
        return "not complete by its deadline"
    if situation.state is _State.MOVING or remaining > LEAST_REMAINING:
        return ""
    lacking = _lacks(situation)
    return f"not proven before its deadline: {lacking}" if lacking else ""


def _lacks(situation: Situation) -> str:
    if not situation.serving:
        return "no upstream serves it"
    reporting = situation.routers & set(situation.evidence.routers)
    if 2 * len(reporting) < len(situation.routers):
        return f"only {len(reporting)} of {len(situation.routers)} routers"
    return situation.evidence.lacks()


def _may_move(situation: Situation, now: datetime.datetime) -> bool:
    due = situation.move.deadline - COMMIT_TIME - moving_time(situation)
    return now >= due and not _lacks(situation)


def _moved(situation: Situation, now: datetime.datetime) -> bool:
    if not situation.serving:
        return False
    if now >= situation.move.deadline - COMMIT_TIME:
        return True
    if situation.evidence.lacks():
        # All requests at the new version may soon show a late fault.
        return False
    running = situation.evidence.old_running(set(situation.routers))
    return now >= situation.since + PUSH_TIME and running == 0


def _step(
    situation: Situation,
    state: messages.RolloutState,
    now: datetime.datetime,
    reason: str = "",
) -> messages.RolloutStep:
    return messages.RolloutStep(
        move_id=situation.move.id, state=state, at=now, reason=reason
    )
