"""Decides what to admit while capacity is short."""

from __future__ import annotations

import collections.abc

from fulmarbarrow.zones import messages

USABLE_PART = 0.98  # of the capacity, the rest is for bursts
USUAL_BACKLOG_SECONDS = 0.5  # of the capacity, waiting without a shortage
DRAIN_SECONDS = 5.0


def decide(
    service: str,
    *,
    steps: collections.abc.Mapping[int, int],
    capacity: float,
    short: bool,
    backlog: float = 0.0,
) -> messages.CapacityShort:
    """Return what to admit of a service's demand.

    ``steps`` are tokens a second by step of worth per token, ``capacity``
    the tokens a second that can be done, ``short`` whether it was short
    before. The worth served is the highest when work enters in the order of
    its worth per token until the capacity is used up.

    ``backlog`` tokens wait for an upstream. What is more than usual is
    worked off within ``DRAIN_SECONDS``, which also corrects a stated
    capacity that the work at hand does not reach. Without any capacity
    nothing is decided: placement refuses what has no upstream.
    """
    demand = sum(steps.values())
    excess = max(0.0, backlog - USUAL_BACKLOG_SECONDS * capacity)
    left = capacity * USABLE_PART - excess / DRAIN_SECONDS
    enough = left if short else left / USABLE_PART
    if demand <= enough or capacity <= 0:
        return messages.CapacityShort(service=service)
    left = max(0.0, left)
    for step in sorted(steps, reverse=True):
        tokens = steps[step]
        if tokens >= left:
            return messages.CapacityShort(
                service=service,
                floor=messages.step_density(step),
                part=left / tokens,
            )
        left -= tokens
    return messages.CapacityShort(service=service)
