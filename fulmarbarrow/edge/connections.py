"""Pooled HTTP/1.1 connections to upstreams."""

from __future__ import annotations

import collections
import datetime
import logging
import re
import typing

import h11
from twisted.internet import address as addresses
from twisted.internet import error as internet_errors
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as failures
from zope import interface

from fulmarbarrow.edge import dialect
from fulmarbarrow.relay import dialer as dialers
from fulmarbarrow.wire import transport as transports

log = logging.getLogger(__name__)

IDLE_PER_UPSTREAM = 8  # connections kept for reuse
IDLE_TIMEOUT = datetime.timedelta(seconds=4)  # where an upstream tells none
# Of the idle timeout that an upstream tells, so that it does not close just
# when a request is on its way.
IDLE_PART = 0.7
# Requests that must not run twice reuse only a connection that has been idle
# for less: a reset of an idle one would leave open whether they ran.
FRESH_IDLE = datetime.timedelta(milliseconds=500)
MAX_HEAD_BYTES = 64 << 10
FIRST_UNSUCCESSFUL = 300  # of the codes of final answers
MAX_INFORMATIONAL_HEADS = 16  # 1xx heads before the head of one answer
# A sound upstream may be silent for a second.
UNACKNOWLEDGED_MS = 2_000
# Shorter requests fit into the buffers on their way.
UPLOAD_BYTES = 64 << 10

Place = tuple[str, int]
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")


class Receiver(typing.Protocol):
    """Takes the answer to one request."""

    def writing(self) -> None:
        """Take note that bytes are written now; raises to stop them."""

    def opened(self, connection: Connection) -> None:
        """Take the connection on which the request is sent."""

    def head(self, status: int, fields: dialect.Fields) -> None:
        """Take the head of the answer."""

    def data(self, data: bytes) -> None:
        """Take a part of the body."""

    def ended(self) -> None:
        """Take note that the answer is complete."""

    def failed(self, error: Exception) -> None:
        """Take note that no complete answer will come."""


class IncompleteAnswerError(Exception):
    """The connection ended within an answer or before it."""


class UnreadRequestError(Exception):
    """The connection ended an answer while the request was being sent."""


class EndlessAnswerError(Exception):
    """An upstream sends more than any answer has."""


@interface.implementer(interfaces.IPushProducer)
class Upload:
    """Writes a large body piece by piece, as the connection takes it.

    Written at once, it would be held twice until the last byte is sent.
    """

    def __init__(self, *, transport: typing.Any, body: bytes) -> None:
        self._transport = transport
        self._body = memoryview(body)
        self._written = 0
        self._paused = False
        self._registered = False

    @property
    def unwritten_bytes(self) -> int:
        """The number of bytes that the connection has not been given."""
        return len(self._body) - self._written

    def start(self) -> None:
        """Write as much as the connection takes now."""
        self._registered = True
        self._transport.registerProducer(self, True)
        self.resumeProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write on; the connection has sent what it was given."""
        self._paused = False
        while not self._paused and self.unwritten_bytes:
            end = self._written + UPLOAD_BYTES
            piece = bytes(self._body[self._written : end])
            self._written += len(piece)
            self._transport.write(piece)
        if not self.unwritten_bytes:
            self._unregister()

    def pauseProducing(self) -> None:  # noqa: N802
        """Write nothing for now."""
        self._paused = True

    def stopProducing(self) -> None:  # noqa: N802
        """Write nothing any more; the connection has ended."""
        self._paused = True

    def _unregister(self) -> None:
        if self._registered:
            self._registered = False
            self._transport.unregisterProducer()


@interface.implementer(interfaces.IHalfCloseableProtocol)
class Connection(protocol.Protocol):
    """One connection, with one request at a time.

    Bytes that belong to no request end the connection: nothing after them
    can be trusted. An answer that only the end of its connection ends is not
    complete if the upstream has not taken the whole request.
    """

    def __init__(self, *, pool: Pool, place: Place) -> None:
        self._pool = pool
        self._place = place
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._receiver: Receiver | None = None
        self._idle_timer: interfaces.IDelayedCall | None = None
        self._idle_timeout = IDLE_TIMEOUT
        self._idle_since: float | None = None
        self._open = False
        self._kept = False
        # The address of the peer that relays the connection, if one does.
        self.peer = ""
        self._informational_heads = 0
        self._request_bytes = 0
        self._succeeded = False
        self._upload: Upload | None = None
        # Bytes of all requests on the connection, and those of them that a
        # relaying peer could not pass on before the upstream's end.
        self.written_bytes = 0
        self.untaken_bytes = 0

    @property
    def kept(self) -> bool:
        """Whether an earlier request was answered on the connection."""
        return self._kept

    def connectionMade(self) -> None:  # noqa: N802
        """Watch the connection."""
        self._open = True
        transports.watch_writes(
            self.transport, unacknowledged_ms=UNACKNOWLEDGED_MS
        )

    def idle_for(self, now: float) -> float:
        """Return for how many seconds nothing was asked."""
        return now - self._idle_since if self._idle_since is not None else 0.0

    def send(self, head: dialect.RequestHead, receiver: Receiver) -> None:
        """Send a request whose answer goes to ``receiver``."""
        self._stop_idling()
        self._receiver = receiver
        self._request_bytes = len(head.body)
        self._succeeded = False
        receiver.opened(self)
        try:
            receiver.writing()
        except Exception as error:
            self._receiver = None
            self.abort()
            receiver.failed(error)
            return
        framed = [
            (b"Host", b"%s:%d" % (self._place[0].encode(), self._place[1]))
        ]
        names = {name.lower() for name, _ in head.fields}
        if b"host" in names:
            framed = []
        if head.body or head.method not in ("GET", "HEAD", "DELETE"):
            framed.append((b"Content-Length", str(len(head.body)).encode()))
        request = h11.Request(
            method=head.method,
            target=head.target,
            headers=[*framed, *head.fields],
        )
        data = self._http.send(request) or b""
        body = head.body
        if body:
            # With a length, the body goes out as it is.
            self._http.send_with_data_passthrough(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        self.written_bytes += len(data) + len(body)
        if len(body) <= UPLOAD_BYTES:
            self.transport.write(data + body)
            return
        self.transport.write(data)
        self._upload = Upload(transport=self.transport, body=body)
        self._upload.start()

    def pause(self) -> None:
        """Stop reading."""
        if self._open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading."""
        if self._open:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """End the connection at once; its receiver hears no more."""
        self._receiver = None
        self._stop_idling()
        self._pool.closed(self._place, self)
        if self._open:
            self._open = False
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the answer; there are none without a request."""
        if self._receiver is None:
            self.abort()
            return
        self._http.receive_data(data)
        self._take_events()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Take the regular end of what the upstream sends."""
        self.connectionLost()
        self.transport.abortConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this end never closes half of a connection."""

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Take the end of the connection, which may end an answer."""
        self._open = False
        self._stop_idling()
        self._pool.closed(self._place, self)
        receiver = self._receiver
        if receiver is None:
            return
        if self._is_upload_cut(reason):
            reason = failures.Failure(UnreadRequestError())
        if reason.check(internet_errors.ConnectionDone):
            # A body without a length ends with its connection.
            self._http.receive_data(b"")
            self._take_events()
        if self._receiver is receiver:
            self._receiver = None
            if reason.check(dialers.RelayLostError):
                receiver.failed(reason.value)
                return
            receiver.failed(IncompleteAnswerError(reason.getErrorMessage()))

    def _is_upload_cut(self, reason: failures.Failure) -> bool:
        """Return whether a regular end came before the request's own end.

        Errors may come before that, and are passed on as they are.
        """
        return (
            bool(reason.check(internet_errors.ConnectionDone))
            and self._succeeded
            and self._request_bytes > UPLOAD_BYTES
            and (
                self.untaken_bytes > 0
                or self._unwritten_bytes > 0
                or transports.unsent_bytes(self.transport) > 0
            )
        )

    @property
    def _unwritten_bytes(self) -> int:
        return self._upload.unwritten_bytes if self._upload else 0

    def _take_events(self) -> None:
        while self._receiver is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(error)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.InformationalResponse):
                self._informational_heads += 1
                if self._informational_heads > MAX_INFORMATIONAL_HEADS:
                    self._fail(EndlessAnswerError("informational heads"))
                    return
            elif isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._receiver.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return

    def _take_head(self, event: h11.Response) -> None:
        fields = event.headers.raw_items()
        told = _KEEP_ALIVE.search(dialect.field(fields, "Keep-Alive"))
        if told is not None:
            seconds = int(told.group(1)) * IDLE_PART
            self._idle_timeout = datetime.timedelta(seconds=seconds)
        self._informational_heads = 0
        self._succeeded = event.status_code < FIRST_UNSUCCESSFUL
        self._receiver.head(event.status_code, fields)

    def _finish(self) -> None:
        """Give the connection back if it can take another request."""
        receiver, self._receiver = self._receiver, None
        # A next request would wait for the rest of this one's body.
        sent, self._upload = not self._unwritten_bytes, None
        surplus, _ = self._http.trailing_data
        reusable = (
            not surplus
            and sent
            and self._open
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if reusable:
            self._kept = True
            self._http.start_next_cycle()
            self._start_idling()
            self._pool.idle(self._place, self)
        else:
            self.abort()
        receiver.ended()

    def _fail(self, error: Exception) -> None:
        receiver = self._receiver
        self.abort()
        receiver.failed(error)

    def _start_idling(self) -> None:
        self._idle_since = self._pool.reactor.seconds()
        self._idle_timer = self._pool.reactor.callLater(
            self._idle_timeout.total_seconds(), self._idled_out
        )

    def _stop_idling(self) -> None:
        self._idle_since = None
        timer, self._idle_timer = self._idle_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _idled_out(self) -> None:
        self._idle_timer = None
        self.abort()


class _Connector(protocol.ClientFactory):
    """Opens one connection for one request."""

    noisy = False

    def __init__(
        self,
        *,
        pool: Pool,
        place: Place,
        head: typing.Callable[[], dialect.RequestHead],
        receiver: Receiver,
    ) -> None:
        self._pool = pool
        self._place = place
        self._head = head
        self._receiver = receiver
        self.connector: interfaces.IConnector | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Give up the connection."""
        self.cancelled = True
        if self.connector is not None:
            self.connector.disconnect()

    def buildProtocol(  # noqa: N802
        self, addr: addresses.IPv4Address
    ) -> Connection:
        """Return the connection, which sends the request once it is made."""
        connection = _FirstUse(
            pool=self._pool, place=self._place, connected=self._connected
        )
        if isinstance(addr, dialers.RelayedAddress):
            connection.peer = addr.peer
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: interfaces.IConnector, reason: failures.Failure
    ) -> None:
        """Tell that not a byte was sent."""
        self._pool.opening_ended(self._place)
        if not self.cancelled:
            self._receiver.failed(reason.value)

    def _connected(self, connection: Connection) -> None:
        self._pool.opening_ended(self._place)
        if self.cancelled:
            connection.abort()
            return
        self._pool.opened(self._place, connection)
        connection.send(self._head(), self._receiver)


class _FirstUse(Connection):
    """A connection that tells when it is made."""

    def __init__(
        self,
        *,
        pool: Pool,
        place: Place,
        connected: typing.Callable[[Connection], None],
    ) -> None:
        super().__init__(pool=pool, place=place)
        self._connected = connected

    def connectionMade(self) -> None:  # noqa: N802
        """Watch the connection and send the request."""
        super().connectionMade()
        self._connected(self)


class Pool:
    """Connections by the upstream's host and port."""

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        connect_timeout: datetime.timedelta,
        dialer: dialers.Dialer | None = None,
    ) -> None:
        self.reactor = reactor
        self._connect_timeout = connect_timeout.total_seconds()
        self._dialer = dialer
        if dialer is not None:
            dialer.watch_silence(self.retire_direct)
        self._idle: dict[Place, list[Connection]] = {}
        self._open: dict[Place, set[Connection]] = {}
        self._opening: collections.Counter[Place] = collections.Counter()
        self._leaving_peers: set[str] = set()
        self.opened_total = 0

    def request(
        self,
        place: Place,
        head: typing.Callable[[], dialect.RequestHead],
        receiver: Receiver,
        *,
        fresh: bool,
    ) -> typing.Callable[[], None]:
        """Send a request; return what cancels it while it connects.

        ``head`` is called at the moment of sending. With ``fresh`` only a
        connection that was idle for a short time is reused.
        """
        connection = self._take(place, fresh=fresh)
        if connection is not None:
            connection.send(head(), receiver)
            return connection.abort
        connector = _Connector(
            pool=self, place=place, head=head, receiver=receiver
        )
        self._opening[place] += 1
        self.opened_total += 1
        if self._dialer is not None:
            connector.connector = self._dialer.connect(place, connector)
        else:
            connector.connector = self.reactor.connectTCP(
                place[0], place[1], connector, timeout=self._connect_timeout
            )
        return connector.cancel

    def suspect(self, place: Place) -> None:
        """Reuse none of the idle connections to an upstream."""
        for connection in list(self._idle.get(place, ())):
            connection.abort()

    def retire_direct(self, place: Place) -> None:
        """Reuse no idle connection to an upstream that no peer relays."""
        for connection in list(self._idle.get(place, ())):
            if not connection.peer:
                connection.abort()

    def peer_leaves(self, peer: str, *, leaving: bool) -> None:
        """Reuse no connection that a leaving peer relays, so that it can stop.

        A request that is open on one of them still ends.
        """
        if not leaving:
            self._leaving_peers.discard(peer)
            return
        self._leaving_peers.add(peer)
        for kept in list(self._idle.values()):
            for connection in list(kept):
                if connection.peer == peer:
                    connection.abort()

    def opened(self, place: Place, connection: Connection) -> None:
        """Count a connection."""
        self._open.setdefault(place, set()).add(connection)

    def opening_ended(self, place: Place) -> None:
        """Take note that a connection was made, or not."""
        self._opening[place] -= 1
        if self._opening[place] <= 0:
            del self._opening[place]

    def idle(self, place: Place, connection: Connection) -> None:
        """Keep a connection for reuse, unless there are many already."""
        kept = self._idle.setdefault(place, [])
        leaving = connection.peer in self._leaving_peers
        if leaving or len(kept) >= IDLE_PER_UPSTREAM:
            connection.abort()
            return
        kept.append(connection)

    def closed(self, place: Place, connection: Connection) -> None:
        """Forget a connection."""
        for kept in (self._idle.get(place), self._open.get(place)):
            if kept is not None and connection in kept:
                kept.remove(connection)
        for table in (self._idle, self._open):
            if place in table and not table[place]:
                del table[place]

    def _take(self, place: Place, *, fresh: bool) -> Connection | None:
        """Return the idle connection that was used last."""
        kept = self._idle.get(place)
        if not kept:
            return None
        now = self.reactor.seconds()
        if fresh and kept[-1].idle_for(now) > FRESH_IDLE.total_seconds():
            return None
        return kept.pop()
