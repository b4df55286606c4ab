"""Steps on workers' requests and answers."""

from __future__ import annotations

import datetime

import behave

from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import exchange as exchanges
from fulmarbarrow.edge import sse
from fulmarbarrow.platform import workers

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)


def start(**fields):
    given = {
        "request_id": "edge-1",
        "attempt_id": "edge-1-1",
        "upstream_id": "i-7f",
        "incarnation": 1,
        "url": "http://10.0.0.1:80",
        "priority": 0,
        "deadline": NOW,
        **fields,
    }
    return messages.StartAttempt(**given)


def exchange(**fields):
    return exchanges.Exchange(
        request=None,
        method="POST",
        target="/lo/2f",
        body=b"",
        content_type="",
        key="",
        echo="r1",
        **fields,
    )


def send(context, started, left=1000, **fields):
    context.head = workers.Workers().request(
        started, exchange(**fields), left * MILLISECOND
    )


@behave.when(
    'an attempt of rank {rank:d} goes to worker "{worker}" for tenant '
    '"{tenant}" with {left:d} ms left'
)
def step_attempt(context, rank, worker, tenant, left):
    started = start(upstream_id=worker, rank=rank)
    send(context, started, left, account=tenant)


@behave.when("an attempt resumes after event {event:d}")
def step_resume(context, event):
    send(context, start(resume_offset=event))


@behave.when('an attempt may fetch from "{url}"')
def step_fetch(context, url):
    send(context, start(fetch_from=url))


@behave.then("the worker gets")
def step_gets(context):
    fields = {
        name.decode(): value.decode() for name, value in context.head.fields
    }
    for row in context.table:
        assert fields.get(row["name"]) == row["value"], fields


@behave.when('the worker answers {status:d} with the fields "{fields}"')
def step_answer(context, status, fields):
    pairs = [item.split(": ") for item in fields.split("; ")]
    context.answer = workers.Workers().answer(
        start(),
        exchange(),
        status,
        [(name.encode(), value.encode()) for name, value in pairs],
    )


@behave.then("the answer {belongs} to the attempt and {run}")
def step_belongs(context, belongs, run):
    echoed = context.answer.echoed_attempt == "edge-1-1"
    assert echoed is (belongs == "belongs"), context.answer
    assert context.answer.not_run is (run == "has not run"), context.answer


@behave.given("a stream after event {event:d}")
def step_stream(context, event):
    context.splitter = workers.IdSplitter(after=event)
    context.broken = False


@behave.when('the bytes "{text}" arrive')
def step_bytes(context, text):
    data = text.replace("\\n", "\n").encode()
    try:
        context.part = context.splitter.feed(data)
    except sse.BrokenStreamError:
        context.broken = True


@behave.when("the body ends")
def step_end(context):
    context.part = context.splitter.rest()


@behave.then("event {event:d} is passed on as it came")
def step_event(context, event):
    part = context.part
    assert (part.first_event, part.events) == (event - 1, 1), part
    assert part.data.startswith(b"id: %d\ndata: " % event), part


@behave.then("nothing more is passed on")
def step_nothing(context):
    assert context.part.data == b""


@behave.then('the last bytes are "{text}"')
def step_last(context, text):
    assert context.part.data == text.encode(), context.part


@behave.then("the stream is broken")
def step_broken(context):
    assert context.broken
