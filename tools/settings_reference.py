"""Writes the references of settings and files from their definitions."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import enum
import inspect
import pathlib
import textwrap
import types
import typing

from fulmarbarrow.config import bundle
from fulmarbarrow.config import defaults
from fulmarbarrow.config import options

PAGES = pathlib.Path(__file__).parent.parent / "docs" / "user-guide"
SETTINGS_HEAD = """# Settings of a daemon

The file given to `fulmarbarrowd --settings`. Durations are seconds or text
such as `"250ms"`, `"2s"` and `"1.5h"`; addresses are `"IP:PORT"`.
"""
FILES_HEAD = """# Operators' files

`fulmarbarrow.toml` beside a service's code, `accounts.toml` and `zones.toml`;
`fulmarbarrow publish` collects all below the folders that it is given. What
stands in which of them is free.
"""
NAMES = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
    datetime.timedelta: "duration",
    datetime.datetime: "date and time with offset",
    options.Address: "address",
}


def main() -> None:
    """Write both pages."""
    for name, text in pages().items():
        (PAGES / name).write_text(text)


def pages() -> dict[str, str]:
    """Return the text of each generated page by its file name."""
    return {
        "settings.md": _page(SETTINGS_HEAD, defaults.Settings),
        "files.md": _page(FILES_HEAD, bundle.Bundle),
    }


def _page(head: str, root: type) -> str:
    parts = [head]
    for field in dataclasses.fields(root):
        kind = typing.get_type_hints(root)[field.name]
        parts.extend(_section(field.name, kind, False))
    return "\n".join(parts)


def _section(
    path: str, kind: typing.Any, repeated: bool
) -> collections.abc.Iterator[str]:
    """Yield a data class as a heading, its description and a table."""
    if typing.get_origin(kind) is tuple:
        kind, repeated = typing.get_args(kind)[0], True
    yield f"## `[[{path}]]`\n" if repeated else f"## `[{path}]`\n"
    yield _description(kind) + "\n"
    hints = typing.get_type_hints(kind)
    deeper = []
    rows = []
    for field in dataclasses.fields(kind):
        item = _item(hints[field.name])
        if dataclasses.is_dataclass(item) and item not in NAMES:
            hint = hints[field.name]
            if isinstance(hint, types.UnionType):
                hint = item
            deeper.append((f"{path}.{field.name}", hint))
            continue
        rows.append(
            f"| `{field.name}` | {_type(hints[field.name])} "
            f"| {_default(field)} |"
        )
    if rows:
        yield "| key | type | default |\n| --- | --- | --- |"
        yield from rows
        yield ""
    for name, inner in deeper:
        yield from _section(name, inner, False)


def _description(kind: type) -> str:
    """Return a docstring in the manner of the pages."""
    lines = inspect.cleandoc(kind.__doc__ or "").replace("``", "`")
    return "\n\n".join(
        textwrap.fill(" ".join(part.split()), 79)
        for part in lines.split("\n\n")
    )


def _item(hint: typing.Any) -> typing.Any:
    if typing.get_origin(hint) is tuple:
        return typing.get_args(hint)[0]
    if isinstance(hint, types.UnionType):
        return typing.get_args(hint)[0]
    return hint


def _type(hint: typing.Any) -> str:
    item = _item(hint)
    if isinstance(item, type) and issubclass(item, enum.Enum):
        name = " or ".join(f"`{value.value}`" for value in item)
    else:
        name = NAMES[item]
    return f"list of {name}" if typing.get_origin(hint) is tuple else name


def _default(field: dataclasses.Field) -> str:
    value = field.default
    if value is dataclasses.MISSING:
        return "required"
    if value is None:
        return "none"
    return f"`{_toml(value)}`"


def _toml(value: typing.Any) -> str:
    if isinstance(value, datetime.timedelta):
        return f'"{value.total_seconds():g}s"'
    if isinstance(value, enum.Enum):
        return f'"{value.value}"'
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_toml, value)) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)


if __name__ == "__main__":
    main()
