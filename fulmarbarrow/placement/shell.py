"""Timer of the placement core."""

from __future__ import annotations

import datetime
import typing

from twisted.internet import interfaces

from fulmarbarrow import bus as buses
from fulmarbarrow.placement import messages

# Messages after which an attempt, a queue or a release may wait for a tick.
WORK_MESSAGES = (
    messages.PlaceRequest,
    messages.Reserve,
    messages.ReserveRefused,
    messages.WorkEnded,
    messages.LoadStated,
    messages.PlaceCancelled,
)


class Active(typing.Protocol):
    """Tells whether something waits for the next tick."""

    @property
    def active(self) -> bool:
        """Whether an attempt, a queue or a release waits."""


class TickScheduler:
    """Posts ``PlacementTick`` often while work waits, rarely otherwise.

    In a large fleet most routers have nothing that waits most of the time,
    and each turn of the loop costs them processor time.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        bus: buses.Bus,
        core: Active,
        busy_interval: datetime.timedelta,
        idle_interval: datetime.timedelta,
    ) -> None:
        self._reactor = reactor
        self._bus = bus
        self._core = core
        self._busy_seconds = busy_interval.total_seconds()
        self._idle_seconds = idle_interval.total_seconds()
        self._call: interfaces.IDelayedCall | None = None

    def start(self) -> None:
        """Begin to tick."""
        for kind in WORK_MESSAGES:
            self._bus.subscribe(kind, self._work_came)
        self._call = self._reactor.callLater(0, self._tick)

    def stop(self) -> None:
        """Tick no more."""
        call, self._call = self._call, None
        if call is not None:
            call.cancel()

    def _work_came(self, event: object, now: datetime.datetime) -> None:
        call = self._call
        if call is None:
            return
        left = call.getTime() - self._reactor.seconds()
        if left > self._busy_seconds:
            call.reset(self._busy_seconds)

    def _tick(self) -> None:
        # Planned first: a tick that fails must not be the last one.
        self._call = self._reactor.callLater(self._idle_seconds, self._tick)
        self._bus.post(messages.PlacementTick())
        if self._call is not None and self._core.active:
            self._call.reset(self._busy_seconds)
