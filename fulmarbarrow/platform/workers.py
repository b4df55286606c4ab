"""Translates requests to workers and their answers."""

from __future__ import annotations

import datetime
import logging
import re

from twisted.web import http

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import responses
from fulmarbarrow.edge import dialect
from fulmarbarrow.edge import exchange as exchanges
from fulmarbarrow.edge import sse
from fulmarbarrow.platform import headers
from fulmarbarrow.platform import server_load

log = logging.getLogger(__name__)

MILLISECOND = datetime.timedelta(milliseconds=1)
EVENT_STREAM = "text/event-stream"
LOWEST_PRIORITY = 9
MAX_HOLD_OFF = datetime.timedelta(minutes=10)

_RATE = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,9})?")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,19})(?!\d)")


class Workers:
    """Attempts by the client's request id, streams by event ids."""

    def __init__(self) -> None:
        self._loads = server_load.LoadReader()

    def request(
        self,
        start: messages.StartAttempt,
        exchange: exchanges.Exchange,
        left: datetime.timedelta,
    ) -> dialect.RequestHead:
        """Return the request of an attempt."""
        own = {
            headers.DEADLINE: str(max(0, left // MILLISECOND)),
            headers.EXPECTED_INSTANCE: start.upstream_id,
        }
        if exchange.account:
            own[headers.TENANT] = exchange.account
        if start.rank is not None:
            own[headers.PRIORITY] = str(min(start.rank, LOWEST_PRIORITY))
        if start.fetch_from:
            own[headers.FETCH] = start.fetch_from.removeprefix("http://")
        if start.resume_offset:
            own[headers.LAST_EVENT] = str(start.resume_offset - 1)
        added = [(key.encode(), value.encode()) for key, value in own.items()]
        return dialect.RequestHead(
            method=exchange.method,
            target=exchange.target,
            fields=[*exchange.fields, *added],
            body=exchange.body,
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
        rate, unreadable = _rate_limit(fields)
        borne, borne_unreadable = _number(fields, headers.BRITTLE)
        if borne_unreadable:
            log.warning(
                "brittleness not understood",
                extra={"upstream": start.upstream_id},
            )
        not_run = status == responses.STATUS_MISDIRECTED or bool(
            dialect.field(fields, headers.NOT_EXECUTED)
        )
        return messages.AttemptHeaders(
            attempt_id=start.attempt_id,
            status=status,
            echoed_attempt=_echoed(
                start,
                exchange,
                status,
                fields,
                without_id=not_run and not kept,
            ),
            content_type=dialect.field(fields, "Content-Type"),
            length=dialect.length(fields),
            framing=dialect.framing(fields),
            not_run=not_run,
            fields=headers.for_caller(fields),
            ends_with_body=True,
            rate_limit=rate,
            rate_limit_unreadable=unreadable,
            refusals_borne=borne,
            leaving=_leaves(start, fields),
            hold_off=_hold_off(start, status, fields),
            load=self._loads.read(start.upstream_id, fields),
        )

    def splitter(self, head: messages.AttemptHeaders) -> sse.Splitter | None:
        """Return what finds the events of a stream by their ids."""
        if head.content_type.startswith(EVENT_STREAM):
            return IdSplitter()
        return None


def _echoed(
    start: messages.StartAttempt,
    exchange: exchanges.Exchange,
    status: int,
    fields: dialect.Fields,
    *,
    without_id: bool,
) -> str:
    """Return the attempt that an answer belongs to, "" if none is proven.

    ``without_id`` is set if the answer may lack an id: a refusal on a new
    connection, where no earlier answer can be repeated. A success without a
    signature, or with an encoded body, is not what the worker made.
    """
    told = dialect.field(fields, headers.REQUEST_ID)
    if told != exchange.echo and (told or not without_id):
        return ""
    signed = dialect.field(fields, headers.SIGNATURE)
    if http.OK <= status < http.MULTIPLE_CHOICE and not signed:
        return ""
    if dialect.field(fields, headers.CONTENT_ENCODING):
        return ""
    return start.attempt_id


def _hold_off(
    start: messages.StartAttempt, status: int, fields: dialect.Fields
) -> datetime.timedelta | None:
    """Return for how long a worker that is busy wants no request from here."""
    if status != http.SERVICE_UNAVAILABLE:
        return None
    seconds, unreadable = _number(fields, headers.RETRY_AFTER)
    if unreadable:
        log.warning(
            "time of return not understood",
            extra={"upstream": start.upstream_id},
        )
    if seconds is None:
        return None
    return min(datetime.timedelta(seconds=seconds), MAX_HOLD_OFF)


def _leaves(start: messages.StartAttempt, fields: dialect.Fields) -> bool:
    """Return whether a worker says that it leaves, once and legibly."""
    name = headers.LEAVING.lower().encode()
    values = [value.strip() for key, value in fields if key.lower() == name]
    if values and values != [b"1"]:
        log.warning(
            "departure not understood", extra={"upstream": start.upstream_id}
        )
        return False
    return bool(values)


def _rate_limit(fields: dialect.Fields) -> tuple[float | None, bool]:
    """Return the named limit, and whether one is named that can't be read."""
    return _number(fields, headers.RATE_LIMIT)


def _number(fields: dialect.Fields, name: str) -> tuple[float | None, bool]:
    """Return a field's number, and whether the field can't be read."""
    if name.lower().encode() not in {key.lower() for key, _ in fields}:
        return None, False
    text = dialect.field(fields, name).strip()
    if _RATE.fullmatch(text) is None:
        return None, True
    return float(text), False


class IdSplitter:
    """Gathers bytes into whole events with increasing ids.

    The protocol promises neither a first id nor a step, so ids tell the order
    of events but not whether one is missing.
    """

    def __init__(self) -> None:
        self._buffer = sse.EventBuffer()
        self._last = -1

    @property
    def unfinished_bytes(self) -> int:
        """The size of an event without its end; comments are no event."""
        return self._buffer.unfinished_bytes

    def feed(self, data: bytes) -> sse.Part:
        """Return the events that are whole now.

        Raises BrokenStreamError when one has no id, does not follow the one
        before it, or is too long.
        """
        whole = self._buffer.feed(data)
        if not whole:
            return self._part(b"", ())
        events = whole.removesuffix(sse.SEPARATOR).split(sse.SEPARATOR)
        return self._part(whole, tuple(map(self._take_id, events)))

    def rest(self) -> sse.Part:
        """Return comments after the last event, no part of another event."""
        if self.unfinished_bytes:
            return self._part(b"", ())
        return self._part(self._buffer.take_rest(), ())

    def _take_id(self, event: bytes) -> int:
        found = _EVENT_ID.search(event)
        if found is None:
            raise sse.BrokenStreamError("an event has no id")
        number = int(found.group(1))
        if number > headers.MAX_EVENT_ID:
            raise sse.BrokenStreamError("an event's id has too many digits")
        if number <= self._last:
            raise sse.BrokenStreamError(f"event {number} after {self._last}")
        self._last = number
        return number

    @staticmethod
    def _part(data: bytes, ids: tuple[int, ...]) -> sse.Part:
        return sse.Part(
            data=data,
            events=len(ids),
            first_event=ids[0] if ids else 0,
            end_marker=False,
            tokens=len(ids),
            reused_tokens=None,
            ids=ids,
        )
