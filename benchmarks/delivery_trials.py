"""Trials of single mechanisms on the joined cores."""

from __future__ import annotations

import dataclasses
import datetime

from benchmarks import delivery_callers as callers
from benchmarks import delivery_world as worlds
from fulmarbarrow.delivery import policy

RESTART_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailingPool:
    """A pool of which every upstream fails in the same way."""

    requests: int
    calls: int
    answered: int

    @property
    def calls_per_request(self) -> float:
        """Attempts for each request of a caller."""
        return self.calls / self.requests


def failing_pool(
    how: str,
    *,
    requests: int,
    routers: int,
    seconds: float,
    seed: int,
    mechanisms: policy.Mechanisms | None = None,
) -> FailingPool:
    """Send look-ups evenly while every register fails as ``how`` says.

    ``how`` is "refuse", "error", "cut" or "unreachable". Attempts that can't
    connect count as calls.
    """
    world = worlds.World(seed=seed, routers=routers, mechanisms=mechanisms)
    for upstream in world.upstreams.values():
        upstream.faults[how] = 10 * requests
        upstream.up = how != "unreachable"
    wishes = [
        callers.Caller(
            world=world,
            tag=f"look-up-{number}",
            kind=callers.Kind.LOOKUP,
            resends=1,
        )
        for number in range(requests)
    ]
    gap = datetime.timedelta(seconds=seconds / requests)
    for number, caller in enumerate(wishes):
        router = world.routers[number % routers]
        world.after(gap * number, caller.send, router)
    world.run(lambda: False, seconds + callers.DEADLINE.total_seconds())
    calls = sum(node.metrics.total("attempts") for node in world.routers)
    answered = sum(
        sending.ended and sending.status == 200
        for wish in wishes
        for sending in wish.sendings.values()
    )
    return FailingPool(requests=requests, calls=calls, answered=answered)


def poison(
    *,
    resends: int,
    routers: int,
    engines: int,
    seed: int,
    mechanisms: policy.Mechanisms | None = None,
) -> int:
    """Send a request that crashes its engine; return the crashes."""
    world = worlds.World(
        seed=seed, routers=routers, engines=engines, mechanisms=mechanisms
    )
    for upstream in world.upstreams.values():
        _restart_after_crash(world, upstream)
    caller = callers.Caller(
        world=world,
        tag="poison",
        kind=callers.Kind.STREAM,
        poison=True,
        resends=resends,
    )
    caller.send(world.routers[0])
    world.run(lambda: caller.settled, 600)
    return sum(upstream.crashes for upstream in world.upstreams.values())


def poison_at_once(*, copies: int, engines: int, seed: int) -> int:
    """Send copies of a poison request at once; return the crashes."""
    world = worlds.World(seed=seed, routers=copies, engines=engines)
    for upstream in world.upstreams.values():
        _restart_after_crash(world, upstream)
    wishes = [
        callers.Caller(
            world=world,
            tag="poison",
            kind=callers.Kind.STREAM,
            poison=True,
            resends=1,
        )
        for _ in world.routers
    ]
    for caller, router in zip(wishes, world.routers, strict=True):
        caller.send(router)
    world.run(lambda: all(caller.settled for caller in wishes), 60)
    return sum(upstream.crashes for upstream in world.upstreams.values())


def _restart_after_crash(world: worlds.World, upstream) -> None:
    crash = upstream.crash

    def crash_and_restart() -> None:
        crash()
        world.after(RESTART_AFTER, upstream.restart)

    upstream.crash = crash_and_restart


def silent_stream(seed: int) -> tuple[float, bool]:
    """Silence a stream's connection in its middle.

    Returns the longest gap in the answer in seconds, and whether the answer
    was whole.
    """
    world = worlds.World(seed=seed)
    caller = callers.Caller(world=world, tag="chat", kind=callers.Kind.STREAM)
    arrivals: list[datetime.datetime] = []
    take = caller.take

    def take_and_note(event) -> None:
        arrivals.append(world.now)
        take(event)

    caller.take = take_and_note
    world.after(
        datetime.timedelta(milliseconds=70),
        lambda: [u.go_silent() for u in world.upstreams.values()],
    )
    caller.send(world.routers[0])
    world.run(lambda: caller.settled, 30)
    gaps = [
        (later - earlier).total_seconds()
        for earlier, later in zip(arrivals, arrivals[1:], strict=False)
    ]
    sending = next(iter(caller.sendings.values()))
    return max(gaps), sending.data in caller.expected(200)
