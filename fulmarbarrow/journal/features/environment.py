"""Creates a scenario's folder and stops the processes it started."""

from __future__ import annotations

import pathlib
import tempfile


def before_scenario(context, scenario):
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name)
    context.processes = []


def after_scenario(context, scenario):
    for process in context.processes:
        process.kill()
    context.folder.cleanup()
