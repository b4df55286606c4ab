"""Steps for loading settings and parsing durations."""

from __future__ import annotations

import pathlib
import tempfile

import behave

from fulmarbarrow.config import options
from fulmarbarrow.config import settings_file


@behave.given("the settings file")
def step_settings_file(context):
    context.text = context.text or ""
    context.settings_text = context.text


@behave.when("the settings are loaded")
def step_load(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "daemon.toml"
        path.write_text(context.settings_text)
        context.settings, context.found = settings_file.load_settings(path)


@behave.then("the settings are rejected")
def step_settings_rejected(context):
    assert context.settings is None


@behave.then("the settings are accepted")
def step_settings_accepted(context):
    assert context.settings is not None, context.found


@behave.then("the findings are")
def step_findings(context):
    remaining = list(context.found)
    for row in context.table:
        location = int(row["line"]), row["key"]
        matching = [
            item
            for item in remaining
            if (item.line, item.key) == location and row["text"] in item.text
        ]
        assert matching, (location, remaining)
        remaining.remove(matching[0])
    assert not remaining, remaining


@behave.when("the duration {text} is parsed")
def step_parse_duration(context, text):
    context.duration = options.parse_duration(text)


@behave.then("it is {seconds:g} seconds")
def step_seconds(context, seconds):
    assert context.duration.total_seconds() == seconds
