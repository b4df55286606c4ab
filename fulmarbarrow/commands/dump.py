"""``fulmarbarrow dump``: a daemon's whole state."""

from __future__ import annotations

import msgspec

from fulmarbarrow.commands import client


def dump(*, admin: str) -> str:
    """Print the whole state of the daemon with this admin address."""
    state = client.run(lambda: client.get_json(admin, "/dump"))
    return msgspec.json.format(msgspec.json.encode(state)).decode()
