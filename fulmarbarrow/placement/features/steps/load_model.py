"""Steps for the model of one upstream and the choice by it."""

from __future__ import annotations

import collections
import datetime
import random
import types

import behave

from fulmarbarrow.membership import messages as membership
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import ledger
from fulmarbarrow.placement import load_model
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import plain_choice
from fulmarbarrow.placement import plain_states

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)


def upstream(name, model=""):
    return membership.Upstream(
        upstream_id=name,
        incarnation=2,
        sequence=1,
        zone=name,
        url=f"http://{name}",
        offers=(membership.Offer(service="s", model=model),),
        batch_tokens=600,
        tokens_per_second=6_000,
        state=membership.UpstreamState.SERVING,
        started_at=NOW - datetime.timedelta(hours=1),
        slots=6,
    )


@behave.given("an owner of a plain upstream")
def step_owner(context, model=""):
    context.upstream = upstream("u", model)
    context.owned = types.SimpleNamespace(
        ledger=ledger.Ledger(
            upstream=context.upstream,
            epoch=1,
            owned_since=NOW,
            placed_window=datetime.timedelta(seconds=10),
        )
    )
    context.models = load_model.LoadModels(owned={"u": context.owned})


@behave.given("an owner of an engine with {held:d} requests and the mean of 5")
def step_engine(context, held):
    step_owner(context, "m")
    for number in range(held):
        context.owned.ledger.add(
            ledger.Reservation(
                attempt_id=str(number),
                holder="h",
                account="a",
                cost=1,
                cost_class=messages.CostClass.LONG,
                priority=ledger.Priority.LONG,
                expires_at=NOW + ledger.LEASE,
            ),
            NOW,
        )
    context.owned.ledger.recent_chats.touch(7)


def read(context, pace, at, incarnation=2):
    reading = messages.LoadReading(
        upstream_id="u",
        incarnation=incarnation,
        load=messages.ServerLoad(running=1, waiting=0, slots=6, pace=pace),
        age_ms=0,
    )
    context.models.record(
        messages.LoadReadings(readings=(reading,)), NOW + at * MILLISECOND
    )


@behave.when(
    "its pace is read as {one:d} at {at:d} ms and as {two:d} at {then:d} ms"
)
def step_read(context, one, at, two, then):
    read(context, one, at)
    read(context, two, then)


@behave.when("its pace is read as {pace:d} of an older incarnation")
def step_read_older(context, pace):
    read(context, pace, 0, incarnation=1)


@behave.then("no pace of it is known")
def step_no_pace(context):
    assert context.models.get(context.upstream) is None


@behave.then(
    "its pace is above {low:d} at {at:d} ms and below {high:d} at {then:d} ms"
)
def step_pace(context, low, at, high, then):
    model = context.models.get(context.upstream)
    assert model.pace(NOW + at * MILLISECOND) > low
    assert model.pace(NOW + then * MILLISECOND) < high


@behave.when("{count:d} requests of {ms:d} ms are measured there")
def step_measured(context, count, ms):
    sample = messages.TimeSample(
        upstream_id="u",
        incarnation=2,
        service=1,
        count=count,
        first_ms=count * ms,
        total_ms=count * ms,
    )
    context.models.record(
        messages.LoadReadings(readings=(), times=(sample,)), NOW
    )


@behave.then("its throughput is {tokens:d} tokens a second")
def step_throughput(context, tokens):
    now = NOW + 100 * MILLISECOND
    found = context.models.tokens_per_second(context.upstream, now)
    assert round(found) == tokens, found


def defers(context, chat, at):
    event = messages.Reserve(
        reply_to="r",
        attempt_id="x",
        upstream_id="u",
        incarnation=2,
        owner_epoch=1,
        account="a",
        service="s",
        cost=1,
        cost_class=messages.CostClass.LONG,
        worth=1.0,
        wait_ms=0,
        deadline_ms=1_000,
        chat=chat,
        stage=messages.ReserveStage.HOME,
    )
    now = NOW + at * MILLISECOND
    return context.models.defers(context.owned, event, 5.0, now)


@behave.then("it defers a chat that is not cached but none that is")
def step_defers(context):
    assert defers(context, 8, 200)
    assert not defers(context, 7, 200)


@behave.then("it defers none after {at:d} ms")
def step_defers_none(context, at):
    assert not defers(context, 8, at)


@behave.when(
    "{count:d} routers know since {age:d} ms that one of 3 upstreams is idle"
)
def step_old_states(context, count, age):
    directory = directories.Directory()
    for name in ("u0", "u1", "u2"):
        directory.store_upstream(upstream(name))
    states = plain_states.PlainStates(
        directory=directory,
        models=load_model.LoadModels(owned={}),
        owned={},
        own_address="r",
    )
    states.record(
        [
            messages.PlainState(
                upstream=plain_states.state_key(name),
                ahead=ahead,
                slots=6,
                request_ms=60,
                pace=100,
                pace_age_ms=0,
                mean_pace=100,
            )
            for name, ahead in (("u0", 0), ("u1", 7), ("u2", 7))
        ],
        NOW,
    )
    context.first = collections.Counter(
        plain_choice.PlainChoice(
            directory=directory, states=states, rng=random.Random(number)
        ).ranked(["u2", "u1", "u0"], "elsewhere", NOW + age * MILLISECOND)[0]
        for number in range(count)
    )


@behave.then("between {low:d} and {high:d} of them choose that one first")
def step_first(context, low, high):
    assert low <= context.first["u0"] <= high, context.first
