"""Start-time fair queueing over accounts, with cost counted in tokens."""

from __future__ import annotations

import collections
import collections.abc
import datetime

from fulmarbarrow.limits import messages
from fulmarbarrow.placement import messages as placement_messages

MAX_QUEUED = 256  # attempts per upstream

_SHORT = placement_messages.CostClass.SHORT

FitsPredicate = collections.abc.Callable[[messages.QueuedWork], bool]
# Account, cost class, best effort and rank.
_Flow = tuple[str, placement_messages.CostClass, bool, int]


class FairQueue:
    """Weighted fair queue of the attempts that wait for one upstream.

    Attempts are ordered by rank (lowest first), then regular work before
    best-effort work, then by the virtual time of their account (lowest
    first). An account's virtual time is the cost of its served attempts
    divided by its weight. Attempts that leave the queue unserved are not
    charged, and an account gains no credit while it is idle.
    """

    def __init__(
        self,
        *,
        weight: collections.abc.Callable[[str], float],
        limit: int = MAX_QUEUED,
    ) -> None:
        self._weight = weight
        self._limit = limit
        self._virtual_time = 0.0
        self._finish_times: dict[str, float] = {}
        self._flows: dict[_Flow, collections.deque[messages.QueuedWork]] = {}
        self._queued_costs: collections.Counter[_Flow] = collections.Counter()
        self._queued: dict[str, messages.QueuedWork] = {}

    def __len__(self) -> int:
        """Return the number of queued attempts."""
        return len(self._queued)

    @property
    def full(self) -> bool:
        """Whether adding an attempt evicts another one."""
        return len(self._queued) >= self._limit

    def get(self, attempt_id: str) -> messages.QueuedWork | None:
        """Return a queued attempt, or None if it is not queued."""
        return self._queued.get(attempt_id)

    def charge(self, account: str, cost: int) -> None:
        """Charge an account for work that starts now."""
        start = self._virtual_start(account)
        self._virtual_time = max(self._virtual_time, start)
        if not self._queued:
            self._finish_times.clear()
        self._finish_times[account] = start + cost / self._weight(account)

    def add(self, work: messages.QueuedWork) -> messages.QueuedWork | None:
        """Add an attempt and return the evicted one, if any.

        A full queue evicts an attempt of the highest rank, best-effort
        work first, then the one with the lowest worth. On a tie it evicts
        from the account with the most queued work relative to its weight.
        The evicted attempt can be the new one.
        """
        evicted = self._choose_evicted(work) if self.full else None
        if evicted is work:
            return work
        if evicted is not None:
            self.remove(evicted.attempt_id)
        self._finish_times[work.account] = self._virtual_start(work.account)
        flow = _flow(work)
        self._flows.setdefault(flow, collections.deque()).append(work)
        self._queued_costs[flow] += work.cost
        self._queued[work.attempt_id] = work
        return evicted

    def take(self, fits: FitsPredicate) -> messages.QueuedWork | None:
        """Remove, charge and return the first attempt that ``fits``.

        Only the head of each flow is considered.
        """
        order = sorted(
            self._flows,
            key=lambda flow: (flow[3], flow[2], self._virtual_start(flow[0])),
        )
        for flow in order:
            work = self._flows[flow][0]
            if fits(work):
                self.remove(work.attempt_id)
                self.charge(work.account, work.cost)
                return work
        return None

    def take_oldest(self, fits: FitsPredicate) -> messages.QueuedWork | None:
        """Remove, charge and return the oldest attempt that ``fits``.

        Ignores rank, best effort and virtual time.
        """
        for work in self._queued.values():
            if fits(work):
                self.remove(work.attempt_id)
                self.charge(work.account, work.cost)
                return work
        return None

    def remove(self, attempt_id: str) -> messages.QueuedWork | None:
        """Remove an attempt without charging it; None if it is not queued."""
        work = self._queued.pop(attempt_id, None)
        if work is None:
            return None
        flow = _flow(work)
        self._flows[flow].remove(work)
        self._queued_costs[flow] -= work.cost
        if not self._flows[flow]:
            del self._flows[flow]
            del self._queued_costs[flow]
        return work

    def take_expired(
        self, now: datetime.datetime
    ) -> list[messages.QueuedWork]:
        """Remove and return the attempts whose ``expires`` has passed."""
        expired = [
            work for work in self._queued.values() if work.expires <= now
        ]
        for work in expired:
            self.remove(work.attempt_id)
        return expired

    def cost_ahead(self, work: messages.QueuedWork) -> float:
        """Return the tokens that would be served before ``work``.

        The queued work of another account counts only up to the amount
        that raises its virtual time to the one at which ``work`` would be
        served.
        """
        own = sum(
            cost
            for flow, cost in self._queued_costs.items()
            if flow[0] == work.account and _can_precede(flow, work)
        )
        start = self._virtual_start(work.account) + own / self._weight(
            work.account
        )
        ahead = float(own)
        for flow, cost in self._queued_costs.items():
            if flow[0] == work.account or not _can_precede(flow, work):
                continue
            lag = start - self._virtual_start(flow[0])
            if lag >= 0:
                # On a tie the attempt that was queued first is served first.
                first = self._flows[flow][0].cost
                due = max(lag * self._weight(flow[0]), first)
                ahead += min(cost, due)
        return ahead

    def _virtual_start(self, account: str) -> float:
        """Return the virtual start time of an account's next attempt."""
        return max(self._virtual_time, self._finish_times.get(account, 0.0))

    def _choose_evicted(
        self, work: messages.QueuedWork
    ) -> messages.QueuedWork:
        """Return the attempt to evict; on a full tie ``work`` itself."""
        queued_by_account: collections.Counter[str] = collections.Counter()
        for (account, _, _, _), cost in self._queued_costs.items():
            queued_by_account[account] += cost / self._weight(account)
        queued_by_account[work.account] += work.cost / self._weight(
            work.account
        )

        def eviction_key(
            item: messages.QueuedWork,
        ) -> tuple[int, bool, float, float]:
            return (
                -item.rank,
                not item.best_effort,
                item.worth,
                -queued_by_account[item.account],
            )

        chosen = work
        for other in self._queued.values():
            if eviction_key(other) < eviction_key(chosen):
                chosen = other
        return chosen


def _flow(work: messages.QueuedWork) -> _Flow:
    return work.account, work.cost_class, work.best_effort, work.rank


def _can_precede(flow: _Flow, work: messages.QueuedWork) -> bool:
    """Return whether attempts of a flow can be served before ``work``."""
    _, cost_class, best_effort, rank = flow
    if rank != work.rank:
        return rank < work.rank
    if best_effort and not work.best_effort:
        return False
    return work.cost_class is not _SHORT or cost_class is _SHORT
