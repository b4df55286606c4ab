"""Resources for the platform's calls to control hosts."""

from __future__ import annotations

import collections.abc
import datetime
import logging
import socket

from twisted.internet import defer
from twisted.python import failure as failures
from twisted.web import http
from twisted.web import resource as resources
from twisted.web import server

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow import message

log = logging.getLogger(__name__)

# A caller turns to another daemon after this long without an answer.
PATIENCE = datetime.timedelta(seconds=1)
# Time in which what arrived during a pause of the process is read.
BACKLOG_TIME = datetime.timedelta(milliseconds=500)

Answer = bytes | defer.Deferred[bytes]
Call = collections.abc.Callable[[http.Request], Answer]
NamedCall = collections.abc.Callable[[http.Request, str], Answer]


class CallerWatch:
    """Tells which calls must not be carried out, as nobody waits for them.

    A process that stood still reads calls whose callers have long turned to
    another daemon, which has carried them out, and perhaps later ones.
    """

    def __init__(self, *, bus: buses.Bus, clock: clocks.Clock) -> None:
        self._clock = clock
        self._seen_at: datetime.datetime | None = None
        self._resumed_at: datetime.datetime | None = None
        bus.subscribe(message.Tick, lambda _, now: self._look(now))

    def waits(self, request: http.Request) -> bool:
        """Return whether a call's caller can be taken to wait; logs if not."""
        self._look(self._clock.now())
        reason = ""
        if self._reads_backlog():
            reason = "process stood still"
        elif _has_hung_up(request):
            reason = "caller gone"
        if not reason:
            return True
        log.warning(
            "call not carried out",
            extra={
                "method": request.method.decode("latin-1"),
                "path": request.path.decode("latin-1"),
                "reason": reason,
            },
        )
        return False

    def _look(self, now: datetime.datetime) -> None:
        if self._seen_at is not None and now - self._seen_at > PATIENCE:
            self._resumed_at = now
        self._seen_at = now

    def _reads_backlog(self) -> bool:
        resumed = self._resumed_at
        return resumed is not None and self._seen_at - resumed < BACKLOG_TIME


class CallResource(resources.Resource):
    """Answers one path by the method of the call."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, calls: dict[bytes, Call]) -> None:
        super().__init__()
        self._calls = calls

    def render(self, request: http.Request) -> bytes | int:
        """Answer a call, now or once its answer is known."""
        request.setHeader("Content-Type", "application/json")
        call = self._calls.get(request.method)
        if call is None or any(request.postpath):
            request.setResponseCode(http.NOT_FOUND)
            return b"{}"
        answer = call(request)
        if isinstance(answer, bytes):
            return answer
        gone: list[failures.Failure] = []
        request.notifyFinish().addErrback(gone.append)
        answer.addCallback(_finish, request, gone)
        return server.NOT_DONE_YET


class NamedResource(resources.Resource):
    """Answers the paths below one by their last part."""

    def __init__(self, *, calls: dict[bytes, NamedCall]) -> None:
        super().__init__()
        self._calls = calls

    def getChild(  # noqa: N802
        self, path: bytes, request: http.Request
    ) -> resources.Resource:
        """Return the resource of one name."""
        name = path.decode("utf-8", "replace")

        def named(call: NamedCall) -> Call:
            return lambda request: call(request, name)

        return CallResource(
            calls={method: named(call) for method, call in self._calls.items()}
        )


class CollectionResource(NamedResource):
    """Answers one path, and the paths below it by their last part."""

    def __init__(
        self, *, calls: dict[bytes, Call], named: dict[bytes, NamedCall]
    ) -> None:
        super().__init__(calls=named)
        self._own = CallResource(calls=calls)

    def render(self, request: http.Request) -> bytes | int:
        """Answer a call of the path itself."""
        return self._own.render(request)


def _finish(
    body: bytes, request: http.Request, gone: list[failures.Failure]
) -> None:
    if not gone:
        request.write(body)
        request.finish()


def _has_hung_up(request: http.Request) -> bool:
    """Return whether the end of a call's connection has arrived already."""
    get_handle = getattr(request.channel.transport, "getHandle", None)
    if get_handle is None:  # a connection in memory
        return False
    try:
        return not get_handle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
