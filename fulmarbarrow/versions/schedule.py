"""Schedule of a version move, computed back from its deadline."""

from __future__ import annotations

import dataclasses
import datetime

DEFAULT_LOAD_TIME = datetime.timedelta(seconds=20)
LOAD_TIME_FACTOR = 1.25
MINIMUM_DWELL = datetime.timedelta(seconds=5)
CANARY_SLACK_FRACTION = 0.4
WATCH_SLACK_FRACTION = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Schedule:
    """When a move's phases must end to meet its deadline.

    ``step`` is the pause between two engine loads.
    """

    canary_until: datetime.datetime
    watch_until: datetime.datetime
    step: datetime.timedelta


def plan(
    *,
    now: datetime.datetime,
    deadline: datetime.datetime,
    engines: int,
    loaded: int,
    load_time: datetime.timedelta,
) -> Schedule:
    """Return the schedule from now on.

    The remaining loads run one after another, because the weight store is
    rate limited. The time that they leave until the deadline is slack, which
    is split between the canary, expanding and watching phases.
    """
    time_per_load = max(load_time * LOAD_TIME_FACTOR, MINIMUM_DWELL)
    remaining = max(0, engines - loaded)
    slack = max(
        datetime.timedelta(), deadline - now - time_per_load * remaining
    )
    last_load = time_per_load if remaining else datetime.timedelta()
    watch_until = deadline - last_load - MINIMUM_DWELL
    expanding = slack * (1 - CANARY_SLACK_FRACTION - WATCH_SLACK_FRACTION)
    pauses = max(1, remaining - 1)
    return Schedule(
        canary_until=now + slack * CANARY_SLACK_FRACTION,
        watch_until=watch_until,
        step=max(MINIMUM_DWELL, expanding / pauses),
    )
