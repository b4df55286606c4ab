"""A fleet of membership, placement and zones cores."""

from __future__ import annotations

import collections.abc
import datetime
import random

from benchmarks import membership_fleet
from fulmarbarrow import bus as buses
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.limits import policy as limits_policy
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.placement import core as placement_core
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.zones import core as zones_core
from fulmarbarrow.zones import messages

REGION = "attica"
SERVICE = "consultations"
MODEL = "lacework"
SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
PLACE_WAIT = 100 * MILLISECOND


class Watch:
    """Keeps what a daemon's zones core last told the other cores."""

    handles = (
        messages.ZoneWeights,
        messages.AdmissionThreshold,
        placement_messages.Placed,
        placement_messages.NotPlaced,
    )

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.short: dict[str, messages.AdmissionThreshold] = {}
        self.placed: dict[str, placement_messages.Placed | None] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event."""
        match event:
            case messages.ZoneWeights():
                self.weights = dict(event.weights)
            case messages.AdmissionThreshold():
                self.short[event.service] = event
            case placement_messages.Placed():
                self.placed[event.attempt_id] = event
            case placement_messages.NotPlaced():
                self.placed[event.attempt_id] = None
        return []

    def dump(self) -> dict[str, object]:
        """Return nothing; this is no core of a daemon."""
        return {}


def _cores(
    daemon: membership_messages.Daemon, rng: random.Random
) -> tuple[buses.Core, ...]:
    return (
        zones_core.ZonesCore(
            daemon=daemon, metrics=metrics.Metrics(), rng=rng
        ),
        placement_core.PlacementCore(
            daemon=daemon,
            policy=limits_policy.Policy(),
            metrics=metrics.Metrics(),
            rng=rng,
        ),
        Watch(),
    )


class Node(membership_fleet.Node):
    """A daemon whose zones and placement cores run as well."""

    @property
    def watch(self) -> Watch:
        """What the zones core last told."""
        return self.others[-1]

    @property
    def weights(self) -> dict[str, float]:
        """The weights that the daemon gives to the zones."""
        return self.watch.weights

    @property
    def short(self) -> dict[str, messages.AdmissionThreshold]:
        """What the daemon admits of each service that was short."""
        return self.watch.short


def make(
    *, seed: int, zones: int, routers: int, upstreams: int
) -> membership_fleet.Fleet:
    """Return a fleet of one region whose members are about to start."""
    fleet = membership_fleet.Fleet(seed=seed, others=_cores, node_type=Node)
    for number in range(zones * routers):
        fleet.add_daemon(
            f"entry-{number}",
            zone=f"attica-{number % zones}",
            region=REGION,
            seeds=("entry-0",) if number else (),
        )
    for number in range(zones * upstreams):
        fleet.add_upstream(
            f"engine-{number}",
            zone=f"attica-{number % zones}",
            region=REGION,
        )
    return fleet


def publish(
    fleet: membership_fleet.Fleet,
    *,
    revision: int,
    out: tuple[str, ...] = (),
    nodes: collections.abc.Iterable[membership_fleet.Node] | None = None,
) -> None:
    """Put a revision in force on some daemons, or on all of them."""
    names = sorted({node.daemon.zone for node in fleet.nodes.values()})
    bundle = bundles.Bundle(
        zone=tuple(
            bundles.Zone(
                name=name,
                region=REGION,
                state=bundles.ZoneState("out" if name in out else "in"),
            )
            for name in names
        )
    )
    changed = publishing_messages.ConfigurationChanged(
        revision=revision, bundle=bundle
    )
    for node in nodes or list(fleet.nodes.values()):
        fleet.post(node, changed)


def place(
    fleet: membership_fleet.Fleet,
    node: membership_fleet.Node,
    chat: str,
    attempt: str,
) -> str | None:
    """Place a chat, end its work at once and return its upstream."""
    fleet.post(
        node,
        placement_messages.PlaceRequest(
            request_id=attempt,
            attempt_id=attempt,
            account="volos",
            service=SERVICE,
            model=MODEL,
            chat=chat,
            cost=100,
            cost_class=placement_messages.CostClass.SHORT,
            worth=1.0,
            deadline=fleet.now + 30 * SECOND,
        ),
    )
    placed = node.others[-1].placed
    fleet.run_until(
        lambda: attempt in placed, within=PLACE_WAIT, step=2 * MILLISECOND
    )
    answer = placed.get(attempt)
    if answer is None:
        return None
    fleet.post(
        node,
        placement_messages.WorkEnded(
            request_id=attempt,
            attempt_id=attempt,
            upstream_id=answer.upstream_id,
            incarnation=answer.incarnation,
            outcome=placement_messages.WorkOutcome.COMPLETED,
        ),
    )
    return answer.upstream_id


class Load:
    """Requests of several kinds that arrive at random routers."""

    def __init__(
        self,
        *,
        fleet: membership_fleet.Fleet,
        tokens_per_second: float,
        kinds: tuple[tuple[int, float], ...],
    ) -> None:
        self._fleet = fleet
        self._kinds = kinds
        mean = sum(cost for cost, _ in kinds) / len(kinds)
        self._gap = SECOND * (mean / tokens_per_second)
        self._count = 0

    def run(self, duration: datetime.timedelta) -> None:
        """Let requests arrive for a time."""
        until = self._fleet.now + duration
        nodes = [node for node in self._fleet.nodes.values() if node.running]
        while self._fleet.now < until:
            self._fleet.run(self._gap)
            cost, worth = self._fleet.rng.choice(self._kinds)
            self._count += 1
            self._fleet.post(
                self._fleet.rng.choice(nodes),
                limits_messages.AdmitRequest(
                    request_id=f"request-{self._count}",
                    account="volos",
                    service=SERVICE,
                    cost=cost,
                    worth=worth,
                    deadline=until,
                ),
            )
