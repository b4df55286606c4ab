"""Steps for the HTTP client to upstreams, over in-memory connections."""

from __future__ import annotations

import datetime

import behave
from twisted.internet import error as internet_errors
from twisted.internet import testing
from twisted.python import failure as failures

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import client
from fulmarbarrow.edge import exchange

URL = "http://10.0.0.1:80"
DEADLINE = datetime.timedelta(seconds=5)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


def create_client(context):
    context.reactor = testing.MemoryReactorClock()
    context.clock = clocks.ManualClock()
    context.bus = buses.Bus(clock=context.clock, strict=True)
    context.exchanges = exchange.Exchanges()
    context.upstreams = client.UpstreamClient(
        reactor=context.reactor,
        bus=context.bus,
        clock=context.clock,
        exchanges=context.exchanges,
    )
    context.failures, context.ended, context.sent_count = [], [], 0
    context.bus.subscribe(
        messages.AttemptFailed, lambda event, _: context.failures.append(event)
    )
    context.bus.subscribe(
        messages.AttemptEnded, lambda event, _: context.ended.append(event)
    )


def send(context, deadline=DEADLINE, lease=None):
    context.sent_count += 1
    request_id = f"entry-1-1-{context.sent_count}"
    context.exchanges.add(
        request_id,
        exchange.Exchange(
            request=None,
            method="POST",
            target="/register/orders",
            body=b"",
            content_type="",
            key=request_id,
        ),
    )
    now = context.clock.now()
    context.bus.post(
        messages.StartAttempt(
            request_id=request_id,
            attempt_id=f"{request_id}-1",
            upstream_id="plain-1",
            incarnation=1,
            url=URL,
            priority=0,
            deadline=now + deadline,
            dispatch_until=now + lease if lease else None,
        )
    )


def connect(context):
    factory = context.reactor.tcpClients[-1][2]
    context.protocol = factory.buildProtocol(None)
    context.transport = testing.StringTransport()
    context.transport.abortConnection = context.transport.loseConnection
    context.protocol.makeConnection(context.transport)


@behave.when("an order is sent {remaining:d} ms before its deadline")
def step_send_before_deadline(context, remaining):
    create_client(context)
    send(context, deadline=milliseconds(remaining))


@behave.when("an order with a lease of {seconds:d} seconds is sent")
def step_send_with_lease(context, seconds):
    create_client(context)
    send(context, lease=datetime.timedelta(seconds=seconds))


@behave.when("its connection is established")
def step_connect(context):
    connect(context)


@behave.when("its connection is established after {after:d} ms")
def step_connect_after(context, after):
    context.clock.advance(milliseconds(after))
    connect(context)


@behave.when("its connection is refused")
def step_connection_refused(context):
    factory = context.reactor.tcpClients[-1][2]
    refused = failures.Failure(internet_errors.ConnectionRefusedError())
    factory.clientConnectionFailed(None, refused)
    context.reactor.advance(1)


@behave.when("the connection is lost")
def step_connection_lost(context):
    lost = failures.Failure(internet_errors.ConnectionLost())
    context.protocol.connectionLost(lost)


@behave.then("the request carries a deadline of {remaining:d} ms")
def step_deadline_header(context, remaining):
    written = context.transport.value()
    assert f"X-Deadline-Ms: {remaining}\r\n".encode() in written, written


@behave.then("the request has been written")
def step_written(context):
    assert context.transport.value().startswith(b"POST /register/orders")


@behave.then("nothing has been written")
def step_not_written(context):
    assert context.transport.value() == b"", context.transport.value()


@behave.then("the attempt has failed as {kind} and sent")
def step_failed_sent(context, kind):
    (failed,) = context.failures
    assert (failed.kind.value, failed.sent) == (kind, True), failed


@behave.then("the attempt has failed as {kind} and not sent")
def step_failed_unsent(context, kind):
    (failed,) = context.failures
    assert (failed.kind.value, failed.sent) == (kind, False), failed


def receive_response(context):
    context.transport.clear()
    context.protocol.dataReceived(RESPONSE)
    context.reactor.advance(0)


@behave.given("a completed order whose connection is kept alive")
def step_kept_alive(context):
    create_client(context)
    send(context)
    connect(context)
    receive_response(context)
    assert len(context.ended) == 1


@behave.when("another order is sent")
def step_send_another(context):
    send(context)


@behave.then("it uses the pooled connection")
def step_pooled_connection(context):
    assert len(context.reactor.tcpClients) == 1, context.reactor.tcpClients
    assert context.transport.value().startswith(b"POST")


@behave.when("it completes and the upstream's connections are suspected")
def step_complete_and_suspect(context):
    receive_response(context)
    assert len(context.ended) == 2
    context.bus.post(
        messages.RetireConnections(upstream_id="plain-1", url=URL)
    )


@behave.then("it uses a new connection")
def step_new_connection(context):
    assert len(context.reactor.tcpClients) == 2
    assert context.transport.value() == b""
