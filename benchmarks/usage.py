"""Measures the error of usage reports and the bytes of the collector."""

from __future__ import annotations

from benchmarks import measure as measures
from benchmarks import usage_fleet

COMMAND = "python -m benchmarks usage"
# Routers, requests a second and accounts.
SIZES = ((8, 90, 40), (77, 830, 370), (195, 2100, 930), (400, 4300, 1900))
CONTROLS = 5
DURATION = 35.0
SETTLED = 10.0  # seconds at the start, with the first messages of the clock
LATENCY = (0.0014, 0.0039)  # seconds
MAX_ERROR = 0.05
MAX_BYTES = 7000


def measure() -> list[measures.Measure]:
    """Run one fleet of each size."""
    rows = []
    for size in SIZES:
        rows.extend(_measure_size(*size))
    return rows


def _measure_size(
    routers: int, rate: int, accounts: int
) -> list[measures.Measure]:
    fleet = usage_fleet.Fleet(
        routers=routers,
        controls=CONTROLS,
        skews=(0, 0, 2.4),
        accounts=accounts,
        latency=LATENCY,
    )
    holder = fleet.controls[0]
    fleet.hold(holder)
    fleet.load(rate, accounts, DURATION)
    fleet.run(SETTLED)
    measured = [*fleet.controls, *fleet.routers]
    before = {id(node): node.bytes_in + node.bytes_out for node in measured}
    fleet.run(DURATION - SETTLED)
    used = {
        id(node): (node.bytes_in + node.bytes_out - before[id(node)])
        / (DURATION - SETTLED)
        for node in measured
    }
    first = usage_fleet.fleet_time.window_at(
        usage_fleet.START + usage_fleet.seconds(SETTLED), usage_fleet.WINDOW
    )
    last = fleet.window - 1
    fleet.run(10.0)
    windows = range(first, last + 1)
    begun = sum(fleet.truth[window].total() for window in windows)
    misplaced = sum(fleet.misplaced(window) for window in windows)
    late = max(
        (
            fleet.platform.accepted_at[window]
            - usage_fleet.fleet_time.end_of(window, usage_fleet.WINDOW)
        ).total_seconds()
        for window in windows
    )
    name = f"at {routers} routers"
    return [
        _row(
            f"requests in a wrong window {name}",
            misplaced / begun,
            "share",
            MAX_ERROR,
        ),
        _row(f"latest report after its window {name}", late, "s", 10),
        _row(f"collector {name}", used[id(holder)], "B/s", MAX_BYTES),
        _row(
            f"busiest other daemon {name}",
            max(value for key, value in used.items() if key != id(holder)),
            "B/s",
            MAX_BYTES,
        ),
    ]


def _row(
    name: str, value: float, unit: str, target: float
) -> measures.Measure:
    return measures.Measure(
        slice="usage",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        target=target,
    )
