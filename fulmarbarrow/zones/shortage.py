"""Decides what to admit while capacity is short."""

from __future__ import annotations

import collections.abc

from fulmarbarrow.zones import messages

USABLE_PART = 0.98  # of the capacity, the rest is for bursts


def decide(
    service: str,
    *,
    steps: collections.abc.Mapping[int, int],
    capacity: float,
    short: bool,
) -> messages.CapacityShort:
    """Return what to admit of a service's demand.

    ``steps`` are tokens a second by step of worth per token, ``capacity``
    the tokens a second that can be done, ``short`` whether it was short
    before. The worth served is the highest when work enters in the order of
    its worth per token until the capacity is used up. Without any capacity
    nothing is decided: placement refuses what has no upstream.
    """
    demand = sum(steps.values())
    enough = capacity * (USABLE_PART if short else 1.0)
    if demand <= enough or capacity <= 0:
        return messages.CapacityShort(service=service)
    left = capacity * USABLE_PART
    for step in sorted(steps, reverse=True):
        tokens = steps[step]
        if tokens >= left:
            return messages.CapacityShort(
                service=service,
                floor=messages.step_density(step),
                part=max(0.0, left / tokens),
            )
        left -= tokens
    return messages.CapacityShort(service=service)
