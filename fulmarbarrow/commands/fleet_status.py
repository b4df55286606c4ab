"""Fetches and formats the rollout status of a revision by zone."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow.commands import client
from fulmarbarrow.publishing import messages


async def fetch(admin: str) -> messages.Status:
    """Fetch the rollout status from a control host."""
    answer = await client.get_json(admin, "/v1/status")
    return msgspec.convert(answer, messages.Status)


def is_complete(status: messages.Status, revision: int) -> bool:
    """Return whether the revision is in force on every daemon."""
    if not status.current or status.revision < revision:
        return False
    return all(zone.in_force == zone.daemons for zone in status.zones)


def format_summary(status: messages.Status) -> str:
    """Return one line with the revision, its publisher and the leader."""
    text = f"revision {status.revision}"
    if status.publisher:
        text += f" by {status.publisher}"
    if status.current:
        return f"{text}, leader {status.leader}"
    since = ""
    if status.leaderless_since is not None:
        since = f" since {_format_time(status.leaderless_since)}"
    return (
        f"{text} as last known to {status.answered_by}, "
        f"which reaches no leader{since}"
    )


def format_zones(status: messages.Status) -> str:
    """Return a table with a row per zone and per daemon that is cut off."""
    lines = [f"{'zone':20} {'in force':>10}  waits for"]
    for zone in status.zones:
        count = f"{zone.in_force}/{zone.daemons}"
        lines.append(f"{zone.zone:20} {count:>10}  {', '.join(zone.behind)}")
        lines.extend(
            f"  {daemon.daemon_id} cut off since "
            f"{_format_time(daemon.since)}, had revision {daemon.revision}"
            for daemon in zone.cut_off
        )
    return "\n".join(line.rstrip() for line in lines)


def daemons_without_revision(status: messages.Status) -> list[str]:
    """List the daemons without the revision; if cut off, since when."""
    descriptions = []
    for zone in status.zones:
        descriptions += [f"{name} ({zone.zone})" for name in zone.behind]
        descriptions += [
            f"{daemon.daemon_id} ({zone.zone}, cut off since "
            f"{_format_time(daemon.since)})"
            for daemon in zone.cut_off
            if daemon.revision < status.revision
        ]
    return descriptions


def _format_time(time: datetime.datetime) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S UTC")
