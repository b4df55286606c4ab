"""Time without a holder of a duty after faults, in a model."""

from __future__ import annotations

import collections.abc
import logging
import random
import statistics

from benchmarks import duties_world
from benchmarks import measure as measures
from fulmarbarrow.duties import messages
from fulmarbarrow.membership import messages as membership_messages

COMMAND = "python -m benchmarks duties"
RUNS = 200
HOSTS = 5
WARM_UP = 10.0  # seconds
WATCHED = 20.0  # seconds after the fault
LEASE = 3.0  # seconds
SCHEDULES = 3_000
USAGE = (messages.Duty.USAGE, "")

_Fault = collections.abc.Callable[[duties_world.World, str], None]


def measure() -> list[measures.Measure]:
    """Measure hand-overs by their cause, and the random schedules."""
    logging.disable(logging.WARNING)
    cases: tuple[tuple[str, _Fault, float], ...] = (
        ("the holder is killed", _kill, LEASE + 0.5),
        ("the holder is frozen for 8 s", _freeze, LEASE + 0.5),
        ("the holder is cut off for 8 s", _cut, LEASE + 0.5),
        ("the holder and the leader are killed", _kill_both, 2 * LEASE + 2),
        ("the holder stops", _stop, 0.5),
        ("the holder does not reach the platform", _unreachable, 0.5),
    )
    rows = []
    for name, fault, target in cases:
        times = [_time(fault, seed) for seed in range(RUNS)]
        rows += [
            _row(f"{name}: median", statistics.median(times), "s", None),
            _row(f"{name}: longest of {RUNS}", max(times), "s", target),
        ]
    kept = sum(_is_kept(seed) for seed in range(RUNS))
    rows.append(
        _row("the leader is killed: gaps", RUNS - kept, f"of {RUNS}", 0)
    )
    broken = sum(
        bool(duties_world.explore(seed).violations)
        for seed in range(SCHEDULES)
    )
    rows.append(
        _row("schedules with a violation", broken, f"of {SCHEDULES}", 0)
    )
    return rows


def _time(fault: _Fault, seed: int) -> float:
    """Return the time from a fault until another host holds the duty."""
    world = _warm(seed)
    fault(world, world.holder(USAGE))
    began, before = world.time, len(world.gaps[USAGE])
    world.run(began + WATCHED)
    gained = [at for _, at in world.gaps[USAGE][before:]]
    return gained[0] - began if gained else WATCHED


def _is_kept(seed: int) -> bool:
    """Return whether a holder outlives the leader without a gap."""
    world = _warm(seed)
    before = len(world.gaps[USAGE])
    world.kill(world.leader)
    world.run(world.time + WATCHED)
    return len(world.gaps[USAGE]) == before and bool(world.holder(USAGE))


def _warm(seed: int) -> duties_world.World:
    rng = random.Random(seed)
    world = duties_world.World(rng=rng, hosts=HOSTS, lease=LEASE)
    world.run(WARM_UP + rng.random())
    return world


def _kill(world: duties_world.World, name: str) -> None:
    world.kill(name)


def _freeze(world: duties_world.World, name: str) -> None:
    world.freeze(name, 8)


def _cut(world: duties_world.World, name: str) -> None:
    world.isolate(name, 8)


def _kill_both(world: duties_world.World, name: str) -> None:
    world.kill(world.leader)
    world.kill(name)


def _stop(world: duties_world.World, name: str) -> None:
    world.post(name, membership_messages.LeaveStarted())


def _unreachable(world: duties_world.World, name: str) -> None:
    unreachable = messages.PlatformUnreachable(duty=messages.Duty.USAGE)
    world.post(name, unreachable)


def _row(
    name: str, value: float, unit: str, target: float | None
) -> measures.Measure:
    return measures.Measure(
        slice="duties",
        name=name,
        value=round(value, 3),
        unit=unit,
        target=target,
        command=COMMAND,
        seed=0,
    )
