"""The outcome that is stated for a trace, and how a replay differs."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import tomllib

import msgspec

from fulmarbarrow import exceptions
from fulmarbarrow.tracing import observed


class RequestOutcome(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is stated of the ``number``-th request of an account, from 1.

    Empty and absent fields state nothing. ``upstreams`` are those of its
    attempts in their order.
    """

    account: str
    number: int
    ending: observed.Ending
    route: str = ""
    status: int | None = None
    code: str | None = None
    ran: str | None = None
    replayed: bool | None = None
    attempts: int | None = None
    upstreams: tuple[str, ...] | None = None


class Outcome(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is stated of a whole trace.

    ``requests`` is how many requests ended in each way. ``counts`` are
    numbers of messages by class name, ``at_most`` and ``at_least`` bounds of
    such numbers.
    """

    story: str = ""
    requests: dict[observed.Ending, int] = {}
    request: tuple[RequestOutcome, ...] = ()
    counts: dict[str, int] = {}
    at_most: dict[str, int] = {}
    at_least: dict[str, int] = {}


def load(path: pathlib.Path) -> Outcome:
    """Return the outcome stated in a TOML file; raises ConfigurationError."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), type=Outcome)
    except (
        OSError,
        tomllib.TOMLDecodeError,
        msgspec.ValidationError,
    ) as error:
        raise exceptions.ConfigurationError(f"{path}: {error}") from error


def differences(
    stated: Outcome, observer: observed.Observer
) -> collections.abc.Iterator[str]:
    """Yield each way in which a replay differs from its stated outcome."""
    endings = _endings(observer)
    for ending, count in stated.requests.items():
        if endings.get(ending, 0) != count:
            yield f"requests {ending}: {endings.get(ending, 0)}, not {count}"
    yield from _count_differences(stated, observer)
    numbered = _numbered(observer)
    for request in stated.request:
        seen = numbered.get((request.account, request.number))
        yield from _request_differences(request, seen)


def _count_differences(
    stated: Outcome, observer: observed.Observer
) -> collections.abc.Iterator[str]:
    for name, count in stated.counts.items():
        if observer.counts[name] != count:
            yield f"{name}: {observer.counts[name]} times, not {count}"
    for name, count in stated.at_most.items():
        if observer.counts[name] > count:
            yield f"{name}: {observer.counts[name]} times, above {count}"
    for name, count in stated.at_least.items():
        if observer.counts[name] < count:
            yield f"{name}: {observer.counts[name]} times, below {count}"


def _request_differences(
    request: RequestOutcome, seen: observed.RequestSeen | None
) -> collections.abc.Iterator[str]:
    place = f"request {request.number} of {request.account}"
    if seen is None:
        yield f"{place} did not arrive"
        return
    for name, fact in _facts(seen).items():
        wanted = getattr(request, name)
        if wanted not in (None, "") and fact != wanted:
            yield f"{place}: {name} {fact!r}, not {wanted!r}"


def describe(observer: observed.Observer) -> str:
    """Return what was observed, as TOML to start a stated outcome from."""
    lines = ['story = ""', "", "[requests]"]
    lines += [
        f"{ending.value} = {count}"
        for ending, count in sorted(_endings(observer).items())
    ]
    for (account, number), seen in _numbered(observer).items():
        lines += ["", "[[request]]", f'account = "{account}"']
        lines.append(f"number = {number}")
        lines += [
            f"{name} = {msgspec.json.encode(value).decode()}"
            for name, value in _facts(seen).items()
            if value not in ("", None, False)
        ]
    return "\n".join(lines) + "\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Everything that a replay found."""

    turns: int
    messages: int
    differences: tuple[str, ...]


def _endings(observer: observed.Observer) -> dict[observed.Ending, int]:
    counts: dict[observed.Ending, int] = {}
    for seen in observer.requests.values():
        counts[seen.ending] = counts.get(seen.ending, 0) + 1
    return counts


def _numbered(
    observer: observed.Observer,
) -> dict[tuple[str, int], observed.RequestSeen]:
    """Return the requests by account and their number within it."""
    numbers: dict[str, int] = {}
    found = {}
    for seen in observer.requests.values():
        account = seen.arrived.account
        numbers[account] = numbers.get(account, 0) + 1
        found[account, numbers[account]] = seen
    return found


def _facts(seen: observed.RequestSeen) -> dict[str, object]:
    return {
        "ending": seen.ending,
        "route": seen.arrived.route,
        "status": seen.status,
        "code": seen.code,
        "ran": seen.ran,
        "replayed": seen.replayed,
        "attempts": len(seen.attempts),
        "upstreams": tuple(attempt.upstream for attempt in seen.attempts),
    }
