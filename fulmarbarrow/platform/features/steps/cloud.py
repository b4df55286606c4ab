"""Steps on calls to the platform, over loopback connections."""

from __future__ import annotations

import datetime
import json
import time

import behave
import msgspec
from twisted.internet import reactor
from twisted.web import server

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.config import options
from fulmarbarrow.duties import messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.platform import cloud
from fulmarbarrow.scaling import messages as scaling_messages
from fulmarbarrow.standins import cloud as standin
from fulmarbarrow.usage import messages as usage_messages

TIMEOUT = datetime.timedelta(milliseconds=300)
LIMIT = 8.0  # seconds until a step gives up


@behave.given('a stand-in of the platform and a client named "{name}"')
def start(context, name):
    context.cloud = standin.Cloud(reactor=reactor)
    port = reactor.listenTCP(
        0, server.Site(context.cloud), interface="127.0.0.1"
    )
    context.add_cleanup(port.stopListening)
    _add_client(context, name, port.getHost().port)


@behave.given('a platform that is down and a client named "{name}"')
def start_down(context, name):
    port = reactor.listenTCP(0, server.Site(None), interface="127.0.0.1")
    number = port.getHost().port
    port.stopListening()
    _run(lambda: False, 0.02)
    _add_client(context, name, number)


@behave.given("the platform behaves as {text}")
def behave_as(context, text):
    context.cloud.behaviour = msgspec.json.decode(text, type=standin.Behaviour)


@behave.when("usage of window {window:d} is reported with number {number:d}")
def report(context, window, number):
    _report(context, window, number)


@behave.when("usage is reported under a lease that ends before the connection")
def report_late(context):
    _report(context, 1, 12, lease=0.0005)
    time.sleep(0.01)


@behave.when(
    '{count:d} upstreams of "{service}" in "{zone}" are ordered with '
    "number {number:d}"
)
def order(context, count, service, zone, number):
    _order(context, service, zone, count, number)


@behave.when(
    "two orders for a subject are given and the subject is lost at once"
)
def order_and_lose(context):
    for count in (1, 2):
        _order(context, "s", "z", count, 12)
    context.bus.post(
        messages.DutyLost(
            duty=messages.Duty.SCALING, subject="s/z", number=12, reason="test"
        )
    )


@behave.when("{orders:d} orders and {reports:d} reports are given at once")
def give_many(context, orders, reports):
    for index in range(orders):
        _order(context, f"s{index}", "z", 1, 12, lease=LIMIT)
    for index in range(reports):
        _report(context, index, 12, lease=LIMIT)


@behave.step('the outcomes are "{text}"')
def check_outcomes(context, text):
    wanted = text.split(", ")
    _run(lambda: len(context.ended) >= len(wanted))
    got = [item.outcome.value for item in context.ended]
    context.last, context.ended[:] = context.ended[-1], []
    assert got == wanted, got


@behave.then('all {count:d} outcomes are "{text}"')
def check_all(context, count, text):
    check_outcomes(context, ", ".join([text] * count))


@behave.then("the platform has carried out")
def check_accepted(context):
    got = [
        (item.holder, str(item.number), item.subject, item.body)
        for item in context.cloud.accepted
    ]
    wanted = [
        (
            row["holder"],
            row["number"],
            row["subject"],
            json.loads(row["body"]),
        )
        for row in context.table
    ]
    assert sorted(got, key=str) == sorted(wanted, key=str), got


@behave.then(
    "the platform has carried out {count:d} calls within {seconds:g} seconds"
)
def check_count(context, count, seconds):
    _run(lambda: len(context.cloud.accepted) > count, seconds)
    assert len(context.cloud.accepted) == count, context.cloud.accepted


@behave.then("the platform has received {count:d} calls")
def check_received(context, count):
    _run(lambda: len(context.cloud.received) > count, 0.1)
    assert len(context.cloud.received) == count, context.cloud.received


@behave.then("the client may call again after {seconds:g} seconds")
def check_retry(context, seconds):
    left = context.last.retry_after.total_seconds()
    assert seconds - 1 < left <= seconds, left


def _add_client(context, name, port):
    clock = clocks.SystemClock()
    context.clock = clock
    context.bus = buses.Bus(clock=clock, strict=True)
    context.ended = []
    context.bus.subscribe(
        messages.CallEnded, lambda event, _: context.ended.append(event)
    )
    cloud.CloudClient(
        reactor=reactor,
        bus=context.bus,
        clock=clock,
        metrics=metrics_module.Metrics(),
        settings=defaults.DutiesSection(
            address=options.Address(host="127.0.0.1", port=port),
            name=name,
            call_timeout=TIMEOUT,
        ),
        daemon_id="d",
    )


def _report(context, window, number, *, lease=3.0):
    context.bus.post(
        usage_messages.ReportUsage(
            call_id=f"u{window}",
            holder="d",
            number=number,
            window=window,
            counts=(("hule930", 412),),
            valid_until=context.clock.now()
            + datetime.timedelta(seconds=lease),
        )
    )


def _order(context, service, zone, count, number, *, lease=3.0):
    context.bus.post(
        scaling_messages.OrderUpstreams(
            call_id=f"o{service}{zone}{count}",
            holder="d",
            number=number,
            service=service,
            zone=zone,
            wanted=count,
            valid_until=context.clock.now()
            + datetime.timedelta(seconds=lease),
        )
    )


def _run(done, seconds=LIMIT):
    """Let the reactor work until something is done."""
    until = time.monotonic() + seconds
    while not done() and time.monotonic() < until:
        reactor.iterate(0.005)
