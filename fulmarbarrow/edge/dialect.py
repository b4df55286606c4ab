"""What differs between the HTTP interfaces that a daemon can speak.

The product's own interface is in ``own_dialect``; another one is translated
by an adapter that implements the same two protocols.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import typing

from twisted.web import http

from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import directory as directories
from fulmarbarrow.edge import exchange as exchanges
from fulmarbarrow.edge import sse

Fields = collections.abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """Why an HTTP request was not taken; ``code`` is a refusal's.

    ``allow`` are the methods that the path has, ``caller_id`` is the id that
    the caller gave.
    """

    code: str
    caller_id: str = ""
    detail: str = ""
    allow: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """A checked request and what goes with it to upstreams.

    ``fields`` are the caller's header fields that upstreams get, ``echo`` is
    what their answers to it repeat.
    """

    arrived: messages.RequestArrived
    key: str = ""
    content_type: str = ""
    fields: tuple[tuple[bytes, bytes], ...] = ()
    echo: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """How a refusal is written to a caller."""

    status: int
    body: bytes
    fields: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHead:
    """A request to an upstream, but for its framing."""

    method: str
    target: str
    fields: Fields
    body: bytes


class CallerDialect(typing.Protocol):
    """How callers ask and what they are answered."""

    def parse(
        self,
        request: http.Request,
        *,
        request_id: str,
        body: bytes,
        directory: directories.Directory,
        now: datetime.datetime,
    ) -> Taken | Rejected:
        """Return the checked request, or why it is refused."""

    def refuse(
        self,
        code: str,
        *,
        detail: str = "",
        ran: messages.Ran | None = None,
        retry_after: datetime.timedelta | None = None,
    ) -> Refused:
        """Return how to tell a caller of a refusal."""

    def broken(self, code: str, ran: messages.Ran) -> bytes:
        """Return what ends a stream that can't be completed."""


class UpstreamDialect(typing.Protocol):
    """What upstreams are asked and how their answers are understood."""

    def request(
        self,
        start: messages.StartAttempt,
        exchange: exchanges.Exchange,
        left: datetime.timedelta,
    ) -> RequestHead:
        """Return the request of an attempt."""

    def answer(
        self,
        start: messages.StartAttempt,
        exchange: exchanges.Exchange,
        status: int,
        fields: Fields,
        *,
        kept: bool,
    ) -> messages.AttemptHeaders:
        """Return what the head of an answer says.

        ``kept`` is set if the connection has carried another answer before.
        """

    def splitter(
        self, headers: messages.AttemptHeaders
    ) -> sse.Splitter | None:
        """Return what finds the events of a body; None for other bodies."""


def field(fields: Fields, name: str) -> str:
    """Return the first header field of a name, or an empty string."""
    wanted = name.lower().encode()
    for key, value in fields:
        if key.lower() == wanted:
            return value.decode("utf-8", "replace")
    return ""


def natural(text: str, *, max_digits: int = 18) -> int | None:
    """Return a natural number as it stands in a header field.

    None is anything else. One with more digits counts as the largest that
    has ``max_digits``, so that sums and encoders have a bound.
    """
    if not text.isascii() or not text.isdigit():
        return None
    if len(text) > max_digits:
        return 10**max_digits - 1
    return int(text)


def number(fields: Fields, name: str) -> int | None:
    """Return the number in a header field, or None if it holds none."""
    return natural(field(fields, name))


def framing(fields: Fields) -> messages.BodyFraming:
    """Return how the end of a body is marked."""
    if field(fields, "Transfer-Encoding"):
        return messages.BodyFraming.CHUNKED
    if field(fields, "Content-Length"):
        return messages.BodyFraming.LENGTH
    return messages.BodyFraming.CONNECTION


def length(fields: Fields) -> int | None:
    """Return the announced length of a body, or None."""
    return number(fields, "Content-Length")
