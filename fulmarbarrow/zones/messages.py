"""Messages about availability zones that leave and return."""

from __future__ import annotations

import msgspec

from fulmarbarrow import message


class ZoneWeights(message.Message, frozen=True, kw_only=True):
    """The part of its usual new work that each availability zone gets.

    0 is a zone taken out, 1 a zone in full service.
    """

    revision: int
    weights: tuple[tuple[str, float], ...]


class ZoneNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Whether a published revision has an availability zone out."""

    zone: str
    out: bool
    revision: int


class ZoneAnnounced(message.Message, frozen=True, kw_only=True):
    """A revision changed zones; membership tells the other daemons."""

    notices: tuple[ZoneNotice, ...]


class ZoneHeard(message.Message, frozen=True, kw_only=True):
    """Another daemon told of zones, maybe ahead of the revision itself."""

    notices: tuple[ZoneNotice, ...]


class ZoneSummary(message.Message, frozen=True, kw_only=True):
    """Capacity and work of a zone, for daemons elsewhere."""

    zone: str
    region: str
    sequence: int
    capacity_tokens: int
    reserved_tokens: int
    upstreams: int
    lacking: bool = False


PEER_MESSAGES = (ZoneSummary,)
