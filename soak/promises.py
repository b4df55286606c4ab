"""What callers and back ends must always see; pure checks of records."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import json

END = "data: [DONE]"
ERROR = "event: error"
# An accepted revision is in force everywhere after this long.
APPLY_LIMIT = 2.0  # seconds
# After a fault on a daemon there is a leader again within this time.
ELECTION_LIMIT = 3.0  # seconds
# All daemons know of an acknowledged leave after this long.
LEAVE_LIMIT = 1.0  # seconds
# A killed daemon's connections may be reported broken this much later.
KILL_SLACK = 1.0  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One request as its caller saw it; times in seconds.

    ``status`` is 0 without an answer. ``key`` is set for orders, and
    ``asked`` for streams: the number of words that were asked for.
    """

    daemon_id: str
    started: float
    ended: float
    status: int
    body: str
    whole: bool
    key: str = ""
    asked: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kill:
    """A daemon's process was ended at once."""

    daemon_id: str
    at: float


def streams(
    calls: collections.abc.Iterable[Call],
    kills: collections.abc.Collection[Kill],
) -> list[str]:
    """Return what is wrong with streamed answers."""
    found = []
    for call in calls:
        if call.asked and call.status == 200:
            found.extend(_stream(call, kills))
    return found


def _stream(
    call: Call, kills: collections.abc.Collection[Kill]
) -> collections.abc.Iterator[str]:
    events = call.body.split("\n\n")
    ended = END in events
    if not ended and ERROR not in call.body and not _killed(call, kills):
        yield f"broken off without an error: {call}"
    words = [_word(event) for event in events if event.startswith("data: {")]
    if not call.whole and words and events[-1]:
        words = words[:-1] if words[-1] is None else words
    if words != [f"w{number} " for number in range(len(words))]:
        yield f"words doubled, lost or out of order: {call}"
    if ended and len(words) != call.asked:
        yield f"{len(words)} of {call.asked} words before the end: {call}"


def _word(event: str) -> str | None:
    """Return an event's word; None where the event itself was cut."""
    try:
        choices = json.loads(event.removeprefix("data: "))["choices"]
    except ValueError:
        return None
    return choices[0]["delta"]["content"]


def _killed(call: Call, kills: collections.abc.Collection[Kill]) -> bool:
    return any(
        kill.daemon_id == call.daemon_id
        and call.started <= kill.at <= call.ended + KILL_SLACK
        for kill in kills
    )


def orders(
    calls: collections.abc.Iterable[Call],
    counts: collections.abc.Mapping[str, int],
) -> list[str]:
    """Compare what callers were told of orders with the runs counted."""
    found = [
        f"order {key} ran {count} times"
        for key, count in counts.items()
        if count > 1
    ]
    placed = [call for call in calls if call.key]
    sent = collections.Counter(call.key for call in placed)
    for call in placed:
        count = counts.get(call.key, 0)
        if call.status == 200 and call.whole and not count:
            found.append(f"answered, but never ran: {call}")
        if count and _says_not_run(call, only=sent[call.key] == 1):
            found.append(f"said not to have run, but ran: {call}")
    return found


def _says_not_run(call: Call, *, only: bool) -> bool:
    """Whether a refusal says that an order has not run and never will.

    Where the order was sent again, only its seal says so of all copies.
    """
    if call.status in (0, 200):
        return False
    error = json.loads(call.body)["error"]
    return error["ran"] == "no" and (only or error["code"] == "not_run")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """Whether a daemon knew of a leave ``LEAVE_LIMIT`` after its reply.

    Its process ran without a fault meanwhile and knew the upstream.
    """

    upstream_id: str
    daemon_id: str
    known: bool


def leaves(seen: collections.abc.Iterable[Leave]) -> list[str]:
    """Return which daemons did not know of a leave in time."""
    return [
        f"{item.daemon_id} did not know that {item.upstream_id} leaves"
        for item in seen
        if not item.known
    ]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """The revision in force on a daemon's process, 0 for none; in seconds.

    ``paused`` is set if the process may have been stopped by a signal since
    ``APPLY_LIMIT`` before, and ``calm`` if no daemon had a fault since
    ``ELECTION_LIMIT`` before.
    """

    at: float
    daemon_id: str
    pid: int
    revision: int
    paused: bool = False
    calm: bool = False


def revisions(
    seen: collections.abc.Iterable[Observation],
) -> list[str]:
    """Return where a process had an older revision in force than it may.

    It never goes back, and the first one that it has in force is not one that
    was replaced anywhere before, however long there is no leader. Later ones
    are not either, unless a fault on a daemon was just over. ``seen`` is in
    order of time.
    """
    last: dict[tuple[str, int], int] = {}
    newest: list[tuple[float, int]] = [(0.0, 0)]
    found = []
    for item in seen:
        key = (item.daemon_id, item.pid)
        if item.revision < last.get(key, 0):
            found.append(
                f"{item.daemon_id} went back to revision {item.revision}"
            )
        due = max(
            number
            for at, number in newest
            if at <= max(0.0, item.at - APPLY_LIMIT)
        )
        is_first = not last.get(key, 0)
        is_outdated = 0 < item.revision < due and not item.paused
        if is_outdated and is_first:
            found.append(
                f"{item.daemon_id} started with revision {item.revision},"
                f" {due} was in force before"
            )
        elif is_outdated and item.calm:
            found.append(
                f"{item.daemon_id} still has revision {item.revision},"
                f" {due} was in force before"
            )
        last[key] = max(item.revision, last.get(key, 0))
        if item.revision > newest[-1][1]:
            newest.append((item.at, item.revision))
    return found
