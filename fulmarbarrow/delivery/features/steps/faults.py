"""Steps for fault injection into the delivery and journal cores."""

from __future__ import annotations

import dataclasses
import datetime

import behave

from benchmarks import delivery_faults as faults
from benchmarks import delivery_poison_parts as poison_parts
from benchmarks import delivery_poison_requests as poison_requests
from benchmarks import delivery_trials as trials
from fulmarbarrow.delivery import attempt
from fulmarbarrow.delivery import policy
from fulmarbarrow.delivery import request
from fulmarbarrow.journal import entry

SEED = 7
SCHEDULES_PER_MECHANISM = 300

# Faults without which a request or entry never reaches the state.
PREREQUISITE_FAULTS = {
    ("request", "waiting"): "engine cuts its answer",
    ("request", "sealing"): "register refuses before running",
    ("request", "marking"): "register cuts its answer",
    ("entry", "sealed"): "register refuses before running",
    ("entry", "unknown"): "register cuts its answer",
}

# Faults that a mechanism handles and that random schedules rarely contain.
TARGETED_FAULTS = {
    "resume_check": (
        "engine cuts its answer",
        "engine ignores the resume offset",
    ),
    "silence": ("engine goes silent", "engine sends nothing"),
    "proof_of_not_run": ("register cuts its answer",),
}

# Final states: the machine is discarded at once, so no fault can occur.
FINAL_STATES = {
    "request": {"closed"},
    "attempt": {"whole", "broken", "cancelled"},
    "entry": set(),
}
MACHINES = {
    "request": set(request.STATES),
    "attempt": set(attempt.STATES),
    "entry": set(entry.STATES),
}
covered_states: dict[str, set[str]] = {"request": set(), "attempt": set()}


def disable(mechanism):
    return dataclasses.replace(policy.Mechanisms(), **{mechanism: False})


@behave.when("each fault is injected while a {machine} is {name}")
def step_inject_each(context, machine, name):
    covered_states.setdefault(machine, set()).add(name)
    prerequisite = PREREQUISITE_FAULTS.get((machine, name))
    context.not_injected, context.violations = [], []
    for number, fault in enumerate(sorted(faults.FAULTS)):
        schedule = faults.Schedule(
            seed=number,
            strikes=((1, fault),),
            prepared=(prerequisite,) if prerequisite else (),
        )
        trigger = faults.in_stage(machine, name)
        _, findings, injected = faults.run(schedule, trigger)
        if not injected:
            context.not_injected.append(fault)
        context.violations += [(fault, text) for text in findings.all]


@behave.then("every fault has been injected")
def step_all_injected(context):
    assert not context.not_injected, context.not_injected


@behave.then("no invariant is violated")
def step_no_violation(context):
    assert not context.violations, context.violations


@behave.then("the states of the three machines are those of the fault matrix")
def step_states_covered(context):
    for machine, states in MACHINES.items():
        assert covered_states[machine] == states - FINAL_STATES[machine], (
            machine
        )


@behave.when("{count:d} seeded fault schedules run")
def step_run_schedules(context, count):
    context.violations = [
        (schedule, text)
        for schedule, findings in faults.explore(count, SEED)
        for text in findings.all
    ]


@behave.when("engines cut streams and pass over an event as they resume")
def step_pass_over(context):
    context.violations, context.struck = [], []
    for seed in range(20):
        schedule = faults.Schedule(
            seed=seed,
            strikes=((1, "engine cuts its answer"),),
            prepared=("engine resumes after a later event",),
        )
        _, findings, struck = faults.run(
            schedule, faults.in_stage("attempt", "answering")
        )
        context.struck.append(struck)
        context.violations += [(seed, text) for text in findings.all]


@behave.then("each stream was cut")
def step_each_cut(context):
    assert all(context.struck), context.struck


@behave.when(
    "fault schedules run without {mechanism} until one violates an invariant"
)
def step_run_schedules_without(context, mechanism):
    schedules = faults.schedules(
        SCHEDULES_PER_MECHANISM,
        SEED,
        disable(mechanism),
        TARGETED_FAULTS.get(mechanism, ()),
    )
    context.violation_types = set()
    for schedule in schedules:
        findings = vars(faults.run(schedule)[1])
        context.violation_types |= {
            name for name, texts in findings.items() if texts
        }
        if context.violation_types:
            return


@behave.then("the violations include {violation}")
def step_violation_found(context, violation):
    assert violation in context.violation_types, context.violation_types


@behave.when("a router is paused past its lease while an order is looked up")
def step_router_paused(context):
    context.violations = faults.late_dispatch(check_lease=True).all


@behave.then('without the lease check before sending, "not run" is false')
def step_lease_unchecked(context):
    assert faults.late_dispatch(check_lease=False).false_not_run


def calls_per_request(context, requests, mechanisms):
    return max(
        trials.failing_pool(
            failure,
            requests=requests,
            routers=context.routers,
            seconds=10,
            seed=SEED,
            mechanisms=mechanisms,
        ).calls_per_request
        for failure in ("refuse", "error", "cut", "unreachable")
    )


@behave.when(
    "{requests:d} look-ups go through {routers:d} routers to a pool that "
    "always fails"
)
def step_failing_pool(context, requests, routers):
    context.requests, context.routers = requests, routers


@behave.then("there are at most {limit:g} upstream calls per request")
def step_call_limit(context, limit):
    calls = calls_per_request(context, context.requests, None)
    assert calls <= limit, calls


@behave.then("without the budget there are more than {least:g}")
def step_calls_without_budget(context, least):
    calls = calls_per_request(context, 80, disable("retry_budget"))
    assert calls > least, calls


@behave.when(
    "a poison request is sent {times:d} times through {routers:d} routers"
)
def step_poison(context, times, routers):
    context.trial_options = {
        "resends": times,
        "routers": routers,
        "engines": 6,
        "seed": SEED,
    }


@behave.then("at most {limit:d} upstreams crashed")
def step_crash_limit(context, limit):
    crashes = trials.poison(**context.trial_options)
    assert 0 < crashes <= limit, crashes


@behave.then("without quarantine more than {least:d} crashed")
def step_crashes_without_quarantine(context, least):
    crashes = trials.poison(
        **context.trial_options, mechanisms=disable("quarantine")
    )
    assert crashes > least, crashes


POSITIONS = {"first": 0, "second": 1}
SERIES_SEEDS = range(8)


def run_series(context, place, **options):
    context.outcomes = [
        poison_parts.Series(
            seed=seed, position=POSITIONS[place], **options
        ).run()
        for seed in SERIES_SEEDS
    ]


@behave.when(
    "requests whose prompt has a crashing {place} part go through {routers:d} "
    "routers"
)
def step_poison_part(context, place, routers):
    run_series(context, place, routers=routers)


@behave.when(
    "requests whose prompt has a crashing {place} part go through {routers:d} "
    "routers, one of which restarts"
)
def step_poison_part_restart(context, place, routers):
    run_series(context, place, routers=routers, restarted=True)


@behave.when(
    "a crashing part comes to {routers:d} routers and {engines:d} engines "
    "with {rate:d} requests a second"
)
def step_poison_part_region(context, routers, engines, rate):
    series = poison_parts.Series(
        seed=SEED,
        routers=routers,
        engines=engines,
        sound_gap=datetime.timedelta(seconds=1) / rate,
        second_parts=300,
    )
    context.outcomes = [series.run()]


WAYS = {"together": poison_requests.TOGETHER, "isolated": None}


@behave.when(
    "a request crashes upstreams through {routers:d} routers, suspects run "
    "{way}, and {loss}"
)
def step_poison_request(context, routers, way, loss):
    context.outcomes = [
        poison_requests.Series(
            seed=seed,
            loss=poison_requests.Loss(loss),
            routers=routers,
            retries=WAYS[way],
        ).run()
        for seed in range(4)
    ]


@behave.then(
    "it reaches no upstream later than 3 s after the crashes that make it "
    "known"
)
def step_stays_known(context):
    late = [outcome.late_arrivals for outcome in context.outcomes]
    assert max(late) == 0, context.outcomes


@behave.then("the sound requests go on")
def step_sound_go_on(context):
    served = [outcome.served for outcome in context.outcomes]
    assert min(served) == 1, context.outcomes


@behave.then("each router gets at most {limit:d} KB of reports in any second")
def step_report_bytes(context, limit):
    for outcome in context.outcomes:
        assert 0 < outcome.bytes_per_router <= limit * 1000, outcome


@behave.then(
    "at most {limit:d} of them are sent later than 3 s after the fifth crash"
)
def step_late_arrivals(context, limit):
    late = [outcome.late_arrivals for outcome in context.outcomes]
    assert max(late) <= limit, context.outcomes


@behave.then("the sound requests are served as before 6 s after it")
def step_sound_served(context):
    for outcome in context.outcomes:
        assert outcome.served_before > 0.99, outcome
        assert outcome.served_after > 0.99, outcome


@behave.when("the connection of a stream goes silent")
def step_silent_connection(context):
    context.gap, context.complete = trials.silent_stream(SEED)


@behave.then("the stream resumes within {limit:g} seconds of the last event")
def step_resume_gap(context, limit):
    assert context.gap <= limit, context.gap


@behave.then("the caller's response is complete")
def step_response_complete(context):
    assert context.complete
