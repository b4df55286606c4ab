"""How much work an upstream may carry."""

from __future__ import annotations

import dataclasses
import datetime
import math

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages

COUNT_PART = 0.9  # of the factor, as the mean is a moment old
COLD_PART = 0.85  # of a rate, as requests bunch on their way


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits of an upstream's work, in parts of its full batch.

    ``mean_factor`` is the multiple of the pool's mean load above which no
    upstream gets more work, but ``floor`` batches are always allowed.
    ``requests_factor``, unless 0, bounds the number of requests likewise,
    with ``requests_slack`` above that, but never to below
    ``least_requests``: from an idle pool the mean says nothing yet.
    ``ceiling`` bounds all work, that of priority accounts included.
    ``placed_factor`` is the multiple of the pool's mean above which the work
    placed within ``placed_window`` may not rise. A chat that is not in the
    cache of its home may use ``uncached_part`` of these bounds there, and
    ``stranger_part`` elsewhere, so that it makes way for chats that are.
    A fresh upstream starts at ``ramp_start`` and reaches a full batch after
    ``ramp``.
    """

    mean_factor: float = 1.25
    floor: float = 1.0
    requests_factor: float = 0.0
    requests_slack: float = 0.0
    least_requests: int = 0
    ceiling: float = 1.25
    placed_factor: float = 1.22
    uncached_part: float = 0.88
    stranger_part: float = 0.84
    placed_window: datetime.timedelta = datetime.timedelta(seconds=10)
    ramp_start: float = 0.1
    ramp: datetime.timedelta = datetime.timedelta(seconds=30)

    def starts(
        self,
        upstream: membership_messages.Upstream,
        pool: bundles.Pool,
        now: datetime.datetime,
        zone_weight: float,
    ) -> float:
        """Return how many requests a second may start at an upstream.

        One that is known to be cold gets what it states. One of a zone that
        comes back may be cold before it says so.
        """
        if not pool.cold_rate:
            return math.inf
        if upstream.cold_until is not None and now < upstream.cold_until:
            return pool.cold_rate * COLD_PART
        if zone_weight >= 1.0:
            return math.inf
        return pool.cold_rate * COLD_PART

    def ramp_share(self, age: datetime.timedelta) -> float:
        """Return the part of its limit that an upstream of ``age`` gets."""
        if age >= self.ramp:
            return 1.0
        passed = max(0.0, age / self.ramp)
        return self.ramp_start + (1.0 - self.ramp_start) * passed

    def allowed(
        self, upstream: membership_messages.Upstream, mean_load: float
    ) -> int:
        """Return the work in tokens that the load of the pool allows.

        ``mean_load`` is the pool's mean work in full batches.
        """
        share = max(self.mean_factor * mean_load, self.floor)
        return int(share * upstream.batch_tokens)

    def most_requests(self, mean_requests: float) -> float:
        """Return how many requests the load of the pool allows at once."""
        if not self.requests_factor:
            return math.inf
        factor = self.requests_factor * COUNT_PART
        bound = factor * mean_requests + self.requests_slack
        return max(bound, self.least_requests)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Room:
    """The most work in tokens, by who asks.

    ``any_work`` bounds everything, ``shared`` all but priority work by
    right, ``long_work`` the shared work of the long cost class.
    ``ramping`` upstreams take nothing while their owner is new.
    """

    any_work: int
    shared: int
    long_work: int
    ramping: bool
