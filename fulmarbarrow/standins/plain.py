"""A stand-in plain service that counts how often each order ran."""

from __future__ import annotations

import collections
import typing

import klein
import msgspec
from twisted.internet import task
from twisted.web import http

from fulmarbarrow.edge import headers
from fulmarbarrow.edge import requests
from fulmarbarrow.edge import upstreams
from fulmarbarrow.standins import faults as faults_module
from fulmarbarrow.standins import guard as guards
from fulmarbarrow.standins import identity as identities
from fulmarbarrow.standins import options as options_module

LOOKUP_PATH = "/by-key"


class PlainService:
    """Takes orders and look-ups; ``/counts`` tells how often each ran.

    It ignores idempotency on purpose: a doubled order shows as a count of
    two. ``GET .../by-key`` gives the answer of the last run of a key, which
    is a header or the parameter ``key``.
    """

    def __init__(
        self,
        *,
        options: options_module.StandinOptions,
        reactor: typing.Any,
        faults: faults_module.Faults,
        identity: identities.Identity,
    ) -> None:
        self._options = options
        self._reactor = reactor
        self._faults = faults
        self._guard = guards.Guard(
            faults=faults, identity=identity, reactor=reactor
        )
        self._runs: collections.Counter[str] = collections.Counter()
        self._answers: dict[str, bytes] = {}
        self._open = 0
        self.app = klein.Klein()
        self.app.route("/counts")(self._counts)

    def add_catch_all(self) -> None:
        """Take every path that has no route of its own; call it last."""
        self.app.route("/", branch=True)(self._take)

    def load(self) -> upstreams.LoadBody:
        """Return the work that runs now."""
        return upstreams.LoadBody(
            running_tokens=self._open, running_requests=self._open
        )

    def offers(self) -> tuple[str, ...]:
        """Return the services that are run."""
        return self._options.offers

    def state(self) -> dict[str, typing.Any]:
        """Return everything that a test may want to know."""
        return {"open": self._open, "runs": dict(self._runs)}

    def _counts(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(dict(self._runs))

    async def _take(self, request: http.Request) -> bytes:
        body = request.content.read()
        self._open += 1
        try:
            refused = await self._guard.enter(request, body)
            if refused is not None:
                return refused
            request.setHeader("Content-Type", "application/json")
            if request.path.decode().endswith(LOOKUP_PATH):
                return self._look_up(request)
            if self._open > self._options.batch_requests:
                return guards.refuse(request, "busy")
            return await self._work(request, body)
        finally:
            self._open -= 1

    async def _work(self, request: http.Request, body: bytes) -> bytes:
        slow = self._faults.get(faults_module.FaultKind.SLOW)
        seconds = self._options.work_ms / 1000 * (slow.factor if slow else 1)
        if seconds:
            await task.deferLater(self._reactor, seconds)
        key = requests.header(request, headers.KEY)
        if request.method == b"POST" and key:
            self._runs[key] += 1
        path = request.path.decode()
        answer = msgspec.json.encode({"path": path, "runs": self._runs[key]})
        if key:
            self._answers[key] = answer
        self._guard.ran(body)
        cut = self._guard.cut_after()
        if cut is not None:
            self._cut(request, answer, cut)
            return b""
        return answer

    def _cut(self, request: http.Request, answer: bytes, cut: int) -> None:
        """Announce the whole answer, send ``cut`` bytes and close."""
        request.setHeader("Content-Length", str(len(answer)))
        request.write(answer[:cut])
        request.loseConnection()

    def _look_up(self, request: http.Request) -> bytes:
        named = request.args.get(b"key", [b""])[0].decode()
        key = requests.header(request, headers.KEY) or named
        answer = self._answers.get(key)
        if answer is None:
            request.setResponseCode(404)
            return b'{"ran": false}'
        return answer
