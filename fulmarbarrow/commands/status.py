"""``fulmarbarrow status``: which revision is in force where."""

from __future__ import annotations

import typing

from fulmarbarrow.commands import client


def status(*, admin: str) -> typing.Any:
    """Print the revision and which daemons have it in force."""
    dump = client.run(lambda: client.get_json(admin, "/dump"))
    return dump["cores"]["control"]
