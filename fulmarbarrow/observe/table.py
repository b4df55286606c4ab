"""Lays out plain data for people to read in a terminal."""

from __future__ import annotations

import collections.abc
import typing

INDENT = "  "
MAX_CELL_CHARACTERS = 60


def render(value: typing.Any) -> str:
    """Return maps as sections, lists of maps as tables."""
    return "\n".join(_lines(value, "")) or "(nothing)"


def _lines(value: typing.Any, indent: str) -> collections.abc.Iterator[str]:
    if isinstance(value, dict):
        yield from _section(value, indent)
    elif _is_table(value):
        yield from _table(value, indent)
    else:
        yield indent + _text(value)


def _section(
    section: dict[str, typing.Any], indent: str
) -> collections.abc.Iterator[str]:
    plain = {key: item for key, item in section.items() if _is_plain(item)}
    width = max(map(len, plain), default=0)
    for key, item in plain.items():
        yield f"{indent}{key:{width}}  {_text(item)}".rstrip()
    for key, item in section.items():
        if key in plain:
            continue
        yield f"{indent}{key}:"
        yield from _lines(item, indent + INDENT)


def _table(
    rows: list[dict[str, typing.Any]], indent: str
) -> collections.abc.Iterator[str]:
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [names] + [
        [_cell(row.get(name)) for name in names] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        text = "  ".join(
            f"{cell:{width}}" for cell, width in zip(line, widths, strict=True)
        )
        yield indent + text.rstrip()


def _is_table(value: typing.Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) and item for item in value)
    )


def _is_plain(value: typing.Any) -> bool:
    """Return whether a value fits on the line of its key."""
    if isinstance(value, dict):
        return not value
    return not _is_table(value)


def _cell(value: typing.Any) -> str:
    text = _text(value)
    if len(text) > MAX_CELL_CHARACTERS:
        return text[: MAX_CELL_CHARACTERS - 1] + "…"
    return text


def _text(value: typing.Any) -> str:
    if value is None or value in ([], {}, ""):
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return " ".join(f"{key}={_text(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ", ".join(map(_text, value))
    return str(value)
