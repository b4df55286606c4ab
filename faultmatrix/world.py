"""Time and the list of what is going to happen."""

from __future__ import annotations

import collections.abc
import datetime
import heapq
import itertools
import random
import typing

from fulmarbarrow import clock as clocks

Action = collections.abc.Callable[..., typing.Any]


class Timeline:
    """Runs actions in the order of their time on a clock of its own."""

    def __init__(self, *, seed: int) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self._numbers = itertools.count()
        self._heap: list[
            tuple[datetime.datetime, int, Action, tuple[typing.Any, ...]]
        ] = []
        self.start = self.clock.now()

    @property
    def now(self) -> datetime.datetime:
        """The present time."""
        return self.clock.now()

    @property
    def elapsed(self) -> datetime.timedelta:
        """The time since the start."""
        return self.clock.now() - self.start

    def after(
        self, delay: datetime.timedelta, action: Action, *args: typing.Any
    ) -> None:
        """Run ``action`` after ``delay``."""
        item = (self.now + delay, next(self._numbers), action, args)
        heapq.heappush(self._heap, item)

    def run(self, length: datetime.timedelta) -> None:
        """Run everything that is due within ``length`` of the start."""
        end = self.start + length
        while self._heap and self._heap[0][0] <= end:
            at, _, action, args = heapq.heappop(self._heap)
            self.clock.advance(at - self.now)
            action(*args)
