"""What a router spends on delivery: time and memory of its cores."""

from __future__ import annotations

import datetime
import random
import time
import tracemalloc

from benchmarks import measure as measures
from fulmarbarrow.delivery import core as delivery_core
from fulmarbarrow.delivery import messages
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages as placement_messages

COMMAND = "python -m benchmarks delivery_cost"
EXCLUSIVE = True
REQUESTS = 2000
EVENTS = 20
NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
EVENT = b'data: {"choices":[{"delta":{"content":"w1 "}}]}\n\n'


def measure() -> list[measures.Measure]:
    """Stream many answers through one core."""
    core = _core()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(REQUESTS):
        _open(core, number)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    core = _core()
    started = time.process_time()
    for number in range(REQUESTS):
        _open(core, number)
    opened = time.process_time()
    for event in range(EVENTS):
        for number in range(REQUESTS):
            core.handle(_data(number, event), NOW)
    streamed = time.process_time()
    return [
        _row("state of an open stream", (after - before) / REQUESTS, "B"),
        _row(
            "CPU from arrival to headers",
            (opened - started) / REQUESTS * 1e6,
            "us",
        ),
        _row(
            "CPU of one event of a stream",
            (streamed - opened) / REQUESTS / EVENTS * 1e6,
            "us",
        ),
    ]


def _core() -> delivery_core.DeliveryCore:
    return delivery_core.DeliveryCore(
        metrics=metrics_module.Metrics(), rng=random.Random(1)
    )


def _row(name: str, value: float, unit: str) -> measures.Measure:
    return measures.Measure(
        slice="delivery", name=name, value=value, unit=unit, command=COMMAND
    )


def _open(core: delivery_core.DeliveryCore, number: int) -> None:
    request_id = f"entry-1-18f3a-{number}"
    attempt_id = f"{request_id}-1"
    for event in (
        _arrived(request_id),
        limits_messages.Admitted(request_id=request_id),
        placement_messages.Placed(
            request_id=request_id,
            attempt_id=attempt_id,
            upstream_id="engine-1",
            incarnation=1,
            url="http://engine-1",
            version="1",
        ),
        messages.AttemptHeaders(
            attempt_id=attempt_id,
            status=200,
            echoed_attempt=attempt_id,
            content_type="text/event-stream",
        ),
    ):
        core.handle(event, NOW)


def _arrived(request_id: str) -> messages.RequestArrived:
    return messages.RequestArrived(
        request_id=request_id,
        account="volos",
        service="consultations",
        model="lacework",
        chat=request_id,
        route="/v1/chat/completions",
        method="POST",
        path="/v1/chat/completions",
        digest=request_id,
        idempotent=True,
        key="",
        stream=True,
        cost=300,
        cost_class=placement_messages.CostClass.LONG,
        worth=1.0,
        best_effort=False,
        deadline=NOW + datetime.timedelta(seconds=30),
    )


def _data(number: int, event: int) -> messages.AttemptData:
    return messages.AttemptData(
        attempt_id=f"entry-1-18f3a-{number}-1",
        data=EVENT,
        events=1,
        first_event=event,
        tokens=1,
    )
