"""Aggregates the load of a zone and distributes it to all zones."""

from __future__ import annotations

import collections
import datetime
import random

import msgspec

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.zones import backlog as backlogs
from fulmarbarrow.zones import capacity as capacities
from fulmarbarrow.zones import demand as demands
from fulmarbarrow.zones import messages
from fulmarbarrow.zones import peers as peers_module

PERIOD = datetime.timedelta(seconds=2)
FAR_PERIOD = datetime.timedelta(seconds=10)
STALE = datetime.timedelta(seconds=7)
FAR_STALE = datetime.timedelta(seconds=30)
# Demand below this fraction of a service's capacity is sent without its
# distribution over worth per token.
DETAIL_FROM = 0.4
HOPS = 2


class Summaries:
    """Collects demand from routers and exchanges zone summaries.

    Every router sends its demand to the router with the lowest id in its
    zone. That router sends the zone's summary to the routers of its own
    zone in two hops, and to one router of each other zone, which forwards
    it there in the same way.
    """

    def __init__(
        self,
        *,
        own: membership_messages.Daemon,
        peers: peers_module.Peers,
        capacity: capacities.Capacity,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._peers = peers
        self._capacity = capacity
        self._rng = rng
        self._meter = demands.DemandMeter()
        self.waiting = backlogs.Backlog()
        self._routers: dict[
            str, tuple[messages.RouterDemand, datetime.datetime]
        ] = {}
        self._zones: dict[
            str, tuple[messages.ZoneSummary, datetime.datetime]
        ] = {}
        self._next: datetime.datetime | None = None
        self._next_far: datetime.datetime | None = None

    @property
    def zones(self) -> dict[str, messages.ZoneSummary]:
        """The latest summary of each zone."""
        return {name: summary for name, (summary, _) in self._zones.items()}

    def count(self, service: str, *, cost: int, worth: float) -> None:
        """Count a request that arrived at this router."""
        self._meter.count(service, cost=cost, worth=worth)

    def router_demand(
        self, event: messages.RouterDemand, now: datetime.datetime
    ) -> None:
        """Store the demand of a router of this zone."""
        self._routers[event.daemon_id] = (event, now)

    def heard(
        self, summary: messages.ZoneSummary, now: datetime.datetime
    ) -> list[message.Message]:
        """Store a zone's summary and forward it within this zone.

        A summary that is not newer than the stored one is ignored, unless
        the stored one is stale.
        """
        known = self._zones.get(summary.zone)
        fresh = known is None or now - known[1] > STALE
        if not fresh and known[0].sequence >= summary.sequence:
            return []
        self._zones[summary.zone] = (summary, now)
        return self._pass_on(summary)

    def demand(self, now: datetime.datetime) -> demands.Steps:
        """Return the demand of this region's zones with fresh summaries."""
        return demands.add(
            demands.unpack(summary.demand) for summary in self._region(now)
        )

    def backlog(self, now: datetime.datetime) -> collections.Counter[str]:
        """Return the waiting tokens of the same zones by service."""
        return backlogs.add(
            part for summary in self._region(now) for part in summary.backlog
        )

    def _region(self, now: datetime.datetime) -> list[messages.ZoneSummary]:
        return [
            summary
            for summary, at in self._zones.values()
            if now - at <= STALE and summary.region == self._own.region
        ]

    def tick(
        self, now: datetime.datetime, service_capacity: dict[str, float]
    ) -> list[message.Message]:
        """Send this router's demand, or the summary if it aggregates."""
        self._meter.tick(now)
        if self._next is None:
            self._next = now + self._rng.random() * PERIOD
            self._next_far = self._next
        if now < self._next:
            return []
        self._next = max(self._next + PERIOD, now)
        self._forget(now)
        speaker = self._peers.speaker()
        mine = messages.RouterDemand(
            daemon_id=self._own.daemon_id,
            services=self._meter.services(),
            reserved_tokens=self._capacity.reserved_tokens,
            backlog=self.waiting.services(),
        )
        if speaker.daemon_id != self._own.daemon_id:
            return [message.Send(address=speaker.address, message=mine)]
        self.router_demand(mine, now)
        return self._speak(now, service_capacity)

    def _speak(
        self, now: datetime.datetime, service_capacity: dict[str, float]
    ) -> list[message.Message]:
        summary = self._summary(service_capacity, now)
        self._zones[summary.zone] = (summary, now)
        effects = self._pass_on(summary)
        receivers = self._peers.one_per_other_zone(self._rng, far=False)
        if self._next_far is None or now >= self._next_far:
            self._next_far = now + FAR_PERIOD
            receivers += self._peers.one_per_other_zone(self._rng, far=True)
        effects.extend(
            message.Send(address=daemon.address, message=summary)
            for daemon in receivers
        )
        return effects

    def _summary(
        self, service_capacity: dict[str, float], now: datetime.datetime
    ) -> messages.ZoneSummary:
        found = [event for event, _ in self._routers.values()]
        total = demands.add(demands.unpack(item.services) for item in found)
        count, rate = self._capacity.of_zone(self._own.zone)
        started = int(now.timestamp() * 1000)
        return messages.ZoneSummary(
            zone=self._own.zone,
            region=self._own.region,
            sequence=started,
            capacity_tokens=rate,
            reserved_tokens=sum(item.reserved_tokens for item in found),
            upstreams=count,
            lacking=count == 0,
            demand=_brief(total, service_capacity),
            backlog=backlogs.pack(
                backlogs.add(part for item in found for part in item.backlog)
            ),
            hops=HOPS,
        )

    def _pass_on(self, summary: messages.ZoneSummary) -> list[message.Message]:
        if summary.hops <= 0:
            return []
        mine: list[membership_messages.Daemon] = []
        heads: list[membership_messages.Daemon] = []
        for chunk in self._peers.chunks():
            if any(item.daemon_id == self._own.daemon_id for item in chunk):
                mine = chunk
            else:
                heads.append(chunk[0])
        effects = self._send(mine, summary, 0)
        if summary.hops == HOPS:
            effects.extend(self._send(heads, summary, 1))
        return effects

    def _send(
        self,
        receivers: list[membership_messages.Daemon],
        summary: messages.ZoneSummary,
        hops: int,
    ) -> list[message.Message]:
        less = msgspec.structs.replace(summary, hops=hops)
        return [
            message.Send(address=daemon.address, message=less)
            for daemon in receivers
            if daemon.daemon_id != self._own.daemon_id
        ]

    def _forget(self, now: datetime.datetime) -> None:
        for name, (_, at) in list(self._routers.items()):
            if now - at > STALE:
                del self._routers[name]
        for name, (_, at) in list(self._zones.items()):
            if now - at > FAR_STALE:
                del self._zones[name]


def _brief(
    total: demands.Steps, service_capacity: dict[str, float]
) -> tuple[messages.ServiceDemand, ...]:
    """Encode the demand, in detail only where capacity may run short."""
    brief: demands.Steps = {}
    for service, steps in total.items():
        tokens = sum(steps.values())
        if tokens < DETAIL_FROM * service_capacity.get(service, 0.0):
            brief[service] = type(steps)({messages.LOWEST_STEP: tokens})
        else:
            brief[service] = steps
    return demands.pack(brief)
