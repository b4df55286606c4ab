"""Steps on workers' requests and answers."""

from __future__ import annotations

import datetime
import time

import behave

from fulmarbarrow.delivery import messages
from fulmarbarrow.edge import exchange as exchanges
from fulmarbarrow.edge import sse
from fulmarbarrow.platform import workers

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)
KILOBYTE = 1 << 10
MEGABYTE = 1 << 20


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
    send(context, start(resume_offset=event + 1))


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


@behave.when(
    "the worker answers {status:d} on a kept connection with the fields "
    '"{fields}"'
)
def step_answer_kept(context, status, fields):
    step_answer(context, status, fields, kept=True)


@behave.when('the worker answers {status:d} with the fields "{fields}"')
def step_answer(context, status, fields, *, kept=False):
    parts = [item.partition(":") for item in fields.split("; ")]
    pairs = [(name, value.strip()) for name, _, value in parts]
    context.answer = workers.Workers().answer(
        start(),
        exchange(),
        status,
        [(name.encode(), value.encode()) for name, value in pairs],
        kept=kept,
    )


@behave.then("the answer {belongs} to the attempt and {run}")
def step_belongs(context, belongs, run):
    echoed = context.answer.echoed_attempt == "edge-1-1"
    assert echoed is (belongs == "belongs"), context.answer
    assert context.answer.not_run is (run == "has not run"), context.answer


@behave.then("the answer names {limit}")
def step_names_limit(context, limit):
    answer = context.answer
    unreadable = limit == "one that can't be read"
    assert answer.rate_limit_unreadable is unreadable, answer
    expected = None
    if limit.startswith("the limit"):
        expected = float(limit.rpartition(" ")[2])
    assert answer.rate_limit == expected, answer


@behave.then("it bears {count} refusals a second")
def step_bears(context, count):
    assert str(context.answer.refusals_borne) == count, context.answer


@behave.given("a stream of a worker")
def step_stream(context):
    context.splitter = workers.IdSplitter()
    context.broken = False


@behave.when('the bytes "{text}" arrive')
def step_bytes(context, text):
    data = text.replace("\\n", "\n").encode()
    try:
        context.part = context.splitter.feed(data)
    except sse.BrokenStreamError:
        context.broken = True


@behave.then("the events {ids} are passed on as they came")
def step_events(context, ids):
    wanted = tuple(map(int, ids.split(", ")))
    assert context.part.ids == wanted, context.part
    lines = b"".join(b"id: %d\ndata: x\n\n" % number for number in wanted)
    assert context.part.data == lines, context.part


@behave.when("the body ends")
def step_end(context):
    context.unfinished_bytes = context.splitter.unfinished_bytes
    context.part = context.splitter.rest()


@behave.then("event {event:d} is passed on as it came")
def step_event(context, event):
    part = context.part
    assert part.ids == (event,), part
    assert part.data.startswith(b"id: %d\ndata: " % event), part


@behave.then("nothing more is passed on")
def step_nothing(context):
    assert context.part.data == b""


@behave.then("{count:d} bytes of an event are unfinished")
def step_unfinished(context, count):
    assert context.unfinished_bytes == count, context.unfinished_bytes


@behave.then('the last bytes are "{text}"')
def step_last(context, text):
    assert context.part.data == text.encode(), context.part


@behave.then("the stream is broken")
def step_broken(context):
    assert context.broken


@behave.given("a stream of the platform after event {event:d}")
def step_platform_stream(context, event):
    step_stream(context)


@behave.given("a stream of the product itself after event {event:d}")
def step_own_stream(context, event):
    context.splitter = sse.EventSplitter(first=event)
    context.broken = False


@behave.when("an event with an id of {digits:d} digits arrives")
def step_long_id(context, digits):
    step_bytes(context, f"id: {'1' * digits}\ndata: a\n\n")


@behave.when("{size:d} MB of one event arrive in reads of {read:d} KB")
def step_endless(context, size, read):
    context.taken = 0
    step_bytes(context, "id: 1\ndata: ")
    for _ in range(size * MEGABYTE // (read * KILOBYTE)):
        if context.broken:
            return
        step_bytes(context, "x" * read * KILOBYTE)
        context.taken += read * KILOBYTE


@behave.then("the stream is broken after at most {most:d} KB")
def step_broken_after(context, most):
    assert context.broken
    assert context.taken <= most * KILOBYTE, context.taken


@behave.when("an event of {size:d} KB arrives in reads of {read:d} KB")
def step_large_event(context, size, read):
    context.event = b"id: 1\ndata: " + b"x" * size * KILOBYTE + b"\n\n"
    context.parts = []
    for start in range(0, len(context.event), read * KILOBYTE):
        piece = context.event[start : start + read * KILOBYTE]
        context.parts.append(context.splitter.feed(piece).data)


@behave.then("it is passed on whole")
def step_whole(context):
    assert b"".join(context.parts) == context.event


@behave.when(
    "{size:d} MB without an end arrive in reads of {read:d} KB below the bound"
)
def step_below_bound(context, size, read):
    buffer = sse.EventBuffer(max_event_bytes=2 * size * MEGABYTE)
    began = time.process_time()
    for _ in range(size * MEGABYTE // (read * KILOBYTE)):
        assert buffer.feed(b"x" * read * KILOBYTE) == b""
    context.seconds = time.process_time() - began


@behave.then("that takes under {most:d} s of processor time")
def step_linear(context, most):
    assert context.seconds < most, context.seconds


@behave.then("its load is {load}")
def step_load(context, load):
    stated = context.answer.load
    found = "not stated"
    if stated is not None:
        found = (
            f"{stated.running} {stated.waiting} {stated.slots} {stated.pace}"
        )
    assert found == load, found
