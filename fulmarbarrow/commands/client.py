"""HTTP client for a daemon's admin port."""

from __future__ import annotations

import collections.abc
import os
import typing

import treq
from twisted.internet import defer
from twisted.internet import error as internet_errors
from twisted.internet import task
from twisted.python import failure as failures
from twisted.web import client as web_client

from fulmarbarrow.config import options
from fulmarbarrow import exceptions

TIMEOUT_SECONDS = 10
ADMIN_KEY_VARIABLE = "FULMARBARROW_ADMIN_KEY"

Result = typing.TypeVar("Result")

_UNREACHABLE_ERRORS = (
    internet_errors.ConnectError,
    internet_errors.ConnectionClosed,
    web_client.ResponseFailed,
    web_client.RequestNotSent,
    defer.CancelledError,
)


async def get_json(admin: str, path: str) -> typing.Any:
    """Send a GET request; return the JSON answer or raise UnreachableError."""
    return await _request_json(admin, path, "GET", None)


async def post_json(admin: str, path: str, body: bytes) -> typing.Any:
    """Send a POST request with a JSON body and return the JSON answer."""
    return await _request_json(admin, path, "POST", body)


async def _request_json(
    admin: str, path: str, method: str, body: bytes | None
) -> typing.Any:
    address = _parse_admin_address(admin)
    key = os.environ.get(ADMIN_KEY_VARIABLE, "")
    try:
        response = await treq.request(
            method,
            f"http://{address}{path}",
            data=body,
            headers={"Authorization": f"Bearer {key}"} if key else {},
            timeout=TIMEOUT_SECONDS,
            persistent=False,
        )
        answer = await response.json()
    except _UNREACHABLE_ERRORS as error:
        reason = f"{admin} does not answer: {error}"
        raise exceptions.UnreachableError(reason) from error
    except ValueError as error:
        reason = (
            f"{admin} did not answer with JSON; it may not be an admin port"
        )
        raise exceptions.UnreachableError(reason) from error
    _raise_for_status(admin, response.code, answer)
    return answer


def _parse_admin_address(admin: str) -> options.Address:
    try:
        return options.parse_address(admin)
    except ValueError as error:
        raise exceptions.ConfigurationError(f"--admin: {error}") from error


def _raise_for_status(admin: str, status: int, answer: typing.Any) -> None:
    """Raise the exception for an HTTP error status."""
    if status == 401:
        raise exceptions.UnauthorizedError(
            f"{admin} requires a valid admin key; set {ADMIN_KEY_VARIABLE} "
            "to the daemon's daemon.admin_key"
        )
    if status >= 400:
        error = answer.get("error", {}) if isinstance(answer, dict) else {}
        text = error.get("message") or error.get("code") or str(answer)
        raise exceptions.RequestRefusedError(
            f"{admin} refused the request: {text}"
        )


def run(
    function: collections.abc.Callable[[], collections.abc.Awaitable[Result]],
) -> Result:
    """Run a coroutine in the Twisted reactor and return its result."""
    outcome: list[Result | failures.Failure] = []

    def main(_: typing.Any) -> defer.Deferred[None]:
        done = defer.ensureDeferred(function())
        return done.addBoth(outcome.append)

    try:
        task.react(main)
    except SystemExit:  # task.react() always ends with SystemExit.
        result = outcome[0]
    if isinstance(result, failures.Failure):
        result.raiseException()
    return result
