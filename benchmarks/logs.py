"""Cost of the log lines of a request, from the message to the descriptor."""

from __future__ import annotations

import datetime
import logging
import os
import time

from benchmarks import measure as measures
from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.delivery import messages
from fulmarbarrow.observe import decisions
from fulmarbarrow.observe import logs
from fulmarbarrow.placement import messages as placement_messages

COMMAND = "python -m benchmarks logs"
EXCLUSIVE = True
REQUESTS = 10_000
LINES = 3  # of a request that is served: taken, sent, complete
RATE = 11  # requests a second of a daemon at the size to design for


def measure() -> list[measures.Measure]:
    """Log the decisions of served requests into nothing."""
    clock = clocks.SystemClock()
    bus = buses.Bus(clock=clock, strict=True)
    decisions.DecisionLog(bus=bus)
    descriptor = os.open(os.devnull, os.O_WRONLY)
    handler = logs.BoundedHandler(
        descriptor=descriptor, lines_per_second=REQUESTS * LINES
    )
    handler.setFormatter(logs.JsonFormatter())
    logger = decisions.log
    logger.addHandler(handler)
    logger.propagate = False
    logger.setLevel(logging.INFO)
    until = clock.now() + datetime.timedelta(seconds=30)
    started = time.process_time()
    for number in range(REQUESTS):
        _serve(bus, number, until)
    elapsed = time.process_time() - started
    logger.removeHandler(handler)
    logger.propagate = True
    os.close(descriptor)
    line = elapsed / REQUESTS / LINES
    return [
        _row("a line of the decision log", line * 1e6, "us"),
        _row(
            f"decision log at {RATE} requests a second",
            line * LINES * RATE * 100,
            "% of a core",
        ),
    ]


def _serve(bus: buses.Bus, number: int, until: datetime.datetime) -> None:
    """Post what is logged of one request."""
    request = f"entry-1-18f3a-{number}"
    bus.post(
        messages.RequestArrived(
            request_id=request,
            account="volos",
            service="consultations",
            model="lacework",
            chat="chat",
            route="/v1/chat/completions",
            method="POST",
            path="/v1/chat/completions",
            digest="",
            idempotent=True,
            key="",
            stream=True,
            cost=200,
            cost_class=placement_messages.CostClass.SHORT,
            worth=1.0,
            best_effort=False,
            deadline=until,
        )
    )
    bus.post(
        messages.StartAttempt(
            request_id=request,
            attempt_id=f"{request}-1",
            upstream_id="engine-1",
            incarnation=1_800_000_000_000,
            url="http://10.1.200.100:8000",
            priority=1,
            deadline=until,
        )
    )
    bus.post(messages.ResponseEnded(request_id=request))


def _row(name: str, value: float, unit: str) -> measures.Measure:
    return measures.Measure(
        slice="observe", name=name, value=value, unit=unit, command=COMMAND
    )
