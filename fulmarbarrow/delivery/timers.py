"""Timer queue for open requests."""

from __future__ import annotations

import collections.abc
import datetime
import heapq
import itertools

from fulmarbarrow.delivery import messages
from fulmarbarrow import message


class TimerQueue:
    """A priority queue of request ids by due time.

    At most one wake-up is armed, for the earliest due time.
    """

    def __init__(self) -> None:
        self._queue: list[tuple[datetime.datetime, int, str]] = []
        self._sequence = itertools.count()
        self._armed_at: datetime.datetime | None = None

    def __len__(self) -> int:
        """Return the number of pending timers."""
        return len(self._queue)

    def add(self, at: datetime.datetime, request_id: str) -> None:
        """Add a timer for a request."""
        heapq.heappush(self._queue, (at, next(self._sequence), request_id))

    def pop_due(self, now: datetime.datetime) -> collections.abc.Iterator[str]:
        """Remove the expired timers and yield their request ids."""
        if self._armed_at is not None and self._armed_at <= now:
            self._armed_at = None
        while self._queue and self._queue[0][0] <= now:
            yield heapq.heappop(self._queue)[2]

    def arm_wake(self) -> list[message.Message]:
        """Request a wake-up for the next due time unless one is armed."""
        if not self._queue:
            return []
        at = self._queue[0][0]
        if self._armed_at is not None and self._armed_at <= at:
            return []
        self._armed_at = at
        return [messages.WakeRequested(at=at)]
