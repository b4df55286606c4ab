"""How many retries a service's recent requests allow, and when."""

from __future__ import annotations

import collections
import datetime
import random

RESERVE = 3.0  # retries within a window for which no request is needed
BACKOFF_FIRST = datetime.timedelta(milliseconds=20)
BACKOFF_LIMIT = datetime.timedelta(seconds=1)


class RetryBudget:
    """Retries within a sliding window, as a part of the requests in it.

    A quiet service has a small reserve, so that a lone request can be
    retried; a busy one can't multiply its own load when all upstreams fail.
    Every retry counts for a whole window, so that the bound holds over each
    span of its length and summed over the routers.
    """

    def __init__(self, *, ratio: float, window: datetime.timedelta) -> None:
        self._ratio = ratio
        self._window = window
        self._requests: collections.deque[datetime.datetime] = (
            collections.deque()
        )
        self._retries: collections.deque[datetime.datetime] = (
            collections.deque()
        )

    def left(self, slack: float) -> float:
        """Return the retries that may be taken now."""
        allowed = self._ratio * len(self._requests) + slack
        return allowed - len(self._retries)

    def deposit(self, now: datetime.datetime) -> None:
        """Count a new request."""
        self._requests.append(now)
        self._expire(now)

    def withdraw(self, now: datetime.datetime, slack: float) -> bool:
        """Take one retry if the budget has it."""
        if not self.has_retry(now, slack):
            return False
        self._retries.append(now)
        return True

    def has_retry(self, now: datetime.datetime, slack: float) -> bool:
        """Return whether the budget has a retry."""
        self._expire(now)
        return self.left(slack) >= 1

    def charge(self, now: datetime.datetime) -> None:
        """Take one retry that is made in any case."""
        self._retries.append(now)

    def _expire(self, now: datetime.datetime) -> None:
        for kept in (self._requests, self._retries):
            while kept and now - kept[0] > self._window:
                kept.popleft()


def backoff(failures: int, rng: random.Random) -> datetime.timedelta:
    """Return a wait drawn evenly from 0 to a doubling limit."""
    limit = min(BACKOFF_LIMIT, BACKOFF_FIRST * 2 ** min(failures, 10))
    return limit * rng.random()
