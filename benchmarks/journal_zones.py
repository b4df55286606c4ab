"""Where to keep the journal: a quorum across zones, or a zone by key.

Orders enter evenly through three zones. In each zone lies one control host
of a quorum across zones, or the whole group of an owner zone. Synced writes
cost the same either way and are left out.
"""

from __future__ import annotations

import enum
import itertools
import random

from benchmarks import measure as measures

COMMAND = "python -m benchmarks journal_zones"
ZONES = ("a", "b", "c")
ONE_WAY_MS = {"Office": 1.0, "Kitami": 1.5}
JITTER = 0.2
ORDERS = 20_000
SEED = 4


class Layout(enum.StrEnum):
    """Where an entry is committed."""

    QUORUM = "a quorum across zones"
    OWNER = "an owner zone by key"


def measure() -> list[measures.Measure]:
    """Compare the layouts: time, one zone cut off, one zone lost."""
    rows = []
    for layout, (user, one_way) in itertools.product(
        Layout, ONE_WAY_MS.items()
    ):
        times = _times(layout, one_way)
        p99 = sorted(times)[int(0.99 * len(times))]
        rows.append(_row(f"commit p99 at {user}, {layout}", p99, "ms"))
    for layout in Layout:
        cut = _refused(layout, lost=False)
        lost = _refused(layout, lost=True)
        rows.append(_row(f"refused, a zone cut off, {layout}", cut, "share"))
        rows.append(_row(f"refused, a zone lost, {layout}", lost, "share"))
    return rows


def _row(name: str, value: float, unit: str) -> measures.Measure:
    return measures.Measure(
        slice="journal",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        seed=SEED,
    )


def _times(layout: Layout, one_way: float) -> list[float]:
    """Return the network time of each order's intent in ms."""
    rng = random.Random(SEED)

    def hop(here: str, there: str) -> float:
        if here == there:
            return 0.0
        return one_way * rng.uniform(1 - JITTER, 1 + JITTER)

    times = []
    for _ in range(ORDERS):
        entry = rng.choice(ZONES)
        if layout is Layout.OWNER:
            owner = rng.choice(ZONES)
            times.append(hop(entry, owner) + hop(owner, entry))
            continue
        leader = ZONES[0]
        acks = [
            hop(leader, zone) + hop(zone, leader)
            for zone in ZONES
            if zone != leader
        ]
        times.append(hop(entry, leader) + min(acks) + hop(leader, entry))
    return times


def _refused(layout: Layout, *, lost: bool) -> float:
    """Return the share of orders refused while the last zone is away.

    A zone that is cut off still takes orders from its own callers; one that
    is lost does not, and its callers enter elsewhere.
    """
    rng = random.Random(SEED)
    away = ZONES[-1]
    entries = [zone for zone in ZONES if not (lost and zone == away)]
    refused = 0
    for _ in range(ORDERS):
        entry = rng.choice(entries)
        if layout is Layout.OWNER:
            owner = rng.choice(ZONES)
            refused += (entry == away) != (owner == away)
        else:
            refused += entry == away
    return refused / ORDERS
