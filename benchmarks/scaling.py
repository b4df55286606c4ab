"""Orders of upstreams beside those of a policy that knows the load."""

from __future__ import annotations

from benchmarks import measure as measures
from benchmarks import scaling_model

COMMAND = "python -m benchmarks scaling"
SEED = 1


def measure() -> list[measures.Measure]:
    """Compare worth served and upstream seconds by load pattern."""
    rows = []
    for case in scaling_model.CASES:
        ours = scaling_model.play(case, seed=SEED)
        best = scaling_model.play(case, knowing=True, seed=SEED)
        rows.extend(
            (
                _row(f"{case.name}: lost requests", ours.lost_share, "share"),
                _row(
                    f"{case.name}: lost requests, knowing the load",
                    best.lost_share,
                    "share",
                ),
                _row(
                    f"{case.name}: upstream seconds, of the knowing policy's",
                    ours.upstream_seconds / best.upstream_seconds,
                    "ratio",
                ),
                _row(
                    f"{case.name}: profit, of the knowing policy's",
                    ours.profit / best.profit,
                    "ratio",
                ),
                _row(f"{case.name}: calls", ours.calls, "calls"),
            )
        )
    return rows


def _row(name: str, value: float, unit: str) -> measures.Measure:
    return measures.Measure(
        slice="scaling",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        bound=measures.Bound.NONE,
        seed=SEED,
    )
