"""``fulmarbarrow replay``: replays a trace and checks its outcome."""

from __future__ import annotations

import pathlib

import msgspec

from fulmarbarrow import exceptions
from fulmarbarrow.tracing import outcome
from fulmarbarrow.tracing import player

OUTCOME_SUFFIX = ".toml"


def replay(
    trace: str,
    *,
    json: bool = False,
    describe: bool = False,
    outcome_only: bool = False,
) -> str:
    """Replay a recorded trace and compare it with its expected outcome.

    The outcome is read from the file of the same name with the suffix .toml.
    Without it, only the invariants and the recorded decisions are checked.

    Args:
        trace: the trace file
        json: print the report as JSON
        describe: print what happened as TOML, as a draft of an outcome
        outcome_only: allow decisions to differ from the recorded ones, for
            a trace of another release
    """
    path = pathlib.Path(str(trace))
    outcome_path = path.with_suffix(OUTCOME_SUFFIX)
    expected = outcome.load(outcome_path) if outcome_path.exists() else None
    report, observer = player.play(
        path, None if describe else expected, outcome_only=outcome_only
    )
    if describe:
        return outcome.describe(observer)
    text = _format_report(report, expected)
    if json:
        text = msgspec.json.format(msgspec.json.encode(report)).decode()
    if report.differences:
        print(text)
        raise exceptions.ReplayMismatchError(
            f"{len(report.differences)} differences"
        )
    return text


def _format_report(
    report: outcome.Report, expected: outcome.Outcome | None
) -> str:
    lines = [f"{report.turns} turns, {report.messages} messages"]
    if expected is None:
        lines.append("no outcome file beside the trace")
    elif expected.story:
        lines.append(f"story: {expected.story}")
    lines.extend(f"difference: {item}" for item in report.differences)
    if not report.differences:
        lines.append("no differences")
    return "\n".join(lines)
