"""Joins the cores of one daemon on its bus, without any I/O.

The daemon, a replay and the fault matrix all build their cores here. The
cores of a role are imported only where it is on: a control host has a
quarter of a processor to start with.
"""

from __future__ import annotations

import datetime
import random
import typing

from fulmarbarrow import bus as buses
from fulmarbarrow.config import defaults
from fulmarbarrow.daemon import joint
from fulmarbarrow.membership import core as membership_core
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import follower
from fulmarbarrow.publishing import messages as publishing_messages

if typing.TYPE_CHECKING:
    from fulmarbarrow.consensus import memory

TICK = datetime.timedelta(milliseconds=250)
PLACEMENT_TICK = datetime.timedelta(milliseconds=50)


def describe(
    settings: defaults.Settings, started: datetime.datetime
) -> membership_messages.Daemon:
    """Return a daemon's own record; its start makes its incarnation."""
    return membership_messages.Daemon(
        daemon_id=settings.daemon.id,
        incarnation=int(started.timestamp() * 1000),
        zone=settings.daemon.zone,
        region=settings.daemon.region,
        address=str(settings.listen.peers),
        roles=tuple(role.value for role in settings.daemon.roles),
    )


class Cores:
    """All cores of one daemon by name, attached to its bus."""

    def __init__(
        self,
        *,
        settings: defaults.Settings,
        record: membership_messages.Daemon,
        bus: buses.Bus,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        now: datetime.datetime,
        logs: memory.LogStore | None = None,
        restored: publishing_messages.StoreRevision | None = None,
        stores_revisions: bool = False,
    ) -> None:
        self._joint = joint.Joint(
            settings=settings,
            record=record,
            bus=bus,
            metrics=metrics,
            rng=rng,
            now=now,
            logs=logs,
        )
        self.by_name = self._joint.by_name
        self._add_common(restored, stores_revisions)
        if defaults.Role.CONTROL in settings.daemon.roles:
            from fulmarbarrow.daemon import control_cores

            control_cores.add(self._joint)
        if defaults.Role.ROUTER in settings.daemon.roles:
            from fulmarbarrow.daemon import router_cores

            router_cores.add(self._joint)

    def _add_common(
        self,
        restored: publishing_messages.StoreRevision | None,
        stores_revisions: bool,
    ) -> None:
        made = self._joint
        settings = made.settings
        made.add(
            "membership",
            membership_core.MembershipCore(
                daemon=made.record,
                seeds=tuple(map(str, settings.peers.addresses)),
                lease=settings.upstreams.lease,
                metrics=made.metrics,
                rng=made.rng,
                names_owner=settings.upstreams.names_owner,
            ),
        )
        made.add(
            "publishing",
            follower.PublishingFollower(
                daemon=made.record,
                source=made.rng,
                metrics=made.metrics,
                stores=stores_revisions,
                restored=restored,
                seeds=tuple(map(str, settings.peers.addresses)),
            ),
        )
