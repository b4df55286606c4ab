"""Resources for the platform's calls to control hosts."""

from __future__ import annotations

import collections.abc

from twisted.internet import defer
from twisted.python import failure as failures
from twisted.web import http
from twisted.web import resource as resources
from twisted.web import server

Answer = bytes | defer.Deferred[bytes]
Call = collections.abc.Callable[[http.Request], Answer]
NamedCall = collections.abc.Callable[[http.Request, str], Answer]


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


def _finish(
    body: bytes, request: http.Request, gone: list[failures.Failure]
) -> None:
    if not gone:
        request.write(body)
        request.finish()
