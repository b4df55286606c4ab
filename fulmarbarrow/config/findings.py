"""Diagnostics of configuration files, with the position of each."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import pathlib
import re


class Severity(enum.StrEnum):
    """Severity of a finding; errors prevent the use of a configuration."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """A diagnostic of a file; ``line`` is 0 if it is not known."""

    file: str
    key: str
    line: int
    text: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """Return the finding as one line for a terminal."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        parts = [location, self.severity.value, self.key, self.text]
        return ": ".join(part for part in parts if part)


class KeyLines:
    """Maps dotted keys to line numbers in the text of a TOML file.

    The lines are approximate, for diagnostics only: a key in an inline table
    gets the line of the nearest enclosing key.
    """

    _TABLE_HEADER = re.compile(r"^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?")
    _KEY_VALUE = re.compile(r"^\s*([A-Za-z0-9_.\-\"]+)\s*=")

    def __init__(self, *, text: str) -> None:
        self._lines: dict[str, int] = {}
        self._index_keys(text)

    def line(self, key: str) -> int:
        """Return the 1-based line of ``key`` or its nearest parent, else 0."""
        while key:
            found = self._lines.get(key)
            if found:
                return found
            key = self._parent_key(key)
        return 0

    @staticmethod
    def _parent_key(key: str) -> str:
        """Return the array that holds an element, or the table of a key."""
        if key.endswith("]"):
            return key.rpartition("[")[0]
        return key.rpartition(".")[0]

    def _index_keys(self, text: str) -> None:
        prefix = ""
        counts: dict[str, int] = {}
        for line_number, line in enumerate(text.splitlines(), start=1):
            header = self._TABLE_HEADER.match(line)
            if header:
                prefix = self._indexed_key(header, counts)
                self._lines.setdefault(prefix, line_number)
                if header.group(1) == "[[":
                    array = prefix.rpartition("[")[0]
                    self._lines.setdefault(array, line_number)
                continue
            key = self._KEY_VALUE.match(line)
            if key:
                name = key.group(1).strip('"')
                path = f"{prefix}.{name}" if prefix else name
                self._lines.setdefault(path, line_number)

    @staticmethod
    def _indexed_key(header: re.Match[str], counts: dict[str, int]) -> str:
        """Return the key of a header with the index of each array."""
        parts = [part.strip() for part in header.group(2).split(".")]
        path = ""
        for position, part in enumerate(parts):
            path = f"{path}.{part}" if path else part
            last = position == len(parts) - 1
            if last and header.group(1) == "[[":
                counts[path] = counts.get(path, -1) + 1
                for nested in [k for k in counts if k.startswith(f"{path}[")]:
                    del counts[nested]
            if path in counts:
                path = f"{path}[{counts[path]}]"
        return path


@dataclasses.dataclass(frozen=True, kw_only=True)
class Source:
    """Path and text of a configuration file."""

    path: pathlib.Path
    text: str

    def finding(
        self, key: str, text: str, severity: Severity = Severity.ERROR
    ) -> Finding:
        """Create a finding about ``key`` with its line in this file."""
        line = KeyLines(text=self.text).line(key)
        return Finding(
            file=str(self.path),
            key=key,
            line=line,
            text=text,
            severity=severity,
        )


def errors(found: collections.abc.Iterable[Finding]) -> list[Finding]:
    """Return the findings with the severity ``ERROR``."""
    return [item for item in found if item.severity is Severity.ERROR]
