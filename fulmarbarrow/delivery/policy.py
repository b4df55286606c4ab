"""Timeouts, limits and feature switches of request delivery."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

from fulmarbarrow.delivery import state
from fulmarbarrow.placement import messages as placement_messages

MAX_BUFFERED_BYTES = 1 << 20
MAX_ATTEMPTS = 4  # consecutive attempts without progress
MAX_PLACEMENTS = 10  # per request, including unreachable upstreams
JOURNAL_TIMEOUT = datetime.timedelta(seconds=1)
SUSPECT_RETRY_DELAY = datetime.timedelta(milliseconds=100)
PREEMPT_RETRY_DELAY = datetime.timedelta(milliseconds=100)
HEDGE_FACTOR = 3.0
HEDGE_INITIAL_DELAY = datetime.timedelta(milliseconds=200)
HEDGE_MIN_DELAY = datetime.timedelta(milliseconds=30)
_SMOOTHING = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timeouts:
    """How long an attempt may make no progress.

    ``first_event`` and ``between_events`` hold where another attempt may
    follow, ``stalled`` where none may. ``resume_grace`` is how long a started
    stream may continue after its deadline; with 0 it ends at the deadline.
    """

    first_event: datetime.timedelta = datetime.timedelta(seconds=5)
    between_events: datetime.timedelta = datetime.timedelta(seconds=2)
    stalled: datetime.timedelta = datetime.timedelta(seconds=10)
    min_response_timeout: datetime.timedelta = datetime.timedelta(
        milliseconds=500
    )
    resume_grace: datetime.timedelta = state.RESUME_GRACE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mechanisms:
    """Feature switches.

    Only tests turn one off, to show that their checks detect its absence.
    ``journal`` records actions before dispatch. ``echo_check`` rejects the
    response of another attempt and ``completeness`` one that ends early.
    ``resume_check`` rejects gaps in a resumed stream and drops its
    duplicates. ``silence`` fails attempts without progress. Without
    ``proof_of_not_run`` every failed attempt counts as not run.
    """

    journal: bool = True
    echo_check: bool = True
    completeness: bool = True
    resume_check: bool = True
    retry_budget: bool = True
    quarantine: bool = True
    silence: bool = True
    proof_of_not_run: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class SilentUpstreams:
    """Upstreams of a service whose open streams make no progress.

    ``heard`` is the number of those whose streams do.
    """

    silent: frozenset[str]
    heard: int

    @property
    def all_silent(self) -> bool:
        """Whether several upstreams are silent, and no other is heard."""
        return len(self.silent) > 1 and not self.heard


def silent_upstreams(
    requests: collections.abc.Iterable[state.Request],
    service: str,
    timeouts: Timeouts,
    now: datetime.datetime,
) -> SilentUpstreams:
    """Return the upstreams of a service that seem silent from here.

    Only streams that have begun tell: their events come at a pace.
    """
    newest: dict[str, datetime.datetime] = {}
    for request in requests:
        if request.arrival.service != service:
            continue
        for attempt in request.attempts.values():
            if attempt.paused or attempt.time_to_first_token is None:
                continue
            if not attempt.streamed:
                continue
            upstream_id = attempt.placed.upstream_id
            known = newest.get(upstream_id, attempt.progress_at)
            newest[upstream_id] = max(known, attempt.progress_at)
    since = now - timeouts.between_events / 2
    silent = frozenset(name for name, at in newest.items() if at <= since)
    return SilentUpstreams(silent=silent, heard=len(newest) - len(silent))


def silence_timeout(
    request: state.Request, attempt: state.Attempt, timeouts: Timeouts
) -> datetime.timedelta | None:
    """Return how long an attempt may make no progress, None for no limit.

    Silence is a reason to replace an attempt where another one may follow. An
    action can't be retried, so it waits until its deadline, as does a stream
    that nothing came of yet; one that has started is ended when it stalls for
    much longer than a sound upstream pauses. A response that is not streamed
    may take half of the time that was left when the attempt was sent, which
    leaves the other half for another upstream.
    """
    if attempt.paused:
        return None
    last = _is_last(request, attempt)
    if attempt.streamed and attempt.time_to_first_token is not None:
        return timeouts.stalled if last else timeouts.between_events
    if last:
        return None
    if request.arrival.stream:
        return timeouts.first_event
    left = request.arrival.deadline - attempt.sent_at
    return max(timeouts.min_response_timeout, left / 2)


def _is_last(request: state.Request, attempt: state.Attempt) -> bool:
    """Return whether no attempt may follow if this one fails by silence."""
    if attempt.purpose is state.Purpose.LOOKUP:
        return False
    limit = request.arrival.attempts
    return request.action or bool(limit and request.possible_runs + 1 >= limit)


def may_hedge(request: state.Request) -> bool:
    """Return whether a request is a short idempotent lookup."""
    arrival = request.arrival
    return (
        arrival.idempotent
        and not arrival.stream
        and not arrival.model
        and arrival.cost_class is placement_messages.CostClass.SHORT
    )


class ResponseTimeAverage:
    """Exponential moving average of a service's response times."""

    def __init__(self) -> None:
        self._mean: datetime.timedelta | None = None

    @property
    def hedge_delay(self) -> datetime.timedelta:
        """The delay before a hedge is sent to a second upstream."""
        if self._mean is None:
            return HEDGE_INITIAL_DELAY
        return max(HEDGE_MIN_DELAY, self._mean * HEDGE_FACTOR)

    def add(self, duration: datetime.timedelta) -> None:
        """Add a response time to the average."""
        if self._mean is None:
            self._mean = duration
            return
        self._mean += (duration - self._mean) * _SMOOTHING
