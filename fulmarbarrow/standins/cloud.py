"""A stand-in for the platform's API, with its faults."""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

import msgspec
from twisted.internet import interfaces
from twisted.web import http
from twisted.web import resource as resources
from twisted.web import server

from fulmarbarrow.platform import headers

MAX_KEPT = 10_000  # calls in the lists


class Mode(enum.StrEnum):
    """How the stand-in responds.

    - ``ANSWER``: with the outcome of the call.
    - ``SILENT``: never, and it carries out nothing.
    - ``LOST``: never, but it carries out the call.
    - ``CLOSE``: it ends the connection without a response.
    - ``ENDLESS``: with a status and a body that never ends.
    - ``GARBAGE``: with bytes that are not HTTP.
    """

    ANSWER = "answer"
    SILENT = "silent"
    LOST = "lost"
    CLOSE = "close"
    ENDLESS = "endless"
    GARBAGE = "garbage"


class Behaviour(msgspec.Struct, frozen=True, kw_only=True):
    """What the stand-in does with calls.

    It refuses calls above ``calls_per_second`` (0: none), refuses outdated
    numbers if it is ``fenced``, carries a call out ``execute_after`` seconds
    after its arrival and responds after ``respond_after`` more. A ``status``
    is the response to every call, which then does nothing else.
    """

    mode: Mode = Mode.ANSWER
    fenced: bool = False
    calls_per_second: float = 0.0
    retry_after: str = ""
    execute_after: float = 0.0
    respond_after: float = 0.0
    status: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """A call as it was received, or carried out ``at`` a time."""

    at: float
    machine: str
    holder: str
    number: int
    subject: str
    body: typing.Any


class Cloud(resources.Resource):
    """Takes calls, and lists those that it carried out."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        behaviour: Behaviour | None = None,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self.behaviour = behaviour or Behaviour()
        self.received: collections.deque[Taken] = collections.deque(
            maxlen=MAX_KEPT
        )
        self.accepted: collections.deque[Taken] = collections.deque(
            maxlen=MAX_KEPT
        )
        self.refusals: collections.Counter[int] = collections.Counter()
        self._highest: dict[str, int] = {}
        self._arrivals: collections.deque[float] = collections.deque()

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """List what was received and what was carried out."""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(
            {
                "received": list(self.received),
                "accepted": list(self.accepted),
                "refused": {
                    str(key): count for key, count in self.refusals.items()
                },
            }
        )

    def render_POST(self, request: http.Request) -> int | bytes:  # noqa: N802
        """Take a call, or another behaviour at ``/behaviour``."""
        data = request.content.read()
        if request.path == b"/behaviour":
            self.behaviour = msgspec.json.decode(data, type=Behaviour)
            return b"{}"
        behaviour = self.behaviour
        taken = self._read(request, data)
        if taken is None:
            return self._refuse(request, 400)
        self.received.append(taken)
        if behaviour.mode is Mode.CLOSE:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        if behaviour.mode is Mode.GARBAGE:
            request.transport.write(b"\x00 nonsense\r\n\r\n")
        if behaviour.mode in (Mode.SILENT, Mode.GARBAGE):
            return server.NOT_DONE_YET
        if behaviour.mode is Mode.ENDLESS:
            self._write_endless(request)
            return server.NOT_DONE_YET
        status = behaviour.status
        if not status and self._is_limited(behaviour):
            status = http.TOO_MANY_REQUESTS
        if status:
            if behaviour.retry_after:
                request.setHeader("Retry-After", behaviour.retry_after)
            return self._refuse(request, status)
        self._reactor.callLater(
            behaviour.execute_after, self._execute, request, taken, behaviour
        )
        return server.NOT_DONE_YET

    def _read(self, request: http.Request, data: bytes) -> Taken | None:
        try:
            body = msgspec.json.decode(data)
            number = int(request.getHeader(headers.FENCING_NUMBER) or "")
            if request.path == b"/usage":
                subject = ""
            else:
                subject = f"{body['Service']}/{body['Zone']}"
        except (ValueError, KeyError, TypeError, msgspec.DecodeError):
            return None
        if request.path not in (b"/usage", b"/scale"):
            return None
        return Taken(
            at=self._reactor.seconds(),
            machine=request.getClientAddress().host,
            holder=request.getHeader(headers.LEASE_HOLDER) or "",
            number=number,
            subject=subject,
            body=body,
        )

    def _is_limited(self, behaviour: Behaviour) -> bool:
        now = self._reactor.seconds()
        if not behaviour.calls_per_second:
            return False
        while self._arrivals and now - self._arrivals[0] >= 1:
            self._arrivals.popleft()
        if len(self._arrivals) >= behaviour.calls_per_second:
            return True
        self._arrivals.append(now)
        return False

    def _execute(
        self, request: http.Request, taken: Taken, behaviour: Behaviour
    ) -> None:
        """Carry out a call, and respond if the caller is still there."""
        status = http.OK
        if behaviour.fenced and taken.number < self._highest.get(
            taken.subject, 0
        ):
            status = http.CONFLICT
            self.refusals[status] += 1
        else:
            self._highest[taken.subject] = max(
                taken.number, self._highest.get(taken.subject, 0)
            )
            self.accepted.append(
                dataclasses.replace(taken, at=self._reactor.seconds())
            )
        if behaviour.mode is Mode.ANSWER:
            self._reactor.callLater(
                behaviour.respond_after, _respond, request, status
            )

    def _refuse(self, request: http.Request, status: int) -> bytes:
        self.refusals[status] += 1
        request.setResponseCode(status)
        return b"{}"

    def _write_endless(self, request: http.Request) -> None:
        if request._disconnected:  # noqa: SLF001
            return
        request.write(bytes(1 << 14))
        self._reactor.callLater(0.001, self._write_endless, request)


def _respond(request: http.Request, status: int) -> None:
    if request._disconnected:  # noqa: SLF001
        return
    request.setResponseCode(status)
    request.write(b"{}")
    request.finish()
