"""Steps on how long an attempt may make no progress."""

from __future__ import annotations

import datetime

import behave

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import policy
from fulmarbarrow.delivery import state
from fulmarbarrow.edge import sse
from fulmarbarrow.placement import messages as placement_messages

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
TIME_LEFT = datetime.timedelta(seconds=4)
STREAMS = ("resumable stream", "stream that must run once")
ONCE = ("stream that must run once", "order")


@behave.given(
    "{first:d} ms for a first event, {between:d} ms between events and "
    "{stalled:d} s for a stall"
)
def step_timeouts(context, first, between, stalled):
    context.timeouts = policy.Timeouts(
        first_event=first * MILLISECOND,
        between_events=between * MILLISECOND,
        stalled=stalled * SECOND,
    )


@behave.given(
    "a {kind} with {attempts:d} attempts, of which {failed:d} failed"
)
def step_request(context, kind, attempts, failed):
    context.request = state.Request(
        arrival=messages.RequestArrived(
            request_id="r1",
            account="",
            service="s",
            model="",
            chat="c",
            route="r",
            method="POST",
            path="/",
            digest="",
            idempotent=kind not in ONCE,
            key="",
            stream=kind in STREAMS,
            cost=1,
            cost_class=placement_messages.CostClass.SHORT,
            worth=1.0,
            best_effort=False,
            deadline=NOW + TIME_LEFT,
            attempts=attempts,
        ),
        possible_runs=failed,
    )


@behave.given("its attempt {stage}")
def step_attempt(context, stage):
    context.attempt = state.Attempt(
        attempt_id="r1-1",
        purpose=state.Purpose.RUN,
        placed=None,
        sent_at=NOW,
        progress_at=NOW,
    )
    if stage == "has an event":
        context.attempt.headers = messages.AttemptHeaders(
            attempt_id="r1-1",
            status=200,
            echoed_attempt="r1-1",
            content_type="text/event-stream",
        )
        context.attempt.time_to_first_token = MILLISECOND


@behave.then("it may be silent for {limit}")
def step_limit(context, limit):
    found = policy.silence_timeout(
        context.request, context.attempt, context.timeouts
    )
    wanted = None
    if limit != "no limit":
        wanted = int(limit.removesuffix(" ms")) * MILLISECOND
    assert found == wanted, found


@behave.given("a stream of events at its first event")
def step_stream(context):
    context.splitter = sse.EventSplitter()


@behave.when("a comment, an empty block and half an event arrive")
def step_no_progress(context):
    pieces = (b": keep-alive\n\n", b"\n\n", b":a\n:b\n\n", b"data: ha")
    context.parts = [context.splitter.feed(piece) for piece in pieces]


@behave.then("nothing is passed on and the next event has the same number")
def step_none(context):
    assert all(part.data == b"" for part in context.parts), context.parts
    part = context.splitter.feed(b"lf\n\n")
    assert (part.first_event, part.events) == (0, 1), part
    assert part.data == b"data: half\n\n", part


def unescape(text):
    return text.replace("\\r", "\r").replace("\\n", "\n").encode()


@behave.when('"{first}" and "{second}" arrive')
def step_arrive(context, first, second):
    pieces = (unescape(first), unescape(second))
    context.parts = [context.splitter.feed(piece) for piece in pieces]


@behave.then('the events are "{text}"')
def step_events(context, text):
    found = b"".join(part.data for part in context.parts)
    assert found == unescape(text), found
