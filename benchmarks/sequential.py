"""The cumulative sum test beside a test of fixed windows of ours."""

from __future__ import annotations

import random
import statistics

from benchmarks import measure as measures
from fulmarbarrow.versions import sequential

COMMAND = "python -m benchmarks sequential"
SEED = 7
WINDOW = 100  # attempts
GOOD_ERRORS = 0.01
GOOD_RUNS = 200
GOOD_ATTEMPTS = 20_000
BAD_RUNS = 200
BAD_LIMIT = 20_000


class FixedWindow:
    """Compares the errors of both versions in windows of a fixed size."""

    def __init__(self) -> None:
        self._attempts = self._new = self._old = 0

    def add(self, counts: sequential.Counts) -> str:
        """Add attempts; return the fault that a full window shows."""
        self._attempts += counts.attempts
        self._new += counts.errors
        self._old += counts.old_errors
        if self._attempts < WINDOW:
            return ""
        bad = self._new > 2 * self._old + 3
        self._attempts = self._new = self._old = 0
        return "errors" if bad else ""


def measure() -> list[measures.Measure]:
    """Measure false alarms and attempts to detection of both tests."""
    rows = []
    for name, kind in (
        ("cumulative sum", sequential.Comparison),
        ("fixed windows", FixedWindow),
    ):
        alarms = sum(
            _run(kind(), random.Random(SEED + run), GOOD_ERRORS, GOOD_ATTEMPTS)
            is not None
            for run in range(GOOD_RUNS)
        )
        rows.append(
            _row(
                f"{name}: good runs of 20,000 attempts with an alarm",
                alarms / GOOD_RUNS,
                "share",
                0.01 if kind is sequential.Comparison else None,
            )
        )
        rows.extend(_detection(name, kind, errors) for errors in (0.1, 0.5))
    return rows


def _detection(name: str, kind: type, errors: float) -> measures.Measure:
    found = [
        _run(kind(), random.Random(SEED + run), errors, BAD_LIMIT) or BAD_LIMIT
        for run in range(BAD_RUNS)
    ]
    return _row(
        f"{name}: median attempts to find {errors:.0%} errors",
        statistics.median(found),
        "attempts",
    )


def _run(
    test: sequential.Comparison | FixedWindow,
    source: random.Random,
    errors: float,
    limit: int,
) -> int | None:
    """Return the attempts until an alarm, None without one."""
    for number in range(1, limit + 1):
        counts = sequential.Counts(
            attempts=1,
            errors=int(source.random() < errors),
            old_attempts=1,
            old_errors=int(source.random() < GOOD_ERRORS),
        )
        if test.add(counts):
            return number
    return None


def _row(
    name: str, value: float, unit: str, target: float | None = None
) -> measures.Measure:
    return measures.Measure(
        slice="versions",
        name=name,
        value=value,
        unit=unit,
        target=target,
        seed=SEED,
        command=COMMAND,
    )
