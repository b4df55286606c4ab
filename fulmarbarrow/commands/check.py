"""``fulmarbarrow check``: validates files without publishing them."""

from __future__ import annotations

import pathlib
import sys

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import collect
from fulmarbarrow.config import findings as findings_module
from fulmarbarrow.config import hosts
from fulmarbarrow import exceptions
from fulmarbarrow.observe import plain


def check(*roots: str, json: bool = False) -> str:
    """Validate all files below the given folders.

    These are the operators' files and, in folders named hosts, the settings
    of daemons.

    Args:
        roots: the folders to search
        json: print the findings and counts as JSON
    """
    if json:
        return _check_json(roots)
    return "\n".join(
        f"{count:6} {name}" for name, count in _counts(load(roots)).items()
    )


def load(roots: tuple[str, ...]) -> bundles.Bundle:
    """Load the files below ``roots``; print findings and raise on errors."""
    bundle, found = _collect(roots)
    for finding in found:
        print(finding, file=sys.stderr)
    _raise_errors(found)
    return bundle


def _check_json(roots: tuple[str, ...]) -> str:
    bundle, found = _collect(roots)
    report = {"counts": _counts(bundle), "findings": plain.plain(found)}
    text = msgspec.json.format(msgspec.json.encode(report)).decode()
    if findings_module.errors(found):
        print(text)
    _raise_errors(found)
    return text


def _collect(
    roots: tuple[str, ...],
) -> tuple[bundles.Bundle, list[findings_module.Finding]]:
    if not roots:
        raise exceptions.ConfigurationError("at least one folder is required")
    folders = [pathlib.Path(str(root)) for root in roots]
    missing = [str(folder) for folder in folders if not folder.exists()]
    if missing:
        raise exceptions.ConfigurationError(
            f"folder does not exist: {', '.join(missing)}"
        )
    bundle, found = collect.collect(folders)
    daemons, problems = hosts.collect(folders)
    return bundle, [*found, *problems, *hosts.check(daemons, bundle)]


def _raise_errors(found: list[findings_module.Finding]) -> None:
    problems = len(findings_module.errors(found))
    if problems:
        raise exceptions.ConfigurationError(
            f"the files have {problems} errors"
        )


def _counts(bundle: bundles.Bundle) -> dict[str, int]:
    return {
        "services": len(bundle.service),
        "accounts": len(bundle.account),
        "zones": len(bundle.zone),
        "version moves": len(bundle.version_move),
    }
