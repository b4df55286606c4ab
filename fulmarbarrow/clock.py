"""The clock interface that is passed to everything that needs the time."""

from __future__ import annotations

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Gives the current time; never goes backward within a process."""

    def now(self) -> datetime.datetime:
        """Return the current time as an aware UTC datetime."""


class SystemClock:
    """The machine's time, advanced by its time since boot.

    The wall clock is read once, at construction, so that a later change of
    the wall clock neither shortens nor lengthens a lease or a timeout. Unlike
    the monotonic counter, the time since boot counts while the machine is
    suspended, so that leases end meanwhile.
    """

    def __init__(self) -> None:
        self._start = datetime.datetime.now(datetime.UTC)
        self._origin = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the current time as an aware UTC datetime."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._origin
        return self._start + datetime.timedelta(seconds=elapsed)


class ManualClock:
    """A clock that moves only when told to; for tests and replays."""

    def __init__(self, *, start: datetime.datetime | None = None) -> None:
        self._now = start or datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Return the time last set."""
        return self._now

    def advance(self, step: datetime.timedelta) -> datetime.datetime:
        """Move forward by ``step`` and return the new time."""
        self._now += step
        return self._now
