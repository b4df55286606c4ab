"""Real routing cores before fake engines, in simulated time.

A router is any object with ``handle(event, now) -> effects`` that takes the
messages of the placement slice: ``PlacementCore`` or one of the simple
policies of ``fleet_policies``. Build a ``Fleet``, plan events with
``schedule``, ``broadcast`` and ``cut``, add jobs, ``run`` it, then read
``jobs``, ``dispatches`` and ``bytes_sent``.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import heapq
import itertools
import random
import time
import typing

from benchmarks import fleet_engine
from benchmarks import fleet_workload
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.placement import messages
from fulmarbarrow.wire import codec as codecs

EPOCH = fleet_workload.EPOCH
BOUND = 1.25  # of the mean work or of one full batch

Effects = collections.abc.Iterable[message.Message]


class Router(typing.Protocol):
    """A routing core as the fleet drives it."""

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> Effects:
        """Take one event and return its effects."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """Size and delays of a fleet; times in seconds.

    No loads are reported with a ``report_interval`` of 0.
    """

    routers: int = 8
    engines: int = 6
    zones: int = 3
    engine: fleet_engine.EngineModel = fleet_engine.EngineModel()
    link_delay: tuple[float, float] = (0.0005, 0.0015)
    report_interval: float = 0.25
    report_delay: float = 0.5
    tick: float = 0.05
    count_bytes: bool = False
    service: str = "consultations"
    models: tuple[str, ...] = ("lacework",)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch:
    """One dispatch: its work and the engine's true work before it."""

    at: float
    engine: str
    cost: int
    before: int
    mean: float
    bound: float

    @property
    def breach(self) -> bool:
        """Whether the engine was above the bound already."""
        return self.before > self.bound


class Fleet:
    """Routers, engines and the delayed messages between them."""

    def __init__(
        self,
        *,
        shape: Shape,
        seed: int,
        make_router: typing.Callable[
            [Fleet, membership_messages.Daemon], Router
        ],
    ) -> None:
        self.shape = shape
        self.now = 0.0
        self.jobs: list[fleet_engine.Job] = []
        self.dispatches: list[Dispatch] = []
        self.refused: list[tuple[float, str]] = []
        self.bytes_sent: collections.Counter[str] = collections.Counter()
        self.messages_sent: collections.Counter[str] = collections.Counter()
        self.handled = 0
        self.busy = 0.0
        self._make_router = make_router
        self._owners: dict[str, membership_messages.OwnerChanged] = {}
        self._rng = random.Random(f"fleet-{seed}")
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._open: dict[str, fleet_engine.Job] = {}
        self._cut: set[frozenset[str]] = set()
        self.engines: dict[str, fleet_engine.FakeEngine] = {}
        self.records: dict[str, membership_messages.Upstream] = {}
        self.daemons = [self._daemon(i) for i in range(shape.routers)]
        self.routers = [make_router(self, item) for item in self.daemons]
        self.dead: set[int] = set()
        self._by_address = {
            item.address: index for index, item in enumerate(self.daemons)
        }
        self._codecs = [
            codecs.Codec(
                fleet_key="k" * 16,
                sender=item.daemon_id,
                address=item.address,
                incarnation=item.incarnation,
            )
            for item in self.daemons
        ]
        for index in range(shape.engines):
            self.add_engine(f"engine-{index}", self.zone(index))
        self.schedule(0.0, self._tick)
        if shape.report_interval:
            self.schedule(0.0, self._report)

    def zone(self, index: int) -> str:
        """Return the zone of the router or engine with this number."""
        return f"zone-{index % self.shape.zones}"

    @property
    def live(self) -> list[int]:
        """The numbers of the routers that run."""
        return [i for i in range(len(self.routers)) if i not in self.dead]

    @property
    def time(self) -> datetime.datetime:
        """The simulated time as the cores see it."""
        return EPOCH + datetime.timedelta(seconds=self.now)

    @property
    def mean_work(self) -> float:
        """The true mean work of the engines in tokens."""
        alive = [item for item in self.engines.values() if item.alive]
        return sum(item.work for item in alive) / max(1, len(alive))

    # What a measurement plans.

    def schedule(self, at: float, action: typing.Callable[[], None]) -> None:
        """Run ``action`` at a simulated time in seconds."""
        heapq.heappush(self._events, (at, next(self._order), action))

    def add_engine(
        self,
        name: str,
        zone: str,
        *,
        started: float = -3600.0,
        incarnation: int = 1,
    ) -> None:
        """Start an engine and tell every router."""
        model = self.shape.engine
        models = self.shape.models
        offered = models[len(self.records) % len(models)]
        self.engines[name] = fleet_engine.FakeEngine(
            name=name,
            zone=zone,
            model=model,
            schedule=self.schedule,
            ended=self._job_ended,
        )
        seconds = model.token_interval * 200 + 0.1
        self.records[name] = membership_messages.Upstream(
            upstream_id=name,
            incarnation=incarnation,
            sequence=1,
            zone=zone,
            url=f"http://{name}",
            offers=(
                membership_messages.Offer(
                    service=self.shape.service, model=offered
                ),
            ),
            batch_tokens=model.batch_tokens,
            tokens_per_second=int(model.batch_tokens / seconds),
            state=membership_messages.UpstreamState.SERVING,
            started_at=EPOCH + datetime.timedelta(seconds=started),
        )
        self.broadcast(
            membership_messages.UpstreamChanged(upstream=self.records[name])
        )

    def remove_engine(self, name: str) -> None:
        """Tell every router that an engine is gone; its jobs end first."""
        record = self.records.pop(name)
        self.broadcast(
            membership_messages.UpstreamGone(
                upstream_id=name,
                incarnation=record.incarnation,
                reason="left",
            )
        )

    def assign_owners(self, epoch: int = 1) -> None:
        """Give each upstream an owner among the live routers."""
        live = self.live
        for number, name in enumerate(self.records):
            self.assign_owner(name, live[number % len(live)], epoch)

    def kill_router(self, index: int) -> None:
        """End a router without a word; its streams are lost."""
        self.dead.add(index)
        for job in list(self._open.values()):
            if job.router == index and job.engine:
                self.engines[job.engine].cancel(job, self.now)
                job.refused = "router lost"
        self._open = {
            key: job for key, job in self._open.items() if job.router != index
        }

    def revive_router(self, index: int) -> None:
        """Start a router again that knows only what it is told now."""
        self.dead.discard(index)
        self.routers[index] = self._make_router(self, self.daemons[index])
        for other in self.live:
            daemon = self.daemons[other]
            self.give(index, membership_messages.DaemonChanged(daemon=daemon))
        for record in self.records.values():
            event = membership_messages.UpstreamChanged(upstream=record)
            self.give(index, event)
        for owner in self._owners.values():
            self.give(index, owner)

    def crash_engine(self, name: str) -> None:
        """End an engine; its jobs fail and every router is told."""
        lost = self.engines[name].crash()
        for job in lost:
            job.refused = "engine lost"
            self._open.pop(job.request.attempt_id, None)
            self._tell_end(job, messages.WorkOutcome.CRASHED)
        self.remove_engine(name)

    def assign_owner(
        self, name: str, index: int | None, epoch: int = 1
    ) -> None:
        """Tell every router who owns an upstream; None is nobody."""
        event = self.owner_event(name, index, epoch)
        self._owners[name] = event
        self.broadcast(event)

    def owner_event(
        self, name: str, index: int | None, epoch: int
    ) -> membership_messages.OwnerChanged:
        """Return the message that names an upstream's owner."""
        owner = self.daemons[index] if index is not None else None
        return membership_messages.OwnerChanged(
            upstream_id=name,
            incarnation=self.records[name].incarnation,
            owner=owner.daemon_id if owner else "",
            address=owner.address if owner else "",
            owner_epoch=epoch,
        )

    def introduce(self) -> None:
        """Tell every router of all others."""
        for daemon in self.daemons:
            self.broadcast(membership_messages.DaemonChanged(daemon=daemon))

    def broadcast(self, event: message.Message) -> None:
        """Give an event to every live router at once."""
        for index in range(len(self.routers)):
            self.give(index, event)

    def give(self, index: int, event: message.Message) -> None:
        """Give an event to one router and carry out its effects."""
        if index in self.dead:
            return
        self.handled += 1
        now = self.time
        started = time.perf_counter()
        effects = self.routers[index].handle(event, now)
        self.busy += time.perf_counter() - started
        self._effects(index, effects)

    def cut(self, first: str, second: str) -> None:
        """Lose every message between two zones from now on."""
        self._cut.add(frozenset((first, second)))

    def heal(self) -> None:
        """Join all zones again."""
        self._cut.clear()

    def add_jobs(
        self, jobs: collections.abc.Iterable[fleet_engine.Job]
    ) -> None:
        """Let jobs arrive at their times at their routers."""
        for job in jobs:
            self.jobs.append(job)
            self.schedule(job.arrived, lambda job=job: self._arrive(job))

    def run(self, until: float) -> None:
        """Advance the simulated time."""
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self.now = max(self.now, at)
            action()

    # Within the model.

    def _daemon(self, index: int) -> membership_messages.Daemon:
        return membership_messages.Daemon(
            daemon_id=f"entry-{index}",
            incarnation=1_800_000_000_000,
            zone=self.zone(index),
            region="attica",
            address=f"10.0.{index // 250}.{index % 250}:7004",
            roles=("router",),
        )

    def _arrive(self, job: fleet_engine.Job) -> None:
        while job.router in self.dead:
            job.router = (job.router + 1) % len(self.routers)
        self._open[job.request.attempt_id] = job
        self.give(job.router, job.request)

    def _effects(self, index: int, effects: Effects) -> None:
        frames: dict[str, list[message.Message]] = {}
        for effect in effects:
            match effect:
                case message.Send():
                    frames.setdefault(effect.address, []).append(
                        effect.message
                    )
                case messages.Placed():
                    self._dispatch(effect)
                case messages.NotPlaced():
                    self._open.pop(effect.attempt_id).refused = effect.code
                    self.refused.append((self.now, effect.code))
                case messages.PreemptWork():
                    self._preempt(effect.attempt_id)
        for address, bodies in frames.items():
            self._send(index, address, tuple(bodies))

    def _send(
        self, index: int, address: str, bodies: tuple[message.Message, ...]
    ) -> None:
        if self.shape.count_bytes:
            sender = self.daemons[index].daemon_id
            frame = self._codecs[index].encode(address, bodies)
            self.bytes_sent[sender] += len(frame)
            for body in bodies:
                self.messages_sent[message.tag(body)] += 1
        receiver = self._by_address[address]
        zones = frozenset((self.zone(index), self.zone(receiver)))
        if zones in self._cut:
            return
        at = self.now + self._rng.uniform(*self.shape.link_delay)
        for body in bodies:
            self.schedule(at, lambda body=body: self.give(receiver, body))

    def _dispatch(self, placed: messages.Placed) -> None:
        job = self._open[placed.attempt_id]
        engine = self.engines[placed.upstream_id]
        mean = self.mean_work
        bound = BOUND * max(mean, engine.model.batch_tokens)
        self.dispatches.append(
            Dispatch(
                at=self.now,
                engine=engine.name,
                cost=job.request.cost,
                before=engine.work,
                mean=mean,
                bound=bound,
            )
        )
        job.dispatched = self.now
        job.engine = engine.name
        job.incarnation = placed.incarnation
        job.priority = placed.priority
        job.version = placed.version
        engine.take(job, self.now)

    def _job_ended(self, job: fleet_engine.Job) -> None:
        self._open.pop(job.request.attempt_id, None)
        outcome = messages.WorkOutcome.COMPLETED
        if job.cancelled:
            outcome = messages.WorkOutcome.CANCELLED
        self._tell_end(job, outcome)

    def _tell_end(
        self, job: fleet_engine.Job, outcome: messages.WorkOutcome
    ) -> None:
        self.give(
            job.router,
            messages.WorkEnded(
                request_id=job.request.request_id,
                attempt_id=job.request.attempt_id,
                upstream_id=job.engine,
                incarnation=job.incarnation,
                outcome=outcome,
                prompt_tokens=job.prompt_tokens,
                generated_tokens=job.answer_tokens,
                reused_tokens=job.reused_tokens,
            ),
        )

    def _preempt(self, attempt_id: str) -> None:
        job = self._open.get(attempt_id)
        if job is not None and job.engine:
            self.engines[job.engine].cancel(job, self.now)

    def _tick(self) -> None:
        self.broadcast(messages.PlacementTick())
        self.schedule(self.now + self.shape.tick, self._tick)

    def _report(self) -> None:
        reports = [
            membership_messages.LoadReported(
                upstream_id=name,
                incarnation=record.incarnation,
                load=membership_messages.Load(
                    running_tokens=self.engines[name].running_cost,
                    queued_tokens=(
                        self.engines[name].work
                        - self.engines[name].running_cost
                    ),
                    running_requests=len(self.engines[name].running),
                    queued_requests=self.engines[name].queued,
                    measured_at=self.time,
                ),
            )
            for name, record in self.records.items()
        ]
        at = self.now + self.shape.report_delay
        for report in reports:
            self.schedule(at, lambda report=report: self.broadcast(report))
        self.schedule(self.now + self.shape.report_interval, self._report)
