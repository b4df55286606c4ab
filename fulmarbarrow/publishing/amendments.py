"""Partial changes that apply to any accepted configuration.

Unlike a publish, an amendment has no base revision: two amendments never
conflict, and amendments are idempotent.
"""

from __future__ import annotations

import functools
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.publishing import packing


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


AnyAmendment = ReplaceServices | SetZone


class AmendCommand(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Replicated command for an amendment."""

    amend_id: str
    amendment: AnyAmendment


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
