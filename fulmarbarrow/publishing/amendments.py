"""Partial changes that apply to any accepted configuration.

Unlike a publish, an amendment has no base revision: two amendments never
conflict, and amendments are idempotent.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import re
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.publishing import packing

# Moves kept for each service, so that versions that were rolled back stay
# without requests.
MAX_ROLLOUTS = 8
# Callers resend an order without a response until this long after the first.
RESEND_TIME = datetime.timedelta(seconds=10)
_ROLLOUT_ID = re.compile(r"rollout-[0-9]{20}-")
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
_MICROSECOND = datetime.timedelta(microseconds=1)


class Amendment(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base class of the amendments."""


class ReplaceServices(Amendment, frozen=True, kw_only=True):
    """Replaces services, host routes and accounts by those of a document.

    ``number`` is the document's own version; the highest one wins.
    ``document`` and ``bundle`` are packed; the document is stored as it was
    sent.
    """

    number: int
    bundle: bytes
    document: bytes


class SetZone(Amendment, frozen=True, kw_only=True):
    """Takes an availability zone out of service, or back in."""

    zone: str
    out: bool


class StartRollout(Amendment, frozen=True, kw_only=True):
    """Moves a service to upstreams of another software version.

    ``old`` is the version of its serving upstreams when the order was given.
    An order for the same target before the deadline of the last one is the
    same order, sent again, unless the last one is over: ``ended`` is its id
    as the host that takes the order knows it. Then only an order with the
    same duration, soon after the last one, is the same.
    """

    service: str
    target: str
    old: str
    ordered_at: datetime.datetime
    deadline: datetime.datetime
    share: float
    ended: str = ""


AnyAmendment = ReplaceServices | SetZone | StartRollout


class AmendCommand(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Replicated command for an amendment."""

    amend_id: str
    amendment: AnyAmendment


def with_rollouts(
    bundle: bundles.Bundle, current: bundles.Bundle
) -> bundles.Bundle:
    """Return a published bundle with the rollouts of the current one.

    Rollouts come from orders only. Those of services that are not in the
    published bundle end.
    """
    services = {service.name for service in bundle.service}
    rollouts = tuple(
        move
        for move in current.version_move
        if is_rollout(move) and move.service in services
    )
    moves = tuple(move for move in bundle.version_move if not is_rollout(move))
    return dataclasses.replace(bundle, version_move=moves + rollouts)


@functools.singledispatch
def apply(amendment: typing.Any, bundle: bundles.Bundle) -> bundles.Bundle:
    """Return ``bundle`` with an amendment applied to it."""
    raise TypeError(f"unsupported amendment type {type(amendment).__name__}")


@apply.register
def _(amendment: ReplaceServices, bundle: bundles.Bundle) -> bundles.Bundle:
    wanted = bundles.decode(packing.unpack(amendment.bundle))
    return bundles.Bundle(
        service=wanted.service,
        account=wanted.account,
        host_route=wanted.host_route,
        zone=bundle.zone,
        version_move=bundle.version_move,
    )


@apply.register
def _(amendment: SetZone, bundle: bundles.Bundle) -> bundles.Bundle:
    state = bundles.ZoneState.OUT if amendment.out else bundles.ZoneState.IN
    regions = {zone.name: zone.region for zone in bundle.zone}
    changed = bundles.Zone(
        name=amendment.zone,
        region=regions.get(amendment.zone, ""),
        state=state,
    )
    others = (zone for zone in bundle.zone if zone.name != amendment.zone)
    return bundles.Bundle(
        service=bundle.service,
        account=bundle.account,
        host_route=bundle.host_route,
        zone=(*others, changed),
        version_move=bundle.version_move,
    )


@apply.register
def _(amendment: StartRollout, bundle: bundles.Bundle) -> bundles.Bundle:
    earlier = rollouts_of(bundle, amendment.service)
    number = (amendment.ordered_at - _EPOCH) // _MICROSECOND
    if earlier:
        last = earlier[-1]
        if last.new == amendment.target and _is_same(amendment, last):
            return bundle
        # Orders stay in sequence even if the clock of their host is behind.
        number = max(number, int(last.id.split("-")[1]) + 1)
    # The id holds the time of the order, so the deadline is as far from it.
    shift = _EPOCH + number * _MICROSECOND - amendment.ordered_at
    move = bundles.VersionMove(
        id=f"rollout-{number:020d}-{amendment.service}",
        service=amendment.service,
        model="",
        old=amendment.old,
        new=amendment.target,
        deadline=amendment.deadline + shift,
        kind=bundles.MoveKind.SOFTWARE,
        share_cap=amendment.share,
    )
    kept = [item for item in earlier if item.new != amendment.target]
    kept = kept[1 - MAX_ROLLOUTS :]
    others = [item for item in bundle.version_move if item not in earlier]
    return dataclasses.replace(bundle, version_move=(*others, *kept, move))


def _is_same(amendment: StartRollout, last: bundles.VersionMove) -> bool:
    """Return whether an order for the last target is the last order."""
    if amendment.ended != last.id:
        return last.deadline > amendment.ordered_at
    duration = rollout_duration(last)
    return (
        amendment.deadline - amendment.ordered_at == duration
        and amendment.ordered_at < last.deadline - duration + RESEND_TIME
    )


def is_rollout(move: bundles.VersionMove) -> bool:
    """Return whether a move was ordered by call.

    A file may contain the kind, but no move of it has such an id by chance.
    """
    return move.kind is bundles.MoveKind.SOFTWARE and bool(
        _ROLLOUT_ID.match(move.id)
    )


def rollouts_of(
    bundle: bundles.Bundle, service: str
) -> list[bundles.VersionMove]:
    """Return the software moves of a service, the newest one last."""
    return sorted(
        (
            move
            for move in bundle.version_move
            if is_rollout(move) and move.service == service
        ),
        key=lambda move: move.id,
    )


def rollout_duration(move: bundles.VersionMove) -> datetime.timedelta:
    """Return the time from the order of a software move to its deadline."""
    number = int(move.id.split("-")[1])
    return move.deadline - (_EPOCH + number * _MICROSECOND)
