"""What klein's routing costs a request, against the edge's own resource."""

from __future__ import annotations

import time

import klein
from twisted.internet import testing
from twisted.web import resource as resources

from benchmarks import measure as measures
from fulmarbarrow.edge import site as sites
from fulmarbarrow.observe import metrics

COMMAND = "python -m benchmarks routing"
EXCLUSIVE = True
REQUESTS = 3000
REQUEST = b"GET /register/dies/12 HTTP/1.1\r\nHost: x\r\n\r\n"


class Leaf(resources.Resource):
    isLeaf = True  # noqa: N815

    def render(self, request):
        return b"{}"


def measure() -> list[measures.Measure]:
    """Measure whole requests in memory, with the least of five rounds."""
    app = klein.Klein()
    app.route("/", branch=True)(lambda request: b"{}")
    return [
        measures.Measure(
            slice="daemon",
            name=f"a request in memory, {name}",
            value=min(_round(resource) for _ in range(5)) * 1e6,
            unit="us",
            command=COMMAND,
        )
        for name, resource in (
            ("routed by klein", app.resource()),
            ("by an own resource", Leaf()),
        )
    ]


def _round(resource) -> float:
    site = sites.BoundedSite(
        resource=resource, max_body_bytes=1000, metrics=metrics.Metrics()
    )
    channel = site.buildProtocol(None)
    transport = testing.StringTransport()
    channel.makeConnection(transport)
    started = time.perf_counter()
    for _ in range(REQUESTS):
        channel.dataReceived(REQUEST)
    elapsed = time.perf_counter() - started
    assert transport.value().count(b"200 OK") == REQUESTS
    channel.setTimeout(None)
    return elapsed / REQUESTS
