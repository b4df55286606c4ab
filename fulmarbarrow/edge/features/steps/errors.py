"""Steps over an edge without sockets, above cores that fail."""

from __future__ import annotations

import json
import logging

import behave
from twisted.internet import task
from twisted.internet import testing

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import callers
from fulmarbarrow.edge import directory
from fulmarbarrow.edge import exchange
from fulmarbarrow.edge import own_routes
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.publishing import messages as publishing_messages

BUNDLE = bundles.Bundle(
    service=(
        bundles.Service(
            name="consultations",
            kind=bundles.ServiceKind.MODEL,
            routes=(bundles.Route(path="/v1/chat/completions"),),
            models=(bundles.Model(name="lacework", version="1"),),
        ),
    ),
    account=(
        bundles.Account(
            name="volos",
            key_salt="salt",
            key_digest=directory.key_digest("key", "salt"),
        ),
    ),
)
BODY = b'{"model": "lacework", "messages": []}'


class Transport(testing.StringTransport):
    def loseWriteConnection(self):  # noqa: N802
        self.loseConnection()


def started(event, **fields):
    return messages.ResponseStarted(
        request_id=event.request_id, status=200, **fields
    )


def data(event, text):
    return messages.ResponseData(request_id=event.request_id, data=text)


def fail(event, now):
    raise ValueError("a core that fails")


def fail_in_stream(event, now):
    yield started(event, content_type="text/event-stream")
    yield data(event, b"data: one\n\n")
    # Anything that is not bytes fails when it is written.
    yield data(event, None)


def break_off(event, now):
    yield started(event, content_type="application/json", length=10)
    yield data(event, b'{"a')
    yield messages.ResponseAborted(
        request_id=event.request_id,
        code="upstream_failed",
        ran=messages.Ran.UNKNOWN,
    )


def make_edge(context, handler, bundle=BUNDLE):
    # The failures of these cores are meant; their logs would only distract.
    logging.getLogger("fulmarbarrow.bus").setLevel(logging.CRITICAL)
    clock = clocks.ManualClock()
    bus = context.bus = buses.Bus(clock=clock)
    context.exchanges = exchange.Exchanges()
    context.gone = []
    bus.subscribe(messages.RequestArrived, handler)
    bus.subscribe(
        messages.CallerDisconnected,
        lambda event, _: context.gone.append(event),
    )
    edge = callers.CallersEdge(
        daemon_id="entry-1",
        incarnation=1,
        bus=bus,
        clock=clock,
        metrics=metrics.Metrics(),
        exchanges=context.exchanges,
        limits=defaults.LimitsSection(max_answer_buffer_bytes=66000),
    )
    edge.serve_fixed(own_routes.OwnRoutes(callers=edge))
    if bundle is not None:
        bus.post(
            publishing_messages.ConfigurationChanged(revision=1, bundle=bundle)
        )
    context.transport = Transport()
    context.channel = edge.site.buildProtocol(None)
    context.channel.makeConnection(context.transport)


@behave.given("an edge without a configuration in force")
def step_unconfigured(context):
    make_edge(context, fail, bundle=None)


@behave.when('a request for "{path}" arrives at the edge')
def step_asked(context, path):
    context.channel.dataReceived(
        b"GET %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n\r\n"
        % path.encode()
    )


@behave.then("it tells when to come back")
def step_come_back(context):
    assert b"\r\nRetry-After: " in context.transport.value()


@behave.given("an edge over a core that fails on every request")
def step_fails(context):
    make_edge(context, fail)


@behave.given("an edge over a core that fails on the second part of an answer")
def step_fails_in_stream(context):
    make_edge(context, fail_in_stream)


@behave.given("an edge over a core that breaks off a plain answer")
def step_breaks(context):
    make_edge(context, break_off)


@behave.given(
    "an edge over a core that sends on to a caller that reads nothing"
)
def step_overruns(context):
    def overrun(event, now):
        yield started(event, content_type="application/json", length=10000)
        yield messages.AttemptSent(attempt_id=event.request_id)

    def send_on(event, now):
        context.channel.pauseProducing()
        request = messages.CallerDisconnected(request_id=event.attempt_id)
        return [data(request, b"x" * 400) for _ in range(3)]

    make_edge(context, overrun)
    context.bus.subscribe(messages.AttemptSent, send_on)


@behave.when("a chat arrives at the edge")
def step_arrives(context):
    context.channel.dataReceived(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s"
        % (len(BODY), BODY)
    )


@behave.then('the edge answers {status:d} with code {code} and ran "{ran}"')
def step_answers(context, status, code, ran):
    head, _, body = context.transport.value().partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), head
    start, end = body.index(b"{"), body.rindex(b"}") + 1
    error = json.loads(body[start:end])["error"]
    assert (error["code"], error["ran"]) == (code, ran), error


@behave.then("the edge's stream ends with an error event")
def step_error_event(context):
    value = context.transport.value()
    assert b"data: one\n\n" in value
    assert b'event: error\ndata: {"error":{"code":"internal_error"' in value
    assert not value.endswith(b"0\r\n\r\n"), "the stream looks whole"
    assert context.transport.disconnecting


@behave.then("the edge closes the connection after 3 of 10 bytes")
def step_short(context):
    head, _, body = context.transport.value().partition(b"\r\n\r\n")
    assert b"Content-Length: 10" in head
    assert body == b'{"a'
    assert context.transport.disconnecting


@behave.then("the edge drops the connection")
def step_dropped(context):
    assert context.transport.disconnected


@behave.then("no exchange is open")
def step_closed(context):
    assert len(context.exchanges) == 0


@behave.given(
    "a core that fails at each tick and a watcher of errors that fails too"
)
def step_failing_watcher(context):
    def handle(event, now):
        context.ticks += 1
        raise ValueError("a core that fails")

    def watch(failed):
        raise KeyError("a watcher that fails")

    context.ticks = 0
    context.bus = buses.Bus(clock=clocks.ManualClock())
    context.bus.subscribe(message.Tick, handle)
    context.bus.watch_errors(watch)


@behave.when("{count:d} ticks are due")
def step_ticks(context, count):
    reactor = task.Clock()
    ticks = task.LoopingCall(context.bus.post, message.Tick())
    ticks.clock = reactor
    ticks.start(1.0).addErrback(lambda failure: None)
    reactor.pump([1.0] * (count - 1))


@behave.then("{count:d} ticks were handled")
def step_ticks_handled(context, count):
    assert context.ticks == count, context.ticks


@behave.then("the errors are counted")
def step_errors_counted(context):
    assert context.bus.errors["Tick"] == 2 * context.ticks, context.bus.errors
