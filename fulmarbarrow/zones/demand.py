"""Measures offered load by service and worth per token."""

from __future__ import annotations

import collections
import collections.abc
import datetime
import math

from fulmarbarrow.zones import messages

WINDOW = datetime.timedelta(seconds=1)
WINDOWS = 30
LEVELS_PER_DOUBLING = 8

Steps = dict[str, collections.Counter[int]]


class DemandMeter:
    """Mean tokens per second offered here over the last ``WINDOWS``."""

    def __init__(self) -> None:
        self._windows: collections.deque[Steps] = collections.deque(
            maxlen=WINDOWS
        )
        self._current: Steps = {}
        self._started: datetime.datetime | None = None

    def count(self, service: str, *, cost: int, worth: float) -> None:
        """Count an arriving request, whether or not it is admitted."""
        step = messages.density_step(worth=worth, cost=cost)
        self._current.setdefault(service, collections.Counter())[step] += cost

    def tick(self, now: datetime.datetime) -> None:
        """Close every window that has ended."""
        if self._started is None:
            self._started = now
        while now - self._started >= WINDOW:
            self._windows.append(self._current)
            self._current = {}
            self._started += WINDOW

    def services(self) -> tuple[messages.ServiceDemand, ...]:
        """Return the mean demand for each service."""
        count = max(1, len(self._windows))
        mean: Steps = {}
        for service, steps in add(self._windows).items():
            mean[service] = collections.Counter(
                {step: round(tokens / count) for step, tokens in steps.items()}
            )
        return pack(mean)


def add(parts: collections.abc.Iterable[Steps]) -> Steps:
    """Return the sum of several demands by service and step."""
    total: Steps = {}
    for part in parts:
        for service, steps in part.items():
            total.setdefault(service, collections.Counter()).update(steps)
    return total


def unpack(
    services: collections.abc.Iterable[messages.ServiceDemand],
) -> Steps:
    """Decode the form used in messages."""
    return {
        item.service: collections.Counter(
            {
                item.first_step + place: _tokens(level)
                for place, level in enumerate(item.levels)
                if level
            }
        )
        for item in services
    }


def pack(steps: Steps) -> tuple[messages.ServiceDemand, ...]:
    """Encode a demand in the form used in messages."""
    return tuple(
        messages.ServiceDemand(
            service=service,
            first_step=min(found),
            levels=bytes(
                _level(found[step])
                for step in range(min(found), max(found) + 1)
            ),
        )
        for service, found in sorted(steps.items())
        if found
    )


def _level(tokens: int) -> int:
    """Encode tokens per second as a logarithmic level; at most 6% off.

    0 stands for no tokens.
    """
    if tokens <= 0:
        return 0
    return min(255, 1 + round(LEVELS_PER_DOUBLING * math.log2(tokens)))


def _tokens(level: int) -> int:
    """Decode a level into tokens per second."""
    return round(2 ** ((level - 1) / LEVELS_PER_DOUBLING))
