"""Routers for the fleet model: the real cores and simple policies."""

from __future__ import annotations

import datetime
import itertools
import random
import typing

from benchmarks import fleet_model
from fulmarbarrow.config import defaults
from fulmarbarrow.limits import policy as limits_policy
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import core as placement_core
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import rendezvous

MakeRouter = typing.Callable[
    [fleet_model.Fleet, membership_messages.Daemon], fleet_model.Router
]


def make_core(
    *,
    policy: limits_policy.Policy | None = None,
    bounds: bounds_module.Bounds | None = None,
    home_wait: datetime.timedelta = defaults.PlacementSection.home_wait,
    metrics: metrics_module.Metrics | None = None,
) -> MakeRouter:
    """Return a maker of the real placement core."""

    def make(
        fleet: fleet_model.Fleet, daemon: membership_messages.Daemon
    ) -> fleet_model.Router:
        return placement_core.PlacementCore(
            daemon=daemon,
            policy=policy or limits_policy.Policy(),
            metrics=metrics or metrics_module.Metrics(),
            rng=random.Random(daemon.daemon_id),
            bounds=bounds,
            timing=defaults.PlacementSection(home_wait=home_wait),
        )

    return make


class SimpleRouter:
    """A policy that sees upstreams, late reports and its own work."""

    def __init__(
        self,
        *,
        fleet: fleet_model.Fleet,
        daemon: membership_messages.Daemon,
    ) -> None:
        self._fleet = fleet
        self._rng = random.Random(f"simple-{daemon.daemon_id}")
        self._upstreams: dict[str, membership_messages.Upstream] = {}
        self._reported: dict[str, int] = {}
        self._own: dict[str, int] = {}
        self._costs: dict[str, int] = {}
        self._ring = rendezvous.Ring(weights={})
        self._turn = itertools.count(self._rng.randrange(1000))

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> fleet_model.Effects:
        """Take one event and return its effects."""
        match event:
            case membership_messages.UpstreamChanged():
                self._upstreams[event.upstream.upstream_id] = event.upstream
                self._prepare()
            case membership_messages.UpstreamGone():
                self._upstreams.pop(event.upstream_id, None)
                self._prepare()
            case membership_messages.LoadReported():
                load = event.load
                self._reported[event.upstream_id] = (
                    load.running_tokens + load.queued_tokens
                )
            case messages.WorkEnded():
                self._own[event.upstream_id] -= self._costs.pop(
                    event.attempt_id
                )
            case messages.PlaceRequest():
                return [self._place(event)]
        return []

    def choose(self, request: messages.PlaceRequest) -> str:
        """Return the upstream for a request."""
        raise NotImplementedError

    def own_work(self, upstream_id: str) -> int:
        """Return this router's own work at an upstream in tokens."""
        return self._own.get(upstream_id, 0)

    def _prepare(self) -> None:
        self._ring = rendezvous.Ring(
            weights=dict.fromkeys(self._upstreams, 1.0)
        )

    def _place(self, request: messages.PlaceRequest) -> messages.Placed:
        chosen = self.choose(request)
        self._own[chosen] = self.own_work(chosen) + request.cost
        self._costs[request.attempt_id] = request.cost
        upstream = self._upstreams[chosen]
        return messages.Placed(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            upstream_id=chosen,
            incarnation=upstream.incarnation,
            url=upstream.url,
            version="",
        )


class RoundRobin(SimpleRouter):
    """Each upstream in turn."""

    def choose(self, request: messages.PlaceRequest) -> str:
        """Return the next upstream."""
        members = self._ring.members
        return members[next(self._turn) % len(members)]


class LeastLoaded(SimpleRouter):
    """The upstream with the least late reported and own work."""

    def choose(self, request: messages.PlaceRequest) -> str:
        """Return the least loaded upstream as far as is known."""
        return min(
            self._ring.members,
            key=lambda name: (
                max(self._reported.get(name, 0), self.own_work(name)),
                self._rng.random(),
            ),
        )


class PlainRendezvous(SimpleRouter):
    """The chat's upstream, however much work it has."""

    def choose(self, request: messages.PlaceRequest) -> str:
        """Return the first upstream of the chat's order."""
        return self._ring.best(request.chat, 1)[0]


class BoundedOwn(SimpleRouter):
    """The first upstream of the order that own work leaves below a bound."""

    def choose(self, request: messages.PlaceRequest) -> str:
        """Return the first upstream within the bound on own work."""
        order = self._ring.order(request.chat)
        routers = self._fleet.shape.routers
        mean = sum(map(self.own_work, order)) / len(order)
        for name in order:
            batch = self._upstreams[name].batch_tokens / routers
            limit = fleet_model.BOUND * max(mean, batch)
            if self.own_work(name) + request.cost <= limit:
                return name
        return min(order, key=self.own_work)


class AllSeeing(SimpleRouter):
    """The first upstream of the order within the bound by its true work."""

    def choose(self, request: messages.PlaceRequest) -> str:
        """Return the first upstream whose true work is within the bound."""
        order = self._ring.order(request.chat)
        engines = self._fleet.engines
        mean = self._fleet.mean_work
        for name in order:
            batch = self._upstreams[name].batch_tokens
            limit = max(fleet_model.BOUND * mean, batch)
            if engines[name].work + request.cost <= limit:
                return name
        return min(order, key=lambda name: engines[name].work)


def make_simple(kind: type[SimpleRouter]) -> MakeRouter:
    """Return a maker of a simple policy."""

    def make(
        fleet: fleet_model.Fleet, daemon: membership_messages.Daemon
    ) -> fleet_model.Router:
        return kind(fleet=fleet, daemon=daemon)

    return make
