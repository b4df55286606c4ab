"""Requests that share a prompt part which crashes upstreams."""

from __future__ import annotations

import collections
import dataclasses
import datetime

import msgspec

from benchmarks import delivery_callers as callers
from benchmarks import delivery_world as worlds
from fulmarbarrow.delivery import evidence_exchange
from fulmarbarrow.delivery import messages
from fulmarbarrow import message

MILLISECOND = datetime.timedelta(milliseconds=1)
RESTART_AFTER = datetime.timedelta(seconds=3)
QUIET_SECONDS = 5.0  # sound requests only
POISON_SECONDS = 15.0
RESTARTED_AFTER_SECONDS = 2.0
POISON_GAP = datetime.timedelta(milliseconds=150)
CRASHES_TO_KNOW = 5
# After the fifth crash, when the fleet must know, and when it must serve.
KNOWN_AFTER = datetime.timedelta(seconds=3)
SERVED_AFTER = 2 * KNOWN_AFTER
FIRST_PARTS = 3
PART_TOKENS = 500
EXCHANGED = evidence_exchange.PEER_MESSAGES


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What a series of crashing requests did to a pool.

    ``late_arrivals`` counts crashing requests sent to upstreams once the
    fleet must know. ``served_before`` and ``served_after`` are the parts of
    the sound requests that were answered before the first crash, and once
    the fleet must serve them again. ``bytes_per_router`` is what a router got
    from the others about crashes and prompt parts, the most of any second.
    """

    crashes: int
    late_arrivals: int
    served_before: float
    served_after: float
    bytes_per_router: float


class Series:
    """Sends sound and crashing requests through all routers of a world.

    ``position`` is the place of the crashing part in its prompts. The sound
    requests share the account and the other parts. With ``restarted`` one
    router loses its state 2 s after the fifth crash. ``sound_gap`` is the
    time between sound requests, ``second_parts`` how many parts they share
    beside the first ones.
    """

    def __init__(
        self,
        *,
        seed: int,
        routers: int = 8,
        engines: int = 6,
        position: int = 1,
        restarted: bool = False,
        sound_gap: datetime.timedelta = datetime.timedelta(milliseconds=25),
        second_parts: int = 10,
    ) -> None:
        self._world = worlds.World(seed=seed, routers=routers, engines=engines)
        self._position = position
        self._restarted = restarted
        self._sound_gap = sound_gap
        self._second_parts = second_parts
        self._number = 0
        self._bytes: collections.Counter[int] = collections.Counter()
        self._crashed_at: list[datetime.datetime] = []
        self._poison_sent_at: list[datetime.datetime] = []
        self._sound: list[tuple[datetime.datetime, callers.Caller]] = []
        for upstream in self._world.upstreams.values():
            upstream.crash = self._restarting(upstream)
        for router in self._world.routers:
            router.bus.subscribe(messages.StartAttempt, self._note_start)
            router.bus.subscribe(message.Send, self._note_send)

    def run(self) -> Outcome:
        """Return what became of the pool and its requests."""
        world = self._world
        world.after(self._sound_gap, self._send_sound)
        world.run(lambda: False, QUIET_SECONDS)
        world.after(POISON_GAP, self._send_poison)
        world.run(
            lambda: len(self._crashed_at) >= CRASHES_TO_KNOW, POISON_SECONDS
        )
        if self._restarted:
            world.run(lambda: False, RESTARTED_AFTER_SECONDS)
            world.restart_router(world.routers[0])
            world.routers[0].bus.subscribe(
                messages.StartAttempt, self._note_start
            )
        world.run(lambda: False, POISON_SECONDS)
        last = self._crashed_at[:CRASHES_TO_KNOW][-1]
        known_at = last + KNOWN_AFTER
        return Outcome(
            crashes=len(self._crashed_at),
            late_arrivals=sum(at > known_at for at in self._poison_sent_at),
            served_before=self._served(None, self._crashed_at[0]),
            served_after=self._served(last + SERVED_AFTER, None),
            bytes_per_router=max(self._bytes.values(), default=0)
            / len(world.routers),
        )

    def _served(
        self, since: datetime.datetime | None, until: datetime.datetime | None
    ) -> float:
        margin = callers.DEADLINE
        chosen = [
            caller.answered
            for sent_at, caller in self._sound
            if (since is None or sent_at > since)
            and sent_at < (until or self._world.now - margin)
        ]
        return sum(chosen) / len(chosen)

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
            self._poison_sent_at.append(now)

    def _note_send(self, event: message.Send, now: datetime.datetime) -> None:
        if isinstance(event.message, EXCHANGED):
            second = int(now.timestamp())
            size = len(msgspec.msgpack.encode(event.message))
            self._bytes[second] += size

    def _send_sound(self) -> None:
        caller = self._send(self._shared_parts(), poison=False)
        self._sound.append((self._world.now, caller))
        self._world.after(self._sound_gap, self._send_sound)

    def _send_poison(self) -> None:
        parts = self._shared_parts()
        parts[self._position] = ("bad", PART_TOKENS)
        self._send(parts, poison=True)
        self._world.after(POISON_GAP, self._send_poison)

    def _shared_parts(self) -> list[tuple[str, int]]:
        rng = self._world.rng
        first = f"first-{rng.randrange(FIRST_PARTS)}"
        second = f"second-{rng.randrange(self._second_parts)}"
        return [(first, PART_TOKENS), (second, PART_TOKENS)]

    def _send(self, parts, *, poison: bool) -> callers.Caller:
        self._number += 1
        tag = f"chat-{self._number}"
        caller = callers.Caller(
            world=self._world,
            tag=tag,
            kind=callers.Kind.STREAM,
            poison=poison,
            resends=1,
            parts=(*parts, (tag, PART_TOKENS)),
        )
        caller.send(self._world.rng.choice(self._world.routers))
        return caller
