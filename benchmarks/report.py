"""Writes the page and the plots about the last measurements."""

from __future__ import annotations

import collections
import pathlib

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "fulmarbarrow"

from matplotlib import pyplot  # noqa: E402

PAGE = "measures.md"
PLOTS = "plots"
WIDTH_INCHES = 8
ROW_INCHES = 0.28
HEAD_INCHES = 1.2
LONGEST_BAR = 2.0  # times the target

_INTRODUCTION = """# Measures

Written by `make measure`; each figure stands beside its target and the command
that gave it. A bar shows the value over its target: at most 1 where the target
is an upper bound, at least 1 where it is a lower one.
"""


def write(rows: list[dict], docs: pathlib.Path) -> None:
    """Write ``measures.md`` and one plot a slice below ``docs``."""
    slices: dict[str, list[dict]] = collections.defaultdict(list)
    for row in rows:
        slices[row["slice"]].append(row)
    (docs / PLOTS).mkdir(exist_ok=True)
    parts = [_INTRODUCTION]
    for name, members in sorted(slices.items()):
        parts.append(f"\n## {name}\n")
        if _plot(name, members, docs / PLOTS / f"{name}.svg"):
            parts.append(f"![{name}]({PLOTS}/{name}.svg)\n")
        parts.append(_table(members))
    (docs / PAGE).write_text("\n".join(parts))


def _table(rows: list[dict]) -> str:
    lines = [
        "| figure | value | unit | target | verdict | seed | command |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        verdict = {True: "met", False: "**missed**", None: ""}[row["met"]]
        sign = {"at_most": "≤", "at_least": "≥"}.get(row["bound"], "")
        target = "" if row["target"] is None else f"{sign} {row['target']:g}"
        seed = "" if row["seed"] is None else row["seed"]
        lines.append(
            f"| {row['name']} | {row['value']:.4g} | {row['unit']} | {target} "
            f"| {verdict} | {seed} | `{row['command']}` |"
        )
    return "\n".join(lines) + "\n"


def _plot(name: str, rows: list[dict], path: pathlib.Path) -> bool:
    """Plot each value over its target; False if no row has one."""
    shown = [row for row in rows if row["target"]]
    if not shown:
        return False
    height = HEAD_INCHES + ROW_INCHES * len(shown)
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, height))
    ratios = [min(LONGEST_BAR, row["value"] / row["target"]) for row in shown]
    colours = ["tab:green" if row["met"] else "tab:red" for row in shown]
    axes.barh([row["name"] for row in shown], ratios, color=colours)
    axes.axvline(1.0, color="black", linewidth=1)
    axes.invert_yaxis()
    axes.set_xlabel("value over target")
    axes.set_title(name)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    return True
