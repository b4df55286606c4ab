"""``fulmarbarrow check``: checks files without publishing them."""

from __future__ import annotations

import pathlib
import sys

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import collect
from fulmarbarrow.config import findings as findings_module
from fulmarbarrow import exceptions


def check(*roots: str) -> str:
    """Check all operators' files below the given folders."""
    bundle = load(roots)
    return (
        f"{len(bundle.service)} services, {len(bundle.account)} accounts, "
        f"{len(bundle.zone)} zones, {len(bundle.version_move)} version moves"
    )


def load(roots: tuple[str, ...]) -> bundles.Bundle:
    """Return the bundle below ``roots``; prints findings, raises on errors."""
    bundle, found = collect.collect(pathlib.Path(root) for root in roots)
    for finding in found:
        print(finding, file=sys.stderr)
    problems = len(findings_module.errors(found))
    if problems:
        raise exceptions.ConfigurationError(f"{problems} errors in the files")
    return bundle
