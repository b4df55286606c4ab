"""Loads and validates the settings of a daemon."""

from __future__ import annotations

import pathlib

from fulmarbarrow.config import checks
from fulmarbarrow.config import defaults
from fulmarbarrow.config import findings
from fulmarbarrow.config import options


def load_settings(
    path: pathlib.Path,
) -> tuple[defaults.Settings | None, list[findings.Finding]]:
    """Return the settings in a file and the findings about them.

    The settings are None if any finding is an error.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        finding = findings.Finding(
            file=str(path), key="", line=0, text=str(error)
        )
        return None, [finding]
    source = findings.Source(path=path, text=text)
    settings, found = options.load(source, defaults.Settings)
    if settings is None:
        return None, found
    found = list(checks.check(settings, source))
    if findings.errors(found):
        return None, found
    return settings, found
