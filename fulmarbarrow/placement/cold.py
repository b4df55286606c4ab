"""Detects upstreams that lost their cache without reporting it."""

from __future__ import annotations

import math

LEAST_SAMPLES = 40
GAIN = 0.01
# Below this hit rate a loss of the cache can't be told from chance.
LEAST_RATE = 0.3
# Assumed hit rate of a cold upstream, relative to its usual hit rate.
COLD_PART = 0.1
# Log-likelihood ratio (natural logarithm) at which an upstream counts as cold.
THRESHOLD = 12.0


class ColdDetector:
    """Cumulative sum (CUSUM) test for a drop of the cache hit rate.

    Only requests of chats that are expected in the cache are observed. A hit
    is a request for which at least a part of the prompt was cached.
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._samples = 0
        self._sum = 0.0

    @property
    def rate(self) -> float:
        """The exponentially smoothed hit rate."""
        return self._rate

    def observe(self, hit: bool) -> bool:
        """Record a hit or miss; return whether the upstream turned cold."""
        self._sum = max(0.0, self._sum + self._evidence(hit))
        self._samples += 1
        gain = max(GAIN, 1 / self._samples)
        self._rate += gain * (float(hit) - self._rate)
        if self._sum < THRESHOLD:
            return False
        self._sum = 0.0
        return True

    def _evidence(self, hit: bool) -> float:
        """Return the log-likelihood ratio of a cold over a warm upstream."""
        if self._samples < LEAST_SAMPLES or self._rate < LEAST_RATE:
            return 0.0
        rate = min(0.95, self._rate)
        cold = COLD_PART * rate
        if hit:
            return math.log(cold / rate)
        return math.log((1 - cold) / (1 - rate))
