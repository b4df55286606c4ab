"""Computes the admission threshold of a service."""

from __future__ import annotations

import collections.abc

from fulmarbarrow.zones import messages

USABLE_FRACTION = 0.98  # fraction of the capacity; the rest absorbs bursts
USUAL_BACKLOG_SECONDS = 0.5  # backlog without a shortage, at full capacity
DRAIN_SECONDS = 5.0


def compute_threshold(
    service: str,
    *,
    steps: collections.abc.Mapping[int, int],
    capacity: float,
    short: bool,
    backlog: float = 0.0,
) -> messages.AdmissionThreshold:
    """Return the admission threshold for a service's demand.

    ``steps`` maps each step of worth per token to its tokens per second,
    ``capacity`` is in tokens per second, and ``short`` tells whether
    capacity was short before. Admitting work by descending worth per token
    until the capacity is used up maximises the worth served.

    ``backlog`` is the number of tokens that wait for an upstream. Capacity
    is set aside to drain the excess over the usual backlog within
    ``DRAIN_SECONDS``; this also compensates for a stated capacity that the
    current work does not reach. Without any capacity everything is
    admitted, as placement refuses requests that have no upstream.
    """
    demand = sum(steps.values())
    excess = max(0.0, backlog - USUAL_BACKLOG_SECONDS * capacity)
    remaining = capacity * USABLE_FRACTION - excess / DRAIN_SECONDS
    available = remaining if short else remaining / USABLE_FRACTION
    if demand <= available or capacity <= 0:
        return messages.AdmissionThreshold(service=service)
    remaining = max(0.0, remaining)
    for step in sorted(steps, reverse=True):
        tokens = steps[step]
        if tokens >= remaining:
            return messages.AdmissionThreshold(
                service=service,
                floor=messages.density_of_step(step),
                part=remaining / tokens,
            )
        remaining -= tokens
    return messages.AdmissionThreshold(service=service)
