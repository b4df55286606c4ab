"""A stand-in plain service that counts how often each order ran."""

from __future__ import annotations

import collections

import klein
import msgspec
from twisted.web import http

from fulmarbarrow.edge import headers
from fulmarbarrow.edge import requests
from fulmarbarrow.edge import upstreams


class PlainService:
    """Takes orders and look-ups; ``/counts`` tells how often each ran."""

    def __init__(self) -> None:
        self._runs: collections.Counter[str] = collections.Counter()
        self.app = klein.Klein()
        self.app.route("/counts")(self._counts)
        self.app.route("/", branch=True)(self._take)

    def load(self) -> upstreams.LoadBody:
        """Return the work that runs now; a plain answer takes no time."""
        return upstreams.LoadBody()

    def _counts(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(dict(self._runs))

    def _take(self, request: http.Request) -> bytes:
        attempt = requests.header(request, headers.ATTEMPT)
        request.setHeader(headers.ATTEMPT, attempt)
        request.setHeader("Content-Type", "application/json")
        key = requests.header(request, headers.KEY)
        if request.method == b"POST":
            self._runs[key] += 1
        path = request.path.decode()
        return msgspec.json.encode({"path": path, "runs": self._runs[key]})
