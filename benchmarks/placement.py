"""Skew, reuse and wait of placement beside simple policies."""

from __future__ import annotations

from benchmarks import fleet_figures
from benchmarks import fleet_policies
from benchmarks import measure as measures
from fulmarbarrow.placement import bounds as bounds_module

COMMAND = "python -m benchmarks placement"
SEEDS = (11, 12, 13)
OTHER_SEEDS = SEEDS[:2]  # of the policies that have no target
LOADS = (0.7, 0.9)
SKEW_TARGET = 1.25
WAIT_TARGET = 2.0
REUSE_TARGETS = {0.7: 0.95, 0.9: 0.90}
LEAST_WAIT = 0.02  # seconds; one token interval, waits below count as it
BATCH_MARGIN = 0.75  # of the floor, to see what a lower one costs

_RENDEZVOUS = fleet_policies.make_simple(fleet_policies.PlainRendezvous)
_ALL_SEEING = fleet_policies.make_simple(fleet_policies.AllSeeing)
_OWNED = fleet_policies.make_core()
_OTHERS = {
    "round robin": fleet_policies.make_simple(fleet_policies.RoundRobin),
    "least loaded": fleet_policies.make_simple(fleet_policies.LeastLoaded),
    "bounded own work": fleet_policies.make_simple(fleet_policies.BoundedOwn),
}


def measure() -> list[measures.Measure]:
    """Run every policy at both loads; the worst seed counts."""
    rows: list[measures.Measure] = []
    for load in LOADS:
        rows.extend(_compare(load))
    return rows


def _compare(load: float) -> list[measures.Measure]:
    plain = _runs(_RENDEZVOUS, load)
    seeing = _runs(_ALL_SEEING, load)
    owned = _runs(_OWNED, load)
    rows = _rows(f"reservations, load {load}", owned, plain, load, True)
    rows.append(_wait_ratio(load, owned, seeing))
    alone = _runs(_OWNED, load, seeds=OTHER_SEEDS, owned=False)
    rows.extend(_rows(f"sliver rules, load {load}", alone, plain, load))
    low = bounds_module.Bounds(floor=BATCH_MARGIN)
    lower = _runs(
        fleet_policies.make_core(bounds=low), load, seeds=OTHER_SEEDS
    )
    name = f"floor {BATCH_MARGIN} batch, load {load}"
    rows.extend(_rows(name, lower, plain, load))
    rows.extend(_without_window(load, plain))
    rows.extend(_rows(f"all-seeing, load {load}", seeing, plain, load))
    rows.extend(_rows(f"plain rendezvous, load {load}", plain, plain, load))
    for name, maker in _OTHERS.items():
        runs = _runs(maker, load, seeds=OTHER_SEEDS)
        rows.extend(_rows(f"{name}, load {load}", runs, plain, load))
    return rows


def _without_window(
    load: float, plain: list[fleet_figures.Figures]
) -> list[measures.Measure]:
    """Bound only the work in flight, and move any chat alike."""
    bounds = bounds_module.Bounds(
        placed_factor=0.0, uncached_part=1.0, stranger_part=1.0
    )
    maker = fleet_policies.make_core(bounds=bounds)
    runs = _runs(maker, load, seeds=OTHER_SEEDS)
    return _rows(f"work in flight alone, load {load}", runs, plain, load)


def _runs(
    maker: fleet_policies.MakeRouter,
    load: float,
    *,
    seeds: tuple[int, ...] = SEEDS,
    owned: bool = True,
) -> list[fleet_figures.Figures]:
    fleets = [
        fleet_figures.run(make_router=maker, load=load, seed=seed, owned=owned)
        for seed in seeds
    ]
    return [fleet_figures.figures(fleet) for fleet in fleets]


def _rows(
    name: str,
    runs: list[fleet_figures.Figures],
    plain: list[fleet_figures.Figures],
    load: float,
    bound: bool = False,
) -> list[measures.Measure]:
    reuse = min(
        run.reuse / other.reuse
        for run, other in zip(runs, plain, strict=False)
    )
    skew = max(run.skew for run in runs)
    breaches = max(run.breaches for run in runs) * 100
    wait = max(run.wait for run in runs)
    least = measures.Bound.AT_LEAST
    reuse_target = REUSE_TARGETS[load]
    return [
        _row(name, "busiest/mean in 10 s", skew, "", SKEW_TARGET, bound),
        _row(name, "above bound", breaches, "%", 0.0, bound),
        _row(name, "reuse", reuse, "of plain", reuse_target, bound, least),
        _row(name, "p95 wait", wait, "s", None, False),
    ]


def _wait_ratio(
    load: float,
    owned: list[fleet_figures.Figures],
    seeing: list[fleet_figures.Figures],
) -> measures.Measure:
    ratio = max(
        max(LEAST_WAIT, mine.wait) / max(LEAST_WAIT, other.wait)
        for mine, other in zip(owned, seeing, strict=True)
    )
    name = f"reservations, load {load}"
    what = "p95 wait over all-seeing"
    return _row(name, what, ratio, "", WAIT_TARGET, True)


def _row(
    name: str,
    what: str,
    value: float,
    unit: str,
    target: float | None,
    bound: bool,
    side: measures.Bound = measures.Bound.AT_MOST,
) -> measures.Measure:
    return measures.Measure(
        slice="placement",
        name=f"{name}: {what}",
        value=value,
        unit=unit,
        command=COMMAND,
        target=target if bound else None,
        bound=side,
        seed=SEEDS[0],
    )
