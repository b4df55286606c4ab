"""What must hold in every replay, whatever outcome is stated."""

from __future__ import annotations

import collections
import collections.abc
import itertools

from fulmarbarrow.tracing import observed

_Found = collections.abc.Iterator[str]


def check(observer: observed.Observer) -> _Found:
    """Yield each breach of an invariant."""
    for request in observer.requests.values():
        yield from _ends_once(request)
        yield from _refusal_is_true(request)
    yield from _runs_at_most_once(observer)
    for before, after in itertools.pairwise(observer.revisions):
        if after <= before:
            yield f"revision {after} came into force after {before}"


def _ends_once(request: observed.RequestSeen) -> _Found:
    if request.endings > 1:
        yield (
            f"request {request.arrived.request_id} ended "
            f"{request.endings} times"
        )


def _refusal_is_true(request: observed.RequestSeen) -> _Found:
    if request.ran != "no":
        return
    for attempt in request.attempts:
        if attempt.sent and not attempt.not_run and not attempt.lookup:
            yield (
                f"request {request.arrived.request_id} was refused as not "
                f"run, but {attempt.attempt_id} may have run at "
                f"{attempt.upstream}"
            )


def _runs_at_most_once(observer: observed.Observer) -> _Found:
    runs: collections.defaultdict[tuple[str, str], list[str]] = (
        collections.defaultdict(list)
    )
    for request in observer.requests.values():
        if request.arrived.idempotent:
            continue
        action = request.arrived.account, request.arrived.key
        runs[action].extend(
            attempt.attempt_id
            for attempt in request.attempts
            if not attempt.lookup and not attempt.not_run
        )
    for (account, key), attempts in runs.items():
        if len(attempts) > 1:
            yield (
                f"action {key!r} of {account} may have run "
                f"{len(attempts)} times: {', '.join(attempts)}"
            )
