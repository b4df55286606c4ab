"""The product's own HTTP interface towards callers and upstreams."""

from __future__ import annotations

import datetime

from twisted.web import http

from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import dialect
from fulmarbarrow.edge import directory as directories
from fulmarbarrow.edge import errors
from fulmarbarrow.edge import exchange as exchanges
from fulmarbarrow.edge import headers
from fulmarbarrow.edge import requests
from fulmarbarrow.edge import sse

EVENT_STREAM = "text/event-stream"
MILLISECOND = datetime.timedelta(milliseconds=1)


class OwnCallers:
    """Chat completions, plain routes and JSON errors."""

    def parse(
        self,
        request: http.Request,
        *,
        request_id: str,
        body: bytes,
        directory: directories.Directory,
        now: datetime.datetime,
    ) -> dialect.Taken | dialect.Rejected:
        """Return the checked request, or why it is refused."""
        arrived = requests.parse(
            request,
            request_id=request_id,
            body=body,
            directory=directory,
            now=now,
        )
        if isinstance(arrived, dialect.Rejected):
            return arrived
        return dialect.Taken(
            arrived=arrived,
            key=arrived.key,
            content_type=requests.header(request, "Content-Type"),
        )

    def refuse(
        self,
        code: str,
        *,
        detail: str = "",
        ran: messages.Ran | None = None,
        retry_after: datetime.timedelta | None = None,
    ) -> dialect.Refused:
        """Return a JSON error, with whole seconds to wait."""
        fields = [("Content-Type", errors.CONTENT_TYPE)]
        if retry_after is not None:
            seconds = max(1, round(retry_after.total_seconds()))
            fields.append(("Retry-After", str(seconds)))
        return dialect.Refused(
            status=errors.status(code),
            body=errors.body(code, detail=detail, ran=ran),
            fields=tuple(fields),
        )

    def broken(self, code: str, ran: messages.Ran) -> bytes:
        """Return an event that says why the stream ends."""
        error = errors.body(code, ran=ran)
        return b"event: error\ndata: " + error + b"\n\n"


class OwnUpstreams:
    """Attempts with an id of their own, and streams with an end marker."""

    def request(
        self,
        start: messages.StartAttempt,
        exchange: exchanges.Exchange,
        left: datetime.timedelta,
    ) -> dialect.RequestHead:
        """Return the request of an attempt."""
        fields = {
            headers.ATTEMPT: start.attempt_id,
            headers.DEADLINE: str(max(0, left // MILLISECOND)),
            headers.PRIORITY: str(start.priority),
            headers.VERSION: start.version,
        }
        if start.resume_offset:
            fields[headers.RESUME_OFFSET] = str(start.resume_offset)
        if exchange.key:
            fields[headers.KEY] = exchange.key
        if exchange.chat:
            fields[headers.CHAT] = exchange.chat
        method, target, body = exchange.method, exchange.target, exchange.body
        if not start.lookup:
            fields[headers.INCARNATION] = str(start.incarnation)
        if start.lookup:
            method, target, body = "GET", start.lookup_path, b""
        elif exchange.content_type:
            fields["Content-Type"] = exchange.content_type
        return dialect.RequestHead(
            method=method,
            target=target,
            fields=[
                (name.encode(), value.encode())
                for name, value in fields.items()
            ],
            body=body,
        )

    def answer(
        self,
        start: messages.StartAttempt,
        exchange: exchanges.Exchange,
        status: int,
        fields: dialect.Fields,
        *,
        kept: bool = False,
    ) -> messages.AttemptHeaders:
        """Return what the head of an answer says."""
        offset = dialect.number(fields, headers.RESUME_OFFSET)
        return messages.AttemptHeaders(
            attempt_id=start.attempt_id,
            status=status,
            echoed_attempt=dialect.field(fields, headers.ATTEMPT),
            content_type=dialect.field(fields, "Content-Type"),
            length=dialect.length(fields),
            framing=dialect.framing(fields),
            not_run=dialect.field(fields, headers.NOT_RUN) == "true",
            resume_offset=offset or 0,
        )

    def splitter(self, head: messages.AttemptHeaders) -> sse.Splitter | None:
        """Return what counts the events of a stream."""
        if head.content_type.startswith(EVENT_STREAM):
            return sse.EventSplitter(first=head.resume_offset)
        return None
