"""Which incarnation of an upstream a stand-in is."""

from __future__ import annotations

import datetime

from fulmarbarrow import clock as clocks


class Identity:
    """The time of a stand-in's start, which is also its incarnation."""

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()

    @property
    def started_at(self) -> datetime.datetime:
        """When the incarnation started."""
        return self._started_at

    @property
    def incarnation(self) -> int:
        """The incarnation, which grows with each start."""
        return int(self._started_at.timestamp() * 1000)

    def restart(self) -> None:
        """Go on as a new incarnation."""
        self._started_at = self._clock.now()
