"""Steps for the table of error codes and retry delays."""

from __future__ import annotations

import datetime
import random

import behave

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import recovery
from fulmarbarrow.delivery import refusals
from fulmarbarrow.delivery import state
from fulmarbarrow.placement import messages as placement_messages
from tools import errors_page


@behave.then("the errors page equals the output of its generator")
def step_page_current(context):
    assert errors_page.PAGE.read_text() == errors_page.page()


@behave.then('every refusal that says "no" or "yes" has a proof')
def step_definite_has_proof(context):
    for refusal in refusals.REFUSALS.values():
        if refusal.ran is not messages.Ran.UNKNOWN:
            assert refusal.proof, refusal.code


@behave.then('no refusal that says "unknown" has a proof')
def step_unknown_has_no_proof(context):
    for refusal in refusals.REFUSALS.values():
        if refusal.ran is messages.Ran.UNKNOWN:
            assert not refusal.proof, refusal.code


@behave.given("a request of which an attempt may have run")
def step_may_have_run(context):
    context.request = state.Request(
        arrival=messages.RequestArrived(
            request_id="entry-1-1-1",
            account="volos",
            service="register",
            model="",
            chat="",
            route="/",
            method="GET",
            path="/",
            digest="d",
            idempotent=True,
            key="",
            stream=False,
            cost=1,
            cost_class=placement_messages.CostClass.SHORT,
            worth=1.0,
            best_effort=False,
            deadline=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
        ),
        may_have_run=True,
    )


@behave.then('a refusal with {code} gets a code that says "unknown"')
def step_code_replaced(context, code):
    replacement = recovery.accurate_code(context.request, code)
    assert refusals.REFUSALS[replacement].ran is messages.Ran.UNKNOWN, (
        replacement
    )


START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)


@behave.given(
    "a router that starts at 0 ms and upstreams that are available at "
    "{available:d} ms"
)
def step_router_starting(context, available):
    context.retry_delays = refusals.RetryDelays(
        rng=random.Random(1), started=START
    )
    context.available_at = available


@behave.when("callers are refused with {codes} until then")
def step_refused_until(context, codes):
    context.retry_times = [
        at
        + context.retry_delays.for_code(code, START + at * MILLISECOND)
        / MILLISECOND
        for code in codes.split(" and ")
        for at in range(0, context.available_at, 50)
    ]


@behave.then(
    "none of them retries before {available:d} ms, and not all within "
    "{spread:d} ms"
)
def step_retry_times(context, available, spread):
    times = context.retry_times
    assert min(times) >= available, min(times)
    assert max(times) - min(times) > spread, (min(times), max(times))


@behave.then(
    "a caller refused with {code} after a minute waits {least:d} to "
    "{most:d} ms"
)
def step_delay_after_startup(context, code, least, most):
    minute = START + datetime.timedelta(minutes=1)
    for _ in range(50):
        wait = context.retry_delays.for_code(code, minute) / MILLISECOND
        assert least <= wait <= most, wait
