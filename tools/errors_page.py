"""Writes the operators' and callers' page of error codes from the code."""

from __future__ import annotations

import pathlib

from fulmarbarrow.delivery import refusals

PAGE = pathlib.Path(__file__).parent.parent / "docs/user-guide/errors.md"

_HEAD = """# Errors

Every error that a caller gets is JSON:

    {"error": {"code": "...", "message": "...", "ran": "no"}}

`ran` says whether the request has run at an upstream. `no` is always true:
the last column gives its proof. With `unknown` the request may have run;
send an action again under the same `Idempotency-Key` and its recorded answer
is given again as soon as it is known. After `not_run` the key is used up:
send the action under a new one. An answer that breaks after its start ends
with an `error` event that carries the same JSON, and the connection closes.

This page is written by `python -m tools.errors_page`.

| code | status | ran | meaning | proof |
| --- | --- | --- | --- | --- |
"""


def page() -> str:
    """Return the page's text."""
    rows = [
        f"| `{refusal.code}` | {refusal.status} | {refusal.ran.value} "
        f"| {refusal.message} | {refusal.proof or '-'} |\n"
        for refusal in sorted(
            refusals.REFUSALS.values(), key=lambda item: item.code
        )
    ]
    return _HEAD + "".join(rows)


def main() -> None:
    """Write the page."""
    PAGE.write_text(page())


if __name__ == "__main__":
    main()
