"""A request that crashes upstreams, and routers that are lost meanwhile."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import enum

from benchmarks import delivery_callers as callers
from benchmarks import delivery_world as worlds
from fulmarbarrow.config import defaults
from fulmarbarrow.delivery import messages

RESTART_AFTER = datetime.timedelta(milliseconds=2_500)
SOUND_GAP = datetime.timedelta(milliseconds=50)
SOUND_REQUESTS = 8  # that come again and again, alike each time
# After the third crash, when the fleet must know the request.
KNOWN_AFTER = datetime.timedelta(seconds=3)
CRASHES_TO_KNOW = 3
QUIET_SECONDS = 3.0
RESENDS = 4
RESEND_SECONDS = 1.0
IN_TOUCH_SECONDS = 3.5
LOST_MESSAGES = 1_000
# As on the platform, where suspects run beside other requests.
TOGETHER = defaults.RetriesSection(
    ratio=0.2, slack=56, isolate_suspects=False, crashes=3
)


class Loss(enum.StrEnum):
    """Which routers lose what they know, or were away."""

    NONE = "no router restarts"
    IN_TURN = "each router restarts in turn"
    TWO_THEN_THIRD = "two routers restart at once and then the third"
    AT_ONCE = "all routers restart at once"
    CUT_OFF = "one router is cut off while the upstreams crash"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What the request did, and what became of sound ones.

    ``late_arrivals`` are its arrivals at upstreams once the fleet must know
    it. ``served`` is the part of the sound requests, sent from then on, that
    were answered, of those whose router was not lost meanwhile.
    """

    crashes: int
    late_arrivals: int
    served: float


class Series:
    """Sends one request through all routers, before and after they are lost.

    Sound requests of the same account, few and alike each time, go on.
    """

    def __init__(
        self,
        *,
        seed: int,
        loss: Loss,
        routers: int = 3,
        retries: defaults.RetriesSection | None = TOGETHER,
    ) -> None:
        self._world = worlds.World(
            seed=seed, routers=routers, engines=6, retries=retries
        )
        self._loss = loss
        self._crashed_at: list[datetime.datetime] = []
        self._sent_at: list[datetime.datetime] = []
        self._sound: list[tuple[datetime.datetime, callers.Caller]] = []
        for upstream in self._world.upstreams.values():
            upstream.crash = self._restarting(upstream)
        for router in self._world.routers:
            router.bus.subscribe(messages.StartAttempt, self._note_start)

    def run(self) -> Outcome:
        """Return what became of the request and of sound ones."""
        world = self._world
        world.after(SOUND_GAP, self._send_sound)
        world.run(lambda: False, QUIET_SECONDS)
        cut_off = world.routers[-1]
        if self._loss is Loss.CUT_OFF:
            world.lose_to(cut_off.address, LOST_MESSAGES)
        for number in range(4 * CRASHES_TO_KNOW):
            if len(self._crashed_at) >= CRASHES_TO_KNOW:
                break
            reachable = [
                router
                for router in world.routers
                if self._loss is not Loss.CUT_OFF or router is not cut_off
            ]
            self._send_poison(reachable[number % len(reachable)])
            world.run(lambda: False, RESEND_SECONDS)
        world.lose_to(cut_off.address, 0)
        world.run(lambda: False, IN_TOUCH_SECONDS)
        for lost in self._groups():
            self._restart(lost)
            world.run(lambda: False, IN_TOUCH_SECONDS)
            for _ in range(RESENDS):
                for number in lost:
                    self._send_poison(world.routers[number])
                world.run(lambda: False, RESEND_SECONDS)
        world.run(lambda: False, callers.DEADLINE.total_seconds())
        known_at = self._crashed_at[CRASHES_TO_KNOW - 1 :][:1]
        if not known_at:
            known_at = self._crashed_at[-1:]
        due = known_at[0] + KNOWN_AFTER
        sound = [
            caller.answered
            for at, caller in self._sound
            if due < at < world.now - callers.DEADLINE
            and self._router_was_kept(caller)
        ]
        return Outcome(
            crashes=len(self._crashed_at),
            late_arrivals=sum(at > due for at in self._sent_at),
            served=sum(sound) / len(sound),
        )

    def _router_was_kept(self, caller: callers.Caller) -> bool:
        (sending,) = caller.sendings.values()
        return caller.answered or sending.node in self._world.routers

    def _groups(self) -> list[list[int]]:
        """Return the routers that get the request, by groups."""
        numbers = list(range(len(self._world.routers)))
        match self._loss:
            case Loss.AT_ONCE:
                return [numbers]
            case Loss.TWO_THEN_THIRD:
                return [numbers[:2], numbers[2:]]
        return [[number] for number in numbers]

    def _restart(self, numbers: collections.abc.Iterable[int]) -> None:
        if self._loss in (Loss.NONE, Loss.CUT_OFF):
            return
        routers = [self._world.routers[number] for number in numbers]
        for router in routers:
            router.alive = False
        for router in routers:
            self._world.restart_router(router)
        for number in numbers:
            self._world.routers[number].bus.subscribe(
                messages.StartAttempt, self._note_start
            )

    def _restarting(self, upstream):
        crash = upstream.crash

        def crash_and_restart() -> None:
            crash()
            self._crashed_at.append(self._world.now)
            self._world.after(RESTART_AFTER, upstream.restart)

        return crash_and_restart

    def _note_start(
        self, event: messages.StartAttempt, now: datetime.datetime
    ) -> None:
        if self._world.callers[event.request_id].poison:
            self._sent_at.append(now)

    def _send_poison(self, router) -> None:
        self._caller("poison", poison=True).send(router)

    def _send_sound(self) -> None:
        world = self._world
        tag = f"sound-{world.rng.randrange(SOUND_REQUESTS)}"
        caller = self._caller(tag, poison=False)
        alive = [router for router in world.routers if router.alive]
        caller.send(world.rng.choice(alive))
        self._sound.append((world.now, caller))
        world.after(SOUND_GAP, self._send_sound)

    def _caller(self, tag: str, *, poison: bool) -> callers.Caller:
        return callers.Caller(
            world=self._world,
            tag=tag,
            kind=callers.Kind.STREAM,
            poison=poison,
            resends=1,
        )
