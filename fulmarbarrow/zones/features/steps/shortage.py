"""Steps for the admission threshold."""

from __future__ import annotations

import datetime

import behave
import hypothesis
from hypothesis import strategies

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.limits import core as limits_core
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.observe import metrics
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.zones import messages
from fulmarbarrow.zones import shortage

SERVICE = "consultations"
COST = 100

DEMANDS = strategies.dictionaries(
    strategies.integers(min_value=-40, max_value=40),
    strategies.integers(min_value=1, max_value=5_000),
    min_size=1,
    max_size=12,
)
CAPACITIES = strategies.integers(min_value=1, max_value=20_000)


def compute_threshold(demand, capacity, short=False):
    return shortage.compute_threshold(
        SERVICE, steps=demand, capacity=capacity, short=short
    )


def admitted_part(threshold, worth, cost=COST):
    admitted = sum(
        threshold.admits(worth=worth, cost=cost, request_id=f"r-{number}")
        for number in range(2_000)
    )
    return admitted / 2_000


def step_of_worth(worth):
    return messages.density_step(worth=worth, cost=COST)


@behave.given("a shortage of capacity")
def step_short(context):
    context.short = True


@behave.when(
    "a demand of {tokens:d} tokens per second meets a capacity of {capacity:d}"
)
def step_demand(context, tokens, capacity):
    short = getattr(context, "short", False)
    context.threshold = compute_threshold(
        {step_of_worth(1.0): tokens}, capacity, short
    )


@behave.when(
    "a demand of {tokens:d} tokens per second each at worth 4, 2 and 1 meets "
    "{capacity:d}"
)
def step_three_worths(context, tokens, capacity):
    demand = {step_of_worth(worth): tokens for worth in (4.0, 2.0, 1.0)}
    context.threshold = compute_threshold(demand, capacity)


@behave.then("everything is admitted")
def step_everything(context):
    assert context.threshold.floor == 0
    assert admitted_part(context.threshold, 0.001) == 1


@behave.then("capacity is still short")
def step_still_short(context):
    assert context.threshold.floor > 0


@behave.then("all work of worth {worth:g} is admitted")
def step_all_admitted(context, worth):
    assert admitted_part(context.threshold, worth) == 1


@behave.then("about {part:g} of the work of worth {worth:g} is admitted")
def step_part_admitted(context, part, worth):
    assert abs(admitted_part(context.threshold, worth) - part) < 0.04


@behave.then("no work of worth {worth:g} is admitted")
def step_none_admitted(context, worth):
    assert admitted_part(context.threshold, worth) == 0


def admitted_tokens(threshold, demand):
    if threshold.floor <= 0:
        return dict(demand)
    floor = messages.density_step(worth=threshold.floor, cost=1)
    parts = {
        step: 1.0 if step > floor else threshold.part * (step == floor)
        for step in demand
    }
    return {step: demand[step] * parts[step] for step in demand}


@behave.then(
    "over {count:d} random demands the admitted work fits the capacity"
)
def step_fits_capacity(context, count):
    @hypothesis.settings(max_examples=count, derandomize=True, deadline=None)
    @hypothesis.given(DEMANDS, CAPACITIES)
    def check(demand, capacity):
        admitted = admitted_tokens(compute_threshold(demand, capacity), demand)
        assert sum(admitted.values()) <= capacity + 1e-6

    check()


@behave.then(
    "over {count:d} random demands no refused work has more worth than "
    "admitted work"
)
def step_highest_worth_admitted(context, count):
    @hypothesis.settings(max_examples=count, derandomize=True, deadline=None)
    @hypothesis.given(DEMANDS, CAPACITIES)
    def check(demand, capacity):
        threshold = compute_threshold(demand, capacity)
        admitted = admitted_tokens(threshold, demand)
        refused = [step for step in demand if admitted[step] < demand[step]]
        served = [step for step in demand if admitted[step] > 0]
        assert not refused or not served or max(refused) <= min(served)
        if refused:
            used = sum(admitted.values())
            assert used >= shortage.USABLE_FRACTION * capacity - 1e-6

    check()


@behave.given(
    "an admission threshold at a worth of {worth:g} for {cost:d} tokens"
)
def step_threshold(context, worth, cost):
    context.now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    context.limits = limits_core.LimitsCore(metrics=metrics.Metrics())
    accounts = tuple(
        bundles.Account(
            name=name,
            key_salt="",
            key_digest="",
            priority=share > 0,
            reserved_share=share,
        )
        for name, share in (("volos", 0.0), ("inspectorate", 0.1))
    )
    changed = publishing_messages.ConfigurationChanged(
        revision=1, bundle=bundles.Bundle(account=accounts)
    )
    context.limits.handle(changed, context.now)
    short = messages.AdmissionThreshold(service=SERVICE, floor=worth / cost)
    context.limits.handle(short, context.now)


@behave.when("the capacity is sufficient again")
def step_sufficient(context):
    context.limits.handle(
        messages.AdmissionThreshold(service=SERVICE), context.now
    )


@behave.when("accounts ask for {cost:d} tokens")
def step_accounts(context, cost):
    for number, row in enumerate(context.table):
        (answer,) = context.limits.handle(
            limits_messages.AdmitRequest(
                request_id=f"request-{number}",
                account=row["account"],
                service=SERVICE,
                cost=cost,
                worth=float(row["worth"]),
                deadline=context.now + datetime.timedelta(seconds=30),
            ),
            context.now,
        )
        outcome = getattr(answer, "code", "admitted")
        assert outcome == row["outcome"], (row, answer)
