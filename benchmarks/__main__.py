"""Runs all measurements, or those of the modules named as arguments."""

from __future__ import annotations

import importlib
import json
import pathlib
import pkgutil
import sys

import benchmarks
from benchmarks import measure as measures

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "docs" / "measures.json"


def main() -> None:
    """Run, print a table and write ``docs/measures.json``."""
    chosen = set(sys.argv[1:])
    rows: list[measures.Measure] = []
    for info in pkgutil.iter_modules(benchmarks.__path__):
        if chosen and info.name not in chosen:
            continue
        module = importlib.import_module(f"benchmarks.{info.name}")
        if hasattr(module, "measure"):
            rows.extend(module.measure())
    before = _read()
    for row in rows:
        _print(row, before.get((row.slice, row.name)))
    after = {**before, **{(row.slice, row.name): _plain(row) for row in rows}}
    kept = [after[key] for key in sorted(after)]
    RESULTS.write_text(json.dumps(kept, indent=1) + "\n")
    if any(row.met is False for row in rows):
        raise SystemExit(1)


def _read() -> dict[tuple[str, str], dict]:
    if not RESULTS.exists():
        return {}
    rows = json.loads(RESULTS.read_text())
    return {(row["slice"], row["name"]): row for row in rows}


def _plain(row: measures.Measure) -> dict:
    return {
        "slice": row.slice,
        "name": row.name,
        "value": row.value,
        "unit": row.unit,
        "target": row.target,
        "bound": row.bound.value,
        "met": row.met,
        "seed": row.seed,
        "command": row.command,
    }


def _print(row: measures.Measure, before: dict | None) -> None:
    verdict = {True: "met", False: "MISSED", None: ""}[row.met]
    earlier = f"{before['value']:g}" if before else "-"
    target = "-" if row.target is None else f"{row.target:g}"
    print(
        f"{row.slice:11} {row.name:58} {row.value:12.5g} {row.unit:12} "
        f"target {target:>8} before {earlier:>10} {verdict}"
    )


if __name__ == "__main__":
    main()
