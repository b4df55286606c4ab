"""Writes the answer to one caller's request, with back-pressure."""

from __future__ import annotations

import datetime

from twisted.web import http

from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import dialect as dialects
from fulmarbarrow.edge import exchange as exchanges
from fulmarbarrow.edge import headers
from fulmarbarrow.wire import transport as transports

TRANSPORT_BUFFER_BYTES = 64 << 10
EVENT_STREAM = "text/event-stream"
HTTP_1_1 = b"HTTP/1.1"


class Answer:
    """An answer that a caller is waiting for.

    ``backlog_bytes`` is the most that may be buffered while the caller's
    connection is full: the transport's own buffer, the part that filled it
    and whatever came before the upstream was paused. It is 0 while the
    connection has room.
    """

    def __init__(
        self,
        *,
        request: http.Request,
        exchange: exchanges.Exchange,
        arrived: messages.RequestArrived,
        opened_at: datetime.datetime,
        max_backlog_bytes: int,
        dialect: dialects.CallerDialect,
    ) -> None:
        self._request = request
        self._exchange = exchange
        self._max_backlog = max_backlog_bytes
        self._dialect = dialect
        self._paused = False
        self._streamed = False
        self._written_bytes = 0
        self._ends_with_connection = False
        self.started = False
        self.backlog_bytes = 0
        self.account = arrived.account
        self.service = arrived.service
        self.opened_at = opened_at

    def start(self, event: messages.ResponseStarted) -> None:
        """Write the status and the headers."""
        request = self._request
        self.started = True
        self._streamed = event.content_type.startswith(EVENT_STREAM)
        request.setResponseCode(event.status)
        if event.content_type:
            request.setHeader("Content-Type", event.content_type)
        if event.length is not None:
            request.setHeader("Content-Length", str(event.length))
        if event.replayed:
            request.setHeader(headers.REPLAYED, "true")
        for name, value in event.fields:
            request.responseHeaders.addRawHeader(name, value)
        if event.length is None and request.clientproto != HTTP_1_1:
            self._ends_with_connection = True
            transports.reset_when_lost(request.channel.transport, reset=True)
        request.registerProducer(self, True)

    def write(self, data: bytes) -> bool:
        """Write a part; False if the caller is too far behind."""
        self._written_bytes = len(data)
        if self._paused:
            self.backlog_bytes += len(data)
        if self.backlog_bytes > self._max_backlog:
            return False
        self._request.write(data)
        return True

    def finish(self) -> None:
        """End a whole answer."""
        if self._ends_with_connection:
            transports.reset_when_lost(
                self._request.channel.transport, reset=False
            )
        self._request.unregisterProducer()
        self._request.finish()

    def abort(self) -> None:
        """Drop the connection at once with all that waits on it."""
        self._request.unregisterProducer()
        self._request.channel.transport.abortConnection()

    def break_off(self, code: str, ran: messages.Ran) -> None:
        """End a started answer so that the caller sees it is not whole.

        A stream says why if the interface has a way to; any other answer just
        ends before its time. Where the end of the connection would mark the
        end of the body, as for an HTTP/1.0 caller, the connection is reset.
        The kernel does the same if the process ends.
        """
        last = b""
        if self._streamed:
            last = self._dialect.broken(code, ran)
        if not last and not self._end_is_marked:
            self.abort()
            return
        if last:
            self._request.write(last)
        self._request.unregisterProducer()
        self._request.loseConnection()

    @property
    def _end_is_marked(self) -> bool:
        """Whether the body has a length or a last chunk."""
        request = self._request
        return bool(request.chunked) or request.responseHeaders.hasHeader(
            "Content-Length"
        )

    def refuse(
        self,
        code: str,
        *,
        ran: messages.Ran,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        """Answer with an error; nothing has been written yet."""
        request = self._request
        refused = self._dialect.refuse(code, ran=ran, retry_after=retry_after)
        request.setResponseCode(refused.status)
        for name, value in refused.fields:
            request.setHeader(name, value)
        request.setHeader("Content-Length", str(len(refused.body)))
        request.write(refused.body)
        request.finish()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop the upstream; the caller's connection is full."""
        self._paused = True
        self.backlog_bytes = TRANSPORT_BUFFER_BYTES + self._written_bytes
        self._exchange.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Let the upstream go on; everything has been sent."""
        self._paused = False
        self.backlog_bytes = 0
        self._exchange.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the end of the connection is reported elsewhere."""
