"""The cores of a router."""

from __future__ import annotations

import dataclasses

from fulmarbarrow.config import defaults
from fulmarbarrow.daemon import joint
from fulmarbarrow.delivery import core as delivery_core
from fulmarbarrow.delivery import policy as delivery_policy
from fulmarbarrow.journal import router as journal_router
from fulmarbarrow.limits import core as limits_core
from fulmarbarrow.limits import policy as limits_policy
from fulmarbarrow.placement import bounds as placement_bounds
from fulmarbarrow.placement import core as placement_core
from fulmarbarrow.versions import rollout_router
from fulmarbarrow.versions import router as versions_router
from fulmarbarrow.zones import core as zones_core


def add(made: joint.Joint) -> None:
    """Add the cores that requests pass through."""
    record, metrics, rng = made.record, made.metrics, made.rng
    made.add(
        "versions",
        versions_router.VersionsRouter(daemon=record, metrics=metrics),
    )
    if made.settings.rollouts.enabled:
        made.add(
            "rollout_versions",
            rollout_router.RolloutRouter(
                daemon=record,
                metrics=metrics,
                slack=made.settings.rollouts.slack,
            ),
        )
    made.add(
        "zones",
        zones_core.ZonesCore(
            daemon=record,
            metrics=metrics,
            rng=rng,
            timing=made.settings.zones,
        ),
    )
    policy = limits_policy.Policy()
    made.add("limits", limits_core.LimitsCore(metrics=metrics, policy=policy))
    made.add(
        "placement",
        placement_core.PlacementCore(
            daemon=record,
            policy=policy,
            metrics=metrics,
            rng=rng,
            bounds=_bounds(made),
            timing=made.settings.placement,
        ),
    )
    made.add(
        "journal",
        journal_router.JournalRouter(daemon=record, metrics=metrics),
    )
    made.add(
        "delivery",
        delivery_core.DeliveryCore(
            metrics=metrics,
            rng=rng,
            timeouts=_timeouts(made),
            retries=made.settings.retries,
            started=made.now,
            tells_began=_counts_usage(made.settings),
        ),
    )
    if _counts_usage(made.settings):
        _add_usage(made)
    settings = made.settings
    if settings.scaling.enabled and settings.duties.address is not None:
        _add_scaling(made)


def _counts_usage(settings: defaults.Settings) -> bool:
    """Return whether a platform is told the use by client accounts."""
    return settings.duties.address is not None and bool(settings.usage.window)


def _add_usage(made: joint.Joint) -> None:
    from fulmarbarrow.usage import router as usage_router

    made.add(
        "usage",
        usage_router.UsageRouter(
            daemon=made.record,
            metrics=made.metrics,
            window=made.settings.usage.window,
        ),
    )


def _add_scaling(made: joint.Joint) -> None:
    from fulmarbarrow.scaling import reporter

    made.add(
        "offered_work",
        reporter.OfferedWorkReporter(daemon=made.record, now=made.now),
    )


def _bounds(made: joint.Joint) -> placement_bounds.Bounds:
    placement = made.settings.placement
    names = {field.name for field in dataclasses.fields(placement)}
    shared = names & {
        field.name for field in dataclasses.fields(placement_bounds.Bounds)
    }
    return placement_bounds.Bounds(
        **{name: getattr(placement, name) for name in shared}
    )


def _timeouts(made: joint.Joint) -> delivery_policy.Timeouts:
    timeouts = made.settings.timeouts
    return delivery_policy.Timeouts(
        first_event=timeouts.first_event,
        between_events=timeouts.between_events,
        stalled=timeouts.stalled,
        resume_grace=timeouts.resume_grace,
    )
