"""Steps for the edge on which upstreams announce themselves."""

from __future__ import annotations

import io
import json

import behave

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.edge import headers
from fulmarbarrow.edge import upstreams
from fulmarbarrow.membership import messages

KEY = "a key of tests"
NESTED = b"[" * 100_000 + b"]" * 100_000
BODY = {
    "upstream_id": "engine-1",
    "incarnation": 1,
    "sequence": 1,
    "zone": "attica-a",
    "url": "http://10.0.0.1:8080",
    "offers": [{"service": "chat"}],
    "batch_tokens": 1000,
    "tokens_per_second": 100,
    "state": "serving",
    "started_at": "2026-12-05T08:00:00Z",
}


class _Request:
    """As much of a request as the edge reads."""

    def __init__(self, body):
        self.content = io.BytesIO(body)
        self.status = 200

    def getHeader(self, name):  # noqa: N802
        return KEY.encode() if name == headers.FLEET_KEY.encode() else None

    def setResponseCode(self, status):  # noqa: N802
        self.status = status

    def setHeader(self, name, value):  # noqa: N802
        pass


@behave.when("an announcement comes with {field} {value}")
def step_announce(context, field, value):
    if value == "nested":
        body = json.dumps(BODY).encode()[:-1] + b', "odd": ' + NESTED + b"}"
    else:
        body = json.dumps({**BODY, field: json.loads(value)}).encode()
    bus = buses.Bus(clock=clocks.ManualClock(), strict=True)
    context.announced = []
    bus.subscribe(
        messages.Announced, lambda event, _: context.announced.append(event)
    )
    edge = upstreams.UpstreamsEdge(bus=bus, key=KEY)
    context.request = _Request(body)
    edge._announce(context.request)


@behave.then("it is refused with status {status:d} and reaches no core")
def step_refused(context, status):
    assert context.request.status == status, context.request.status
    assert not context.announced


@behave.then("it reaches membership")
def step_reaches(context):
    (event,) = context.announced
    assert event.upstream.sequence == 7, event
