"""``fulmarbarrow dump``: prints the full state of a daemon."""

from __future__ import annotations

import msgspec

from fulmarbarrow.commands import client
from fulmarbarrow.observe import table


def dump(*, admin: str, json: bool = False) -> str:
    """Print the full state of a daemon.

    Args:
        admin: the daemon's admin address, such as 127.0.0.1:7003
        json: print JSON instead of readable text
    """
    state = client.run(lambda: client.get_json(admin, "/dump"))
    if json:
        return msgspec.json.format(msgspec.json.encode(state)).decode()
    return table.render(state)
