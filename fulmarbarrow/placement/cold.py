"""Finds upstreams that lost their cache without saying so."""

from __future__ import annotations

import math

LEAST_SAMPLES = 40
GAIN = 0.01
LEAST_RATE = 0.3  # of answers; below it a loss can't be told from chance
COLD_PART = 0.1  # of the usual hit rate, while an upstream is cold
THRESHOLD = 12.0  # natural logarithm of the odds


class ColdDetector:
    """A cumulative sum test for a fall of an upstream's cache hit rate.

    Only chats that are expected in the cache count. A hit is an answer whose
    prompt was found there at least in part.
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._samples = 0
        self._sum = 0.0

    @property
    def rate(self) -> float:
        """The usual hit rate."""
        return self._rate

    def observe(self, hit: bool) -> bool:
        """Take an answer; return whether the upstream just turned cold."""
        self._sum = max(0.0, self._sum + self._evidence(hit))
        self._samples += 1
        gain = max(GAIN, 1 / self._samples)
        self._rate += gain * (float(hit) - self._rate)
        if self._sum < THRESHOLD:
            return False
        self._sum = 0.0
        return True

    def _evidence(self, hit: bool) -> float:
        """Return how much an answer speaks for a cold upstream."""
        if self._samples < LEAST_SAMPLES or self._rate < LEAST_RATE:
            return 0.0
        rate = min(0.95, self._rate)
        cold = COLD_PART * rate
        if hit:
            return math.log(cold / rate)
        return math.log((1 - cold) / (1 - rate))
