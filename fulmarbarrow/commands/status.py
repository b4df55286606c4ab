"""``fulmarbarrow status``: shows the rollout of the revision by zone."""

from __future__ import annotations

import msgspec

from fulmarbarrow.commands import client
from fulmarbarrow.commands import fleet_status


def status(*, admin: str, json: bool = False) -> str:
    """Print the revision and its rollout by zone.

    Args:
        admin: a control host's admin address
        json: print the status as JSON
    """
    found = client.run(lambda: fleet_status.read(admin))
    if json:
        return msgspec.json.format(msgspec.json.encode(found)).decode()
    return f"{fleet_status.head(found)}\n{fleet_status.table(found)}"
