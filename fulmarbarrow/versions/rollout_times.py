"""Logarithmic classes of times, and their comparison between versions."""

from __future__ import annotations

import collections
import datetime
import enum
import math

FACTOR = 1.15  # between two classes
MAX_CLASS = 120  # about 5 hours
MILLISECOND = datetime.timedelta(milliseconds=1)
REFERENCE_MINIMUM = 20.0  # attempts of the old version
# Attempts after which earlier ones count half, so that both versions are
# compared under the same load.
REFERENCE_SIZE = 400.0
REFERENCE_QUANTILE = 0.8
SLOW_CLASSES = 2  # classes above the quantile: 1.15 to 1.5 times as long


class Metric(enum.IntEnum):
    """What is measured of an attempt."""

    FIRST = 0
    FIRST_REUSED = 1  # with a part of the prompt in the cache
    GAP = 2
    WHOLE = 3  # of a response that is no stream
    WHOLE_STREAM = 4


def time_class(duration: datetime.timedelta) -> int:
    """Return the class of a time."""
    units = max(1.0, duration / MILLISECOND)
    return min(MAX_CLASS, int(math.log(units) / math.log(FACTOR)))


def class_time(number: int) -> datetime.timedelta:
    """Return the upper end of a class."""
    return FACTOR ** (number + 1) * MILLISECOND


class Reference:
    """Recent times of the old version."""

    def __init__(self) -> None:
        self._weights: collections.Counter[int] = collections.Counter()

    @property
    def total(self) -> float:
        """The number of attempts, earlier ones counted less."""
        return sum(self._weights.values())

    def add(self, counts: tuple[tuple[int, int], ...]) -> None:
        """Add attempts by class."""
        for number, count in counts:
            self._weights[number] += count
        if self.total > REFERENCE_SIZE:
            for number in self._weights:
                self._weights[number] /= 2

    def quantile(self, fraction: float) -> int | None:
        """Return the class of a quantile, None without enough attempts."""
        total = self.total
        if total < REFERENCE_MINIMUM:
            return None
        below = 0.0
        for number in sorted(self._weights):
            below += self._weights[number]
            if below >= fraction * total:
                return number
        return None

    def judge(self, counts: tuple[tuple[int, int], ...]) -> tuple[int, int]:
        """Return how many attempts can be judged, and how many were slow."""
        limit = self.quantile(REFERENCE_QUANTILE)
        if limit is None:
            return 0, 0
        judged = sum(count for _, count in counts)
        slow = sum(
            count for number, count in counts if number > limit + SLOW_CLASSES
        )
        return judged, slow
