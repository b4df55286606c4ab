"""Runs every behave scenario and closes with their count.

Each slice's ``features`` folder runs in a process of its own; those that
measure a process run one after the other. A scenario named in KNOWN-RED.txt
may fail without failing the run; it is printed.
"""

from __future__ import annotations

import collections
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
PROCESSES = max(2, (os.cpu_count() or 2) // 2)
REAL_PROCESSES = 2
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def main() -> None:
    """Run the folders given as arguments, or all of them."""
    chosen = [pathlib.Path(name).resolve() for name in sys.argv[1:]]
    folders = chosen or _folders()
    alone = [folder for folder in folders if _imports(folder, "crowd")]
    real = [
        folder
        for folder in folders
        if folder not in alone
        and (_imports(folder, "tools") or _imports(folder, "soak"))
    ]
    pure = [folder for folder in folders if folder not in (*alone, *real)]
    counts: collections.Counter[str] = collections.Counter()
    reports: list[str] = []
    # Scenarios over real processes have timeouts, so they get the machine.
    groups = ((pure, PROCESSES), (real, REAL_PROCESSES), (alone, 1))
    for group, workers in groups:
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            for result, report in pool.map(_run, group):
                counts.update(result)
                reports.extend(report)
    # At the end, where a log that is cut off still has them.
    for line in reports:
        print(line)
    passed, failed = counts["passed"], counts["failed"]
    if counts["known_red"]:
        print(f"known red: {counts['known_red']} (KNOWN-RED.txt)")
    print(f"scenarios: {passed} passed, {failed} failed")
    if failed or not passed:
        raise SystemExit(1)


def _folders() -> list[pathlib.Path]:
    """Return every folder of features, the longest run first."""
    slices = sorted(ROOT.glob("fulmarbarrow/**/features"))
    return [
        ROOT / "faultmatrix" / "features",
        ROOT / "soak" / "features",
        *slices,
    ]


def _imports(folder: pathlib.Path, name: str) -> bool:
    """Whether a folder's scenarios use ``tools``, ``soak`` or ``crowd``.

    Those that do start daemons or stand-ins.
    """
    line = (
        "from tools import crowd" if name == "crowd" else f"from {name} import"
    )
    return any(line in path.read_text() for path in folder.rglob("*.py"))


def _run(
    folder: pathlib.Path,
) -> tuple[collections.Counter[str], list[str]]:
    """Run one folder; return its counts by outcome and what did not pass."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        finished = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--no-color",
                "--logging-level=ERROR",
                "--format=json",
                f"--outfile={report.name}",
                "--format=progress",
                str(folder),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        text = pathlib.Path(report.name).read_text()
    features = json.loads(text) if text.strip() else []
    counts, reports = _count(features)
    crashed = finished.returncode and not (
        counts["failed"] or counts["known_red"]
    )
    if crashed or not counts:
        counts["failed"] += 1
    name = folder.relative_to(ROOT)
    print(f"{name}: {counts['passed']} passed, {counts['failed']} failed")
    if counts["failed"]:
        print(finished.stdout, finished.stderr, sep="\n")
    return counts, reports


def _count(
    features: list[dict],
) -> tuple[collections.Counter[str], list[str]]:
    known = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    counts: collections.Counter[str] = collections.Counter()
    reports: list[str] = []
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] != "scenario":
                continue
            outcome = element.get("status", "failed")
            if outcome != "passed":
                red = f"scenario: {element['name']}\n" in known
                outcome = "known_red" if red else "failed"
                name = f"{element['location']} {element['name']}"
                reports += [f"{outcome}: {name}", *_errors(element)]
            counts[outcome] += 1
    return counts, reports


def _errors(element: dict) -> list[str]:
    """Return the messages of a scenario's steps that did not pass.

    The progress formatter leaves out what a step raised if it was no failed
    assertion.
    """
    errors: list[str] = []
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") in ("failed", "error"):
            errors.append(f"  {step['keyword']} {step['name']}")
            text = result.get("error_message", "")
            lines = text if isinstance(text, list) else text.splitlines()
            errors += [f"    {line}" for line in lines]
    return errors


if __name__ == "__main__":
    main()
