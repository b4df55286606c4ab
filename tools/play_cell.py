"""Plays one cell of the fault matrix and prints what it breached."""

from __future__ import annotations

import fire

from faultmatrix import cell as cells
from faultmatrix import matrix


def play(*injections: str, seed: int = matrix.SEED) -> str:
    """Play faults at steps, given in turn as FAULT STEP FAULT STEP."""
    result = cells.play(
        cells.Cell(
            seed=seed,
            injections=tuple(
                cells.Injection(fault=fault, step=step)
                for fault, step in zip(
                    injections[::2], injections[1::2], strict=True
                )
            ),
        )
    )
    lines = [f"{breach.check}: {breach.text}" for breach in result.breaches]
    counts = f"{result.answered} of {result.calls} requests answered"
    return "\n".join([*lines, counts, f"{len(lines)} breaches"])


if __name__ == "__main__":
    fire.Fire(play)
