"""Start-time fair queueing in token cost over accounts."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime

from fulmarbarrow.limits import messages
from fulmarbarrow.placement import messages as placement_messages

MAX_QUEUED = 256  # attempts at one upstream

_SHORT = placement_messages.CostClass.SHORT

Fits = collections.abc.Callable[[messages.QueuedWork], bool]
_Flow = tuple[str, placement_messages.CostClass, bool]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Waiting:
    """A queued attempt and its virtual start time, in weighted tokens."""

    work: messages.QueuedWork
    start: float


class FairQueue:
    """Attempts that wait for one upstream, served by the accounts' weights.

    Each account has a flow for each cost class; flows are served in the
    order of the virtual start times of their first attempts, best-effort
    flows after all others. An account that was idle has saved up nothing
    and owes nothing.
    """

    def __init__(
        self,
        *,
        weight: collections.abc.Callable[[str], float],
        limit: int = MAX_QUEUED,
    ) -> None:
        self._weight = weight
        self._limit = limit
        self._virtual = 0.0
        self._finish: dict[str, float] = {}
        self._flows: dict[_Flow, collections.deque[_Waiting]] = {}
        self._queued: dict[str, messages.QueuedWork] = {}
        self._cost = 0

    def __len__(self) -> int:
        """Return the number of queued attempts."""
        return len(self._queued)

    @property
    def cost(self) -> int:
        """The work of all queued attempts, in tokens."""
        return self._cost

    @property
    def full(self) -> bool:
        """Whether one more attempt pushes another one out."""
        return len(self._queued) >= self._limit

    def get(self, attempt_id: str) -> messages.QueuedWork | None:
        """Return a queued attempt."""
        return self._queued.get(attempt_id)

    def charge(self, account: str, cost: int) -> None:
        """Count work that was served without waiting."""
        start = self._advance(account, cost)
        if not self._queued:
            self._virtual = max(self._virtual, start)
            self._finish = {account: self._finish[account]}

    def add(self, work: messages.QueuedWork) -> messages.QueuedWork | None:
        """Queue an attempt; return the one that is refused for it, if any.

        A full queue refuses the attempt with the least worth a token.
        """
        refused = self._least_worth(work) if self.full else None
        if refused is work:
            return work
        if refused is not None:
            self.remove(refused.attempt_id)
        start = self._advance(work.account, work.cost)
        flow = (work.account, work.cost_class, work.best_effort)
        queue = self._flows.setdefault(flow, collections.deque())
        queue.append(_Waiting(work=work, start=start))
        self._queued[work.attempt_id] = work
        self._cost += work.cost
        return refused

    def take(self, fits: Fits) -> messages.QueuedWork | None:
        """Remove and return the next attempt that ``fits``."""
        flows = sorted(
            self._flows.items(),
            key=lambda item: (item[0][2], item[1][0].start),
        )
        for _, queue in flows:
            waiting = queue[0]
            if fits(waiting.work):
                self._virtual = max(self._virtual, waiting.start)
                self.remove(waiting.work.attempt_id)
                return waiting.work
        return None

    def take_any(self, fits: Fits) -> messages.QueuedWork | None:
        """Remove and return the first attempt of any flow that ``fits``."""
        for work in list(self._queued.values()):
            if fits(work):
                self.remove(work.attempt_id)
                return work
        return None

    def remove(self, attempt_id: str) -> messages.QueuedWork | None:
        """Remove an attempt and return it if it was queued."""
        work = self._queued.pop(attempt_id, None)
        if work is None:
            return None
        self._cost -= work.cost
        flow = (work.account, work.cost_class, work.best_effort)
        queue = self._flows[flow]
        for waiting in queue:
            if waiting.work is work:
                queue.remove(waiting)
                break
        if not queue:
            del self._flows[flow]
        return work

    def expire(self, now: datetime.datetime) -> list[messages.QueuedWork]:
        """Remove and return the attempts that have waited long enough."""
        over = [work for work in self._queued.values() if work.expires <= now]
        for work in over:
            self.remove(work.attempt_id)
        return over

    def cost_ahead(self, work: messages.QueuedWork) -> float:
        """Return the work in tokens that would be served before ``work``.

        Of each account's flow only what fits the newcomer's fair turn.
        """
        turn = max(self._virtual, self._finish.get(work.account, 0.0))
        turn += work.cost / self._weight(work.account)
        ahead = 0.0
        for (_, cost_class, best_effort), queue in self._flows.items():
            if best_effort and not work.best_effort:
                continue
            if work.cost_class is _SHORT and cost_class is not _SHORT:
                continue
            ahead += sum(
                item.work.cost for item in queue if item.start <= turn
            )
        return ahead

    def _advance(self, account: str, cost: int) -> float:
        start = max(self._virtual, self._finish.get(account, 0.0))
        self._finish[account] = start + cost / self._weight(account)
        return start

    def _least_worth(self, work: messages.QueuedWork) -> messages.QueuedWork:
        """Return the attempt to refuse; among equals the newest."""
        chosen = work
        for other in self._queued.values():
            if _worth(other) < _worth(chosen):
                chosen = other
        return chosen


def _worth(work: messages.QueuedWork) -> tuple[bool, float]:
    return not work.best_effort, work.worth / max(1, work.cost)
