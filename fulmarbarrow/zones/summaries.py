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

SEND_PERIOD = datetime.timedelta(seconds=2)
CROSS_REGION_SEND_PERIOD = datetime.timedelta(seconds=10)
MAX_AGE = datetime.timedelta(seconds=7)
CROSS_REGION_MAX_AGE = datetime.timedelta(seconds=30)
# Demand below this fraction of a service's capacity is sent without its
# distribution over worth per token.
DETAIL_THRESHOLD = 0.4
MAX_HOPS = 2


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
        self.local_backlog = backlogs.Backlog()
        self._routers: dict[
            str, tuple[messages.RouterDemand, datetime.datetime]
        ] = {}
        self._zones: dict[
            str, tuple[messages.ZoneSummary, datetime.datetime]
        ] = {}
        self._next_send: datetime.datetime | None = None
        self._next_cross_region_send: datetime.datetime | None = None

    @property
    def zones(self) -> dict[str, messages.ZoneSummary]:
        """The latest summary of each zone."""
        return {name: summary for name, (summary, _) in self._zones.items()}

    def count_request(self, service: str, *, cost: int, worth: float) -> None:
        """Count a request that arrived at this router."""
        self._meter.count(service, cost=cost, worth=worth)

    def record_router_demand(
        self, event: messages.RouterDemand, now: datetime.datetime
    ) -> None:
        """Store the demand of a router of this zone."""
        self._routers[event.daemon_id] = (event, now)

    def receive_summary(
        self, summary: messages.ZoneSummary, now: datetime.datetime
    ) -> list[message.Message]:
        """Store a zone's summary and forward it within this zone.

        A summary that is not newer than the stored one is ignored, unless
        the stored one is stale.
        """
        stored = self._zones.get(summary.zone)
        replaceable = stored is None or now - stored[1] > MAX_AGE
        if not replaceable and stored[0].sequence >= summary.sequence:
            return []
        self._zones[summary.zone] = (summary, now)
        return self._forward_summary(summary)

    def demand(self, now: datetime.datetime) -> demands.DemandSteps:
        """Return this region's demand, from fresh zone summaries."""
        return demands.sum_steps(
            demands.decode(summary.demand)
            for summary in self._region_summaries(now)
        )

    def backlog(self, now: datetime.datetime) -> collections.Counter[str]:
        """Return this region's backlog by service, from fresh summaries."""
        return backlogs.sum_by_service(
            part
            for summary in self._region_summaries(now)
            for part in summary.backlog
        )

    def _region_summaries(
        self, now: datetime.datetime
    ) -> list[messages.ZoneSummary]:
        return [
            summary
            for summary, received_at in self._zones.values()
            if now - received_at <= MAX_AGE
            and summary.region == self._own.region
        ]

    def tick(
        self, now: datetime.datetime, service_capacity: dict[str, float]
    ) -> list[message.Message]:
        """Send this router's demand to the zone's aggregator.

        The aggregator sends the summary of the zone instead.
        ``service_capacity`` is in tokens per second.
        """
        self._meter.tick(now)
        if self._next_send is None:
            self._next_send = now + self._rng.random() * SEND_PERIOD
            self._next_cross_region_send = self._next_send
        if now < self._next_send:
            return []
        self._next_send = max(self._next_send + SEND_PERIOD, now)
        self._remove_stale(now)
        aggregator = self._peers.aggregator()
        own_demand = messages.RouterDemand(
            daemon_id=self._own.daemon_id,
            services=self._meter.by_service(),
            reserved_tokens=self._capacity.reserved_tokens,
            backlog=self.local_backlog.by_service(),
        )
        if aggregator.daemon_id != self._own.daemon_id:
            return [
                message.Send(address=aggregator.address, message=own_demand)
            ]
        self.record_router_demand(own_demand, now)
        return self._publish_summary(now, service_capacity)

    def _publish_summary(
        self, now: datetime.datetime, service_capacity: dict[str, float]
    ) -> list[message.Message]:
        summary = self._build_summary(service_capacity, now)
        self._zones[summary.zone] = (summary, now)
        effects = self._forward_summary(summary)
        receivers = self._peers.random_router_per_zone(
            self._rng, other_regions=False
        )
        if (
            self._next_cross_region_send is None
            or now >= self._next_cross_region_send
        ):
            self._next_cross_region_send = now + CROSS_REGION_SEND_PERIOD
            receivers += self._peers.random_router_per_zone(
                self._rng, other_regions=True
            )
        effects.extend(
            message.Send(address=daemon.address, message=summary)
            for daemon in receivers
        )
        return effects

    def _build_summary(
        self, service_capacity: dict[str, float], now: datetime.datetime
    ) -> messages.ZoneSummary:
        routers = [event for event, _ in self._routers.values()]
        total = demands.sum_steps(
            demands.decode(item.services) for item in routers
        )
        count, rate = self._capacity.zone_totals(self._own.zone)
        timestamp_ms = int(now.timestamp() * 1000)
        return messages.ZoneSummary(
            zone=self._own.zone,
            region=self._own.region,
            sequence=timestamp_ms,
            capacity_tokens=rate,
            reserved_tokens=sum(item.reserved_tokens for item in routers),
            upstreams=count,
            lacking=count == 0,
            demand=_encode_demand(total, service_capacity),
            backlog=backlogs.encode(
                backlogs.sum_by_service(
                    part for item in routers for part in item.backlog
                )
            ),
            hops=MAX_HOPS,
        )

    def _forward_summary(
        self, summary: messages.ZoneSummary
    ) -> list[message.Message]:
        if summary.hops <= 0:
            return []
        own_chunk: list[membership_messages.Daemon] = []
        chunk_heads: list[membership_messages.Daemon] = []
        for chunk in self._peers.router_chunks():
            if any(item.daemon_id == self._own.daemon_id for item in chunk):
                own_chunk = chunk
            else:
                chunk_heads.append(chunk[0])
        effects = self._send_summary(own_chunk, summary, 0)
        if summary.hops == MAX_HOPS:
            effects.extend(self._send_summary(chunk_heads, summary, 1))
        return effects

    def _send_summary(
        self,
        receivers: list[membership_messages.Daemon],
        summary: messages.ZoneSummary,
        hops: int,
    ) -> list[message.Message]:
        forwarded = msgspec.structs.replace(summary, hops=hops)
        return [
            message.Send(address=daemon.address, message=forwarded)
            for daemon in receivers
            if daemon.daemon_id != self._own.daemon_id
        ]

    def _remove_stale(self, now: datetime.datetime) -> None:
        for name, (_, received_at) in list(self._routers.items()):
            if now - received_at > MAX_AGE:
                del self._routers[name]
        for name, (_, received_at) in list(self._zones.items()):
            if now - received_at > CROSS_REGION_MAX_AGE:
                del self._zones[name]


def _encode_demand(
    total: demands.DemandSteps, service_capacity: dict[str, float]
) -> tuple[messages.ServiceDemand, ...]:
    """Encode the demand, in detail only where capacity may run short."""
    encoded: demands.DemandSteps = {}
    for service, steps in total.items():
        tokens = sum(steps.values())
        if tokens < DETAIL_THRESHOLD * service_capacity.get(service, 0.0):
            encoded[service] = type(steps)({messages.LOWEST_STEP: tokens})
        else:
            encoded[service] = steps
    return demands.encode(encoded)
