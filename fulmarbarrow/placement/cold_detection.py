"""Detects upstreams that lost their cache without reporting it."""

from __future__ import annotations

import math

MIN_SAMPLES = 40  # requests before the hit rate is meaningful
MIN_GAIN = 0.01  # lower bound of the weight of a request in the hit rate
# Below this hit rate a loss of the cache can't be told from chance.
MIN_HIT_RATE = 0.3
# Assumed hit rate of a cold upstream, relative to its usual hit rate.
COLD_HIT_RATE_FACTOR = 0.1
# Log-likelihood ratio (natural logarithm) at which an upstream counts as cold.
LOG_ODDS_THRESHOLD = 12.0


class ColdDetector:
    """Cumulative sum (CUSUM) test for a drop of the cache hit rate.

    Only requests of chats that are expected in the cache are observed. A hit
    is a request for which at least a part of the prompt was cached.
    """

    def __init__(self) -> None:
        self._hit_rate = 0.0
        self._samples = 0
        self._cusum = 0.0

    @property
    def hit_rate(self) -> float:
        """The exponentially smoothed hit rate."""
        return self._hit_rate

    def observe(self, hit: bool) -> bool:
        """Record a hit or miss; return whether the upstream turned cold."""
        self._cusum = max(0.0, self._cusum + self._log_likelihood_ratio(hit))
        self._samples += 1
        gain = max(MIN_GAIN, 1 / self._samples)
        self._hit_rate += gain * (float(hit) - self._hit_rate)
        if self._cusum < LOG_ODDS_THRESHOLD:
            return False
        self._cusum = 0.0
        return True

    def _log_likelihood_ratio(self, hit: bool) -> float:
        """Return the log-likelihood ratio of a cold over a warm upstream."""
        if self._samples < MIN_SAMPLES or self._hit_rate < MIN_HIT_RATE:
            return 0.0
        hit_rate = min(0.95, self._hit_rate)
        cold_rate = COLD_HIT_RATE_FACTOR * hit_rate
        if hit:
            return math.log(cold_rate / hit_rate)
        return math.log((1 - cold_rate) / (1 - hit_rate))
