"""Talks to a daemon's admin port."""

from __future__ import annotations

import collections.abc
import typing

import treq
from twisted.internet import defer
from twisted.internet import error as internet_errors
from twisted.internet import task
from twisted.python import failure as failures

from fulmarbarrow import exceptions

TIMEOUT_SECONDS = 10

T = typing.TypeVar("T")


async def get_json(admin: str, path: str) -> typing.Any:
    """Return the JSON answer of a daemon; raises UnreachableError."""
    return await _json(admin, path, "GET", None)


async def post_json(admin: str, path: str, body: bytes) -> typing.Any:
    """Send JSON to a daemon and return its answer."""
    return await _json(admin, path, "POST", body)


async def _json(
    admin: str, path: str, method: str, body: bytes | None
) -> typing.Any:
    try:
        response = await treq.request(
            method,
            f"http://{admin}{path}",
            data=body,
            timeout=TIMEOUT_SECONDS,
            persistent=False,
        )
        return await response.json()
    except (
        internet_errors.ConnectError,
        internet_errors.ConnectionClosed,
        defer.CancelledError,
        ValueError,
    ) as error:
        reason = f"{admin} does not answer: {error}"
        raise exceptions.UnreachableError(reason) from error


def run(
    function: collections.abc.Callable[[], collections.abc.Awaitable[T]],
) -> T:
    """Run a coroutine on a reactor and return its result."""
    outcome: list[T | failures.Failure] = []

    def main(_: typing.Any) -> defer.Deferred[None]:
        done = defer.ensureDeferred(function())
        return done.addBoth(outcome.append)

    try:
        task.react(main)
    except SystemExit:
        result = outcome[0]
    if isinstance(result, failures.Failure):
        result.raiseException()
    return result
