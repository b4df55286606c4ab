"""The cores of a control host."""

from __future__ import annotations

from fulmarbarrow.config import defaults
from fulmarbarrow.consensus import core as consensus_core
from fulmarbarrow.consensus import memory as consensus_memory
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.consensus import records as consensus_records
from fulmarbarrow.daemon import joint
from fulmarbarrow.delivery import evidence_keeper
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.publishing import control
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.scaling import messages as scaling_messages
from fulmarbarrow.usage import messages as usage_messages
from fulmarbarrow.versions import control as versions_control
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.zones import control as zones_control


def add(made: joint.Joint) -> None:
    """Add the cores that keep the durable state."""
    record, metrics = made.record, made.metrics
    logs = made.logs or consensus_memory.MemoryLogStore()
    if isinstance(logs, consensus_memory.MemoryLogStore):
        made.add("memory_logs", logs)
    group = consensus_messages.Group.CONFIGURATION
    has_duties = made.settings.duties.address is not None
    counts = has_duties and bool(made.settings.usage.window)
    scales = has_duties and made.settings.scaling.enabled
    machines: tuple[str, ...] = (
        publishing_messages.MACHINE,
        versions_messages.MACHINE,
    )
    if has_duties:
        machines += (duties_messages.MACHINE,)
    if counts:
        machines += (usage_messages.MACHINE,)
    if scales:
        machines += (scaling_messages.MACHINE,)
    if made.settings.rollouts.enabled:
        machines += (versions_messages.ROLLOUTS_MACHINE,)
    _add_log(made, "consensus", group, logs, machines)
    made.add("control", control.PublishingControl(daemon=record, now=made.now))
    made.add(
        "version_moves",
        versions_control.VersionsControl(daemon=record, group=group),
    )
    made.add(
        "kv_moves",
        zones_control.KvMovesControl(daemon=record, metrics=metrics),
    )
    if has_duties:
        _add_duties(made, group)
    if counts:
        _add_usage(made, group)
    if scales:
        _add_scaling(made, group)
    if made.settings.rollouts.enabled:
        _add_rollouts(made, group)
    if made.settings.control.journal:
        _add_journal(made, logs)
    if defaults.Role.ROUTER not in made.settings.daemon.roles:
        made.add(
            "crash_evidence",
            evidence_keeper.EvidenceKeeper(
                rng=made.rng,
                crash_limit=made.settings.retries.crashes,
                metrics=metrics,
            ),
        )


def _add_rollouts(made: joint.Joint, group: consensus_messages.Group) -> None:
    from fulmarbarrow.versions import rollout_control

    made.add(
        "rollouts",
        rollout_control.RolloutControl(
            daemon=made.record,
            group=group,
            settings=made.settings.rollouts,
        ),
    )


def _add_duties(made: joint.Joint, group: consensus_messages.Group) -> None:
    """Add the leases of duties at the platform."""
    from fulmarbarrow.duties import core as duties_core

    core = duties_core.DutiesCore(
        daemon=made.record,
        group=group,
        lease=made.settings.duties.lease,
        metrics=made.metrics,
        now=made.now,
    )
    made.add("duties", core)


def _add_usage(made: joint.Joint, group: consensus_messages.Group) -> None:
    from fulmarbarrow.usage import control as usage_control

    made.add(
        "usage_control",
        usage_control.UsageControl(
            daemon=made.record,
            group=group,
            metrics=made.metrics,
            window=made.settings.usage.window,
            report_within=made.settings.usage.report_within,
        ),
    )


def _add_scaling(made: joint.Joint, group: consensus_messages.Group) -> None:
    from fulmarbarrow.scaling import control as scaling_control

    made.add(
        "scaling",
        scaling_control.ScalingControl(
            daemon=made.record,
            group=group,
            duties=made.settings.duties,
            timing=made.settings.scaling,
            metrics=made.metrics,
        ),
    )


def _add_journal(made: joint.Joint, logs: consensus_memory.LogStore) -> None:
    from fulmarbarrow.journal import control as journal_control

    group = consensus_messages.Group.JOURNAL
    _add_log(made, "journal_log", group, logs, ("",))
    made.add(
        "journal_control",
        journal_control.JournalControl(
            daemon=made.record, metrics=made.metrics
        ),
    )


def _add_log(
    made: joint.Joint,
    name: str,
    group: consensus_messages.Group,
    logs: consensus_memory.LogStore,
    machines: tuple[str, ...],
) -> None:
    """Add the replicated log that the named machines apply."""
    record, settings = made.record, made.settings.control
    members = {member.id: str(member.address) for member in settings.members}
    if settings.from_seeds:
        members = {
            address.host: str(address)
            for address in made.settings.peers.addresses
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
        rng=made.rng,
        metrics=made.metrics,
        now=made.now,
        machines=machines,
        may_form=settings.form,
        tolerated_losses=settings.losses,
        snapshot_entries=settings.snapshot_entries,
    )
    made.add(name, core)
