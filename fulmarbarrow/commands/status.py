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
    rollout = client.run(lambda: fleet_status.fetch(admin))
    if json:
        return msgspec.json.format(msgspec.json.encode(rollout)).decode()
    summary = fleet_status.format_summary(rollout)
    return f"{summary}\n{fleet_status.format_zones(rollout)}"
