"""Pooled connections to upstreams that can be given up by their age."""

from __future__ import annotations

import collections
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import client as web_client

CONNECTIONS_PER_UPSTREAM = 256
IDLE_TIMEOUT_SECONDS = 60

Gate = typing.Callable[[], None]


class GatedPool(web_client.HTTPConnectionPool):
    """A pool that asks a gate at the moment before a request is written.

    The gate runs when the connection is there, in the same turn in which
    the request's first byte is written; it raises to stop the request.
    Connections are kept by upstream and generation: those of an earlier
    generation are never reused.
    """

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        super().__init__(reactor)
        self.maxPersistentPerHost = CONNECTIONS_PER_UPSTREAM
        self.cachedConnectionTimeout = IDLE_TIMEOUT_SECONDS
        self.retryAutomatically = False
        self._generations: collections.Counter[bytes] = collections.Counter()
        self._gate: Gate | None = None

    def suspect(self, host: bytes, port: int) -> None:
        """Reuse none of the connections that are open now."""
        self._generations[b"%s:%d" % (host, port)] += 1

    def with_gate(self, gate: Gate, send: typing.Callable) -> typing.Any:
        """Call ``send``, whose request passes through ``gate``."""
        self._gate = gate
        try:
            return send()
        finally:
            self._gate = None

    def getConnection(  # noqa: N802
        self,
        key: tuple[bytes, bytes, int],
        endpoint: interfaces.IStreamClientEndpoint,
    ) -> defer.Deferred[typing.Any]:
        """Return a connection of the newest generation, past the gate."""
        gate = self._gate
        _, host, port = key
        generation = self._generations[b"%s:%d" % (host, port)]
        connected = super().getConnection((*key, generation), endpoint)
        if gate is not None:
            connected.addCallback(self._pass, gate)
        return connected

    @staticmethod
    def _pass(connection: typing.Any, gate: Gate) -> typing.Any:
        try:
            gate()
        except Exception:
            connection.abort()
            raise
        return connection
