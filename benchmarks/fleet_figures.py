"""Figures of one run of the fleet model."""

from __future__ import annotations

import collections
import dataclasses

from benchmarks import fleet_model
from benchmarks import fleet_policies
from benchmarks import fleet_workload

WARM_UP = 40.0  # seconds
SECONDS = 160.0
WINDOW = 10.0  # seconds
STEP = 2.0  # seconds between the starts of windows


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """What one run showed after its warm-up.

    ``skew`` is the busiest engine's placed work over the mean in the worst
    window, ``reuse`` the reused part of all prompt tokens, ``wait`` the
    95th percentile of the time from arrival to the engine's start.
    """

    skew: float
    breaches: float
    reuse: float
    wait: float
    refused: int
    dispatches: int


def run(
    *,
    make_router: fleet_policies.MakeRouter,
    load: float,
    seed: int,
    shape: fleet_model.Shape | None = None,
    workload: fleet_workload.Workload | None = None,
    owned: bool = True,
    seconds: float = SECONDS,
) -> fleet_model.Fleet:
    """Run a fleet at a part of its capacity and return it."""
    shape = shape or fleet_model.Shape()
    workload = workload or fleet_workload.Workload(router_skew=0.5)
    fleet = fleet_model.Fleet(shape=shape, seed=seed, make_router=make_router)
    fleet.introduce()
    if owned:
        fleet.assign_owners()
    fleet.add_jobs(
        workload.jobs(
            rate=rate(shape, workload, load),
            seconds=seconds,
            routers=shape.routers,
            seed=seed,
        )
    )
    fleet.run(seconds)
    return fleet


def rate(
    shape: fleet_model.Shape, workload: fleet_workload.Workload, load: float
) -> float:
    """Return the requests a second that are ``load`` of the capacity."""
    capacity = shape.engines * shape.engine.batch_tokens
    return load * capacity / workload.holding(shape.engine)


def figures(fleet: fleet_model.Fleet, since: float = WARM_UP) -> Figures:
    """Return the figures of a fleet that has run."""
    jobs = [job for job in fleet.jobs if job.arrived >= since]
    started = [job for job in jobs if job.started is not None]
    dispatches = [item for item in fleet.dispatches if item.at >= since]
    prompts = sum(job.prompt_tokens for job in started)
    return Figures(
        skew=skew(fleet, since),
        breaches=sum(item.breach for item in dispatches)
        / max(1, len(dispatches)),
        reuse=sum(job.reused_tokens for job in started) / max(1, prompts),
        wait=percentile([job.started - job.arrived for job in started], 0.95),
        refused=sum(bool(job.refused) for job in jobs),
        dispatches=len(dispatches),
    )


def skew(fleet: fleet_model.Fleet, since: float) -> float:
    """Return the worst window's busiest engine over the mean."""
    worst = 0.0
    start = since
    while start + WINDOW <= fleet.now:
        placed: collections.Counter[str] = collections.Counter()
        for item in fleet.dispatches:
            if start <= item.at < start + WINDOW:
                placed[item.engine] += item.cost
        mean = sum(placed.values()) / len(fleet.engines)
        worst = max(worst, max(placed.values()) / mean)
        start += STEP
    return worst


def percentile(values: list[float], part: float) -> float:
    """Return the value that ``part`` of all values do not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
