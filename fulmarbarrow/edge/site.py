"""An HTTP server whose requests are bounded before they are buffered."""

from __future__ import annotations

import datetime
import io
import logging
import typing

from twisted.python import failure as failures
from twisted.web import http
from twisted.web import resource as resources
from twisted.web import server

from fulmarbarrow.edge import errors
from fulmarbarrow.edge import guard as guards
from fulmarbarrow.edge import held_bytes
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.wire import transport as transports

log = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16 << 10
MAX_HEADERS = 100
IDLE_TIMEOUT_SECONDS = 60
LINGER_SECONDS = 2.0
# Calls of ``close_idle`` that a connection without a request outlives: its
# first or next request may be on its way.
IDLE_CHECKS = 6
# Memory for a body of unknown length is reserved in steps of this size.
RESERVE_STEP_BYTES = 256 << 10
RETRY_AFTER_SECONDS = 1
# Pieces of later requests on a connection, joined above this number: each
# costs more than its bytes.
MAX_PIECES = 16
REQUEST_ID = b"x-request-id"


class BoundedRequest(server.Request):
    """A request that is refused once its body is above the limit.

    It is also refused if the process has no memory for its body.
    """

    _received = 0
    _reserved = 0

    def __init__(self, *arguments: typing.Any, **options: typing.Any) -> None:
        # A form is passed on as it is; parsed, it takes many times its size.
        super().__init__(*arguments, **options, parsePOSTFormSubmission=False)

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse an announced body above the limit before it is sent."""
        super().gotLength(length)
        if length == 0:
            return
        if length is not None and length > self.channel.site.max_body_bytes:
            self.channel.reject("body_too_large")
            return
        self._reserve(length or held_bytes.SMALL_BYTES)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body unless it is above the limit."""
        self._received += len(data)
        site = self.channel.site
        if self._received > site.max_body_bytes:
            self.channel.reject("body_too_large")
        elif self._received > self._reserved:
            wanted = self._received + RESERVE_STEP_BYTES
            self._reserve(min(wanted, site.max_body_bytes))
        elif site.guard is not None:
            site.guard.progress(self, self._received)
        if not self.channel.rejected:
            super().handleContentChunk(data)

    def pause_body(self) -> None:
        """Stop reading the body."""
        self.channel.pause_body()

    def resume_body(self) -> None:
        """Continue reading the body."""
        self.channel.resume_body()

    def refuse_body(self) -> None:
        """Refuse the request, which has not run, and drop its body."""
        channel = self.channel
        request_id = self.getHeader(REQUEST_ID)
        log.warning(
            "body refused for want of memory",
            extra={
                "request": (request_id or b"").decode("utf-8", "replace"),
                "address": channel.address,
                "received_bytes": self._received,
            },
        )
        channel.reject("overloaded")
        self.content = io.BytesIO()
        channel.resume_body()

    def finish(self) -> None:
        """Release the memory of the body after the answer."""
        channel = self.channel
        super().finish()
        self._release(channel.site)

    def connectionLost(self, reason: failures.Failure) -> None:  # noqa: N802
        """Release the memory of the body."""
        self._release(self.channel.site)
        super().connectionLost(reason)

    def _reserve(self, total: int) -> None:
        guard = self.channel.site.guard
        self._reserved = total
        if guard is None or self.channel.rejected:
            return
        guard.reserve(self, self.channel.address, total)

    def _release(self, site: BoundedSite) -> None:
        if self._reserved and site.guard is not None:
            site.guard.release(self)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handle a whole request."""
        if self.channel.rejected:
            return
        guard = self.channel.site.guard
        if guard is not None:
            guard.busy(self.channel)
            if self._reserved:
                guard.complete(self, self._received)
                self.channel.resume_body()
        super().requestReceived(command, path, version)

    def processingFailed(  # noqa: N802
        self, reason: failures.Failure
    ) -> failures.Failure:
        """Answer an unexpected error without telling how it came about."""
        log.error(
            "request failed",
            exc_info=(reason.type, reason.value, reason.getTracebackObject()),
        )
        if self.startedWriting:
            self.loseConnection()
            return reason
        self.setResponseCode(errors.status("internal_error"))
        self.setHeader("Content-Type", errors.CONTENT_TYPE)
        self.write(errors.body("internal_error"))
        self.finish()
        return reason


class BoundedChannel(http.HTTPChannel):
    """A connection whose malformed or oversized requests get coded errors."""

    totalHeadersSize = MAX_HEADER_BYTES  # noqa: N815
    maxHeaders = MAX_HEADERS  # noqa: N815
    rejected = False
    idle_checks = 0
    address = ""
    _counted = False
    _body_waits = False
    _header_since: datetime.datetime | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Take part in the site's shutdown, unless there are too many."""
        super().connectionMade()
        guard = self.site.guard
        if guard is not None:
            self.address = getattr(self.getPeer(), "host", "")
            self._counted = guard.connected(self)
            if not self._counted:
                self.rejected = True
                self._abort()
                return
        self.site.channels.add(self)

    def connectionLost(self, reason: failures.Failure) -> None:  # noqa: N802
        """Leave the site."""
        if self._counted:
            self._counted = False
            self.site.guard.disconnected(self)
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def requestDone(self, request: http.Request) -> None:  # noqa: N802
        """Go on with the next request, in the next turn of the loop.

        Answered in one turn, all requests of a read would be answered before
        the client can be seen to read nothing.
        """
        if self._counted:
            self.site.guard.idle(self)
        self.paused = True
        super().requestDone(request)
        if self._buffer:
            self.callLater(0, self._go_on)
        else:
            self.paused = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on, as the client has read the answers so far."""
        super().resumeProducing()
        if self._body_waits:
            self.transport.pauseProducing()
        if self.paused:
            self.callLater(0, self._go_on)

    def pause_body(self) -> None:
        """Stop reading until there is memory for the body."""
        self._body_waits = True
        self.transport.pauseProducing()

    def resume_body(self) -> None:
        """Go on reading, unless answers have to be read first."""
        if not self._body_waits:
            return
        self._body_waits = False
        if not self._waitingForTransport:
            self.transport.resumeProducing()

    @property
    def drained(self) -> bool:
        """Whether the client has got all that was written."""
        return not transports.unsent_bytes(self.transport)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Take the end of the headers."""
        self._header_since = None
        super().allHeadersReceived()

    def _send100Continue(self) -> None:  # noqa: N802
        if not self.rejected:
            super()._send100Continue()

    def _go_on(self) -> None:
        waits = self._waitingForTransport or self.transport is None
        if not self.paused or waits or self.rejected:
            return
        self.paused = False
        super().dataReceived(b"")

    def _is_header_late(self) -> bool:
        """Return whether headers have been arriving for too long."""
        if self.site.guard is None or not self.line_mode or self.paused:
            return False
        now = self.site.guard.now()
        if self._header_since is None:
            self._header_since = now
        return now - self._header_since > guards.HEADER_TIME

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of a body, or of a later request."""
        super().rawDataReceived(data)
        if len(self._dataBuffer) > MAX_PIECES:
            self._dataBuffer = [b"".join(self._dataBuffer)]

    def abort_idle(self) -> None:
        """Close the connection, which has no request in progress."""
        self.rejected = True
        self._abort()

    def reject(self, code: str) -> None:
        """Refuse the request that is being received; closes afterwards.

        What the caller still sends is discarded for a while, because closing
        at once would reset the connection before the caller reads the error.
        """
        if self.rejected:
            return
        self.rejected = True
        self.site.metrics.count("requests_refused", code=code)
        body = errors.body(code)
        status = errors.status(code)
        reason = http.RESPONSES.get(status, b"Error")
        self.transport.write(
            b"HTTP/1.1 %d %s\r\n"
            b"Content-Type: %s\r\n"
            b"Content-Length: %d\r\n"
            b"%b"
            b"Connection: close\r\n\r\n%s"
            % (
                status,
                reason,
                errors.CONTENT_TYPE.encode(),
                len(body),
                _retry_after(status),
                body,
            )
        )
        self.transport.loseWriteConnection()
        self.setTimeout(None)
        self.callLater(LINGER_SECONDS, self._abort)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; those after a rejection are discarded."""
        self.idle_checks = 0
        if self.rejected:
            return
        if self._is_header_late():
            self.abort_idle()
            return
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Take a line; those after a rejection are discarded."""
        if not self.rejected:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that is longer than all headers may be."""
        self.reject("headers_too_large")

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abortConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        oversized = (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        )
        self.reject("headers_too_large" if oversized else "bad_request")


def _retry_after(status: int) -> bytes:
    if status != http.SERVICE_UNAVAILABLE:
        return b""
    return b"Retry-After: %d\r\n" % RETRY_AFTER_SECONDS


class BoundedSite(server.Site):
    """Serves a resource with bounds on what a request may hold."""

    displayTracebacks = False  # noqa: N815
    protocol = BoundedChannel
    requestFactory = BoundedRequest  # noqa: N815

    def __init__(
        self,
        *,
        resource: resources.IResource,
        max_body_bytes: int,
        metrics: metrics_module.Metrics,
        guard: guards.Guard | None = None,
    ) -> None:
        super().__init__(
            resource,
            requestFactory=BoundedRequest,
            timeout=IDLE_TIMEOUT_SECONDS,
        )
        self.guard = guard
        self.max_body_bytes = max_body_bytes
        self.metrics = metrics
        self.channels: set[BoundedChannel] = set()

    def close_idle(self) -> int:
        """Close connections that stay idle; return how many are left.

        Called repeatedly during a stop. A connection is closed after
        ``IDLE_CHECKS`` calls without a request or a byte of one, and only
        when all that was written is sent.
        """
        for channel in list(self.channels):
            if channel.requests:
                channel.idle_checks = 0
                continue
            channel.idle_checks += 1
            if channel.idle_checks > IDLE_CHECKS:
                channel.transport.loseConnection()
        return len(self.channels)

    def getContentFile(  # noqa: N802
        self, length: int | None
    ) -> typing.BinaryIO:
        """Return where a body is kept: in memory, for it is bounded."""
        return io.BytesIO()

    def log(self, request: http.Request) -> None:
        """Write no line for a request; counters tell about requests."""
