"""The event loop, with timers that follow no change of the time of day."""

from __future__ import annotations

import time

from twisted.internet import epollreactor
from twisted.internet import main


class SteadyReactor(epollreactor.EPollReactor):
    """An epoll reactor whose timers go by the monotonic counter.

    Twisted's own go by the time of day: a step of it would fire them all at
    once, or hold them back.
    """

    def seconds(self) -> float:
        """Return the time that timers are compared with."""
        return time.monotonic()


def install() -> SteadyReactor:
    """Make the event loop of this process, and return it."""
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
