"""Runs all measurements, or those of the modules named as arguments.

Modules run side by side, but for those with ``EXCLUSIVE`` set, which measure
real time or processor time and run alone afterwards.
"""

from __future__ import annotations

import collections.abc
import concurrent.futures as futures
import dataclasses
import importlib
import json
import multiprocessing
import pathlib
import pkgutil
import sys

import benchmarks
from benchmarks import measure as measures
from benchmarks import report

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "docs" / "measures.json"
KEEP = "--keep"
PROCESSES = 4


def main() -> None:
    """Run and print a table; with no module named, keep the results too.

    ``--keep`` keeps the results of the named modules.
    """
    arguments = set(sys.argv[1:])
    keep = KEEP in arguments or not arguments
    names = _chosen(arguments - {KEEP})
    before = _read()
    rows: list[measures.Measure] = []
    for part in _run(names):
        rows.extend(part)
        for row in part:
            _print(row, before.get((row.slice, row.name)))
        if keep:
            _keep(rows, before)
    if keep and not arguments:
        _keep(rows, {})
    missed = [row for row in rows if row.met is False]
    print(f"measures: {len(rows) - len(missed)} met, {len(missed)} missed")
    if missed:
        raise SystemExit(1)


def _keep(
    rows: list[measures.Measure], before: dict[tuple[str, str], dict]
) -> None:
    """Write the results, with those of earlier runs that were not rerun."""
    after = {**before, **{(row.slice, row.name): _plain(row) for row in rows}}
    kept = [after[key] for key in sorted(after)]
    RESULTS.write_text(json.dumps(kept, indent=1) + "\n")
    report.write(kept, RESULTS.parent)


def _chosen(wanted: set[str]) -> list[str]:
    """Return the names of the modules that measure something."""
    found = []
    for info in pkgutil.iter_modules(benchmarks.__path__):
        if info.name.startswith("_") or (wanted and info.name not in wanted):
            continue
        module = importlib.import_module(f"benchmarks.{info.name}")
        if hasattr(module, "measure"):
            found.append(info.name)
    return found


def _run(
    names: list[str],
) -> collections.abc.Iterator[list[measures.Measure]]:
    """Yield the figures of each module as soon as it has run."""
    alone = [name for name in names if _exclusive(name)]
    shared = [name for name in names if name not in alone]
    # Modules may install a reactor, so each has a fresh process.
    context = multiprocessing.get_context("spawn")
    for group, processes in ((shared, PROCESSES), (alone, 1)):
        with futures.ProcessPoolExecutor(
            processes, mp_context=context, max_tasks_per_child=1
        ) as pool:
            waiting = {pool.submit(measures.run, name): name for name in group}
            for done in futures.as_completed(waiting):
                try:
                    yield done.result()
                except Exception as error:
                    yield [_broken(waiting[done], error)]


def _broken(name: str, error: Exception) -> measures.Measure:
    """Return a missed figure for a module that did not run to its end."""
    print(f"{name}: {error!r}", file=sys.stderr)
    return measures.Measure(
        slice=name,
        name="modules that broke off",
        value=1,
        unit="modules",
        target=0,
        command=f"python -m benchmarks {name}",
    )


def _exclusive(name: str) -> bool:
    module = importlib.import_module(f"benchmarks.{name}")
    return getattr(module, "EXCLUSIVE", False)


def _read() -> dict[tuple[str, str], dict]:
    if not RESULTS.exists():
        return {}
    rows = json.loads(RESULTS.read_text())
    return {(row["slice"], row["name"]): row for row in rows}


def _plain(row: measures.Measure) -> dict:
    fields = dataclasses.asdict(row)
    return {**fields, "bound": row.bound.value, "met": row.met}


def _print(row: measures.Measure, before: dict | None) -> None:
    verdict = {True: "met", False: "MISSED", None: ""}[row.met]
    earlier = f"{before['value']:g}" if before else "-"
    target = "-" if row.target is None else f"{row.target:g}"
    print(
        f"{row.slice:11} {row.name:58} {row.value:12.5g} {row.unit:12} "
        f"target {target:>8} before {earlier:>10} {verdict}",
        flush=True,
    )


if __name__ == "__main__":
    main()
