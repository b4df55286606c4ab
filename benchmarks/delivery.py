"""Fault schedules over the joined cores, and single mechanisms."""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses

from benchmarks import delivery_faults as faults
from benchmarks import delivery_trials as trials
from benchmarks import measure as measures
from fulmarbarrow.delivery import policy

COMMAND = "python -m benchmarks delivery"
SEED = 20_261_204
SCHEDULES = 10_000
CHUNK = 500
PROCESSES = 2
CHECKS = (
    ("ran_twice", "orders run twice"),
    ("false_not_run", 'false "not run"'),
    ("wrong_answers", "answers mixed, short or doubled"),
    ("never_answered", "requests never answered nor refused"),
    ("cut_by_stop", "requests cut by a planned stop"),
)
SABOTAGED = 500
MECHANISMS = {
    "journal": "ran_twice",
    "proof_of_not_run": "ran_twice",
    "echo_check": "wrong_answers",
    "completeness": "wrong_answers",
    "resume_check": "wrong_answers",
    "silence": "never_answered",
}
FAILURES = ("refuse", "error", "cut", "unreachable")


def measure() -> list[measures.Measure]:
    """Count violations over all schedules; measure retries and poison."""
    return [
        *_schedules(),
        *_without(),
        *_retries(),
        *_poison(),
        _silence(),
    ]


def _schedules() -> list[measures.Measure]:
    seeds = [SEED + number for number in range(SCHEDULES // CHUNK)]
    counts: collections.Counter[str] = collections.Counter()
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for found in pool.map(_chunk, seeds):
            counts.update(found)
    return [
        measures.Measure(
            slice="delivery",
            name=f"{text} in {SCHEDULES} fault schedules",
            value=counts[name],
            unit="count",
            command=COMMAND,
            target=0,
            seed=SEED,
        )
        for name, text in CHECKS
    ]


def _chunk(seed: int) -> dict[str, int]:
    """Run some schedules; return the number of violations by check."""
    counts: collections.Counter[str] = collections.Counter()
    for _, findings in faults.explore(CHUNK, seed):
        for name, _ in CHECKS:
            counts[name] += len(getattr(findings, name))
    return dict(counts)


def _without() -> list[measures.Measure]:
    """Show that each check fails when its mechanism is off."""
    return [
        measures.Measure(
            slice="delivery",
            name=f"of {SABOTAGED} schedules, {name} without {mechanism}",
            value=_violating(mechanism, name),
            unit="schedules",
            command=COMMAND,
            target=1,
            bound=measures.Bound.AT_LEAST,
            seed=SEED,
        )
        for mechanism, name in MECHANISMS.items()
    ]


def _violating(mechanism: str, name: str) -> int:
    mechanisms = dataclasses.replace(policy.Mechanisms(), **{mechanism: False})
    schedules = faults.schedules(SABOTAGED, SEED, mechanisms)
    return sum(
        bool(getattr(faults.run(schedule)[1], name)) for schedule in schedules
    )


def _retries() -> list[measures.Measure]:
    rows = []
    without = dataclasses.replace(policy.Mechanisms(), retry_budget=False)
    for mechanisms, text, target in (
        (None, "", 1.1),
        (without, ", without a budget", None),
    ):
        worst = max(
            trials.failing_pool(
                how,
                requests=4000,
                routers=8,
                seconds=60,
                seed=SEED,
                mechanisms=mechanisms,
            ).calls_per_request
            for how in FAILURES
        )
        rows.append(
            measures.Measure(
                slice="delivery",
                name=f"upstream calls a request, pool fails wholly{text}",
                value=worst,
                unit="calls",
                command=COMMAND,
                target=target,
                seed=SEED,
            )
        )
    return rows


def _poison() -> list[measures.Measure]:
    rows = []
    without = dataclasses.replace(policy.Mechanisms(), quarantine=False)
    for mechanisms, text, target in (
        (None, "", 2),
        (without, ", without quarantine", None),
    ):
        worst = max(
            trials.poison(
                resends=50,
                routers=8,
                engines=6,
                seed=SEED + number,
                mechanisms=mechanisms,
            )
            for number in range(10)
        )
        rows.append(
            measures.Measure(
                slice="delivery",
                name=f"upstreams crashed by a request sent 50 times{text}",
                value=worst,
                unit="crashes",
                command=COMMAND,
                target=target,
                seed=SEED,
            )
        )
    worst = max(
        trials.poison_at_once(copies=8, engines=6, seed=SEED + number)
        for number in range(10)
    )
    rows.append(
        measures.Measure(
            slice="delivery",
            name="upstreams crashed by 8 copies sent at once",
            value=worst,
            unit="crashes",
            command=COMMAND,
            seed=SEED,
        )
    )
    return rows


def _silence() -> measures.Measure:
    gaps = [trials.silent_stream(SEED + number) for number in range(20)]
    longest, whole = zip(*gaps, strict=True)
    if not all(whole):
        raise AssertionError("a silent connection left an answer broken")
    return measures.Measure(
        slice="delivery",
        name="longest gap in a stream whose connection went silent",
        value=max(longest),
        unit="s",
        command=COMMAND,
        seed=SEED,
    )
