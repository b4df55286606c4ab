"""Creates a folder for each scenario and ends its processes."""

from __future__ import annotations

import pathlib
import tempfile


def before_scenario(context, scenario):
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name)
    context.fleet = None


def after_scenario(context, scenario):
    if context.fleet is not None:
        context.fleet.kill()
    context.folder.cleanup()
