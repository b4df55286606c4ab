"""A service whose load is replayed against the scaling decision."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import math
import random

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.scaling import decision

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
INTERVAL_SECONDS = 2
SECOND_COST = 0.74
CALL_COST = 0.59
REQUEST_WORTH = 1.0
MAX_WAIT_SECONDS = 1.0
ZONES = ("a", "b", "c")

Rate = collections.abc.Callable[[str, float], float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """A load by zone and second, and what happens to upstreams.

    Between the two times of ``crash``, half of the upstreams of the zone "a"
    are down. The zone "a" is unreachable from ``lost_at`` on; its callers
    turn to the other zones within 3 s.
    """

    name: str
    rate: Rate
    length: int = 180
    crash: tuple[int, int] | None = None
    lost_at: int | None = None
    seconds: float = 0.25
    slots: int = 6
    least: int = 2
    most: int = 40
    start_time: float = 8.0


@dataclasses.dataclass(kw_only=True)
class Result:
    """What a policy earned and spent."""

    arrived: float = 0.0
    served: float = 0.0
    upstream_seconds: float = 0.0
    calls: int = 0
    orders: list[tuple[int, str, int]] = dataclasses.field(
        default_factory=list
    )

    @property
    def lost_share(self) -> float:
        """The share of requests that were not served."""
        return 1 - self.served / self.arrived

    @property
    def profit(self) -> float:
        """The worth served less the costs."""
        spent = self.upstream_seconds * SECOND_COST + self.calls * CALL_COST
        return self.served * REQUEST_WORTH - spent

    def ordered(self, zone: str, since: int, until: int) -> list[int]:
        """Return the numbers that were ordered in a zone in an interval."""
        return [
            wanted
            for at, name, wanted in self.orders
            if name == zone and since <= at < until
        ]


def jump(zone: str, second: float) -> float:
    """Three times the load from one second to the next."""
    return 150.0 if second >= 60 else 50.0


def rise(zone: str, second: float) -> float:
    """Four times the load within 90 s."""
    return 50.0 * (1 + 3 * min(1.0, max(0.0, second - 40) / 90))


def wave(zone: str, second: float) -> float:
    """A wave with the period of the start time."""
    return 100.0 * (1 + 0.5 * math.sin(2 * math.pi * second / 8))


def level(zone: str, second: float) -> float:
    """The same load all the time; one zone has twice that of the others."""
    return 160.0 if zone == "a" else 80.0


CASES = (
    Case(name="jump", rate=jump),
    Case(name="slow rise", rate=rise),
    Case(name="wave", rate=wave),
    Case(name="zone lost", rate=level, lost_at=60),
    Case(name="crashes", rate=level, crash=(60, 100)),
)


class _Zone:
    """The upstreams and waiting requests of a zone."""

    def __init__(self, case: Case, number: int) -> None:
        self._case = case
        self.ordered = number
        self.running = number
        self._starting: list[tuple[float, int]] = []
        self.waiting = 0.0

    def order(self, wanted: int, second: float) -> None:
        change = wanted - self.ordered
        self.ordered = wanted
        if change > 0:
            self._starting.append((second + self._case.start_time, change))
            return
        while change < 0 and self._starting:
            at, count = self._starting.pop()
            if count > -change:
                self._starting.append((at, count + change))
            change = min(0, change + count)
        self.running += change

    def step(self, second: float, arrived: int, down: int) -> float:
        """Serve for a second; return the number of served requests."""
        due = [item for item in self._starting if item[0] <= second]
        self._starting = [item for item in self._starting if item not in due]
        self.running += sum(count for _, count in due)
        capacity = (self.running - down) * self._case.slots
        capacity /= self._case.seconds
        offered = self.waiting + arrived
        served = min(offered, capacity)
        self.waiting = min(offered - served, capacity * MAX_WAIT_SECONDS)
        self.refused = offered - served - self.waiting
        return served


def play(case: Case, *, knowing: bool = False, seed: int = 1) -> Result:
    """Replay a load; ``knowing`` orders by the load to come instead."""
    rng = random.Random(seed)
    result = Result()
    zones = {
        name: _Zone(case, _exact(case, _rate(case, name, 0))) for name in ZONES
    }
    if not knowing:
        for zone in zones.values():
            zone.ordered = zone.running = max(case.least, zone.running + 2)
    samples: dict[str, list[decision.Sample]] = {name: [] for name in ZONES}
    last: dict[str, decision.LastOrder] = {}
    sums = dict.fromkeys(ZONES, (0, 0.0))
    for second in range(case.length):
        for name, zone in zones.items():
            if _is_lost(case, name, second):
                continue
            rate = _rate(case, name, second)
            arrived = max(0, round(rng.gauss(rate, math.sqrt(rate))))
            is_down = case.crash and case.crash[0] <= second < case.crash[1]
            down = zone.running // 2 if is_down and name == "a" else 0
            served = zone.step(second, arrived, down)
            result.arrived += arrived
            result.served += served
            result.upstream_seconds += zone.ordered
            before = sums[name]
            sums[name] = (before[0] + arrived, before[1] + zone.refused)
        if second % INTERVAL_SECONDS:
            continue
        now = START + datetime.timedelta(seconds=second)
        for name, zone in zones.items():
            if not _is_lost(case, name, second):
                samples[name].append(_sample(case, zone, sums[name], now))
            sums[name] = (0, 0.0)
        if knowing:
            wanted = {
                name: _future(case, name, second)
                for name in ZONES
                if not _is_lost(case, name, second)
            }
        else:
            wanted = _decided(case, zones, samples, last, second, now)
        for name, number in wanted.items():
            if number == zones[name].ordered:
                continue
            raised = number > zones[name].ordered
            before_at = last[name].raised_at if name in last else None
            last[name] = decision.LastOrder(
                wanted=number, at=now, raised_at=now if raised else before_at
            )
            zones[name].order(number, second)
            result.calls += 1
            result.orders.append((second, name, number))
    return result


def _decided(
    case: Case,
    zones: dict[str, _Zone],
    samples: dict[str, list[decision.Sample]],
    last: dict[str, decision.LastOrder],
    second: int,
    now: datetime.datetime,
) -> dict[str, int]:
    scaling = bundles.Scaling(
        least=case.least,
        most=case.most,
        start_time=datetime.timedelta(seconds=case.start_time),
    )
    oldest = now - decision.history(scaling) - decision.MAX_SAMPLE_AGE
    statuses = decision.ZoneStatus
    service = decision.Service(
        scaling=scaling,
        slots=case.slots,
        zones=tuple(
            decision.Zone(
                name=name,
                samples=tuple(
                    item for item in samples[name] if item.at >= oldest
                ),
                upstreams=decision.Upstreams(running=zone.running),
                last=last.get(name),
                status=(
                    statuses.UNREACHABLE
                    if _is_lost(case, name, second)
                    else statuses.IN
                ),
            )
            for name, zone in zones.items()
        ),
    )
    return {
        verdict.zone: verdict.wanted
        for verdict in decision.decide(service, now)
        if verdict.wanted is not None
    }


def _sample(
    case: Case, zone: _Zone, sums: tuple[int, float], now: datetime.datetime
) -> decision.Sample:
    return decision.Sample(
        at=now,
        rate=sums[0] / INTERVAL_SECONDS,
        time=case.seconds,
        waiting=round(zone.waiting),
        refused=sums[1] / INTERVAL_SECONDS,
    )


def _is_lost(case: Case, zone: str, second: float) -> bool:
    return case.lost_at is not None and zone == "a" and second >= case.lost_at


def _rate(case: Case, zone: str, second: float) -> float:
    rate = case.rate(zone, second)
    if case.lost_at is not None and second >= case.lost_at and zone != "a":
        moved = min(1.0, (second - case.lost_at) / 3)
        rate += case.rate("a", second) * moved / (len(ZONES) - 1)
    return rate


def _exact(case: Case, rate: float) -> int:
    """Return the number that just carries a rate."""
    work = rate * case.seconds
    needed = math.ceil((work + math.sqrt(work)) / case.slots)
    return min(max(needed, case.least), case.most)


def _future(case: Case, zone: str, second: int) -> int:
    """Return the highest number needed when an order takes effect."""
    until = second + int(case.start_time) + INTERVAL_SECONDS
    rates = (_rate(case, zone, at) for at in range(second, until + 1))
    return _exact(case, max(rates))
