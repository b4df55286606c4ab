"""Connects peers that have no path to an upstream with it."""

from __future__ import annotations

import datetime
import logging

from twisted.internet import address as addresses
from twisted.internet import error as internet_errors
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as failures
from zope import interface

from fulmarbarrow import clock as clocks
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.relay import messages
from fulmarbarrow.relay import paths as paths_module
from fulmarbarrow.wire import transport as transports

log = logging.getLogger(__name__)

MAX_RELAYS = 256
# A sound upstream may be silent for a second.
UNACKNOWLEDGED_MS = 2_000


class RelayServer:
    """Relays connections of peers to upstreams, over one hop only.

    What a peer sends goes to the upstream directly, never to another peer,
    and only to an address that membership names as an upstream's.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        clock: clocks.Clock,
        paths: paths_module.Paths,
        metrics: metrics_module.Metrics,
        connect_timeout: datetime.timedelta,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._paths = paths
        self._metrics = metrics
        self._connect_timeout = connect_timeout.total_seconds()
        self._relays: set[Outgoing] = set()
        self._leaving = False

    @property
    def count(self) -> int:
        """The number of connections that are relayed or being opened."""
        return len(self._relays)

    def leave(self) -> None:
        """Relay no further connections; open ones go on."""
        self._leaving = True

    def open(
        self, receiver: transports.Receiver, event: messages.OpenRelay
    ) -> None:
        """Connect a peer's connection with an upstream, or refuse it."""
        code = self._refusal(event)
        if code is not messages.RelayCode.OPENED:
            self._refuse(receiver, event, code)
            return
        outgoing = Outgoing(server=self, incoming=receiver, event=event)
        self._relays.add(outgoing)
        receiver.splice(outgoing)
        outgoing.connect(self._reactor, self._connect_timeout)

    def opened(self, outgoing: Outgoing) -> None:
        """Tell the peer that its connection is the upstream's from now on."""
        event = outgoing.event
        self._paths.connected((event.host, event.port), self._clock.now())
        self._metrics.count("relays_opened")
        outgoing.incoming.answer(
            event.reply_to, messages.RelayOpened(framed=event.framed)
        )

    def failed(self, outgoing: Outgoing) -> None:
        """Tell the peer that this host can't reach the upstream either."""
        self.closed(outgoing)
        event = outgoing.event
        self._paths.failed((event.host, event.port))
        self._refuse(outgoing.incoming, event, messages.RelayCode.UNREACHABLE)

    def closed(self, outgoing: Outgoing) -> None:
        """Forget a connection."""
        self._relays.discard(outgoing)

    def _refusal(self, event: messages.OpenRelay) -> messages.RelayCode:
        place = event.host, event.port
        if self._leaving:
            return messages.RelayCode.LEAVING
        if not self._paths.is_known(place):
            return messages.RelayCode.UNKNOWN_UPSTREAM
        if self._paths.way(place) is paths_module.Way.BY_PEER:
            return messages.RelayCode.CUT_OFF
        if len(self._relays) >= MAX_RELAYS:
            return messages.RelayCode.FULL
        return messages.RelayCode.OPENED

    def _refuse(
        self,
        receiver: transports.Receiver,
        event: messages.OpenRelay,
        code: messages.RelayCode,
    ) -> None:
        receiver.answer(event.reply_to, messages.RelayOpened(code=code))
        receiver.transport.loseConnection()


@interface.implementer(interfaces.IHalfCloseableProtocol)
class Outgoing(protocol.Protocol, protocol.ClientFactory):
    """The connection to the upstream, on behalf of one peer."""

    noisy = False

    def __init__(
        self,
        *,
        server: RelayServer,
        incoming: transports.Receiver,
        event: messages.OpenRelay,
    ) -> None:
        self.event = event
        self.incoming = incoming
        self._server = server
        self._connector: interfaces.IConnector | None = None
        self._bytes = 0
        self._taken_bytes = 0
        self._ended = False

    def connect(self, reactor: interfaces.IReactorTCP, timeout: float) -> None:
        """Connect to the upstream."""
        self._connector = reactor.connectTCP(
            self.event.host, self.event.port, self, timeout=timeout
        )

    def buildProtocol(  # noqa: N802
        self, addr: addresses.IPv4Address
    ) -> Outgoing:
        """Return the only protocol of this connection."""
        return self

    def clientConnectionFailed(  # noqa: N802
        self, connector: interfaces.IConnector, reason: failures.Failure
    ) -> None:
        """Tell the peer, unless it is gone."""
        if not self._ended:
            self._ended = True
            self._server.failed(self)

    def connectionMade(self) -> None:  # noqa: N802
        """Pass bytes on in both directions, at the pace of the slower end."""
        if self._ended:
            self.transport.abortConnection()
            return
        transports.watch_writes(
            self.transport, unacknowledged_ms=UNACKNOWLEDGED_MS
        )
        transports.watch_writes(
            self.incoming.transport, unacknowledged_ms=UNACKNOWLEDGED_MS
        )
        if not self.event.framed:
            # Nothing else marks the upstream's end for an earlier build.
            transports.reset_when_lost(self.incoming.transport, reset=True)
        self.transport.registerProducer(self.incoming.transport, True)
        self.incoming.transport.registerProducer(self.transport, True)
        self._server.opened(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass the upstream's bytes on to the peer."""
        self._bytes += len(data)
        if not self.event.framed:
            self.incoming.transport.write(data)
            return
        for begin in range(0, len(data), messages.MAX_FRAME_BYTES):
            part = data[begin : begin + messages.MAX_FRAME_BYTES]
            self.incoming.sendString(messages.FrameKind.DATA.value + part)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Take the regular end of what the upstream sends."""
        self._taken_bytes -= transports.unsent_bytes(self.transport)
        self.connectionLost()
        self.transport.abortConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this end never closes half of a connection."""

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """End the peer's connection after all bytes of the upstream.

        A reset is told from a regular end, as an answer without a length that
        ends by a reset is not complete.
        """
        self._server.closed(self)
        if self._ended:
            return
        self._ended = True
        self.incoming.transport.unregisterProducer()
        regular = bool(reason.check(internet_errors.ConnectionDone))
        self._log_end("upstream" if regular else "reset")
        if self.event.framed:
            frame = messages.FrameKind.RESET.value
            if regular:
                frame = messages.end_frame(self._taken_bytes)
            self.incoming.sendString(frame)
        elif regular:
            transports.reset_when_lost(self.incoming.transport, reset=False)
        else:
            self.incoming.transport.abortConnection()
            return
        self.incoming.transport.loseConnection()

    def write(self, data: bytes) -> None:
        """Pass a peer's bytes on to the upstream."""
        if self.transport is None:
            self.incoming.transport.abortConnection()
            return
        self._taken_bytes += len(data)
        self.transport.write(data)

    def peer_lost(self) -> None:
        """Stop the upstream's work at once: the peer has closed."""
        if self._ended:
            return
        self._ended = True
        self._server.closed(self)
        if self.transport is not None:
            self._log_end("requester")
            self.transport.unregisterProducer()
            self.transport.abortConnection()
        elif self._connector is not None:
            self._connector.disconnect()

    def _log_end(self, ended: str) -> None:
        log.info(
            "relay ended",
            extra={
                "upstream": f"{self.event.host}:{self.event.port}",
                "requester": self.event.daemon_id,
                "bytes": self._bytes,
                "ended": ended,
            },
        )
