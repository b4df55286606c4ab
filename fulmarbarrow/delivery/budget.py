"""How many retries a service's recent requests allow, and when."""

from __future__ import annotations

import datetime
import random

RETRY_FRACTION = 0.07  # retries per request
RESERVE = 3.0  # retries
RESERVE_REFILL = 0.01  # retries per second
CEILING = 100.0  # retries
BACKOFF_FIRST = datetime.timedelta(milliseconds=20)
BACKOFF_LIMIT = datetime.timedelta(seconds=1)


class RetryBudget:
    """A token bucket that each new request fills a little.

    A quiet service keeps a small reserve, so that a lone request can be
    retried; a busy one can't multiply its own load when all upstreams fail.
    """

    def __init__(self, *, now: datetime.datetime) -> None:
        self._tokens = RESERVE
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        """The retries that may be taken now."""
        return self._tokens

    def deposit(self) -> None:
        """Count a new request."""
        self._tokens = min(CEILING, self._tokens + RETRY_FRACTION)

    def withdraw(self, now: datetime.datetime) -> bool:
        """Take one retry if the budget has it."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def has_retry(self, now: datetime.datetime) -> bool:
        """Return whether the budget has a retry."""
        self._refill(now)
        return self._tokens >= 1

    def charge(self) -> None:
        """Take one retry that is made in any case."""
        self._tokens = max(-CEILING, self._tokens - 1)

    def _refill(self, now: datetime.datetime) -> None:
        seconds = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        if self._tokens < RESERVE:
            refilled = self._tokens + seconds * RESERVE_REFILL
            self._tokens = min(RESERVE, refilled)


def backoff(failures: int, rng: random.Random) -> datetime.timedelta:
    """Return a wait drawn evenly from 0 to a doubling limit."""
    limit = min(BACKOFF_LIMIT, BACKOFF_FIRST * 2 ** min(failures, 10))
    return limit * rng.random()
