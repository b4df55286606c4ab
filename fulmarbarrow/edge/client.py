"""The HTTP edge towards upstreams: sends attempts and reads answers."""

from __future__ import annotations

import datetime
import logging
import typing
import urllib.parse

from twisted.internet import interfaces

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import connections
from fulmarbarrow.edge import dialect as dialects
from fulmarbarrow.edge import exchange as exchanges_module
from fulmarbarrow.edge import own_dialect
from fulmarbarrow.edge import sse
from fulmarbarrow import exceptions
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.relay import dialer as dialers

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = datetime.timedelta(seconds=2)
DEFAULT_PORT = 80


class UpstreamClient:
    """Runs attempts over pooled connections."""

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        bus: buses.Bus,
        clock: clocks.Clock,
        exchanges: exchanges_module.Exchanges,
        dialect: dialects.UpstreamDialect | None = None,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
        dialer: dialers.Dialer | None = None,
    ) -> None:
        self._reactor = reactor
        self._bus = bus
        self._clock = clock
        self._exchanges = exchanges
        self._dialect = dialect or own_dialect.OwnUpstreams()
        self._open: dict[str, Attempt] = {}
        self._pool = connections.Pool(
            reactor=reactor, connect_timeout=connect_timeout, dialer=dialer
        )
        bus.subscribe(messages.StartAttempt, self._start)
        bus.subscribe(messages.CancelAttempt, self._cancel)
        bus.subscribe(messages.RetireConnections, self._suspect)
        bus.subscribe(membership_messages.DaemonChanged, self._peer_changed)

    def _start(
        self, event: messages.StartAttempt, now: datetime.datetime
    ) -> None:
        exchange = self._exchanges.get(event.request_id)
        if exchange is None:
            self._bus.post(
                messages.AttemptFailed(
                    attempt_id=event.attempt_id,
                    kind=messages.FailureKind.CONNECT,
                    sent=False,
                )
            )
            return
        attempt = Attempt(
            start=event,
            exchange=exchange,
            dialect=self._dialect,
            reactor=self._reactor,
            bus=self._bus,
            clock=self._clock,
            ended=self._ended,
        )
        self._open[event.attempt_id] = attempt
        exchange.attach(attempt)
        attempt.run(
            self._pool.request(
                place(event.url),
                lambda: self._request(event, exchange),
                attempt,
                fresh=exchange.once,
            )
        )

    def _request(
        self, event: messages.StartAttempt, exchange: exchanges_module.Exchange
    ) -> dialects.RequestHead:
        left = event.deadline - self._clock.now()
        return self._dialect.request(event, exchange, left)

    def _cancel(
        self, event: messages.CancelAttempt, now: datetime.datetime
    ) -> None:
        attempt = self._open.pop(event.attempt_id, None)
        if attempt is not None:
            attempt.cancel()

    def _suspect(
        self, event: messages.RetireConnections, now: datetime.datetime
    ) -> None:
        self._pool.suspect(place(event.url))

    def _peer_changed(
        self,
        event: membership_messages.DaemonChanged,
        now: datetime.datetime,
    ) -> None:
        """Let a peer that stops end the connections that it relays."""
        leaving = membership_messages.DaemonState.LEAVING
        self._pool.peer_leaves(
            event.daemon.address, leaving=event.daemon.state is leaving
        )

    def _ended(self, attempt_id: str) -> None:
        self._open.pop(attempt_id, None)


def place(url: str) -> connections.Place:
    """Return the host and port of an upstream's URL."""
    parts = urllib.parse.urlsplit(url)
    return parts.hostname or "", parts.port or DEFAULT_PORT


class Attempt:
    """One attempt: its request, then the reading of its answer."""

    def __init__(
        self,
        *,
        start: messages.StartAttempt,
        exchange: exchanges_module.Exchange,
        dialect: dialects.UpstreamDialect,
        reactor: interfaces.IReactorTime,
        bus: buses.Bus,
        clock: clocks.Clock,
        ended: typing.Callable[[str], None],
    ) -> None:
        self._start = start
        self._attempt_id = start.attempt_id
        self._exchange = exchange
        self._dialect = dialect
        self._reactor = reactor
        self._bus = bus
        self._clock = clock
        self._ended = ended
        self._cancelled = False
        self._sent = False
        self._answering = False
        self._paused = False
        self._cancel: typing.Callable[[], None] | None = None
        self._connection: connections.Connection | None = None
        self._events: sse.Splitter | None = None
        self._gathered: list[bytes] = []

    def run(self, cancel: typing.Callable[[], None]) -> None:
        """Follow a request that was just begun."""
        self._cancel = cancel

    def pause(self) -> None:
        """Stop reading the answer."""
        self._paused = True
        if self._connection is not None:
            self._connection.pause()
        self._tell_paused()

    def resume(self) -> None:
        """Go on reading the answer."""
        self._paused = False
        if self._connection is not None:
            self._connection.resume()
        self._tell_paused()

    def cancel(self) -> None:
        """Close the connection, which stops the upstream's work."""
        self._cancelled = True
        if self._connection is not None:
            self._connection.abort()
        elif self._cancel is not None:
            self._cancel()

    # What the connection tells.

    def opened(self, connection: connections.Connection) -> None:
        """Take the connection on which the request is sent."""
        self._connection = connection

    def writing(self) -> None:
        """Let the request's first byte go, unless its lease is over."""
        until = self._start.dispatch_until
        if until is not None and self._clock.now() >= until:
            raise exceptions.DispatchLeaseExpiredError(self._attempt_id)
        self._sent = True
        connection = self._connection
        self._post(
            messages.AttemptSent(
                attempt_id=self._attempt_id,
                peer=connection.peer if connection is not None else "",
            )
        )

    def head(self, status: int, fields: dialects.Fields) -> None:
        """Take the head of the answer."""
        self._answering = True
        connection = self._connection
        head = self._dialect.answer(
            self._start,
            self._exchange,
            status,
            fields,
            kept=connection is not None and connection.kept,
        )
        self._events = self._dialect.splitter(head)
        self._post(head)
        if self._paused and self._connection is not None:
            self._connection.pause()

    def data(self, data: bytes) -> None:
        """Take a part of the body; those of one loop turn go together.

        An engine that sends each token as an HTTP chunk would cost a message
        a token, though one read brings several.
        """
        if not self._gathered:
            self._reactor.callLater(0, self._pass_on)
        self._gathered.append(data)

    def ended(self) -> None:
        """Take the end of a whole answer."""
        self._connection = None
        self._pass_on()
        unfinished_bytes = 0
        if self._events is not None:
            unfinished_bytes = self._events.unfinished_bytes
            self._post_part(self._events.rest())
        self._ended(self._attempt_id)
        self._post(
            messages.AttemptEnded(
                attempt_id=self._attempt_id, unfinished_bytes=unfinished_bytes
            )
        )

    def failed(self, error: Exception) -> None:
        """Take the end of a connection without a whole answer."""
        self._connection = None
        self._pass_on()
        self._ended(self._attempt_id)
        if isinstance(error, exceptions.DispatchLeaseExpiredError):
            kind = messages.FailureKind.LEASE_PASSED
        elif isinstance(error, dialers.RelayLostError):
            kind = messages.FailureKind.RELAY_LOST
        elif self._answering:
            kind = messages.FailureKind.CUT
        elif self._sent:
            kind = messages.FailureKind.CRASHED
        else:
            kind = messages.FailureKind.CONNECT
        self._post(
            messages.AttemptFailed(
                attempt_id=self._attempt_id, kind=kind, sent=self._sent
            )
        )

    def _tell_paused(self) -> None:
        self._post(
            messages.AttemptPaused(
                attempt_id=self._attempt_id, paused=self._paused
            )
        )

    def _pass_on(self) -> None:
        data = b"".join(self._gathered)
        self._gathered.clear()
        if not data:
            return
        if self._events is None:
            self._post(
                messages.AttemptData(attempt_id=self._attempt_id, data=data)
            )
            return
        try:
            part = self._events.feed(data)
        except sse.BrokenStreamError as error:
            log.warning("attempt %s: %s", self._attempt_id, error)
            connection = self._connection
            self.failed(error)
            self._cancelled = True
            if connection is not None:
                connection.abort()
            return
        self._post_part(part)

    def _post_part(self, part: sse.Part) -> None:
        if not part.data:
            return
        self._post(
            messages.AttemptData(
                attempt_id=self._attempt_id,
                data=part.data,
                events=part.events,
                first_event=part.first_event,
                end_marker=part.end_marker,
                tokens=part.tokens,
                reused_tokens=part.reused_tokens,
                echoed=part.echoed,
                ids=part.ids,
            )
        )

    def _post(self, event: typing.Any) -> None:
        if not self._cancelled:
            self._bus.post(event)
