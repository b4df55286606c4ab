"""Priority, fairness and cost classes on the real cores."""

from __future__ import annotations

import collections
import dataclasses

from benchmarks import fleet_engine
from benchmarks import fleet_figures
from benchmarks import fleet_model
from benchmarks import fleet_policies
from benchmarks import fleet_workload
from benchmarks import measure as measures
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.limits import policy as policies
from fulmarbarrow.placement import messages

COMMAND = "python -m benchmarks limits"
SEEDS = (11, 12, 13)
QUIET = 21 * 86400.0  # seconds
FIRST_TOKEN = 1.1  # seconds
WARM_UP = 20.0  # seconds
SECONDS = 80.0
WINDOW = 10.0  # seconds
ACCOUNTS = 10
PRIORITY = "inspectorate"
LONG = fleet_workload.Workload(router_skew=0.5)
SHORT = dataclasses.replace(
    LONG,
    name="short",
    account="tagger",
    accounts=1,
    max_prompt=200,
    mean_answer=20,
    cost_class=messages.CostClass.SHORT,
)


def measure() -> list[measures.Measure]:
    """Measure each promise; the worst seed counts."""
    first = [_priority(seed) for seed in SEEDS]
    without = [_priority(seed, right=False) for seed in SEEDS]
    queued = [_jain(seed, fleet_policies.make_core()) for seed in SEEDS]
    rendezvous = fleet_policies.make_simple(fleet_policies.PlainRendezvous)
    unqueued = [_jain(seed, rendezvous) for seed in SEEDS]
    quick = [_quick(seed, True) for seed in SEEDS]
    mixed = [_quick(seed, False) for seed in SEEDS]
    least = measures.Bound.AT_LEAST
    return [
        _row("priority at 3 x capacity: first token in 1.1 s",
             min(item[0] for item in first) * 100, "%", 95.0, least),
        _row("priority at 3 x capacity: refused",
             max(item[1] for item in first), "", 0.0),
        _row("same account without its right: first token in 1.1 s",
             min(item[0] for item in without) * 100, "%"),
        _row("Jain index of equal backlogged accounts, any 10 s",
             min(queued), "", 0.95, least),
        _row("Jain index without fair queues, any 10 s",
             min(unqueued), ""),
        _row("short class: p99 first token beside long over alone",
             max(quick), "", 2.0),
        _row("the same without slots of its own", max(mixed), ""),
    ]  # fmt: skip


def _row(
    name: str,
    value: float,
    unit: str,
    target: float | None = None,
    bound: measures.Bound = measures.Bound.AT_MOST,
) -> measures.Measure:
    return measures.Measure(
        slice="limits",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        target=target,
        bound=bound,
        seed=SEEDS[0],
    )


def _policy(*, right: bool = True, mixed: bool = False) -> policies.Policy:
    """Return the policy of a bundle with a priority account."""
    classes = [messages.CostClass.LONG]
    if mixed:
        classes.append(messages.CostClass.SHORT)
    routes = tuple(
        bundles.Route(path=f"/{item.value}", cost_class=item)
        for item in classes
    )
    policy = policies.Policy()
    policy.configure(
        bundles.Bundle(
            service=(
                bundles.Service(
                    name=LONG.service,
                    kind=bundles.ServiceKind.MODEL,
                    routes=routes,
                ),
            ),
            account=(
                bundles.Account(
                    name=PRIORITY,
                    key_salt="",
                    key_digest="",
                    priority=right,
                    reserved_share=0.1,
                ),
            ),
        )
    )
    return policy


def _fleet(seed: int, maker: fleet_policies.MakeRouter) -> fleet_model.Fleet:
    fleet = fleet_model.Fleet(
        shape=fleet_model.Shape(), seed=seed, make_router=maker
    )
    fleet.introduce()
    fleet.assign_owners()
    return fleet


def _add(
    fleet: fleet_model.Fleet,
    workload: fleet_workload.Workload,
    load: float,
    seed: int,
    start: float = 0.0,
) -> None:
    """Add jobs that are ``load`` of the fleet's capacity."""
    rate = fleet_figures.rate(fleet.shape, workload, load)
    jobs = workload.jobs(
        rate=rate,
        seconds=SECONDS,
        routers=fleet.shape.routers,
        seed=seed,
        start=start,
    )
    fleet.add_jobs(jobs)


def _first_token(job: fleet_engine.Job, model: fleet_engine.EngineModel):
    """Return the time from arrival to the first token, in seconds."""
    fresh = job.prompt_tokens - job.reused_tokens
    prefill = fresh / model.prefill_tokens_per_second
    return job.started - job.arrived + prefill + model.token_interval


def _priority(seed: int, right: bool = True) -> tuple[float, int]:
    """Return the part of first tokens in time, and the refusals.

    The account works, is quiet for three weeks, and returns while others
    offer three times what the fleet can do.
    """
    maker = fleet_policies.make_core(policy=_policy(right=right))
    fleet = _fleet(seed, maker)
    account = dataclasses.replace(
        LONG, name="priority", account=PRIORITY, accounts=1, chats=100
    )
    _add(fleet, account, 0.03, seed)
    fleet.run(SECONDS)
    fleet.now = QUIET
    before = len(fleet.jobs)
    _add(fleet, LONG, 3.0, seed, QUIET)
    _add(fleet, account, 0.03, seed + 1, QUIET)
    fleet.run(QUIET + SECONDS)
    jobs = [
        job
        for job in fleet.jobs[before:]
        if job.request.account == PRIORITY
        and job.arrived < QUIET + SECONDS - FIRST_TOKEN
    ]
    model = fleet.shape.engine
    in_time = sum(
        job.started is not None and _first_token(job, model) <= FIRST_TOKEN
        for job in jobs
    )
    return in_time / len(jobs), sum(bool(job.refused) for job in jobs)


def _jain(seed: int, maker: fleet_policies.MakeRouter) -> float:
    """Return the worst window's Jain index of work given to accounts.

    Each account offers more than its part, from 1.5 to 4 times.
    """
    fleet = _fleet(seed, maker)
    for index in range(ACCOUNTS):
        account = dataclasses.replace(
            LONG,
            name=f"a{index}",
            account=f"account-{index}",
            accounts=1,
            router_skew=0.5 * (index % 5),
        )
        factor = 1.5 + 2.5 * index / (ACCOUNTS - 1)
        _add(fleet, account, factor / ACCOUNTS, seed)
    fleet.run(SECONDS)
    worst = 1.0
    start = WARM_UP
    while start + WINDOW <= SECONDS:
        given: collections.Counter[str] = collections.Counter()
        for job in fleet.jobs:
            if job.started is not None and (
                start <= job.started < start + WINDOW
            ):
                given[job.request.account] += job.request.cost
        total = sum(given.values())
        squares = sum(value**2 for value in given.values())
        worst = min(worst, total**2 / (ACCOUNTS * squares))
        start += 2.0
    return worst


def _quick(seed: int, slots: bool) -> float:
    """Return the short class's p99 first token beside long over alone."""
    alone = _quick_p99(seed, slots, 0.0)
    return _quick_p99(seed, slots, 0.9) / alone


def _quick_p99(seed: int, slots: bool, load: float) -> float:
    fleet = _fleet(seed, fleet_policies.make_core(policy=_policy(mixed=slots)))
    _add(fleet, SHORT, 0.02, seed)
    if load:
        _add(fleet, LONG, load, seed)
    fleet.run(SECONDS)
    waits = [
        _first_token(job, fleet.shape.engine)
        for job in fleet.jobs
        if job.request.account == SHORT.account
        and job.started is not None
        and job.arrived >= WARM_UP
    ]
    return fleet_figures.percentile(waits, 0.99)
