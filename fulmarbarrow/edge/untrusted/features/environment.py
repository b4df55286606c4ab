"""Ends every process that a scenario started."""

from __future__ import annotations

import pathlib
import tempfile


def before_scenario(context, scenario):
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name)
    context.processes = []
    context.crowds = []


def after_scenario(context, scenario):
    for crowd in context.crowds:
        crowd.close()
    for process in context.processes:
        process.kill()
    context.folder.cleanup()
