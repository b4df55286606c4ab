"""Which faults strike what and when; the same for the same seed."""

from __future__ import annotations

import dataclasses
import enum
import random

LONGEST_GAP = 2.0  # seconds between two faults, so that they overlap
LONGEST_FAULT = 4.0  # seconds


class Kind(enum.StrEnum):
    """What happens to a target."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    CRASH_ENGINE = "crash_engine"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_UP = "cut_up"
    CUT_DOWN = "cut_down"
    PUBLISH = "publish"


DAEMON_KINDS = frozenset((Kind.KILL, Kind.STOP, Kind.PAUSE))
LINK_KINDS = frozenset(
    (Kind.DELAY, Kind.RESET, Kind.SILENCE, Kind.CUT_UP, Kind.CUT_DOWN)
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault; ``at`` and ``length`` in seconds from the soak's start."""

    at: float
    kind: Kind
    target: int
    length: float


def make(
    *, seed: int, seconds: float, daemons: int, links: int, engines: int
) -> list[Fault]:
    """Return the faults of a seed, in the order of their time."""
    rng = random.Random(seed)
    targets = {Kind.CRASH_ENGINE: engines, Kind.PUBLISH: 1}
    targets.update(dict.fromkeys(DAEMON_KINDS, daemons))
    targets.update(dict.fromkeys(LINK_KINDS, links))
    found = []
    at = rng.uniform(0, LONGEST_GAP)
    while at < seconds:
        kind = rng.choice(list(Kind))
        found.append(
            Fault(
                at=at,
                kind=kind,
                target=rng.randrange(targets[kind]),
                length=rng.uniform(0.2, LONGEST_FAULT),
            )
        )
        at += rng.uniform(0, LONGEST_GAP)
    return found
