"""Steps on the log's handler."""

from __future__ import annotations

import json
import logging
import os
import time

import behave

from fulmarbarrow.observe import logs
from tools import log_reference


def make(context, lines):
    context.reader, context.writer = os.pipe()
    os.set_blocking(context.writer, False)
    os.set_blocking(context.reader, False)
    context.now = 100.0
    context.handler = logs.BoundedHandler(
        descriptor=context.writer,
        lines_per_second=lines,
        seconds=lambda: context.now,
    )
    context.handler.setFormatter(logs.JsonFormatter())
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, context.writer)


def emit(context, level=logging.INFO, text="done", **fields):
    record = logging.makeLogRecord(
        {
            "name": "test",
            "levelno": level,
            "levelname": logging.getLevelName(level),
            "msg": text,
            **fields,
        }
    )
    context.handler.emit(record)


def read(context):
    data = b""
    while True:
        try:
            part = os.read(context.reader, 1 << 20)
        except BlockingIOError:
            break
        data += part
    return data


def lines(context):
    return [json.loads(line) for line in read(context).splitlines()]


@behave.given("a log of {count:d} lines a second")
def step_log(context, count):
    make(context, count)


@behave.given("a log whose reader does not read")
def step_stuck(context):
    make(context, 1_000)


@behave.when(
    "{good:d} successes and {bad:d} failures are logged within a second"
)
def step_emit(context, good, bad):
    for _ in range(good):
        emit(context)
    for _ in range(bad):
        emit(context, level=logging.WARNING, text="failed")


@behave.then("{good:d} successes and {bad:d} failures are written")
def step_written(context, good, bad):
    texts = [line["text"] for line in lines(context)]
    assert (texts.count("done"), texts.count("failed")) == (good, bad)


@behave.when("the next second begins with a line")
def step_next(context):
    context.now += 1
    emit(context)


@behave.then("a line tells that {count:d} of {level} were left out")
def step_left_out(context, count, level):
    first = lines(context)[0]
    assert first["text"] == "log lines left out", first
    assert first["lines"] == {level: count}, first


@behave.when("{count:d} lines are logged within {seconds:d} seconds")
def step_many(context, count, seconds):
    began = time.monotonic()
    for number in range(count):
        context.now = 100.0 + number * seconds / count
        emit(context, text="a line of some length " * 4)
    context.took = time.monotonic() - began


@behave.then("that takes less than {seconds:d} s and at most 256 KB wait")
def step_bounded(context, seconds):
    assert context.took < seconds
    assert context.handler._waiting_bytes <= logs.MAX_WAITING_BYTES


@behave.when("the reader reads again")
def step_reads(context):
    context.data = b""
    for _ in range(50):
        part = read(context)
        context.data += part
        context.now += 1
        emit(context)


@behave.then("every line that it gets is whole")
def step_whole(context):
    whole = context.data.rpartition(b"\n")[0].splitlines()
    assert len(whole) > 100
    for line in whole:
        json.loads(line)


@behave.when(
    'a line is logged with the fields request "{name}" and age {age:d}'
)
def step_fields(context, name, age):
    emit(context, request=name, age_ms=age)


@behave.then(
    'the line has text, level, time, request "{name}" and age {age:d}'
)
def step_has(context, name, age):
    (line,) = lines(context)
    assert {"text", "level", "time"} <= set(line), line
    assert (line["request"], line["age_ms"]) == (name, age), line


@behave.when("the table of log events is generated")
def step_generate(context):
    context.page = log_reference.page()


@behave.then("it is the same as in the user guide")
def step_current(context):
    written = log_reference.PAGE.read_text()
    assert written == context.page, "run python -m tools.log_reference"
