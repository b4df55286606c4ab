"""Retry budget of a service and backoff between retries."""

from __future__ import annotations

import collections
import datetime
import random

RETRY_RESERVE = 3.0  # retries per window allowed regardless of request count
BACKOFF_BASE = datetime.timedelta(milliseconds=20)
BACKOFF_MAX = datetime.timedelta(seconds=1)


class RetryBudget:
    """Limits retries to a fraction of the requests in a sliding window.

    The reserve lets a service with few requests retry. The limit keeps a
    busy service from multiplying its own load when all upstreams fail. Each
    retry counts for the full window length, so the limit holds over any
    interval of that length and for the sum over all routers.
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

    def available(self, slack: float) -> float:
        """Return the number of retries available now."""
        allowed = self._ratio * len(self._requests) + slack
        return allowed - len(self._retries)

    def deposit(self, now: datetime.datetime) -> None:
        """Record a new request."""
        self._requests.append(now)
        self._expire(now)

    def withdraw(self, now: datetime.datetime, slack: float) -> bool:
        """Record a retry if one is available; return whether it was."""
        if not self.has_retry(now, slack):
            return False
        self._retries.append(now)
        return True

    def has_retry(self, now: datetime.datetime, slack: float) -> bool:
        """Return whether a retry is available."""
        self._expire(now)
        return self.available(slack) >= 1

    def charge(self, now: datetime.datetime) -> None:
        """Record a retry that is made regardless of the budget."""
        self._retries.append(now)

    def _expire(self, now: datetime.datetime) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window:
                times.popleft()


def backoff(failures: int, rng: random.Random) -> datetime.timedelta:
    """Return an exponential backoff with full jitter."""
    limit = min(BACKOFF_MAX, BACKOFF_BASE * 2 ** min(failures, 10))
    return limit * rng.random()
