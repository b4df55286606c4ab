"""Fault schedules over the joined cores, and what must hold after each."""

from __future__ import annotations

import dataclasses
import datetime
import itertools
import random
import typing

from benchmarks import delivery_callers as callers
from benchmarks import delivery_world as worlds
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import policy
from fulmarbarrow.delivery import refusals
from fulmarbarrow.journal import control as journal_control
from fulmarbarrow.journal import machine
from fulmarbarrow.membership import messages as membership_messages

LIMIT_SECONDS = 60.0
LAST_STEP = 120
PREPARED_TIMES = 6
RESTART_AFTER = datetime.timedelta(seconds=1)
SHORT = datetime.timedelta(milliseconds=300)
LONG = datetime.timedelta(seconds=3)
LOOKUP_AFTER = datetime.timedelta(seconds=4.4)
PAUSE = datetime.timedelta(seconds=4.7)

Fault = typing.Callable[[worlds.World], None]

FAULTS: dict[str, Fault] = {}
PLANNED = ("register leaves", "engine leaves", "leader hands over")


def fault(name: str) -> typing.Callable[[Fault], Fault]:
    """Give a fault its name."""

    def add(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return add


def _pick(world: worlds.World, pool: str) -> typing.Any:
    """Return an upstream of a pool, one with open work if there is any."""
    pooled = [u for u in world.upstreams.values() if u.pool == pool]
    busy = [upstream for upstream in pooled if upstream.runs]
    return world.rng.choice(busy or pooled)


def _on_pool(name: str, act: typing.Callable) -> None:
    for pool in ("engine", "register"):

        def run(world: worlds.World, pool: str = pool) -> None:
            act(world, _pick(world, pool))

        FAULTS[f"{pool} {name}"] = run


def _crash(world: worlds.World, upstream: typing.Any) -> None:
    upstream.crash()
    world.after(RESTART_AFTER, upstream.restart)


def _leave(world: worlds.World, upstream: typing.Any) -> None:
    upstream.leave()


def _flap(world: worlds.World, upstream: typing.Any) -> None:
    upstream.leave()
    upstream.up = False
    world.after(SHORT, upstream.restart)


def _join(world: worlds.World, upstream: typing.Any) -> None:
    upstream.state = membership_messages.UpstreamState.SERVING
    upstream.incarnation += 1
    upstream.announce()


def _silent(world: worlds.World, upstream: typing.Any) -> None:
    upstream.go_silent()


def _unreachable(world: worlds.World, upstream: typing.Any) -> None:
    upstream.up = False

    def back() -> None:
        upstream.up = True

    world.after(SHORT, back)


def _slow(world: worlds.World, upstream: typing.Any) -> None:
    upstream.delay = LONG


def _late(world: worlds.World, upstream: typing.Any) -> None:
    upstream.delay = 2 * callers.DEADLINE


def _next_answer(kind: str) -> typing.Callable:
    def act(world: worlds.World, upstream: typing.Any) -> None:
        for other in world.upstreams.values():
            if other.pool == upstream.pool:
                other.faults[kind] += 1

    return act


for _name, _act in (
    ("crashes", _crash),
    ("leaves", _leave),
    ("flaps", _flap),
    ("joins again", _join),
    ("goes silent", _silent),
    ("is unreachable", _unreachable),
    ("is slow", _slow),
    ("answers too late", _late),
    ("sends nothing", _next_answer("mute")),
    ("answers another attempt", _next_answer("crossed")),
    ("cuts its answer", _next_answer("cut")),
    ("refuses before running", _next_answer("refuse")),
    ("answers with an error", _next_answer("error")),
    ("answers 503 after a run", _next_answer("unavailable")),
):
    _on_pool(_name, _act)
FAULTS["engine mixes events"] = lambda world: _next_answer("crossed_event")(
    world, _pick(world, "engine")
)


@fault("router is killed")
def _kill_router(world: worlds.World) -> None:
    alive = [node for node in world.routers if node.alive]
    if len(alive) < 2:
        return
    node = world.rng.choice(alive)
    node.alive = False
    for caller in set(world.callers.values()):
        caller.router_died(node)


@fault("caller goes away")
def _caller_gone(world: worlds.World) -> None:
    for caller in set(world.callers.values()):
        caller.leave()


@fault("caller sends twice")
def _send_twice(world: worlds.World) -> None:
    alive = [node for node in world.routers if node.alive]
    for caller in sorted(set(world.callers.values()), key=lambda c: c.tag):
        caller.send(world.rng.choice(alive))


@fault("leader hands over")
def _hand_over(world: worlds.World) -> None:
    alive = [n for n, node in enumerate(world.controls) if node.alive]
    world.log.lead(world.rng.choice(alive))


@fault("leader is killed")
def _kill_leader(world: worlds.World) -> None:
    alive = [n for n, node in enumerate(world.controls) if node.alive]
    if len(alive) < 3:
        return
    world.controls[alive[0]].alive = False
    world.after(SHORT, world.log.lead, alive[1])


@fault("quorum is lost")
def _no_quorum(world: worlds.World) -> None:
    world.log.quorum = False

    def back() -> None:
        world.log.quorum = True

    world.after(2 * LONG, back)


@fault("messages are lost")
def _lose(world: worlds.World) -> None:
    world.drop_next = 4


@fault("control host restarts from a snapshot")
def _restart_control(world: worlds.World) -> None:
    alive = [node for node in world.controls if node.alive]
    state = machine.Journal()
    state.restore(alive[-1].control.journal.snapshot())
    fresh = journal_control.JournalControl(
        daemon=alive[0].record, metrics=alive[0].metrics, journal=state
    )
    alive[0].replace(fresh)


@fault("router is paused before sending")
def _pause(world: worlds.World) -> None:
    world.client_pause = PAUSE


@fault("engine ignores the resume offset")
def _ignore_offset(world: worlds.World) -> None:
    for upstream in world.upstreams.values():
        upstream.faults["ignore_offset"] = 1


@fault("engine resumes after a later event")
def _pass_over(world: worlds.World) -> None:
    for upstream in world.upstreams.values():
        upstream.faults["pass_over"] = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Schedule:
    """Faults by name, each with the step at which it strikes."""

    seed: int
    strikes: tuple[tuple[int, str], ...]
    mechanisms: policy.Mechanisms = policy.Mechanisms()
    check_lease: bool = True
    prepared: tuple[str, ...] = ()


@dataclasses.dataclass(kw_only=True)
class Findings:
    """Violations of what must hold, each with its explanation."""

    ran_twice: list[str] = dataclasses.field(default_factory=list)
    false_not_run: list[str] = dataclasses.field(default_factory=list)
    wrong_answers: list[str] = dataclasses.field(default_factory=list)
    never_answered: list[str] = dataclasses.field(default_factory=list)
    cut_by_stop: list[str] = dataclasses.field(default_factory=list)

    @property
    def all(self) -> list[str]:
        """Every violation."""
        return list(itertools.chain(*dataclasses.asdict(self).values()))


def run(
    schedule: Schedule, trigger: typing.Callable | None = None
) -> tuple[worlds.World, Findings, bool]:
    """Run a schedule; return the world, what was found and if it struck.

    With ``trigger``, a function of the world, the first strike waits until
    it holds instead of for its step.
    """
    world = worlds.World(
        seed=schedule.seed,
        mechanisms=schedule.mechanisms,
        check_lease=schedule.check_lease,
    )
    for name in schedule.prepared:
        for _ in range(PREPARED_TIMES):
            FAULTS[name](world)
    wishes = _wishes(world)
    pending = list(schedule.strikes)
    struck = []

    def on_step(step: int) -> None:
        while pending:
            at, name = pending[0]
            ready = step >= at
            if trigger is not None and not struck:
                ready = trigger(world)
            if not ready:
                return
            pending.pop(0)
            struck.append(name)
            FAULTS[name](world)

    world.on_step = on_step
    world.run(lambda: all(caller.settled for caller in wishes), LIMIT_SECONDS)
    world.run(lambda: False, 2 * callers.DEADLINE.total_seconds())
    findings = check(wishes)
    planned = all(name in PLANNED for _, name in schedule.strikes)
    if schedule.strikes and planned and not schedule.prepared:
        _check_planned(world, wishes, findings)
    return world, findings, bool(struck)


def _wishes(world: worlds.World) -> list[callers.Caller]:
    """Send one wish of each kind, and one order twice at a time."""
    wishes = [
        callers.Caller(
            world=world,
            tag=f"{kind.value}-{number}",
            kind=kind,
            promises=number == 1,
        )
        for number in range(2)
        for kind in callers.Kind
    ]
    for number, caller in enumerate(wishes):
        router = world.routers[number % len(world.routers)]
        delay = datetime.timedelta(milliseconds=5 * number)
        world.after(delay, caller.send, router)
    world.after(SHORT / 10, wishes[2].send, world.routers[0])
    return wishes


def check(wishes: list[callers.Caller]) -> Findings:
    """Return every violation that the callers can see or count."""
    findings = Findings()
    for caller in wishes:
        if caller.action and caller.key_runs() > 1:
            findings.ran_twice.append(f"{caller.tag}: {caller.runs}")
        for sending in caller.sendings.values():
            _check_sending(caller, sending, findings)
    return findings


def _check_sending(
    caller: callers.Caller, sending: callers.Sending, findings: Findings
) -> None:
    name = f"{sending.request_id} {caller.tag} {sending.code}"
    if sending.ran is messages.Ran.NO:
        runs = caller.runs[sending.request_id]
        if sending.code == "not_run":
            runs = caller.key_runs()
        if runs:
            findings.false_not_run.append(name)
    if sending.status in refusals.NOT_RUN_STATUSES and caller.key_runs():
        findings.false_not_run.append(f"{name} {sending.status}")
    expected = caller.expected(sending.status)
    whole = sending.data in expected
    begun = any(right.startswith(sending.data) for right in expected)
    if sending.ended and not whole or not begun or sending.parts_after_end:
        findings.wrong_answers.append(f"{name} {sending.data!r}")
    if not sending.over and sending.node.alive:
        findings.never_answered.append(name)


def _check_planned(
    world: worlds.World, wishes: list[callers.Caller], findings: Findings
) -> None:
    """Find requests that a planned stop kept from their answer.

    A request that was never sent is excused if its whole pool has left.
    """
    for caller in wishes:
        pool = "engine" if caller.stream else "register"
        served = any(
            upstream.serves(pool) for upstream in world.upstreams.values()
        )
        for sending in caller.sendings.values():
            sent = caller.runs[sending.request_id] > 0
            repeated = sending.code == "action_running"
            if sending.ended or repeated or not (served or sent):
                continue
            findings.cut_by_stop.append(
                f"{sending.request_id} {caller.tag} {sending.code}"
            )


def schedules(
    count: int,
    seed: int,
    mechanisms: policy.Mechanisms | None = None,
    names: typing.Sequence[str] = (),
) -> typing.Iterator[Schedule]:
    """Yield seeded schedules, single faults and pairs in turn."""
    rng = random.Random(seed)
    names = names or sorted(FAULTS)
    for number in range(count):
        chosen = rng.choices(names, k=1 + number % 2)
        steps = sorted(rng.randrange(1, LAST_STEP) for _ in chosen)
        yield Schedule(
            seed=rng.getrandbits(32),
            strikes=tuple(zip(steps, chosen, strict=True)),
            mechanisms=mechanisms or policy.Mechanisms(),
        )


def in_stage(machine_name: str, name: str) -> typing.Callable:
    """Return a trigger: some machine of this kind is in this state."""

    def requests(world: worlds.World) -> typing.Iterator[dict]:
        for core in world.cores.values():
            yield from core.dump()["open"].values()

    def trigger(world: worlds.World) -> bool:
        if machine_name == "request":
            return any(item["state"] == name for item in requests(world))
        if machine_name == "attempt":
            return any(
                name in item["attempts"].values() for item in requests(world)
            )
        return name == "absent" or any(
            node.control.journal.counts().get(name) for node in world.controls
        )

    return trigger


def late_dispatch(check_lease: bool) -> Findings:
    """Pause a router past its lease while another looks the order up."""
    world = worlds.World(seed=1, check_lease=check_lease)
    caller = callers.Caller(
        world=world,
        tag="order",
        kind=callers.Kind.ORDER_WITH_LOOKUP,
        promises=True,
        resends=2,
    )
    world.client_pause = PAUSE
    caller.send(world.routers[0])
    world.after(LOOKUP_AFTER, caller.send, world.routers[1])
    world.run(lambda: False, LIMIT_SECONDS)
    return check([caller])


def explore(
    count: int, seed: int
) -> typing.Iterator[tuple[Schedule, Findings]]:
    """Run seeded schedules; yield each with its findings."""
    for schedule in schedules(count, seed):
        yield schedule, run(schedule)[1]
