"""Messages about zone state, zone load, admission and KV moves."""

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
    """The fraction of its normal new work that each zone receives.

    0 means that the zone is out, 1 that it is in full service.
    """

    revision: int
    weights: tuple[tuple[str, float], ...]


class ZoneNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Whether a published revision takes an availability zone out."""

    zone: str
    out: bool
    revision: int


class ZoneNoticesAnnounced(
    message.Message, frozen=True, kw_only=True, tag="ZoneAnnounced"
):
    """Zone changes of a revision, for membership to send to all daemons."""

    notices: tuple[ZoneNotice, ...]


class ZoneNoticesReceived(
    message.Message, frozen=True, kw_only=True, tag="ZoneHeard"
):
    """Zone changes received from another daemon.

    They can arrive before the revision itself.
    """

    notices: tuple[ZoneNotice, ...]


class AdmissionThreshold(
    message.Message, frozen=True, kw_only=True, tag="CapacityShort"
):
    """The admission threshold of a service.

    ``floor`` is a worth per token. Requests below its step are refused,
    requests above are admitted, and of those in the same step the fraction
    ``part`` is admitted. A floor of 0 admits everything.
    """

    service: str
    floor: float = 0.0
    part: float = 1.0

    def admits(self, *, worth: float, cost: int, request_id: str) -> bool:
        """Return whether a request is admitted.

        The choice within the floor's step depends on the request id only,
        so all routers make the same one.
        """
        if self.floor <= 0:
            return True
        step = density_step(worth=worth, cost=cost)
        floor_step = density_step(worth=self.floor, cost=1)
        if step != floor_step:
            return step > floor_step
        value = xxhash.xxh3_64_intdigest(request_id.encode())
        return value / 2**64 < self.part


def density_step(*, worth: float, cost: int) -> int:
    """Return the logarithmic step of a worth per token."""
    if worth <= 0:
        return LOWEST_STEP
    step = math.floor(STEPS_PER_DOUBLING * math.log2(worth / max(cost, 1)))
    return min(max(step, LOWEST_STEP), HIGHEST_STEP)


def density_of_step(step: int) -> float:
    """Return the worth per token in the middle of a step."""
    return 2 ** ((step + 0.5) / STEPS_PER_DOUBLING)


class ServiceDemand(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Demand for a service by step of worth per token.

    ``levels`` has one byte per step, starting at ``first_step``: the
    logarithm of the step's tokens per second, or 0 for none.
    """

    service: str
    first_step: int
    levels: bytes


class ServiceBacklog(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Tokens of a service's attempts that wait for an upstream."""

    service: str
    tokens: int


class KvMove(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A move of a recently active chat's KV cache between upstreams."""

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
    """Demand at one router, sent to its zone's aggregating router.

    ``reserved_tokens`` is the load reported by the upstreams it owns.
    """

    daemon_id: str
    services: tuple[ServiceDemand, ...] = ()
    reserved_tokens: int = 0
    backlog: tuple[ServiceBacklog, ...] = ()


class ZoneSummary(message.Message, frozen=True, kw_only=True):
    """Capacity and load of a zone, for the routers of all zones.

    ``capacity_tokens`` is the total tokens per second of its upstreams,
    ``reserved_tokens`` the tokens that they report as running or queued.
    ``lacking`` means that no upstream of the zone is serving. A receiver
    forwards the summary within its own zone while ``hops`` is above 0.
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


class KvMovesRequested(
    message.Message, frozen=True, kw_only=True, tag="KvMovesWanted"
):
    """Asks to move the KV cache of chats back to a returning zone.

    ``moves`` are the busiest such chats of the sending router. No move
    starts after ``until``, when the zone's traffic returns.
    """

    zone: str
    revision: int
    until: datetime.datetime
    moves: tuple[KvMove, ...]
    forwarded: bool = False


PEER_MESSAGES = (RouterDemand, ZoneSummary, KvMovesRequested)
