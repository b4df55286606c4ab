"""Gives each scenario an empty folder."""

from __future__ import annotations

import pathlib
import tempfile


def before_scenario(context, scenario):
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name)


def after_scenario(context, scenario):
    context.folder.cleanup()
