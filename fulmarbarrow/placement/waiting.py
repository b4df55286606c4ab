"""How long a request may wait for an upstream, and when its caller may return.

Load pattern: a burst, or the loss of a part of a pool, leaves more work than
upstreams can start in time. A request that waits on until its deadline is
served to nobody, takes the place of one that could be, and its caller learns
too late to try again. It is rejected as soon as the shortest queue is known
to be longer than its caller's patience, or when that patience is used up.
"""

from __future__ import annotations

import datetime
import random

from fulmarbarrow.placement import messages

# A search needs one reply of an owner, also when it starts late.
LEAST_SEARCH = datetime.timedelta(milliseconds=150)
# Callers that return within one queue length of each other meet a queue that
# has drained, and don't form a burst of their own.
RETURN_SPREAD = 1.0
LEAST_RETURN = datetime.timedelta(milliseconds=200)
MOST_RETURN = datetime.timedelta(seconds=2)


def give_up_at(
    request: messages.PlaceRequest, now: datetime.datetime
) -> datetime.datetime:
    """Return when a request that has no upstream by then is rejected."""
    if request.start_by is None:
        return request.deadline
    return min(request.deadline, max(request.start_by, now + LEAST_SEARCH))


def starts_in_time(
    request: messages.PlaceRequest,
    wait: datetime.timedelta,
    now: datetime.datetime,
) -> bool:
    """Return whether a queue of length ``wait`` is worth joining.

    Without a time to start by, the owner decides, which knows of shares that
    are reserved for the request's account.
    """
    return request.start_by is None or now + wait <= give_up_at(request, now)


def return_delay(
    wait: datetime.timedelta, rng: random.Random
) -> datetime.timedelta:
    """Return when a caller may come back, ``wait`` being the shortest queue.

    The delays are spread, so that callers rejected together return apart.
    None is shorter than ``wait``.
    """
    delay = wait * (1.0 + RETURN_SPREAD * rng.random())
    least = LEAST_RETURN * (1.0 + rng.random())
    return min(max(delay, least), max(MOST_RETURN, wait))
