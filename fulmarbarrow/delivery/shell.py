"""Reactor timers for the delivery core."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow import bus as buses
from fulmarbarrow.delivery import messages

MARGIN_SECONDS = 0.001


class WakeScheduler:
    """Posts a ``Wake`` at the time of each ``WakeRequested``."""

    def __init__(self, *, reactor: typing.Any, bus: buses.Bus) -> None:
        self._reactor = reactor
        self._bus = bus
        bus.subscribe(messages.WakeRequested, self._schedule)

    def _schedule(
        self, event: messages.WakeRequested, now: datetime.datetime
    ) -> None:
        delay = max(0.0, (event.at - now).total_seconds())
        self._reactor.callLater(
            delay + MARGIN_SECONDS, self._bus.post, messages.Wake()
        )
