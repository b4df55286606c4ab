"""Steps for the generated reference pages."""

from __future__ import annotations

import behave

from tools import settings_reference


@behave.when("the references are generated")
def step_generate(context):
    context.pages = settings_reference.pages()


@behave.then("they are the same as in the user guide")
def step_pages_match(context):
    assert set(context.pages) == {"settings.md", "files.md"}
    for name, text in context.pages.items():
        written = (settings_reference.PAGES / name).read_text()
        assert written == text, (
            f"run python -m tools.settings_reference: {name}"
        )
