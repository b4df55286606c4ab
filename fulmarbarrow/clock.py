"""Clock interface, injected into every component that needs the time."""

from __future__ import annotations

import datetime
import time
import typing


class Clock(typing.Protocol):
    """A source of the current time that never goes backward in a process."""

    def now(self) -> datetime.datetime:
        """Return the current time as an aware UTC datetime."""


class SystemClock:
    """Wall-clock time at construction plus the boot time elapsed since.

    The wall clock is read only once, so that a later adjustment neither
    shortens nor lengthens a lease or a timeout. CLOCK_BOOTTIME, unlike
    CLOCK_MONOTONIC, advances while the machine is suspended, so that leases
    expire during a suspension.
    """

    def __init__(self) -> None:
        self._start = datetime.datetime.now(datetime.UTC)
        self._origin = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the current time as an aware UTC datetime."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._origin
        return self._start + datetime.timedelta(seconds=elapsed)


class ManualClock:
    """A clock that advances only on request, for tests and replays."""

    def __init__(self, *, start: datetime.datetime | None = None) -> None:
        self._now = start or datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Return the time that was last set."""
        return self._now

    def advance(self, step: datetime.timedelta) -> datetime.datetime:
        """Advance by ``step`` and return the new time."""
        self._now += step
        return self._now
