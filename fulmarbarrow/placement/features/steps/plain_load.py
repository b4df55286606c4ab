"""Steps that replay requests of many routers at a few plain upstreams."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import heapq
import itertools
import math
import random

import behave

from fulmarbarrow.config import defaults
from fulmarbarrow.limits import policy as policies
from fulmarbarrow.membership import messages as membership
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import core
from fulmarbarrow.placement import messages

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)
SERVICE, SLOTS, ZONES, ROUTERS = "lookups", 6, 3, 74
SLOW_MS, SLOW_PART, SLOW_FACTOR = 600.0, 0.15, 2.5
REQUEST_MS = 60.0
DEADLINE_MS, LIMIT_MS = 1_000, 268.0
DEMAND = (2.0, 1.0, 1.0)  # by zone
TICK_MS = 50.0
TIMING = defaults.PlacementSection(
    home_wait=50 * MILLISECOND,
    cache_worth=60 * MILLISECOND,
    queue_wait=500 * MILLISECOND,
    summary_interval=200 * MILLISECOND,
)
BOUNDS = bounds_module.Bounds(
    requests_factor=2.0,
    requests_slack=2.0,
    least_requests=6,
    ceiling=1.0,
    placed_factor=0.0,
)


@dataclasses.dataclass(kw_only=True)
class Upstream:
    """A plain upstream; ``slow`` lists the times of its slow periods."""

    slow: list[tuple[float, float]]
    running: int = 0
    waiting: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )

    def pace(self, at):
        slow = any(begin <= at < end for begin, end in self.slow)
        return SLOW_FACTOR if slow else 1.0

    def end_of(self, at, work):
        edges = sorted(edge for period in self.slow for edge in period)
        for edge in (item for item in edges if item > at):
            pace = self.pace(at)
            if at + work * pace <= edge:
                return at + work * pace
            work -= (edge - at) / pace
            at = edge
        return at + work * self.pace(at)


class Replay:
    """Real placement cores of all routers on one queue of timed calls."""

    def __init__(
        self,
        *,
        rate_per_ms,
        reports=True,
        seed=1,
        delay_ms=0.0,
        false_load=None,
        crash_ms=math.inf,
    ):
        self._rate = rate_per_ms
        self._rng = random.Random(seed)
        self._reports, self._delay, self._false = reports, delay_ms, false_load
        self._crash_ms, self.lost = crash_ms, 0
        self._calls, self._order, self.now = [], itertools.count(), 0.0
        self.done = {}
        self.dead, self.starts, self.router_of = set(), {}, {}
        self.report_times = collections.defaultdict(list)
        self.upstreams = {
            f"plain-{zone}": Upstream(slow=self._slow_periods())
            for zone in range(ZONES)
        }
        self.cores = [
            core.PlacementCore(
                daemon=daemon(index),
                policy=policies.Policy(),
                metrics=metrics.Metrics(),
                rng=random.Random(seed * 1_000 + index),
                bounds=BOUNDS,
                timing=TIMING,
            )
            for index in range(ROUTERS)
        ]
        for index in range(ROUTERS):
            self._start_router(index)

    def run(self, ms):
        at = 0.0
        for number in itertools.count():
            self.now += 0.0
            at += self._rng.expovariate(self._rate)
            if at >= ms:
                break
            self.at(at, self._arrive, number)
        while self._calls and self._calls[0][0] < ms + DEADLINE_MS:
            self.now, _, call, args = heapq.heappop(self._calls)
            call(*args)

    def at(self, when, call, *args):
        heapq.heappush(self._calls, (when, next(self._order), call, args))

    def within(self, begin_ms=1_000.0):
        counted = [
            number
            for number, at in self.starts.items()
            if at >= begin_ms and self.router_of[number] not in self.dead
        ]
        good = sum(self.done.get(n, 1e9) <= LIMIT_MS for n in counted)
        return good / len(counted)

    def lose_owner(self, index, successor, name, unnoticed_ms):
        self.dead.add(index)
        self.at(self.now + unnoticed_ms, self._succeed, index, successor, name)

    def _succeed(self, index, successor, name):
        for other in range(ROUTERS):
            self.handle(
                other,
                membership.DaemonGone(
                    daemon_id=f"entry-{index}", incarnation=1
                ),
            )
            self.handle(other, owner_changed(name, successor, 2))

    def handle(self, index, event):
        if index in self.dead:
            return
        now = START + self.now * MILLISECOND
        for effect in self.cores[index].handle(event, now):
            self._apply(index, effect)

    def _slow_periods(self):
        periods, at = [], 0.0
        usual = SLOW_MS * (1 - SLOW_PART) / SLOW_PART
        while at < 60_000:
            at += self._rng.expovariate(1 / usual)
            periods.append((at, at + SLOW_MS))
            at += SLOW_MS
        return periods

    def _start_router(self, index):
        for other in range(ROUTERS):
            self.handle(index, membership.DaemonChanged(daemon=daemon(other)))
        for zone, name in enumerate(self.upstreams):
            self.handle(
                index, membership.UpstreamChanged(upstream=record(name, zone))
            )
            self.handle(index, owner_changed(name, zone, 1))
        self.at(self._rng.random() * TICK_MS, self._tick, index)

    def _tick(self, index):
        self.handle(index, messages.PlacementTick())
        self.at(self.now + TICK_MS, self._tick, index)

    def _latency(self, one, other):
        if one % ZONES == other % ZONES:
            return 0.2
        return self._rng.uniform(1.4, 3.9)

    def _arrive(self, number):
        zone = self._rng.choices(range(ZONES), DEMAND)[0]
        index = self._rng.choice(range(zone, ROUTERS, ZONES))
        while index in self.dead:
            index = self._rng.choice(range(zone, ROUTERS, ZONES))
        self.starts[number] = self.now
        self.router_of[number] = index
        now = START + self.now * MILLISECOND
        request = messages.PlaceRequest(
            request_id=str(number),
            attempt_id=f"{number}-1",
            account="a",
            service=SERVICE,
            model="",
            chat="",
            cost=messages.PLAIN_REQUEST_COST,
            cost_class=messages.CostClass.SHORT,
            worth=1.0,
            deadline=now + DEADLINE_MS * MILLISECOND,
        )
        self.handle(index, request)

    def _apply(self, index, effect):
        match effect:
            case message.Send():
                to = int(effect.address.split(":")[0].rpartition(".")[2])
                kind = type(effect.message)
                delay = self._latency(index, to)
                if kind is messages.LoadReadings:
                    self.report_times[index].append(self.now)
                    delay += self._delay
                self.at(self.now + delay, self.handle, to, effect.message)
            case messages.Placed():
                zone = int(effect.upstream_id[-1])
                self.at(
                    self.now + self._latency(index, zone),
                    self._reach,
                    index,
                    effect,
                    self.now,
                )

    def _reach(self, index, placed, sent_at):
        if placed.upstream_id == "plain-0" and self.now >= self._crash_ms:
            self.lost += 1
            self.at(
                self.now + self._latency(index, 0), self._lose, index, placed
            )
            return
        upstream = self.upstreams[placed.upstream_id]
        upstream.waiting.append((index, placed, sent_at))
        self._serve(upstream)

    def _serve(self, upstream):
        while upstream.waiting and upstream.running < SLOTS:
            upstream.running += 1
            item = upstream.waiting.popleft()
            work = self._rng.uniform(0.5, 1.5) * REQUEST_MS
            end = upstream.end_of(self.now, work)
            self.at(end, self._finish, upstream, *item)

    def _finish(self, upstream, index, placed, sent_at):
        upstream.running -= 1
        load = messages.ServerLoad(
            running=upstream.running,
            waiting=len(upstream.waiting),
            slots=SLOTS,
            pace=int(upstream.pace(self.now) * 100),
        )
        if self._false is not None:
            load = self._false(placed.upstream_id, load)
        self._serve(upstream)
        delay = self._latency(index, int(placed.upstream_id[-1]))
        self.at(self.now + delay, self._answered, index, placed, sent_at, load)

    def _lose(self, index, placed):
        self.handle(
            index,
            messages.WorkEnded(
                request_id=placed.request_id,
                attempt_id=placed.attempt_id,
                upstream_id=placed.upstream_id,
                incarnation=1,
                outcome=messages.WorkOutcome.UNREACHABLE,
            ),
        )

    def _answered(self, index, placed, sent_at, load):
        if index in self.dead:
            return
        number = int(placed.request_id)
        self.done[number] = self.now - self.starts[number]
        if self._reports:
            self.handle(
                index,
                messages.LoadStated(
                    upstream_id=placed.upstream_id, incarnation=1, load=load
                ),
            )
        self.handle(
            index,
            messages.WorkEnded(
                request_id=placed.request_id,
                attempt_id=placed.attempt_id,
                upstream_id=placed.upstream_id,
                incarnation=1,
                outcome=messages.WorkOutcome.COMPLETED,
                lasted=(self.now - sent_at) * MILLISECOND,
                pace=load.pace if self._reports else 0,
            ),
        )


def daemon(index):
    return membership.Daemon(
        daemon_id=f"entry-{index}",
        incarnation=1,
        zone=f"zone-{index % ZONES}",
        region="attica",
        address=f"10.0.0.{index}:7004",
        roles=("router",),
    )


def owner_changed(name, index, epoch):
    return membership.OwnerChanged(
        upstream_id=name,
        incarnation=1,
        owner=f"entry-{index}",
        address=daemon(index).address,
        owner_epoch=epoch,
    )


def record(name, zone):
    return membership.Upstream(
        upstream_id=name,
        incarnation=1,
        sequence=1,
        zone=f"zone-{zone}",
        url=f"http://{name}",
        offers=(membership.Offer(service=SERVICE, model=""),),
        batch_tokens=SLOTS * messages.PLAIN_REQUEST_COST,
        tokens_per_second=6_000,
        state=membership.UpstreamState.SERVING,
        started_at=START - datetime.timedelta(hours=1),
        slots=SLOTS,
        owner=f"entry-{zone}",
        owner_epoch=1,
    )


def false_load(upstream_id, load):
    """Return an implausible load of one upstream, the true one of others."""
    if upstream_id != "plain-0":
        return load
    return messages.ServerLoad(
        running=100_000, waiting=100_000, slots=1, pace=2_000
    )


@behave.when(
    "{rate:d} requests a second are replayed for {seconds:d} s, with and "
    "without reports, and an upstream refuses connections after {ms:d} ms"
)
def step_crash(context, rate, seconds, ms):
    context.lost = []
    for reports in (True, False):
        replay = Replay(rate_per_ms=rate / 1_000, reports=reports, crash_ms=ms)
        replay.run(seconds * 1_000)
        context.lost.append(replay.lost)


@behave.then("no more attempts are lost there with reports than without")
def step_lost(context):
    with_reports, without = context.lost
    assert with_reports <= without, context.lost


@behave.when(
    "{rate:d} requests a second are replayed for {seconds:d} s with {fault}"
)
def step_replay(context, rate, seconds, fault):
    options = {
        "reports": {},
        "no reports": {"reports": False},
        "reports 2 s late": {"delay_ms": 2_000.0},
        "false reports of one upstream": {"false_load": false_load},
        "an owner lost": {"lost_owner": True},
    }[fault]
    lost_owner = options.pop("lost_owner", False)
    context.earlier = getattr(context, "replay", None)
    context.replay = Replay(rate_per_ms=rate / 1_000, **options)
    if lost_owner:
        context.replay.at(
            2_000.0, context.replay.lose_owner, 0, 3, "plain-0", 1_500.0
        )
    context.replay.run(seconds * 1_000)


@behave.then("at least {percent:d} in 100 are done within 268 ms")
def step_within(context, percent):
    assert context.replay.within() >= percent / 100, context.replay.within()


@behave.then("at least {percent:d} in 100 fewer are done within 268 ms")
def step_fewer_within(context, percent):
    gain = context.earlier.within() - context.replay.within()
    assert gain >= percent / 100, gain


@behave.then("no router sends more than {count:d} reports within a second")
def step_report_rate(context, count):
    assert context.replay.report_times
    for times in context.replay.report_times.values():
        for number, at in enumerate(times):
            within = [item for item in times[number:] if item < at + 1_000]
            assert len(within) <= count, within
