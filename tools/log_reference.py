"""Writes the table of log events from the module that logs them."""

from __future__ import annotations

import ast
import collections.abc
import pathlib

ROOT = pathlib.Path(__file__).parent.parent
SOURCE = ROOT / "fulmarbarrow" / "observe" / "decisions.py"
PAGE = ROOT / "docs" / "user-guide" / "log-events.md"
HEAD = """# Log events

Each decision that touches a request, or changes what a daemon believes, is
one JSON line on standard output. All lines have `time`, `level`, `logger` and
`text`, the event. Lines about a request have `request` too, the id that the
caller gave or else the daemon's own, `age_ms` since it was taken, and once
they are known `first_ms`, `last_upstream` and `attempts`. The line that ends a
request has `framing`, how its last upstream marked the end of the body:
`length`, `chunked`, or `connection` if only its connection ended; `peer`, the
address of the daemon that relayed its last attempt, if one did; `status`, if
an upstream's error was passed on; `events`, how many events of a stream went
to the caller; and `last_event`, the position of the last one that the caller
has, its id on the platform. Fields without a value are left out.

A daemon that relays writes `relay ended` with the `upstream`'s address, the
`requester`, the `bytes` that came from the upstream and how it ended: `ended`
is `upstream` for a regular end, `reset` for a reset of the upstream's
connection, `requester` if the other daemon closed.

`configuration in force` and `request rejected` have `confirmed_term`, too, and
`confirmed_ms_ago`: the term of the leader that has last confirmed the daemon's
revision as the newest one, and how long ago. They are left out where none has.
`revision activated`, and `revision held` if the daemon may not act on it yet,
name the `sender` of a revision and its `basis`: `confirmed`, `cut_off` or
`none`. `confirmed_by` and `confirmed_revision` tell the leader's last
statement, `question` which fetch of the daemon it answers, 0 for none, and
`asked_ms_ago` when that one was sent. A daemon that goes on because it is cut
off warns that `this side of the network has no majority of the control
hosts`, with the daemons and zones that answer (`answering`,
`zones_answering`), the `control_hosts` that it knows, and those that count
for its side (`control_hosts_here`). `revision confirmed` ends that. A control
host writes `revision handed out` with the `daemon` that asked, its
`question`, `from_revision` and `revision`, the `leader` that it follows, the
`term` of the one that confirms the answer (0 if none does), and for how long
it has had no leader, `leaderless_ms`.

A daemon writes at most 150 lines a second, and as many again of warnings; a
line `log lines left out` tells how many more there were.

| text | fields |
| --- | --- |
"""
# Methods that write a line; the first of them adds the field "attempt".
_ATTEMPT = "_attempt"
_WRITERS = (_ATTEMPT, "_end", "_request", "info", "warning", "error", "log")
# Positional arguments and keywords that are not fields of the line.
_NO_FIELDS = ("level", "extra")


def main() -> None:
    """Write the page."""
    PAGE.write_text(page())


def page() -> str:
    """Return the text of the page."""
    tree = ast.parse(SOURCE.read_text())
    rows = sorted(set(_events(tree)))
    return HEAD + "".join(
        f"| {text} | {', '.join(f'`{name}`' for name in names)} |\n"
        for text, names in rows
    )


def _events(
    tree: ast.AST,
) -> collections.abc.Iterator[tuple[str, tuple[str, ...]]]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        texts = [
            item.value
            for item in node.args
            if isinstance(item, ast.Constant) and isinstance(item.value, str)
        ]
        method = getattr(node.func, "attr", None)
        if texts and method in _WRITERS:
            own = ("attempt",) if method == _ATTEMPT else ()
            yield texts[0], (*own, *_fields(node))


def _fields(node: ast.Call) -> collections.abc.Iterator[str]:
    for keyword in node.keywords:
        if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict):
            for key in keyword.value.keys:
                if isinstance(key, ast.Constant):
                    yield str(key.value)
        elif keyword.arg and keyword.arg not in _NO_FIELDS:
            yield keyword.arg


if __name__ == "__main__":
    main()
