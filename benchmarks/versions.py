"""Seeded version moves, good and bad, on the real cores."""

from __future__ import annotations

import concurrent.futures as futures
import statistics
import time

from benchmarks import measure as measures
from benchmarks import version_model
from fulmarbarrow.versions import messages

COMMAND = "python -m benchmarks versions"
GOOD_MOVES = 400
BAD_MOVES_EACH = 75
PROCESSES = 4


def measure() -> list[measures.Measure]:
    """Play 1,000 moves: 400 good ones and 75 of each fault."""
    rows = [*_good(), *_modes()]
    for fault in version_model.Fault:
        if fault is not version_model.Fault.NONE:
            rows.extend(_bad(fault))
    return rows


def _play(
    cases: list[version_model.Case],
) -> list[version_model.Outcome]:
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(_play_one, cases, chunksize=10))


def _play_one(case: version_model.Case) -> version_model.Outcome:
    return version_model.Play(case).run()


def _modes() -> list[measures.Measure]:
    """Compare ways to change an engine's version, on good moves."""
    rows = []
    for mode in version_model.LoadMode:
        outcomes = _play(
            [version_model.Case(seed=seed, mode=mode) for seed in range(20)]
        )
        rows.append(
            _row(
                f"load by {mode}: lowest serving capacity",
                min(outcome.lowest_serving for outcome in outcomes),
                "share",
            )
        )
    return rows


def _row(
    name: str,
    value: float,
    unit: str,
    target: float | None = None,
    bound: measures.Bound = measures.Bound.AT_MOST,
) -> measures.Measure:
    return measures.Measure(
        slice="versions",
        name=name,
        value=value,
        unit=unit,
        target=target,
        bound=bound,
        seed=0,
        command=COMMAND,
    )


def _good() -> list[measures.Measure]:
    started = time.process_time()
    single = version_model.Play(version_model.Case(seed=0)).run()
    spent = time.process_time() - started
    outcomes = _play(
        [version_model.Case(seed=seed) for seed in range(GOOD_MOVES)]
    )
    completed = [
        outcome.phase is messages.Phase.COMPLETED for outcome in outcomes
    ]
    return [
        _row(
            "good versions taken back",
            1 - sum(completed) / len(completed),
            "share",
            0.01,
        ),
        _row(
            "good versions done by the deadline",
            sum(completed) / len(completed),
            "share",
            1.0,
            measures.Bound.AT_LEAST,
        ),
        _row(
            "processor time of cores and model an attempt",
            spent / single.attempts * 1e6,
            "us",
        ),
    ]


def _bad(fault: version_model.Fault) -> list[measures.Measure]:
    outcomes = _play(
        [
            version_model.Case(seed=seed, fault=fault)
            for seed in range(BAD_MOVES_EACH)
        ]
    )
    found = [
        (outcome.found_at - outcome.shown_at).total_seconds()
        for outcome in outcomes
        if outcome.found_at and outcome.shown_at
    ]
    taken_back = sum(
        outcome.phase is messages.Phase.ROLLED_BACK for outcome in outcomes
    )
    hurt = max(outcome.hurt / outcome.attempts for outcome in outcomes)
    return [
        _row(
            f"{fault}: moves taken back",
            taken_back / len(outcomes),
            "share",
            1.0,
            measures.Bound.AT_LEAST,
        ),
        _row(f"{fault}: worst share hurt until seen", hurt, "share", 0.05),
        _row(
            f"{fault}: hurt from 2 s after",
            sum(outcome.hurt_late for outcome in outcomes),
            "attempts",
            0,
        ),
        _row(
            f"{fault}: median time to detection",
            statistics.median(found) if found else 0.0,
            "s",
        ),
    ]
