"""Messages about availability zones that leave and return."""

from __future__ import annotations

import datetime
import math

import msgspec
import xxhash

from fulmarbarrow import message

STEPS_PER_DOUBLING = 8
LOWEST_STEP = -20 * STEPS_PER_DOUBLING
HIGHEST_STEP = 20 * STEPS_PER_DOUBLING


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


class CapacityShort(message.Message, frozen=True, kw_only=True):
    """What of a service's new requests the capacity is enough for.

    ``floor`` is a worth per token: requests below it are refused, those of
    its own step are admitted in the given ``part``, all above it are
    admitted. A floor of 0 admits everything.
    """

    service: str
    floor: float = 0.0
    part: float = 1.0

    def admits(self, *, worth: float, cost: int, request_id: str) -> bool:
        """Return whether a request is worth enough for its ``cost``."""
        if self.floor <= 0:
            return True
        step = density_step(worth=worth, cost=cost)
        floor_step = density_step(worth=self.floor, cost=1)
        if step != floor_step:
            return step > floor_step
        value = xxhash.xxh3_64_intdigest(request_id.encode())
        return value / 2**64 < self.part


def density_step(*, worth: float, cost: int) -> int:
    """Return the step of a worth per token on a logarithmic scale."""
    if worth <= 0:
        return LOWEST_STEP
    step = math.floor(STEPS_PER_DOUBLING * math.log2(worth / max(cost, 1)))
    return min(max(step, LOWEST_STEP), HIGHEST_STEP)


def step_density(step: int) -> float:
    """Return a worth per token within a step."""
    return 2 ** ((step + 0.5) / STEPS_PER_DOUBLING)


class ServiceDemand(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Work offered to a service, by steps of worth per token.

    ``levels`` has one byte a step from ``first_step`` on: the logarithm of
    its tokens a second, 0 for none.
    """

    service: str
    first_step: int
    levels: bytes


class ServiceBacklog(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Tokens of a service's requests that wait for their upstream."""

    service: str
    tokens: int


class KvMove(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A recently active chat whose KV cache should move with it."""

    chat: str
    version: str
    source_id: str
    source_url: str
    target_id: str
    target_url: str
    tokens: int
    requests: int


# Messages between daemons.


class RouterDemand(message.Message, frozen=True, kw_only=True):
    """Work offered at one router, for the one that sums up its zone.

    ``reserved_tokens`` is the reported work of the upstreams it owns.
    """

    daemon_id: str
    services: tuple[ServiceDemand, ...] = ()
    reserved_tokens: int = 0
    backlog: tuple[ServiceBacklog, ...] = ()


class ZoneSummary(message.Message, frozen=True, kw_only=True):
    """Capacity and work of a zone, for daemons elsewhere.

    ``capacity_tokens`` are those that its upstreams do in a second,
    ``reserved_tokens`` those that they report as running or queued. The
    receiver passes it on within its zone while ``hops`` is above 0.
    ``lacking`` says that the zone has no upstream that serves.
    """

    zone: str
    region: str
    sequence: int
    capacity_tokens: int
    reserved_tokens: int
    upstreams: int
    lacking: bool = False
    demand: tuple[ServiceDemand, ...] = ()
    backlog: tuple[ServiceBacklog, ...] = ()
    hops: int = 0


class KvMovesWanted(message.Message, frozen=True, kw_only=True):
    """A router's most active chats of a zone that returns.

    They move before ``until``; then the zone's traffic comes back.
    """

    zone: str
    revision: int
    until: datetime.datetime
    moves: tuple[KvMove, ...]
    forwarded: bool = False


PEER_MESSAGES = (RouterDemand, ZoneSummary, KvMovesWanted)
