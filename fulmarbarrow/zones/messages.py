"""Messages about availability zones that leave and return."""

from __future__ import annotations

from fulmarbarrow import message


class ZoneWeights(message.Message, frozen=True, kw_only=True):
    """The part of its usual new work that each availability zone gets.

    0 is a zone taken out, 1 a zone in full service.
    """

    revision: int
    weights: tuple[tuple[str, float], ...]


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
