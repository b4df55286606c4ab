"""Ends every process and stand-in that a scenario started."""

from __future__ import annotations

import pathlib
import tempfile


def before_scenario(context, scenario):
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name)
    context.processes = []
    context.workers = {}


def after_scenario(context, scenario):
    for process in context.processes:
        process.kill()
    for worker in context.workers.values():
        worker.close()
    context.folder.cleanup()
