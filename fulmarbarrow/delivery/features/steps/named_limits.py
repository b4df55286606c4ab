"""Steps for limits that upstreams name."""

from __future__ import annotations

import datetime

import behave

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import named_limits
from fulmarbarrow.delivery import state
from fulmarbarrow.placement import messages as placement_messages

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)


@behave.when(
    "an answer to an attempt sent at {sent:d} ms names {named} at {now:d} ms"
)
def step_answer(context, sent, named, now):
    if not hasattr(context, "limits"):
        context.limits = named_limits.NamedLimits()
    placed = placement_messages.Placed(
        request_id="r",
        attempt_id="r-1",
        upstream_id="u",
        incarnation=1,
        url="http://u",
        version="",
    )
    sent_at = START + sent * MILLISECOND
    attempt = state.Attempt(
        attempt_id="r-1",
        purpose=state.Purpose.RUN,
        placed=placed,
        sent_at=sent_at,
        progress_at=sent_at,
    )
    rate = float(named.split()[0]) if named.endswith("a second") else None
    head = messages.AttemptHeaders(
        attempt_id="r-1",
        status=200,
        echoed_attempt="r-1",
        rate_limit=rate,
        rate_limit_unreadable=named == "noise",
    )
    context.reported = context.limits.read(
        attempt, head, START + now * MILLISECOND
    )


@behave.then("the limit {rate:g} is reported")
def step_reported(context, rate):
    assert [item.rate for item in context.reported] == [rate]


@behave.then("nothing is reported")
def step_not_reported(context):
    assert context.reported == [], context.reported


@behave.then("the end of the limit is reported")
def step_end_reported(context):
    assert [item.rate for item in context.reported] == [None]


@behave.when("the upstream is gone")
def step_gone(context):
    context.limits.forget("u")


@behave.then("{count:d} upstream is known to have a limit")
def step_known(context, count):
    assert len(context.limits) == count, len(context.limits)
