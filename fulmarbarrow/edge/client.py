"""The HTTP edge towards upstreams: sends attempts and reads answers."""

from __future__ import annotations

import datetime
import typing

import treq.client
from twisted.internet import defer
from twisted.internet import error as internet_errors
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as failures
from twisted.web import client as web_client
from twisted.web import http_headers
from twisted.web import iweb

from fulmarbarrow import bus as buses
from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import exchange as exchanges_module
from fulmarbarrow.edge import headers
from fulmarbarrow.edge import sse

CONNECT_TIMEOUT_SECONDS = 2
IDLE_TIMEOUT_SECONDS = 60
CONNECTIONS_PER_UPSTREAM = 256

_NEVER_SENT = (
    internet_errors.ConnectError,
    internet_errors.ConnectionRefusedError,
    internet_errors.NoRouteError,
    internet_errors.ConnectBindError,
)


class UpstreamClient:
    """Runs attempts over pooled connections."""

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        bus: buses.Bus,
        exchanges: exchanges_module.Exchanges,
    ) -> None:
        self._bus = bus
        self._exchanges = exchanges
        self._open: dict[str, Attempt] = {}
        pool = web_client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = CONNECTIONS_PER_UPSTREAM
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_SECONDS
        pool.retryAutomatically = False
        agent = web_client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=pool
        )
        self._client = treq.client.HTTPClient(agent)
        bus.subscribe(messages.StartAttempt, self._start)
        bus.subscribe(messages.CancelAttempt, self._cancel)

    def _start(
        self, event: messages.StartAttempt, now: datetime.datetime
    ) -> None:
        exchange = self._exchanges.get(event.request_id)
        if exchange is None:
            return
        attempt = Attempt(
            attempt_id=event.attempt_id,
            bus=self._bus,
            ended=self._ended,
        )
        self._open[event.attempt_id] = attempt
        exchange.attach(attempt)
        attempt.run(self._request(event, exchange))

    def _request(
        self, event: messages.StartAttempt, exchange: exchanges_module.Exchange
    ) -> defer.Deferred[iweb.IResponse]:
        fields = {
            headers.ATTEMPT: event.attempt_id,
            headers.PRIORITY: str(event.priority),
            headers.RESUME_OFFSET: str(event.resume_offset),
            headers.VERSION: event.version,
        }
        if exchange.content_type:
            fields["Content-Type"] = exchange.content_type
        if exchange.key:
            fields[headers.KEY] = exchange.key
        return self._client.request(
            exchange.method,
            event.url + exchange.target,
            headers=http_headers.Headers(
                {name: [value] for name, value in fields.items()}
            ),
            data=exchange.body or None,
            allow_redirects=False,
            unbuffered=True,
        )

    def _cancel(
        self, event: messages.CancelAttempt, now: datetime.datetime
    ) -> None:
        attempt = self._open.pop(event.attempt_id, None)
        if attempt is not None:
            attempt.cancel()

    def _ended(self, attempt_id: str) -> None:
        self._open.pop(attempt_id, None)


class Attempt(protocol.Protocol):
    """One attempt: its request, then the reading of its answer."""

    def __init__(
        self,
        *,
        attempt_id: str,
        bus: buses.Bus,
        ended: typing.Callable[[str], None],
    ) -> None:
        self._attempt_id = attempt_id
        self._bus = bus
        self._ended = ended
        self._cancelled = False
        self._response: defer.Deferred[typing.Any] | None = None
        self._events: sse.EventSplitter | None = None

    def run(self, response: defer.Deferred[iweb.IResponse]) -> None:
        """Follow a request that was just sent."""
        self._response = response
        self._post(messages.AttemptSent(attempt_id=self._attempt_id))
        response.addCallbacks(self._headers, self._broken)

    def pause(self) -> None:
        """Stop reading the answer."""
        if self.transport is not None:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading the answer."""
        if self.transport is not None:
            self.transport.resumeProducing()

    def cancel(self) -> None:
        """Close the connection, which stops the upstream's work."""
        self._cancelled = True
        if self.transport is not None:
            self.transport.loseConnection()
        elif self._response is not None:
            self._response.cancel()

    def _headers(self, response: iweb.IResponse) -> None:
        self._response = None
        content_type = _header(response, "Content-Type")
        if content_type.startswith("text/event-stream"):
            self._events = sse.EventSplitter()
        length = response.length
        self._post(
            messages.AttemptHeaders(
                attempt_id=self._attempt_id,
                status=response.code,
                echoed_attempt=_header(response, headers.ATTEMPT),
                content_type=content_type,
                length=length if isinstance(length, int) else None,
                not_run=_header(response, headers.NOT_RUN) == "true",
            )
        )
        response.deliverBody(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the body."""
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
                )
            )

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Take the end of the body, whole or cut."""
        self._ended(self._attempt_id)
        if reason.check(web_client.ResponseDone):
            self._post(messages.AttemptEnded(attempt_id=self._attempt_id))
            return
        self._fail(messages.FailureKind.CUT, True)

    def _broken(self, failure: failures.Failure) -> None:
        """Take a failure before any header arrived."""
        self._ended(self._attempt_id)
        sent = failure.check(*_NEVER_SENT) is None
        kind = messages.FailureKind.CONNECT
        if sent:
            kind = messages.FailureKind.CRASHED
        self._fail(kind, sent)

    def _fail(self, kind: messages.FailureKind, sent: bool) -> None:
        self._post(
            messages.AttemptFailed(
                attempt_id=self._attempt_id, kind=kind, sent=sent
            )
        )

    def _post(self, event: typing.Any) -> None:
        if not self._cancelled:
            self._bus.post(event)


def _header(response: iweb.IResponse, name: str) -> str:
    values = response.headers.getRawHeaders(name)
    return values[0] if values else ""
