"""Bounds on what clients of all ports of a process can use up."""

from __future__ import annotations

import collections
import contextlib
import datetime
import itertools
import logging
import pathlib
import resource
import typing

from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.edge import held_bytes
from fulmarbarrow.observe import metrics as metrics_module

log = logging.getLogger(__name__)

# Memory that the process itself needs, with its records and connections.
OWN_BYTES = 96 << 20
# Of the remaining memory; the rest is for copies in buffers and for the
# fragmentation of the heap.
HELD_FRACTION = 0.5
LEAST_HELD_BYTES = 8 << 20
MOST_HELD_BYTES = 256 << 20
# Of the descriptors; the rest is for upstreams, other daemons and files.
CONNECTIONS_FRACTION = 0.5
# Headers and pieces of a later request that a connection may have sent.
CONNECTION_BYTES = 32 << 10
LEAST_CONNECTIONS = 16
# Of the connections, for one address.
ADDRESS_FRACTION = 0.75
# Idle connections that are looked at to close one.
MAX_LOOKED_AT = 64
# Time in which the headers of a request have to arrive.
HEADER_TIME = datetime.timedelta(seconds=10)
REVIEW_INTERVAL = datetime.timedelta(milliseconds=250)
_MEMORY_INFO = pathlib.Path("/proc/meminfo")


class Receiving(typing.Protocol):
    """A request whose body is being received."""

    def pause_body(self) -> None:
        """Stop reading the body."""

    def resume_body(self) -> None:
        """Continue reading the body."""

    def refuse_body(self) -> None:
        """Refuse the request, which has not run."""


class Connection(typing.Protocol):
    """A connection of a client."""

    @property
    def address(self) -> str:
        """The address of the client."""

    @property
    def drained(self) -> bool:
        """Whether the client has got all that was written."""

    def abort_idle(self) -> None:
        """Close the connection, which has no request in progress."""


def host_memory_bytes() -> int:
    """Return the memory of the host, 0 if the system does not tell it."""
    with contextlib.suppress(OSError, ValueError):
        for line in _MEMORY_INFO.read_text().splitlines():
            name, _, value = line.partition(":")
            if name == "MemTotal":
                return int(value.split()[0]) << 10
    return 0


def held_limit_bytes(memory_bytes: int, largest_body_bytes: int) -> int:
    """Return the budget of all bodies on a host with this much memory.

    One body of the largest size always fits.
    """
    left = int((memory_bytes - OWN_BYTES) * HELD_FRACTION)
    limit = min(max(left, LEAST_HELD_BYTES), MOST_HELD_BYTES)
    return max(limit, largest_body_bytes + held_bytes.SMALL_BYTES)


def connection_limit(memory_bytes: int, descriptors: int) -> int:
    """Return how many connections of clients fit beside everything else."""
    left = (memory_bytes - OWN_BYTES) * (1 - HELD_FRACTION)
    fitting = min(left / CONNECTION_BYTES, descriptors * CONNECTIONS_FRACTION)
    return max(LEAST_CONNECTIONS, int(fitting))


class Guard:
    """Keeps the bodies and connections of all clients within bounds.

    Reading a body pauses while there is no memory for it. Above the limit on
    connections, the one that has been without a request for longest is
    closed, among those of the same address if that has too many.
    """

    def __init__(
        self,
        *,
        reactor: typing.Any,
        clock: clocks.Clock,
        limits: defaults.LimitsSection,
        metrics: metrics_module.Metrics,
        largest_body_bytes: int,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._metrics = metrics
        memory = limits.memory_bytes or host_memory_bytes()
        self._held = held_bytes.HeldBytes(
            limit_bytes=held_limit_bytes(memory, largest_body_bytes)
        )
        self._max_connections = limits.max_connections or connection_limit(
            memory, resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )
        # In the order in which they were last without a request.
        self._idle: dict[Connection, None] = {}
        self._connections: collections.Counter[str] = collections.Counter()
        self._reviewing = False

    def dump(self) -> dict[str, int]:
        """Return what is in use, and the limits."""
        return {
            "connections": self._connections.total(),
            "max_connections": self._max_connections,
            "bodies": len(self._held),
            "body_bytes": self._held.used_bytes,
            "max_body_bytes": self._held.limit_bytes,
        }

    def now(self) -> datetime.datetime:
        """Return the time."""
        return self._clock.now()

    def connected(self, connection: Connection) -> bool:
        """Count a connection; return False if there are too many."""
        address = connection.address
        of_address = ADDRESS_FRACTION * self._max_connections
        crowded = self._connections[address] >= of_address
        if crowded or self._connections.total() >= self._max_connections:
            oldest = self._oldest_idle(address if crowded else "")
            if oldest is None:
                self._metrics.count("connections_refused")
                return False
            del self._idle[oldest]
            self._metrics.count("idle_connections_closed")
            oldest.abort_idle()
        self._connections[address] += 1
        self._idle[connection] = None
        return True

    def disconnected(self, connection: Connection) -> None:
        """Forget a connection that was counted."""
        address = connection.address
        self._connections[address] -= 1
        if not self._connections[address]:
            del self._connections[address]
        self._idle.pop(connection, None)

    def busy(self, connection: Connection) -> None:
        """Record that a connection has a complete request in progress."""
        self._idle.pop(connection, None)

    def idle(self, connection: Connection) -> None:
        """Record that a connection has no request in progress any more."""
        self._idle[connection] = None

    def reserve(
        self, request: Receiving, address: str, total: int
    ) -> held_bytes.Verdict:
        """Reserve memory for a body; pauses or refuses its request."""
        now = self._clock.now()
        decision = self._held.reserve(request, address, total, now)
        for evicted in decision.evicted:
            self._refuse(evicted)
        if decision.verdict is held_bytes.Verdict.WAIT:
            self._metrics.count("bodies_paused")
            request.pause_body()
            self._review_later()
        elif decision.verdict is held_bytes.Verdict.REFUSED:
            self._refuse(request)
        return decision.verdict

    def progress(self, request: Receiving, received: int) -> None:
        """Record that ``received`` bytes of a body have arrived in all."""
        self._held.progress(request, received, self._clock.now())

    def complete(self, request: Receiving, received: int) -> None:
        """Record that a body has arrived completely."""
        self._held.complete(request, received)

    def release(self, request: Receiving) -> None:
        """Release the memory of a request's body."""
        self._held.release(request)

    def _oldest_idle(self, address: str) -> Connection | None:
        """Return the connection to close, of an address unless it is ""."""
        idle = (
            connection
            for connection in self._idle
            if not address or connection.address == address
        )
        for connection in itertools.islice(idle, MAX_LOOKED_AT):
            if connection.drained:
                return connection
        return None

    def _refuse(self, request: Receiving) -> None:
        self._metrics.count("bodies_refused")
        request.refuse_body()

    def _review_later(self) -> None:
        if not self._reviewing:
            self._reviewing = True
            self._reactor.callLater(
                REVIEW_INTERVAL.total_seconds(), self._review
            )

    def _review(self) -> None:
        self._reviewing = False
        review = self._held.review(self._clock.now())
        for request in review.refused:
            self._refuse(request)
        for request in review.granted:
            request.resume_body()
        if self._held.waiting:
            self._review_later()
