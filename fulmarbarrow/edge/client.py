"""The HTTP edge towards upstreams: sends attempts and reads answers."""

from __future__ import annotations

import datetime
import typing
import urllib.parse

import treq.client
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as failures
from twisted.web import client as web_client
from twisted.web import http_headers
from twisted.web import iweb

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import exchange as exchanges_module
from fulmarbarrow.edge import headers
from fulmarbarrow.edge import pool as pools
from fulmarbarrow.edge import sse
from fulmarbarrow import exceptions

CONNECT_TIMEOUT_SECONDS = 2
MILLISECOND = datetime.timedelta(milliseconds=1)


class UpstreamClient:
    """Runs attempts over pooled connections."""

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        bus: buses.Bus,
        clock: clocks.Clock,
        exchanges: exchanges_module.Exchanges,
    ) -> None:
        self._reactor = reactor
        self._bus = bus
        self._clock = clock
        self._exchanges = exchanges
        self._open: dict[str, Attempt] = {}
        self._pool = pools.GatedPool(reactor)
        agent = web_client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=self._pool
        )
        self._client = treq.client.HTTPClient(agent)
        bus.subscribe(messages.StartAttempt, self._start)
        bus.subscribe(messages.CancelAttempt, self._cancel)
        bus.subscribe(messages.SuspectConnections, self._suspect)

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
            reactor=self._reactor,
            bus=self._bus,
            clock=self._clock,
            ended=self._ended,
        )
        self._open[event.attempt_id] = attempt
        exchange.attach(attempt)
        attempt.run(
            self._pool.with_gate(
                attempt.check_lease, lambda: self._request(event, exchange)
            )
        )

    def _request(
        self, event: messages.StartAttempt, exchange: exchanges_module.Exchange
    ) -> defer.Deferred[iweb.IResponse]:
        left = event.deadline - self._clock.now()
        fields = {
            headers.ATTEMPT: event.attempt_id,
            headers.DEADLINE: str(max(0, left // MILLISECOND)),
            headers.PRIORITY: str(event.priority),
            headers.VERSION: event.version,
        }
        if event.resume_offset:
            fields[headers.RESUME_OFFSET] = str(event.resume_offset)
        if exchange.key:
            fields[headers.KEY] = exchange.key
        if exchange.chat:
            fields[headers.CHAT] = exchange.chat
        method, target, body = exchange.method, exchange.target, exchange.body
        if event.lookup:
            method, target, body = "GET", event.lookup_path, b""
        elif exchange.content_type:
            fields["Content-Type"] = exchange.content_type
        return self._client.request(
            method,
            event.url + target,
            headers=http_headers.Headers(
                {name: [value] for name, value in fields.items()}
            ),
            data=body or None,
            allow_redirects=False,
            unbuffered=True,
        )

    def _cancel(
        self, event: messages.CancelAttempt, now: datetime.datetime
    ) -> None:
        attempt = self._open.pop(event.attempt_id, None)
        if attempt is not None:
            attempt.cancel()

    def _suspect(
        self, event: messages.SuspectConnections, now: datetime.datetime
    ) -> None:
        parts = urllib.parse.urlsplit(event.url)
        if parts.hostname:
            self._pool.suspect(parts.hostname.encode(), parts.port or 80)

    def _ended(self, attempt_id: str) -> None:
        self._open.pop(attempt_id, None)


class Attempt(protocol.Protocol):
    """One attempt: its request, then the reading of its answer."""

    def __init__(
        self,
        *,
        start: messages.StartAttempt,
        reactor: interfaces.IReactorTime,
        bus: buses.Bus,
        clock: clocks.Clock,
        ended: typing.Callable[[str], None],
    ) -> None:
        self._start = start
        self._attempt_id = start.attempt_id
        self._reactor = reactor
        self._bus = bus
        self._clock = clock
        self._ended = ended
        self._cancelled = False
        self._sent = False
        self._paused = False
        self._response: defer.Deferred[typing.Any] | None = None
        self._events: sse.EventSplitter | None = None
        self._gathered: list[bytes] = []

    def run(self, response: defer.Deferred[iweb.IResponse]) -> None:
        """Follow a request that was just begun."""
        self._response = response
        response.addCallbacks(self._headers, self._broken)

    def check_lease(self) -> None:
        """Let the request's first byte go, unless its lease is over."""
        until = self._start.dispatch_until
        if until is not None and self._clock.now() >= until:
            raise exceptions.DispatchLeaseError(self._attempt_id)
        self._sent = True
        self._post(messages.AttemptSent(attempt_id=self._attempt_id))

    def pause(self) -> None:
        """Stop reading the answer."""
        self._paused = True
        if self.transport is not None:
            self.transport.pauseProducing()
        self._tell_paused()

    def resume(self) -> None:
        """Go on reading the answer."""
        self._paused = False
        if self.transport is not None:
            self.transport.resumeProducing()
        self._tell_paused()

    def cancel(self) -> None:
        """Close the connection, which stops the upstream's work."""
        self._cancelled = True
        if self.transport is not None:
            self.transport.loseConnection()
        elif self._response is not None:
            self._response.cancel()

    def _tell_paused(self) -> None:
        self._post(
            messages.AttemptPaused(
                attempt_id=self._attempt_id, paused=self._paused
            )
        )

    def _headers(self, response: iweb.IResponse) -> None:
        self._response = None
        if self._cancelled:
            response.deliverBody(self)
            self.transport.loseConnection()
            return
        content_type = _header(response, "Content-Type")
        offset = _header(response, headers.RESUME_OFFSET)
        first = int(offset) if offset.isdigit() else 0
        if content_type.startswith("text/event-stream"):
            self._events = sse.EventSplitter(first=first)
        length = response.length
        self._post(
            messages.AttemptHeaders(
                attempt_id=self._attempt_id,
                status=response.code,
                echoed_attempt=_header(response, headers.ATTEMPT),
                content_type=content_type,
                length=length if isinstance(length, int) else None,
                not_run=_header(response, headers.NOT_RUN) == "true",
                resume_offset=first,
            )
        )
        response.deliverBody(self)
        if self._cancelled:
            self.transport.loseConnection()
        elif self._paused:
            self.transport.pauseProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the body; those of one loop turn go together.

        An engine that sends each token as an HTTP chunk would cost a message
        a token, though one read brings several.
        """
        if not self._gathered:
            self._reactor.callLater(0, self._pass_on)
        self._gathered.append(data)

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
        part = self._events.feed(data)
        if part.events:
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
                )
            )

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Take the end of the body, whole or cut."""
        self._pass_on()
        self._ended(self._attempt_id)
        if reason.check(web_client.ResponseDone):
            self._post(messages.AttemptEnded(attempt_id=self._attempt_id))
            return
        self._fail(messages.FailureKind.CUT)

    def _broken(self, failure: failures.Failure) -> None:
        """Take a failure before any header arrived."""
        self._ended(self._attempt_id)
        if failure.check(exceptions.DispatchLeaseError):
            self._fail(messages.FailureKind.LEASE_PASSED)
        elif self._sent:
            self._fail(messages.FailureKind.CRASHED)
        else:
            self._fail(messages.FailureKind.CONNECT)

    def _fail(self, kind: messages.FailureKind) -> None:
        self._post(
            messages.AttemptFailed(
                attempt_id=self._attempt_id, kind=kind, sent=self._sent
            )
        )

    def _post(self, event: typing.Any) -> None:
        if not self._cancelled:
            self._bus.post(event)


def _header(response: iweb.IResponse, name: str) -> str:
    values = response.headers.getRawHeaders(name)
    return values[0] if values else ""
