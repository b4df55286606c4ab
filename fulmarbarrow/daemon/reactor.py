"""The event loop, with timers that follow no change of the time of day."""

from __future__ import annotations

import time
import typing

from twisted.internet import epollreactor
from twisted.internet import main
from twisted.python import log as twisted_log

if typing.TYPE_CHECKING:
    from twisted.internet import interfaces

CLOSED = -1  # what a descriptor that was closed gives as its number


class SteadyReactor(epollreactor.EPollReactor):
    """An epoll reactor with steady timers that writes without asking first.

    Timers go by the monotonic counter. Twisted's own go by the time of day: a
    step of it would fire them all at once, or hold them back.

    What a turn of the loop has written is sent at its end. Only a connection
    whose buffer is then not empty is watched for room; most writes are small,
    and watching costs two system calls and another turn for each.
    """

    def __init__(self) -> None:
        self._unsent: dict[interfaces.IWriteDescriptor, None] = {}
        super().__init__()

    def seconds(self) -> float:
        """Return the time that timers are compared with."""
        return time.monotonic()

    def addWriter(  # noqa: N802
        self, writer: interfaces.IWriteDescriptor
    ) -> None:
        """Send what a connection has at the end of this turn."""
        # A connection that is still being opened waits for the kernel.
        opened = getattr(writer, "connected", False)
        if opened and writer.fileno() not in self._writes:
            self._unsent[writer] = None
        else:
            super().addWriter(writer)

    def removeWriter(  # noqa: N802
        self, writer: interfaces.IWriteDescriptor
    ) -> None:
        """Send nothing more of a connection."""
        self._unsent.pop(writer, None)
        super().removeWriter(writer)

    def removeAll(self) -> list[typing.Any]:  # noqa: N802
        """Remove and return all descriptors, those to be sent included."""
        unsent, self._unsent = self._unsent, {}
        return list({*super().removeAll(), *unsent})

    def getWriters(self) -> list[typing.Any]:  # noqa: N802
        """Return the descriptors that have something to send."""
        return list({*super().getWriters(), *self._unsent})

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Send what was written, then wait for events."""
        if self._unsent:
            self._send_unsent()
            # Sending may have made calls due, or written more.
            due = 0.0 if self._unsent else self.timeout()
            if due is not None:
                timeout = due if timeout is None else min(timeout, due)
        super().doPoll(timeout)

    doIteration = doPoll  # noqa: N815

    def _send_unsent(self) -> None:
        for writer in list(self._unsent):
            descriptor = writer.fileno()
            if descriptor != CLOSED and writer in self._unsent:
                twisted_log.callWithLogger(
                    writer,
                    self._doReadOrWrite,
                    writer,
                    descriptor,
                    self._POLL_OUT,
                )
            # A connection that has sent everything has removed itself.
            if writer in self._unsent:
                del self._unsent[writer]
                if writer.fileno() != CLOSED:
                    super().addWriter(writer)


def install() -> SteadyReactor:
    """Make the event loop of this process, and return it."""
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
