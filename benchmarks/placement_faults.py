"""Placement through owner loss, churn, disagreement and fresh engines."""

from __future__ import annotations

import dataclasses
import datetime

from benchmarks import fleet_figures
from benchmarks import fleet_model
from benchmarks import fleet_policies
from benchmarks import fleet_workload
from benchmarks import measure as measures
from fulmarbarrow.placement import bounds as bounds_module

COMMAND = "python -m benchmarks placement_faults"
SEEDS = (11, 12, 13)
LOAD = 0.9
SECONDS = 140.0
MEMBERSHIP_DELAY = 2.0  # seconds until routers hear that an owner is lost
RAMP_SECONDS = 40.0
BOUNDS = bounds_module.Bounds()


def measure() -> list[measures.Measure]:
    """Measure each fault; the worst seed counts."""
    rows = [
        _row(f"{name}, load {LOAD}: above bound", _worst(plan), "%", 0.5)
        for name, plan in (
            ("owner lost", _lose_owner),
            ("router churn", _churn),
            ("two claimants", _two_claimants),
        )
    ]
    for routers, owned in ((8, True), (8, False), (400, False)):
        kind = "owner" if owned else "no owner"
        name = f"fresh engine, {routers} routers, {kind}: work over ramp"
        rows.append(_row(name, _ramp(routers, owned), "", 1.0))
    return rows


def _row(
    name: str, value: float, unit: str, target: float
) -> measures.Measure:
    return measures.Measure(
        slice="placement",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        target=target,
        seed=SEEDS[0],
    )


def _worst(plan) -> float:
    """Return the worst seed's dispatches above the bound, in per cent."""
    parts = []
    for seed in SEEDS:
        fleet = _fleet(fleet_model.Shape(), seed, LOAD, SECONDS)
        fleet.assign_owners()
        plan(fleet)
        fleet.run(SECONDS)
        parts.append(fleet_figures.figures(fleet).breaches)
    return max(parts) * 100


def _fleet(
    shape: fleet_model.Shape, seed: int, load: float, seconds: float
) -> fleet_model.Fleet:
    workload = fleet_workload.Workload(router_skew=0.5)
    if shape.routers > 8:
        workload = dataclasses.replace(workload, router_skew=0.0)
    fleet = fleet_model.Fleet(
        shape=shape, seed=seed, make_router=fleet_policies.make_core()
    )
    fleet.introduce()
    rate = fleet_figures.rate(shape, workload, load)
    fleet.add_jobs(
        workload.jobs(
            rate=rate, seconds=seconds, routers=shape.routers, seed=seed
        )
    )
    return fleet


def _lose_owner(fleet: fleet_model.Fleet) -> None:
    """End a router that owns; the others hear of it after a while."""
    fleet.schedule(60.0, lambda: fleet.kill_router(0))
    at = 60.0 + MEMBERSHIP_DELAY
    fleet.schedule(at, lambda: fleet.assign_owner("engine-0", None, 1))
    fleet.schedule(at + 1, lambda: fleet.assign_owner("engine-0", 3, 2))


def _churn(fleet: fleet_model.Fleet) -> None:
    """End one router after another; each is back after 8 seconds."""
    for number in range(6):
        at = 45.0 + 14.0 * number
        index = number
        taker = (index + 1) % 8
        heard = at + MEMBERSHIP_DELAY
        owned = [f"engine-{other}" for other in range(index + 1)]
        fleet.schedule(at, lambda index=index: fleet.kill_router(index))
        for name in owned:
            fleet.schedule(
                heard,
                lambda name=name, taker=taker, epoch=number + 2: (
                    fleet.assign_owner(name, taker, epoch)
                ),
            )
        fleet.schedule(at + 8, lambda index=index: fleet.revive_router(index))


def _two_claimants(fleet: fleet_model.Fleet) -> None:
    """Let half of the routers know another owner for three seconds."""

    def split() -> None:
        for number, name in enumerate(fleet.records):
            taker = (number + 1) % 8
            event = fleet.owner_event(name, taker, 2)
            for index in {taker, 1, 3, 5, 7}:
                fleet.give(index, event)

    def join() -> None:
        for number, name in enumerate(fleet.records):
            fleet.assign_owner(name, (number + 1) % 8, 2)

    fleet.schedule(60.0, split)
    fleet.schedule(63.0, join)


def _ramp(routers: int, owned: bool) -> float:
    """Return the fresh engine's most work over what its ramp allows."""
    worst = 0.0
    for seed in SEEDS[:1] if routers > 8 else SEEDS:
        shape = fleet_model.Shape(routers=routers)
        if routers > 8:
            shape = dataclasses.replace(shape, tick=0.25, report_interval=1.0)
        fleet = _fleet(shape, seed, 0.7, 10.0 + RAMP_SECONDS)
        if owned:
            fleet.assign_owners()
        fleet.run(10.0)
        fleet.crash_engine("engine-0")
        fleet.add_engine("engine-0", "zone-0", started=10.0, incarnation=2)
        if owned:
            fleet.assign_owner("engine-0", 0, 2)
        fleet.run(10.0 + RAMP_SECONDS)
        worst = max(worst, _over_ramp(fleet, "engine-0", 10.0))
    return worst


def _over_ramp(fleet: fleet_model.Fleet, name: str, started: float) -> float:
    worst = 0.0
    batch = fleet.shape.engine.batch_tokens
    for item in fleet.dispatches:
        if item.engine != name or item.at < started:
            continue
        age = datetime.timedelta(seconds=item.at - started)
        allowed = BOUNDS.ramp_share(age) * BOUNDS.ceiling * batch
        worst = max(worst, (item.before + item.cost) / allowed)
    return worst
