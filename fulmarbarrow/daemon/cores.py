"""Joins the cores of one daemon on its bus, without any I/O.

The daemon, a replay and the fault matrix all build their cores here.
"""

from __future__ import annotations

import dataclasses
import datetime
import random

from fulmarbarrow import bus as buses
from fulmarbarrow.config import defaults
from fulmarbarrow.consensus import core as consensus_core
from fulmarbarrow.consensus import memory as consensus_memory
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.consensus import records as consensus_records
from fulmarbarrow.delivery import core as delivery_core
from fulmarbarrow.delivery import policy as delivery_policy
from fulmarbarrow.journal import control as journal_control
from fulmarbarrow.journal import router as journal_router
from fulmarbarrow.limits import core as limits_core
from fulmarbarrow.limits import policy as limits_policy
from fulmarbarrow.membership import core as membership_core
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import bounds as placement_bounds
from fulmarbarrow.placement import core as placement_core
from fulmarbarrow.publishing import control
from fulmarbarrow.publishing import follower
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import control as versions_control
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.versions import router as versions_router
from fulmarbarrow.zones import control as zones_control
from fulmarbarrow.zones import core as zones_core

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
        logs: consensus_memory.Logs | None = None,
        restored: publishing_messages.StoreRevision | None = None,
        stores_revisions: bool = False,
    ) -> None:
        self._settings = settings
        self._record = record
        self._bus = bus
        self._metrics = metrics
        self._rng = rng
        self._now = now
        self._logs = logs
        self._restored = restored
        self._stores_revisions = stores_revisions
        self.by_name: dict[str, buses.Core] = {}
        self._add_common()
        if defaults.Role.CONTROL in settings.daemon.roles:
            self._add_control()
        if defaults.Role.ROUTER in settings.daemon.roles:
            self._add_router()

    def _add(self, name: str, core: buses.Core) -> None:
        self.by_name[name] = core
        self._bus.attach(core)

    def _add_common(self) -> None:
        settings = self._settings
        self._add(
            "membership",
            membership_core.MembershipCore(
                daemon=self._record,
                seeds=tuple(map(str, settings.peers.addresses)),
                lease=settings.upstreams.lease,
                metrics=self._metrics,
                rng=self._rng,
                names_owner=settings.upstreams.names_owner,
            ),
        )
        self._add(
            "publishing",
            follower.PublishingFollower(
                daemon=self._record,
                source=self._rng,
                metrics=self._metrics,
                stores=self._stores_revisions,
                restored=self._restored,
            ),
        )

    def _add_control(self) -> None:
        record = self._record
        logs = self._logs or consensus_memory.MemoryLogs()
        if isinstance(logs, consensus_memory.MemoryLogs):
            self._add("memory_logs", logs)
        self._add_log(
            "consensus",
            consensus_messages.Group.CONFIGURATION,
            logs,
            (publishing_messages.MACHINE, versions_messages.MACHINE),
        )
        self._add(
            "control", control.PublishingControl(daemon=record, now=self._now)
        )
        self._add(
            "version_moves",
            versions_control.VersionsControl(
                daemon=record, group=consensus_messages.Group.CONFIGURATION
            ),
        )
        self._add(
            "kv_moves",
            zones_control.ZonesControl(daemon=record, metrics=self._metrics),
        )
        if not self._settings.control.journal:
            return
        self._add_log(
            "journal_log", consensus_messages.Group.JOURNAL, logs, ("",)
        )
        self._add(
            "journal_control",
            journal_control.JournalControl(
                daemon=record, metrics=self._metrics
            ),
        )

    def _add_log(
        self,
        name: str,
        group: consensus_messages.Group,
        logs: consensus_memory.Logs,
        machines: tuple[str, ...],
    ) -> None:
        """Add the replicated log that the named machines apply."""
        record = self._record
        control = self._settings.control
        members = {
            member.id: str(member.address) for member in control.members
        }
        if control.from_seeds:
            members = {
                address.host: str(address)
                for address in self._settings.peers.addresses
            }
        core = consensus_core.ConsensusCore(
            group=group,
            me=consensus_records.Member(
                daemon_id=record.daemon_id,
                identity=logs.host_identity,
                address=record.address,
            ),
            addresses=members or {record.daemon_id: record.address},
            stored=logs.open(group),
            source=self._rng,
            metrics=self._metrics,
            now=self._now,
            machines=machines,
            form=control.form,
            losses=control.losses,
        )
        self._add(name, core)

    def _timeouts(self) -> delivery_policy.Timeouts:
        timeouts = self._settings.timeouts
        return delivery_policy.Timeouts(
            first_event=timeouts.first_event,
            between_events=timeouts.between_events,
            resume_grace=timeouts.resume_grace,
        )

    def _add_router(self) -> None:
        record, metrics = self._record, self._metrics
        self._add(
            "versions",
            versions_router.VersionsRouter(daemon=record, metrics=metrics),
        )
        self._add(
            "zones",
            zones_core.ZonesCore(
                daemon=record, metrics=metrics, rng=self._rng
            ),
        )
        policy = limits_policy.Policy()
        self._add(
            "limits", limits_core.LimitsCore(metrics=metrics, policy=policy)
        )
        self._add(
            "placement",
            placement_core.PlacementCore(
                daemon=record,
                policy=policy,
                metrics=metrics,
                rng=self._rng,
                bounds=placement_bounds.Bounds(
                    **dataclasses.asdict(self._settings.placement)
                ),
            ),
        )
        self._add(
            "journal",
            journal_router.JournalRouter(daemon=record, metrics=metrics),
        )
        self._add(
            "delivery",
            delivery_core.DeliveryCore(
                metrics=metrics,
                rng=self._rng,
                timeouts=self._timeouts(),
                retries=self._settings.retries,
            ),
        )
