"""Steps about the memory of request bodies."""

from __future__ import annotations

import datetime

import behave

from fulmarbarrow import clock as clocks
from fulmarbarrow.edge import held_bytes

KIB = 1 << 10
BUDGET_BYTES = 1000 * KIB


def held(context):
    if not hasattr(context, "held"):
        context.clock = clocks.ManualClock()
        context.held = held_bytes.HeldBytes(limit_bytes=BUDGET_BYTES)
        context.verdicts = {}
    return context.held


def refuse(context, keys):
    for key in keys:
        context.verdicts[key] = held_bytes.Verdict.REFUSED


def reserve(context, key, address, size):
    decision = held(context).reserve(
        key, address, size * KIB, context.clock.now()
    )
    refuse(context, decision.evicted)
    context.verdicts[key] = decision.verdict


@behave.when('"{key}" at "{address}" reserves {size:d} KiB')
def step_reserve(context, key, address, size):
    reserve(context, key, address, size)


@behave.when("{count:d} small bodies of {size:d} KiB are reserved")
def step_small(context, count, size):
    for number in range(count):
        reserve(context, number, f"small-{number}", size)


@behave.when(
    '{count:d} small bodies of {size:d} KiB are reserved at "{place}"'
)
def step_small_at(context, count, size, place):
    for number in range(count):
        reserve(context, number, place, size)


@behave.when("{milliseconds:d} ms pass")
def step_pass(context, milliseconds):
    held(context)
    context.clock.advance(datetime.timedelta(milliseconds=milliseconds))


@behave.when('"{key}" makes progress')
def step_progress(context, key):
    held(context).progress(key, BUDGET_BYTES, context.clock.now())


@behave.when('"{key}" has got {size:d} KiB')
def step_received(context, key, size):
    held(context).progress(key, size * KIB, context.clock.now())


@behave.when('"{key}" is complete')
def step_complete(context, key):
    held(context).complete(key, 0)


@behave.when('"{key}" is released')
def step_release(context, key):
    held(context).release(key)


@behave.when("the waiting bodies are reviewed")
def step_review(context):
    review = held(context).review(context.clock.now())
    refuse(context, review.refused)
    for key in review.granted:
        context.verdicts[key] = held_bytes.Verdict.GRANTED


@behave.then('"{key}" is granted')
def step_granted(context, key):
    assert context.verdicts[key] is held_bytes.Verdict.GRANTED


@behave.then('"{key}" waits')
def step_waits(context, key):
    assert context.verdicts[key] is held_bytes.Verdict.WAIT


@behave.then('"{key}" is refused')
def step_refused(context, key):
    assert context.verdicts[key] is held_bytes.Verdict.REFUSED


@behave.then("{count:d} small bodies are granted")
def step_small_granted(context, count):
    granted = [
        key
        for key, verdict in context.verdicts.items()
        if isinstance(key, int) and verdict is held_bytes.Verdict.GRANTED
    ]
    assert len(granted) == count, context.verdicts
