"""Binds all of a daemon's ports before any of them serves."""

from __future__ import annotations

import collections.abc
import logging
import typing

from twisted.internet import defer
from twisted.internet import error as internet_errors
from twisted.internet import interfaces

from fulmarbarrow.config import options
from fulmarbarrow.edge import site as sites
from fulmarbarrow.wire import transport as transports

log = logging.getLogger(__name__)

BACKLOG = 256  # connections that the kernel may hold until they are accepted


class Listeners:
    """The HTTP ports and the peers' port of one daemon."""

    def __init__(
        self, *, reactor: typing.Any, transport: transports.Transport
    ) -> None:
        self._reactor = reactor
        self._transport = transport
        self._wanted: list[tuple[str, options.Address, sites.BoundedSite]] = []
        self._ports: dict[str, interfaces.IListeningPort] = {}

    def add(
        self, name: str, address: options.Address, site: sites.BoundedSite
    ) -> None:
        """Serve a site at the address of the setting ``listen.NAME``."""
        self._wanted.append((name, address, site))

    def bind(self) -> dict[str, str]:
        """Bind every port; return what failed by setting.

        If any fails, none stays bound.
        """
        failed = dict(self._bind())
        if failed:
            self.close()
        return failed

    def stop_accepting(self, name: str) -> None:
        """Refuse connections to one port from now on.

        Those that wait to be accepted are accepted right before: the kernel
        resets them when the port is closed, and their requests may be sent.
        """
        port = self._ports.pop(name, None)
        if port is None:
            return
        port.numberAccepts = BACKLOG
        # Runs just before the port is closed, in the same turn of the loop.
        self._reactor.callLater(0, port.doRead)
        stopped = defer.maybeDeferred(port.stopListening)
        stopped.addErrback(
            lambda failure: log.error(
                "port not closed",
                extra={"port": name, "reason": failure.getErrorMessage()},
            )
        )

    def close(self) -> defer.Deferred[typing.Any]:
        """Stop to listen."""
        stopped = [
            defer.maybeDeferred(port.stopListening)
            for port in self._ports.values()
        ]
        self._ports.clear()
        self._transport.stop()
        return defer.DeferredList(stopped)

    def _bind(self) -> collections.abc.Iterator[tuple[str, str]]:
        for name, address, site in self._wanted:
            try:
                port = self._reactor.listenTCP(
                    address.port,
                    site,
                    backlog=BACKLOG,
                    interface=address.host,
                )
            except internet_errors.CannotListenError as error:
                yield f"listen.{name}", f"{address}: {error.socketError}"
                continue
            self._ports[name] = port
        failure = self._transport.start()
        if failure:
            yield "listen.peers", failure
