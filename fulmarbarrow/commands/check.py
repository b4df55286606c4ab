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
        f"{count:6} {name}"
        for name, count in _count_entries(load_bundle(roots)).items()
    )


def load_bundle(roots: tuple[str, ...]) -> bundles.Bundle:
    """Load the files below ``roots``; print findings and raise on errors."""
    bundle, findings = _collect_bundle(roots)
    for finding in findings:
        print(finding, file=sys.stderr)
    _raise_on_errors(findings)
    return bundle


def _check_json(roots: tuple[str, ...]) -> str:
    bundle, findings = _collect_bundle(roots)
    report = {
        "counts": _count_entries(bundle),
        "findings": plain.plain(findings),
    }
    text = msgspec.json.format(msgspec.json.encode(report)).decode()
    if findings_module.errors(findings):
        print(text)
    _raise_on_errors(findings)
    return text


def _collect_bundle(
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
    bundle, findings = collect.collect(folders)
    daemons, host_findings = hosts.collect(folders)
    return bundle, [*findings, *host_findings, *hosts.check(daemons, bundle)]


def _raise_on_errors(findings: list[findings_module.Finding]) -> None:
    error_count = len(findings_module.errors(findings))
    if error_count:
        raise exceptions.ConfigurationError(
            f"the files have {error_count} errors"
        )


def _count_entries(bundle: bundles.Bundle) -> dict[str, int]:
    return {
        "services": len(bundle.service),
        "accounts": len(bundle.account),
        "zones": len(bundle.zone),
        "version moves": len(bundle.version_move),
    }
