"""Limits on the work of an upstream."""

from __future__ import annotations

import dataclasses
import datetime
import math

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages

# Applied to ``requests_factor`` because the known mean lags behind.
REQUESTS_MARGIN = 0.9
# Applied to the rate of a cold upstream because requests arrive in bursts.
COLD_RATE_MARGIN = 0.85


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits on the work of an upstream, as fractions of its full batch.

    - ``mean_factor``: multiple of the pool's mean load above which an
      upstream gets no more work; ``floor`` batches are always allowed.
    - ``requests_factor``: multiple of the pool's mean number of requests
      above which an upstream gets no more, plus ``requests_slack``; 0
      disables this bound. ``least_requests`` are always allowed, because the
      mean of an idle pool is not meaningful.
    - ``ceiling``: bound on all work, including that of priority accounts.
    - ``placed_factor``: multiple of the pool's mean that the work placed
      within ``placed_window`` may not exceed.
    - ``uncached_part`` and ``stranger_part``: fraction of these bounds that
      a chat without a cached prefix may use at its home and elsewhere. The
      rest is left to chats that have one.
    - ``ramp_start`` and ``ramp``: fraction of a full batch that a newly
      started upstream gets, and the time until it gets all of it.
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

    def start_rate_limit(
        self,
        upstream: membership_messages.Upstream,
        pool: bundles.Pool,
        now: datetime.datetime,
        zone_weight: float,
    ) -> float:
        """Return how many requests a second may start at an upstream.

        The rate is limited while the upstream reports that it is cold, and
        while its zone is being restored, because it may then be cold without
        having reported it yet.
        """
        if not pool.cold_rate:
            return math.inf
        if upstream.cold_until is not None and now < upstream.cold_until:
            return pool.cold_rate * COLD_RATE_MARGIN
        if zone_weight >= 1.0:
            return math.inf
        return pool.cold_rate * COLD_RATE_MARGIN

    def ramp_share(self, age: datetime.timedelta) -> float:
        """Return the fraction of its limit that an upstream of ``age`` gets.

        The fraction rises linearly from ``ramp_start`` to 1 within ``ramp``.
        """
        if age >= self.ramp:
            return 1.0
        passed = max(0.0, age / self.ramp)
        return self.ramp_start + (1.0 - self.ramp_start) * passed

    def allowed_work(
        self, upstream: membership_messages.Upstream, mean_load: float
    ) -> int:
        """Return the work in tokens that the mean load of the pool allows.

        ``mean_load`` is the mean work of the pool in full batches.
        """
        share = max(self.mean_factor * mean_load, self.floor)
        return int(share * upstream.batch_tokens)

    def max_requests(self, mean_requests: float) -> float:
        """Return how many concurrent requests the pool's mean allows."""
        if not self.requests_factor:
            return math.inf
        factor = self.requests_factor * REQUESTS_MARGIN
        bound = factor * mean_requests + self.requests_slack
        return max(bound, self.least_requests)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkLimits:
    """Work limits of an upstream in tokens, by kind of work.

    ``all_work`` bounds all work, ``shared`` all work that is not covered by
    an account's reserved share, and ``long_work`` the shared work of the long
    cost class. A ``ramping`` upstream gets no work while its owner is new.
    """

    all_work: int
    shared: int
    long_work: int
    ramping: bool
