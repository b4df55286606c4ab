"""Steps that collect configuration files."""

from __future__ import annotations

import pathlib
import tempfile

import behave

from fulmarbarrow.config import collect


def write(context, name, data):
    if "collect_folder" not in context:
        context.collect_folder = tempfile.TemporaryDirectory()
        context.add_cleanup(context.collect_folder.cleanup)
    path = pathlib.Path(context.collect_folder.name) / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)


@behave.given('the file "{name}"')
def step_file(context, name):
    write(context, name, context.text.encode())


@behave.given('the file "{name}" that is not UTF-8')
def step_not_text(context, name):
    write(context, name, b"#\xff\n")


@behave.when("the folder is collected through two paths to it")
def step_collect(context):
    root = pathlib.Path(context.collect_folder.name).resolve()
    context.bundle, found = collect.collect((root, root / "other" / ".."))
    context.findings = sorted(
        (
            str(pathlib.Path(item.file).relative_to(root)),
            item.line,
            item.key,
            item.text,
        )
        for item in found
    )


@behave.then("the findings are")
def step_findings(context):
    found = [
        (name, str(line), key, text)
        for name, line, key, text in context.findings
    ]
    assert len(found) == len(context.table.rows), found
    for row, (name, line, key, text) in zip(
        context.table.rows, found, strict=True
    ):
        assert (row["file"], row["line"], row["key"]) == (name, line, key), (
            found
        )
        assert row["text"] in text, (row["text"], text)


@behave.then('the bundle has the host routes "{names}"')
def step_host_routes(context, names):
    found = [route.name for route in context.bundle.host_route]
    assert found == names.split(", "), found
