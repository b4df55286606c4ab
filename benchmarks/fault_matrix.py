"""The whole fault matrix: every fault at every step, and pairs."""

from __future__ import annotations

import collections
import pathlib

from benchmarks import measure as measures
from faultmatrix import cell as cells
from faultmatrix import faults
from faultmatrix import matrix

COMMAND = "python -m benchmarks fault_matrix"
PAIRS = 1500
PAGE = (
    pathlib.Path(__file__).parent.parent
    / "docs"
    / "developer-guide"
    / "faults.md"
)

_INTRODUCTION = """# Fault matrix

Written by `python -m benchmarks fault_matrix`.

Three control hosts, four entry hosts in two availability zones, four engines
and two plain services run on the daemon's own cores in one process, with a
fake network, fake disks and a passed-in clock. Chats, orders and look-ups
arrive all the time; a version move, and an availability zone that is taken
out and returns, are published meanwhile. A cell injects a fault right after a
message type is handled for the first time from 4 s on; all message types that
a run without faults handles are steps. Ten checks watch every cell, and an
error raised in a core counts as a breach too.

`python -m tools.play_cell "FAULT" STEP` plays one cell and prints what it
breached.
"""


def measure() -> list[measures.Measure]:
    """Run all single cells and a sample of pairs; write the page."""
    single = matrix.run(matrix.single_cells())
    pairs = matrix.run(matrix.paired_cells(PAIRS))
    PAGE.write_text(_page(single, pairs))
    rows = []
    for name, tally in (("single", single), ("paired", pairs)):
        rows.append(_row(f"{name} cells run", tally.run))
        rows.append(_row(f"{name} cells not reached", tally.not_reached))
        for check in _checks():
            count = tally.by_check[check]
            rows.append(_row(f"{name} cells breaching: {check}", count, 0))
    return rows


def _checks() -> list[str]:
    return [kind.name for kind in cells.CHECKS] + [matrix.CORE_ERROR]


def _page(single: matrix.Tally, pairs: matrix.Tally) -> str:
    lines = [_INTRODUCTION]
    for title, tally in (
        ("Every fault at every step", single),
        ("Pairs of faults", pairs),
    ):
        lines.append(f"\n## {title}\n")
        lines.append(
            f"{tally.run} cells run, {tally.run - tally.not_reached} reached, "
            f"{tally.not_reached} not reached because the step did not "
            "happen again.\n"
        )
        lines.append("| check | cells with a breach |")
        lines.append("| --- | --- |")
        for check in _checks():
            lines.append(f"| {check} | {tally.by_check[check]} |")
    lines.append("\n## Single faults\n")
    lines.append("| fault | cells | cells with a breach | checks breached |")
    lines.append("| --- | --- | --- | --- |")
    lines.extend(_fault_rows(single))
    lines.extend(_elsewhere())
    return "\n".join(lines)


def _fault_rows(tally: matrix.Tally) -> list[str]:
    breached: dict[str, set[tuple[str, str]]] = collections.defaultdict(set)
    for cell, breach in tally.breaches:
        injection = cell.injections[0]
        breached[injection.fault].add((injection.step, breach.check))
    each = tally.run // len(faults.FAULTS)
    rows = []
    for fault in faults.FAULTS:
        found = breached[fault]
        steps = len({step for step, _ in found})
        checks = ", ".join(sorted({check for _, check in found}))
        rows.append(f"| {fault} | {each} | {steps} | {checks} |")
    return rows


_ELSEWHERE = (
    (
        "torn write, damaged log, two processes on one folder",
        "the fake disk writes whole records; the storage scenarios of "
        "`consensus` use real files",
    ),
    (
        "clock skew",
        "all hosts share one clock here; the schedules of `consensus` have "
        "clocks of their own",
    ),
    (
        "a region cut off",
        "the matrix has one region; the scenarios of `membership` cut others",
    ),
    (
        "restart after hundreds of changes",
        "a cell publishes a few revisions; the scenarios of `consensus` and "
        "`publishing` publish hundreds",
    ),
    (
        "KV export or import fails",
        "engines here keep no KV cache; the scenarios of `zones` cover it",
    ),
)


def _elsewhere() -> list[str]:
    rows = [f"| {fault} | {reason} |" for fault, reason in _ELSEWHERE]
    return [
        "\n## Not in the matrix, with the reason\n",
        "| fault | where it is shown |",
        "| --- | --- |",
        *rows,
        "",
    ]


def _row(
    name: str, value: float, target: float | None = None
) -> measures.Measure:
    return measures.Measure(
        slice="faults",
        name=name,
        value=value,
        unit="cells",
        target=target,
        seed=matrix.SEED,
        command=COMMAND,
    )
