"""Measures offered load by service and worth per token."""

from __future__ import annotations

import collections
import collections.abc
import datetime
import math

from fulmarbarrow.zones import messages

WINDOW_LENGTH = datetime.timedelta(seconds=1)
WINDOW_COUNT = 30
LEVELS_PER_DOUBLING = 8

DemandSteps = dict[str, collections.Counter[int]]


class DemandMeter:
    """Measures the mean tokens per second offered to this router.

    The mean is taken over the last ``WINDOW_COUNT`` windows.
    """

    def __init__(self) -> None:
        self._windows: collections.deque[DemandSteps] = collections.deque(
            maxlen=WINDOW_COUNT
        )
        self._current: DemandSteps = {}
        self._window_start: datetime.datetime | None = None

    def count(self, service: str, *, cost: int, worth: float) -> None:
        """Count an arriving request, whether or not it is admitted."""
        step = messages.density_step(worth=worth, cost=cost)
        self._current.setdefault(service, collections.Counter())[step] += cost

    def tick(self, now: datetime.datetime) -> None:
        """Close every window that has ended."""
        if self._window_start is None:
            self._window_start = now
        while now - self._window_start >= WINDOW_LENGTH:
            self._windows.append(self._current)
            self._current = {}
            self._window_start += WINDOW_LENGTH

    def by_service(self) -> tuple[messages.ServiceDemand, ...]:
        """Return the mean demand for each service."""
        count = max(1, len(self._windows))
        mean: DemandSteps = {}
        for service, steps in sum_steps(self._windows).items():
            mean[service] = collections.Counter(
                {step: round(tokens / count) for step, tokens in steps.items()}
            )
        return encode(mean)


def sum_steps(parts: collections.abc.Iterable[DemandSteps]) -> DemandSteps:
    """Return the sum of several demands by service and step."""
    total: DemandSteps = {}
    for part in parts:
        for service, steps in part.items():
            total.setdefault(service, collections.Counter()).update(steps)
    return total


def decode(
    services: collections.abc.Iterable[messages.ServiceDemand],
) -> DemandSteps:
    """Decode a demand from the form used in messages."""
    return {
        item.service: collections.Counter(
            {
                item.first_step + offset: _decode_rate(level)
                for offset, level in enumerate(item.levels)
                if level
            }
        )
        for item in services
    }


def encode(demand: DemandSteps) -> tuple[messages.ServiceDemand, ...]:
    """Encode a demand in the form used in messages."""
    return tuple(
        messages.ServiceDemand(
            service=service,
            first_step=min(steps),
            levels=bytes(
                _encode_rate(steps[step])
                for step in range(min(steps), max(steps) + 1)
            ),
        )
        for service, steps in sorted(demand.items())
        if steps
    )


def _encode_rate(tokens: int) -> int:
    """Encode tokens per second as a logarithmic level.

    The error is at most 4.5% from 100 tokens per second on. Below that,
    rounding to whole tokens raises it to at most 7.2% (at 14). Level 0
    stands for no tokens.
    """
    if tokens <= 0:
        return 0
    return min(255, 1 + round(LEVELS_PER_DOUBLING * math.log2(tokens)))


def _decode_rate(level: int) -> int:
    """Decode a level into tokens per second."""
    return round(2 ** ((level - 1) / LEVELS_PER_DOUBLING))
