"""Steps that replay loads against the decision."""

from __future__ import annotations

import dataclasses
import datetime
import math

import behave

from benchmarks import scaling_model
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.scaling import decision

NOW = scaling_model.START
SECOND = datetime.timedelta(seconds=1)


@behave.when('the load "{name}" is replayed')
def step_replay(context, name):
    case = next(item for item in scaling_model.CASES if item.name == name)
    context.result = scaling_model.play(case)


@behave.then("at most {share:g} requests in 100 are lost")
@behave.then("at most {share:g} request in 100 is lost")
def step_lost(context, share):
    assert context.result.lost_share <= share / 100, context.result.lost_share


@behave.then(
    "{count:d} or more upstreams are ordered in each zone within"
    " {seconds:d} s of second {start:d}"
)
def step_ordered(context, count, seconds, start):
    for zone in scaling_model.ZONES:
        ordered = context.result.ordered(zone, start, start + seconds)
        assert ordered and ordered[-1] >= count, (zone, ordered)


@behave.then("no zone gets more than {count:d} upstreams")
def step_most(context, count):
    assert max(item[2] for item in context.result.orders) <= count


@behave.then("there are at most {count:d} orders")
def step_calls(context, count):
    assert context.result.calls <= count, context.result.orders


@behave.then(
    'the zones "{first}" and "{second}" have {count:d} or more upstreams'
    " ordered by second {until:d}"
)
def step_taken_over(context, first, second, count, until):
    for zone in (first, second):
        ordered = context.result.ordered(zone, 0, until + 1)
        assert ordered[-1] >= count, (zone, ordered)


@behave.then('zone "{zone}" gets no order after second {second:d}')
def step_unchanged(context, zone, second):
    assert not context.result.ordered(zone, second, 10_000)


@behave.then('no number below {count:d} is ordered for zone "{zone}"')
def step_not_lowered(context, count, zone):
    assert min(context.result.ordered(zone, 0, 10_000)) >= count


@behave.given("steady work for which {count:d} upstreams are ordered")
def step_steady(context, count):
    samples = tuple(
        decision.Sample(at=NOW - age * SECOND, rate=10.0, time=0.25)
        for age in range(60, -1, -2)
    )
    context.zone = decision.Zone(
        name="a",
        samples=samples,
        upstreams=decision.Upstreams(running=count),
        last=decision.LastOrder(wanted=count, at=NOW - 60 * SECOND),
    )
    context.service = decision.Service(
        scaling=bundles.Scaling(least=1, most=9, start_time=8 * SECOND),
        slots=6,
        zones=(context.zone,),
    )


CHANGED_SAMPLES = {
    "a negative rate": {"rate": -1.0},
    "a rate that is NaN": {"rate": math.nan},
    "an infinite rate": {"rate": math.inf},
    "a time of 10^9 s": {"time": 1e9},
    "negative waiting": {"waiting": -5},
    "a router missing": {"complete": False},
}


@behave.given("a second zone with the same work that was lost {age:d} s ago")
def step_lost_zone(context, age):
    samples = tuple(
        dataclasses.replace(sample, rate=80.0)
        for sample in context.zone.samples
        if sample.at <= NOW - age * SECOND
    )
    lost = dataclasses.replace(
        context.zone,
        name="b",
        samples=samples,
        status=decision.ZoneStatus.UNREACHABLE,
    )
    context.service = dataclasses.replace(
        context.service, zones=(context.zone, lost)
    )


@behave.when("{seconds:d} s pass with the same work")
def step_later(context, seconds):
    moved = tuple(
        dataclasses.replace(item, at=item.at + seconds * SECOND)
        for item in context.zone.samples
    )
    zone = dataclasses.replace(context.zone, samples=moved)
    service = dataclasses.replace(
        context.service, zones=(zone, *context.service.zones[1:])
    )
    (context.verdict, _) = decision.decide(service, NOW + seconds * SECOND)


@behave.then("the number is raised to {count:d} or more")
def step_raised(context, count):
    assert context.verdict.wanted >= count, context.verdict


@behave.when("its figures have {fault}")
def step_fault(context, fault):
    zone, service = context.zone, context.service
    samples = zone.samples
    if fault in CHANGED_SAMPLES:
        changed = dataclasses.replace(samples[-3], **CHANGED_SAMPLES[fault])
        samples = (*samples[:-3], changed, *samples[-2:])
    elif fault == "a gap in the window":
        samples = samples[:-9] + samples[-2:]
    elif fault == "no sample":
        samples = ()
    elif fault == "an old last sample":
        samples = samples[:-6]
    elif fault == "no known slots":
        service = dataclasses.replace(service, slots=0)
    elif fault == "no order and no time to register":
        samples = samples[-3:]
        zone = dataclasses.replace(zone, last=None)
    elif fault == "a rollout in progress":
        service = dataclasses.replace(service, rollout=True)
    elif fault == "a raise just before":
        last = dataclasses.replace(zone.last, raised_at=NOW - 7 * SECOND)
        zone = dataclasses.replace(zone, last=last)
    zone = dataclasses.replace(zone, samples=samples)
    service = dataclasses.replace(service, zones=(zone, *service.zones[1:]))
    context.verdict = decision.decide(service, NOW)[0]


@behave.then("the number stays unchanged")
def step_stays(context):
    assert context.verdict.wanted is None, context.verdict


@behave.then("the number is lowered to {count:d}")
def step_lowered(context, count):
    assert context.verdict.wanted == count, context.verdict
