"""Service and moved chats while an availability zone leaves and returns."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import random

import msgspec

from benchmarks import fleet_engine
from benchmarks import fleet_model
from benchmarks import fleet_workload
from benchmarks import measure as measures
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
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
from fulmarbarrow.zones import summaries

COMMAND = "python -m benchmarks zones"
SEEDS = (1, 2, 3, 4)
ZONES = defaults.ZonesSection()
OUT = "zone-1"
OUT_AT = 60.0
BACK_AT = 100.0
WHOLE_AT = BACK_AT + (ZONES.warm_up + ZONES.ramp).total_seconds()
END = 160.0
PUSH_SPREAD = 1.5  # seconds in which the routers get a revision
TICKS = 5  # placement ticks to one of the daemon's
LOAD = 0.9
WORTHS = (4.0, 2.0, 1.0)


class Router:
    """The zones and placement cores of one router, and its admission."""

    def __init__(
        self,
        *,
        fleet: fleet_model.Fleet,
        daemon: membership_messages.Daemon,
        admits_by_worth: bool,
    ) -> None:
        rng = random.Random(daemon.daemon_id)
        self._fleet = fleet
        self._own = daemon
        self._by_worth = admits_by_worth
        self._short: dict[str, messages.AdmissionThreshold] = {}
        self._zones = zones_core.ZonesCore(
            daemon=daemon, metrics=metrics.Metrics(), rng=rng
        )
        self._placement = placement_core.PlacementCore(
            daemon=daemon,
            policy=limits_policy.Policy(),
            metrics=metrics.Metrics(),
            rng=rng,
        )
        self._ticks = 0

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        if isinstance(event, placement_messages.PlaceRequest):
            refusal = self._admit(event, now)
            if refusal is not None:
                return [refusal]
        effects: list[message.Message] = []
        queue = collections.deque(self._follow(event))
        while queue:
            for effect in self._step(queue.popleft(), now):
                if isinstance(effect, message.Send):
                    effects.append(effect)
                elif isinstance(effect, messages.ZoneNoticesAnnounced):
                    effects.extend(self._tell(effect))
                else:
                    effects.append(effect)
                    queue.append(effect)
        return effects

    def _follow(self, event: message.Message) -> list[message.Message]:
        """Return the event, and the daemon's tick with each fifth one."""
        if not isinstance(event, placement_messages.PlacementTick):
            return [event]
        self._ticks += 1
        if self._ticks % TICKS:
            return [event]
        return [event, message.Tick()]

    def _step(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        if isinstance(event, messages.AdmissionThreshold):
            self._short[event.service] = event
        effects: list[message.Message] = []
        for core in (self._zones, self._placement):
            if type(event) in core.handles:
                effects.extend(core.handle(event, now))
        return effects

    def _admit(
        self,
        request: placement_messages.PlaceRequest,
        now: datetime.datetime,
    ) -> message.Message | None:
        """Return the refusal of a request that is not worth enough."""
        self._zones.handle(
            limits_messages.AdmitRequest(
                request_id=request.request_id,
                account=request.account,
                service=request.service,
                cost=request.cost,
                worth=request.worth,
                deadline=request.deadline,
            ),
            now,
        )
        short = self._short.get(request.service)
        if short is None or not self._by_worth:
            return None
        if short.admits(
            worth=request.worth,
            cost=request.cost,
            request_id=request.request_id,
        ):
            return None
        return placement_messages.NotPlaced(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            code="capacity_short",
        )

    def _tell(
        self, event: messages.ZoneNoticesAnnounced
    ) -> list[message.Message]:
        """Carry a notice as membership's broadcast does."""
        heard = messages.ZoneNoticesReceived(notices=event.notices)
        return [
            message.Send(address=daemon.address, message=heard)
            for daemon in self._fleet.daemons
            if daemon.daemon_id != self._own.daemon_id
        ]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One finished run and when its zone was taken out and brought back."""

    fleet: fleet_model.Fleet
    model: fleet_engine.EngineModel


def _publish(fleet: fleet_model.Fleet, revision: int, out: bool) -> None:
    """Put a revision in force on one router after the other."""
    bundle = bundles.Bundle(
        zone=tuple(
            bundles.Zone(
                name=f"zone-{number}",
                region="attica",
                state=bundles.ZoneState(
                    "out" if out and f"zone-{number}" == OUT else "in"
                ),
            )
            for number in range(fleet.shape.zones)
        )
    )
    changed = publishing_messages.ConfigurationChanged(
        revision=revision, bundle=bundle
    )
    count = len(fleet.routers)
    for index in range(count):
        at = fleet.now + PUSH_SPREAD * index / count
        fleet.schedule(at, lambda index=index: fleet.give(index, changed))


def run(
    *, seed: int, by_worth: bool, load: float = LOAD, leaves: bool = True
) -> Run:
    """Take one of three zones out and bring it back, under load."""
    shape = fleet_model.Shape()
    fleet = fleet_model.Fleet(
        shape=shape,
        seed=seed,
        make_router=lambda fleet, daemon: Router(
            fleet=fleet, daemon=daemon, admits_by_worth=by_worth
        ),
    )
    fleet.introduce()
    fleet.assign_owners()
    workloads = [
        fleet_workload.Workload(name=f"w{worth:g}", worth=worth, chats=400)
        for worth in WORTHS
    ]
    holding = workloads[0].holding(shape.engine)
    rate = load * shape.engines * shape.engine.batch_tokens / holding
    for workload in workloads:
        fleet.add_jobs(
            workload.jobs(
                rate=rate / len(workloads),
                seconds=END,
                routers=shape.routers,
                seed=seed,
            )
        )
    _publish(fleet, 1, out=False)
    if leaves:
        fleet.schedule(OUT_AT, lambda: _publish(fleet, 2, out=True))
        fleet.schedule(BACK_AT, lambda: _publish(fleet, 3, out=False))
    fleet.run(END + 30)
    return Run(fleet=fleet, model=shape.engine)


def _capacity(result: Run) -> float:
    """Return the token-seconds that the zones in service could do."""
    shape = result.fleet.shape
    zone = shape.engine.batch_tokens * shape.engines / shape.zones
    others = zone * (shape.zones - 1) * (WHOLE_AT - OUT_AT)
    ramp = zone * ZONES.ramp.total_seconds() / 2
    return others + ramp


def _holding(result: Run, job: fleet_engine.Job) -> float:
    """Return the token-seconds that a job needs with its cache warm."""
    fresh = job.prompt_tokens * (1 - fleet_workload.EXPECTED_REUSE)
    seconds = fresh / result.model.prefill_tokens_per_second
    seconds += job.answer_tokens * result.model.token_interval
    return job.request.cost * seconds


def _window(result: Run) -> list[fleet_engine.Job]:
    return [
        job for job in result.fleet.jobs if OUT_AT <= job.arrived < WHOLE_AT
    ]


def _served(job: fleet_engine.Job) -> bool:
    return job.ended is not None and not job.cancelled


def cold_factor(result: Run) -> float:
    """Return how much longer jobs held engines than with warm caches."""
    real = ideal = 0.0
    for job in _window(result):
        if _served(job):
            real += job.request.cost * (job.ended - job.started)
            ideal += _holding(result, job)
    return real / ideal


def worth_ratio(result: Run, *, factor: float = 1.0) -> float:
    """Return the worth served over what the capacity could serve.

    Jobs hold an engine ``factor`` times as long as with warm caches.
    """
    window = _window(result)
    served = sum(job.request.worth for job in window if _served(job))
    left = _capacity(result) / factor
    best = 0.0
    order = sorted(
        window,
        key=lambda job: job.request.worth / _holding(result, job),
        reverse=True,
    )
    for job in order:
        need = _holding(result, job)
        part = min(1.0, left / need)
        best += part * job.request.worth
        left -= part * need
        if left <= 0:
            break
    return served / best


def _late_dispatches(result: Run) -> int:
    """Count dispatches to the out zone from 2 s after the first notice."""
    names = {
        name
        for name, engine in result.fleet.engines.items()
        if engine.zone == OUT
    }
    return sum(
        OUT_AT + 2 <= dispatch.at < BACK_AT and dispatch.engine in names
        for dispatch in result.fleet.dispatches
    )


def _homes(result: Run, start: float, end: float) -> dict[str, str]:
    """Return the engine that each chat was on last in a time."""
    found = {}
    for job in result.fleet.jobs:
        if job.dispatched is not None and start <= job.dispatched < end:
            found[job.request.chat] = job.engine
    return found


def _moved(result: Run) -> tuple[float, float]:
    """Return the parts of chats moved without their zone's leave, and back.

    The first counts chats of other zones that moved, over all chats seen
    before and after; the second those not at home again in the end.
    """
    before = _homes(result, 10.0, OUT_AT)
    during = _homes(result, OUT_AT + 5, BACK_AT)
    after = _homes(result, WHOLE_AT + 2, END)
    both = before.keys() & during.keys()
    moved = sum(before[chat] != during[chat] for chat in both)
    again = before.keys() & after.keys()
    away = sum(before[chat] != after[chat] for chat in again)
    return moved / max(1, len(both)), away / max(1, len(again))


def _row(name: str, value: float, unit: str, **more) -> measures.Measure:
    return measures.Measure(
        slice="zones",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        seed=SEEDS[0],
        **more,
    )


def _demand_bytes() -> float:
    """Return what details of 15 services cost a daemon at 400 daemons."""
    services = tuple(
        messages.ServiceDemand(
            service=f"service-{number:02d}",
            first_step=-90,
            levels=bytes(range(100, 132)),
        )
        for number in range(15)
    )
    summary = messages.ZoneSummary(
        zone="zone-0-1",
        region="region-0",
        sequence=1_800_000_000_000,
        capacity_tokens=8_000_000,
        reserved_tokens=7_000_000,
        upstreams=336,
        demand=services,
    )
    router = messages.RouterDemand(daemon_id="entry-100", services=services)
    encoder = msgspec.msgpack.Encoder()
    bare = msgspec.structs.replace(summary, demand=())
    more = len(encoder.encode(summary)) - len(encoder.encode(bare))
    zones = 14 / 4
    seconds = summaries.SEND_PERIOD.total_seconds()
    return (zones * more + len(encoder.encode(router))) / seconds


def measure() -> list[measures.Measure]:
    """Measure leave and return of one of three zones."""
    results = [run(seed=seed, by_worth=True) for seed in SEEDS]
    plain = run(seed=SEEDS[0], by_worth=False)
    quiet = run(seed=SEEDS[0], by_worth=True, load=0.4)
    moved, away = _moved(quiet)
    calm = run(seed=SEEDS[0], by_worth=True, load=0.4, leaves=False)
    return [
        _row(
            "worth served over what the capacity could, least of 4 seeds",
            min(worth_ratio(result) for result in results),
            "ratio",
            target=0.98,
            bound=measures.Bound.AT_LEAST,
        ),
        _row(
            "the same, with the prefills that moved chats needed",
            min(
                worth_ratio(result, factor=cold_factor(result))
                for result in results
            ),
            "ratio",
        ),
        _row(
            "the same as the first without admission by worth",
            worth_ratio(plain),
            "ratio",
        ),
        _row(
            "dispatches to an out zone after 2 s, most of 4 seeds",
            max(_late_dispatches(result) for result in results),
            "count",
            target=0,
        ),
        _row(
            "more control bytes while 15 services are near capacity",
            _demand_bytes(),
            "bytes/s",
        ),
        _row(
            "chats moved when one of 3 zones leaves, 0.4 of capacity",
            moved,
            "ratio",
            target=1.1 / 3,
        ),
        _row(
            "chats not back home after the return, 0.4 of capacity",
            away,
            "ratio",
            target=0.1 / 3,
        ),
        _row(
            "the same in a run in which no zone leaves",
            _moved(calm)[1],
            "ratio",
        ),
    ]
