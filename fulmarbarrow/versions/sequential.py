"""Sequential tests that compare a new version with the old one."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import math

LOG_THRESHOLD = math.log(1e6)  # one false alarm in a million attempts
REFERENCE_SIZE = 200  # attempts
REFERENCE_MINIMUM = 20  # attempts
REFERENCE_QUANTILE = 0.8
REFERENCE_REFRESH = 16  # attempts between two updates of the quantile
REFERENCE_MAX_AGE = datetime.timedelta(seconds=60)
SLOW_FACTOR = 1.25  # multiple of the reference quantile
SLOW_FACTOR_STALE = 2.0
ACCEPTABLE_SLOW_RATE = 0.35
DETECTABLE_SLOW_RATE = 0.8
ACCEPTABLE_ERROR_FLOOR = 0.02
ACCEPTABLE_ERROR_CEILING = 0.5
ACCEPTABLE_ERROR_FACTOR = 2.0  # multiple of the old version's error rate
DETECTABLE_ERROR_FACTOR = 8.0  # multiple of the acceptable rate
DETECTABLE_ERROR_CEILING = 0.9
OLD_DECAY = 0.995  # weight of earlier attempts per new attempt
OLD_PRIOR_ATTEMPTS = 50.0


class Cusum:
    """Page's cumulative sum (CUSUM) test for the rate of bad attempts.

    It detects a change at any time, so that a fault that appears late is
    found as fast as one that is there from the start. With threshold ``h``
    the mean number of attempts until a false alarm is at least ``exp(h)``.
    """

    def __init__(self, *, threshold: float = LOG_THRESHOLD) -> None:
        self._threshold = threshold
        self._sum = 0.0

    @property
    def value(self) -> float:
        """The cumulative sum as a fraction of the threshold."""
        return self._sum / self._threshold

    def update(
        self,
        *,
        attempts: int,
        bad: int,
        acceptable_rate: float,
        detectable_rate: float,
    ) -> bool:
        """Add attempts and return whether the threshold is reached."""
        gain = math.log(detectable_rate / acceptable_rate)
        loss = math.log((1 - detectable_rate) / (1 - acceptable_rate))
        change = bad * gain + (attempts - bad) * loss
        self._sum = max(0.0, self._sum + change)
        return self._sum >= self._threshold


class ErrorRates:
    """Error rates to test for, from the old version's recent errors."""

    def __init__(self) -> None:
        self._attempts = 0.0
        self._errors = 0.0

    @property
    def acceptable(self) -> float:
        """The error rate that is acceptable for the new version.

        It never falls below a floor, even if the old version has no errors.
        """
        rate = self._errors / (self._attempts + OLD_PRIOR_ATTEMPTS)
        allowed = max(ACCEPTABLE_ERROR_FLOOR, ACCEPTABLE_ERROR_FACTOR * rate)
        return min(ACCEPTABLE_ERROR_CEILING, allowed)

    @property
    def detectable(self) -> float:
        """The error rate that the test must detect."""
        return min(
            DETECTABLE_ERROR_CEILING, DETECTABLE_ERROR_FACTOR * self.acceptable
        )

    def add(self, *, attempts: int, errors: int) -> None:
        """Add attempts of the old version."""
        decay = OLD_DECAY**attempts
        self._attempts = self._attempts * decay + attempts
        self._errors = self._errors * decay + errors


class LatencyReference:
    """Recent durations of the old version, as a reference for the new one.

    While both versions run, a change in load affects both. Once the old
    version no longer runs, the reference is stale and only a larger
    difference counts as slow.
    """

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(
            maxlen=REFERENCE_SIZE
        )
        self._quantile = 0.0
        self._added_since_refresh = 0
        self._last_added_at: datetime.datetime | None = None

    def add(
        self, duration: datetime.timedelta, now: datetime.datetime
    ) -> None:
        """Add a duration of the old version."""
        self._recent.append(duration.total_seconds())
        self._last_added_at = now
        self._added_since_refresh += 1
        few = len(self._recent) <= REFERENCE_MINIMUM
        if few or self._added_since_refresh >= REFERENCE_REFRESH:
            self._refresh()

    def is_slow(
        self, duration: datetime.timedelta, now: datetime.datetime
    ) -> bool | None:
        """Return whether a duration of the new version is slow.

        Returns None if there are too few durations of the old version.
        """
        if (
            len(self._recent) < REFERENCE_MINIMUM
            or self._last_added_at is None
        ):
            return None
        fresh = now - self._last_added_at <= REFERENCE_MAX_AGE
        factor = SLOW_FACTOR if fresh else SLOW_FACTOR_STALE
        return duration.total_seconds() > self._quantile * factor

    def _refresh(self) -> None:
        self._added_since_refresh = 0
        ordered = sorted(self._recent)
        index = int(REFERENCE_QUANTILE * (len(ordered) - 1))
        self._quantile = ordered[index]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Counts:
    """Counts of attempts of both versions, to add to a comparison."""

    attempts: int = 0
    errors: int = 0
    old_attempts: int = 0
    old_errors: int = 0
    judged_first: int = 0
    slow_first: int = 0
    judged_between: int = 0
    slow_between: int = 0


class Comparison:
    """All tests for one route of one version move."""

    def __init__(self) -> None:
        self._error_rates = ErrorRates()
        self._error_test = Cusum()
        self._first_token_test = Cusum()
        self._between_tokens_test = Cusum()

    @property
    def evidence(self) -> float:
        """The strongest evidence of a fault; 1 means that one was detected."""
        return max(
            self._error_test.value,
            self._first_token_test.value,
            self._between_tokens_test.value,
        )

    def add(self, counts: Counts) -> str:
        """Add attempts; return the detected fault, if any."""
        self._error_rates.add(
            attempts=counts.old_attempts, errors=counts.old_errors
        )
        if self._error_test.update(
            attempts=counts.attempts,
            bad=counts.errors,
            acceptable_rate=self._error_rates.acceptable,
            detectable_rate=self._error_rates.detectable,
        ):
            return "errors"
        if self._test_latency(
            self._first_token_test, counts.judged_first, counts.slow_first
        ):
            return "slow first token"
        if self._test_latency(
            self._between_tokens_test,
            counts.judged_between,
            counts.slow_between,
        ):
            return "slow between tokens"
        return ""

    @staticmethod
    def _test_latency(test: Cusum, judged: int, slow: int) -> bool:
        return test.update(
            attempts=judged,
            bad=slow,
            acceptable_rate=ACCEPTABLE_SLOW_RATE,
            detectable_rate=DETECTABLE_SLOW_RATE,
        )
