"""Decision cost, state and control bytes of placement by fleet size."""

from __future__ import annotations

import datetime
import random
import time
import tracemalloc

from benchmarks import fleet_engine
from benchmarks import fleet_figures
from benchmarks import fleet_model
from benchmarks import fleet_policies
from benchmarks import fleet_workload
from benchmarks import measure as measures
from fulmarbarrow.limits import policy as policies
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import core as placement_core
from fulmarbarrow.placement import messages

COMMAND = "python -m benchmarks placement_scale"
EXCLUSIVE = True
SEED = 11
UPSTREAMS = 340
POOL = 80
REQUESTS = 4_000
CHATS = 20_000
BYTES_TARGET = 7_000
COST_TARGET = 100.0  # microseconds
SECONDS = 20.0
WARM_UP = 12.0  # seconds
LOAD = 0.7
# Routers, engines and models of one region, and the number of regions.
SIZES = ((8, 6, 1, 1), (10, 118, 5, 4), (100, 1175, 15, 4))
ENGINE = fleet_engine.EngineModel(batch_tokens=36_000, token_interval=0.037)
ANSWER = 280  # tokens


def measure() -> list[measures.Measure]:
    """Measure one core's cost, then regions of three sizes."""
    rows = [*_cost(), *_memory()]
    for size in SIZES:
        rows.extend(_region(*size))
    return rows


def _row(
    name: str, value: float, unit: str, target: float | None = None
) -> measures.Measure:
    return measures.Measure(
        slice="placement",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        target=target,
        seed=SEED,
    )


def _daemon(index: int) -> membership_messages.Daemon:
    return membership_messages.Daemon(
        daemon_id=f"entry-{index}",
        incarnation=1_800_000_000_000,
        zone="attica-a",
        region="attica",
        address=f"10.0.0.{index}:7004",
        roles=("router",),
    )


def _core(index: int) -> placement_core.PlacementCore:
    core = placement_core.PlacementCore(
        daemon=_daemon(index),
        policy=policies.Policy(),
        metrics=metrics_module.Metrics(),
        rng=random.Random(index),
    )
    now = fleet_workload.EPOCH
    for number in range(UPSTREAMS):
        model = "lacework" if number < POOL else f"model-{number % 14}"
        core.handle(
            membership_messages.UpstreamChanged(
                upstream=_upstream(number, model)
            ),
            now,
        )
    return core


def _upstream(number: int, model: str) -> membership_messages.Upstream:
    return membership_messages.Upstream(
        upstream_id=f"engine-{number}",
        incarnation=1_800_000_000_000,
        sequence=1,
        zone="attica-a",
        url=f"http://10.1.0.{number}:8000",
        offers=(
            membership_messages.Offer(
                service="consultations", model=model, version="1"
            ),
        ),
        batch_tokens=96_000,
        tokens_per_second=24_000,
        state=membership_messages.UpstreamState.SERVING,
        started_at=fleet_workload.EPOCH - datetime.timedelta(hours=1),
    )


def _jobs(count: int) -> list[fleet_engine.Job]:
    workload = fleet_workload.Workload(chats=CHATS)
    jobs = workload.jobs(rate=1_000.0, seconds=60.0, routers=1, seed=SEED)
    return [next(jobs) for _ in range(count)]


def _end(placed: messages.Placed) -> messages.WorkEnded:
    return messages.WorkEnded(
        request_id=placed.request_id,
        attempt_id=placed.attempt_id,
        upstream_id=placed.upstream_id,
        incarnation=placed.incarnation,
        outcome=messages.WorkOutcome.COMPLETED,
    )


def _cost() -> list[measures.Measure]:
    """Time decisions at an entry and at an owner in two processes' cores."""
    entry, owner = _core(1), _core(2)
    now = fleet_workload.EPOCH
    for core in (entry, owner):
        for index in (1, 2):
            event = membership_messages.DaemonChanged(daemon=_daemon(index))
            core.handle(event, now)
        for number in range(UPSTREAMS):
            core.handle(
                membership_messages.OwnerChanged(
                    upstream_id=f"engine-{number}",
                    incarnation=1_800_000_000_000,
                    owner="entry-2",
                    address="10.0.0.2:7004",
                    owner_epoch=1,
                ),
                now,
            )
    spent = [0.0, 0.0]

    def call(side: int, event: message.Message) -> list[message.Message]:
        started = time.perf_counter()
        effects = (entry, owner)[side].handle(event, now)
        spent[side] += time.perf_counter() - started
        return effects

    for job in _jobs(REQUESTS):
        side, event = 0, job.request
        while True:
            effect = call(side, event)[0]
            if isinstance(effect, messages.Placed):
                break
            side, event = 1 - side, effect.message
        call(0, _end(effect))
        for release in call(0, messages.PlacementTick()):
            if isinstance(release.message, messages.Release):
                call(1, release.message)
    entry_cost, owner_cost = (item / REQUESTS * 1e6 for item in spent)
    at = f"{UPSTREAMS} upstreams, {POOL} of the model"
    return [
        _row(f"decision at the entry, {at}", entry_cost, "us", COST_TARGET),
        _row(f"decision at the owner, {at}", owner_cost, "us", COST_TARGET),
    ]


def _memory() -> list[measures.Measure]:
    """Count a core's memory before and after very many chats."""
    tracemalloc.start()
    core = _core(1)
    now = fleet_workload.EPOCH
    jobs = iter(_jobs(12_000))

    def run(count: int) -> int:
        nonlocal now
        for _ in range(count):
            now += datetime.timedelta(milliseconds=20)
            placed = core.handle(next(jobs).request, now)[0]
            core.handle(_end(placed), now)
            core.handle(messages.PlacementTick(), now)
        return tracemalloc.get_traced_memory()[0]

    run(2_000)
    bare = tracemalloc.get_traced_memory()[0]
    after = run(10_000)
    tracemalloc.stop()
    return [
        _row(
            f"state of a core that owns {UPSTREAMS} upstreams",
            after / 1024,
            "KiB",
        ),
        _row(
            "growth over 10,000 more requests of as many chats",
            (after - bare) / 1024,
            "KiB",
        ),
    ]


def _region(
    routers: int, engines: int, models: int, regions: int
) -> list[measures.Measure]:
    """Run one region and count its encoded frames and the cores' time."""
    names = tuple(f"lacework-{number}" for number in range(models))
    shape = fleet_model.Shape(
        routers=routers,
        engines=engines,
        engine=ENGINE,
        report_interval=0.0,
        count_bytes=True,
        models=names,
    )
    fleet = fleet_model.Fleet(
        shape=shape, seed=SEED, make_router=fleet_policies.make_core()
    )
    fleet.introduce()
    fleet.assign_owners()
    for name in names:
        workload = fleet_workload.Workload(
            name=name, model=name, mean_answer=ANSWER
        )
        rate = fleet_figures.rate(shape, workload, LOAD)
        fleet.add_jobs(
            workload.jobs(
                rate=rate / models,
                seconds=SECONDS,
                routers=routers,
                seed=SEED,
            )
        )
    fleet.run(WARM_UP)
    fleet.bytes_sent.clear()
    fleet.messages_sent.clear()
    fleet.busy = 0.0
    fleet.run(SECONDS)
    seconds = SECONDS - WARM_UP
    most = max(fleet.bytes_sent.values()) / seconds
    mean = sum(fleet.bytes_sent.values()) / routers / seconds
    sent = sum(fleet.messages_sent.values()) / routers / seconds
    name = f"{routers * regions} routers, {engines * regions} upstreams"
    return [
        _row(f"{name}: control bytes sent", mean, "B/s", BYTES_TARGET),
        _row(f"{name}: by the busiest daemon", most, "B/s", BYTES_TARGET),
        _row(f"{name}: messages sent", sent, "1/s"),
        _row(
            f"{name}: processor time",
            fleet.busy / routers / seconds * 100,
            "% of core",
        ),
    ]
