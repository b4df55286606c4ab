"""The admin route that begins and ends a trace."""

from __future__ import annotations

import pathlib
import typing

import klein
import msgspec
from twisted.web import http

from fulmarbarrow import decoding
from fulmarbarrow import exceptions

DEFAULT_MAX_BYTES = 64 << 20


class RecordBody(msgspec.Struct, frozen=True, kw_only=True):
    """What ``POST /v1/record`` takes; an empty path ends the trace."""

    path: str
    max_bytes: int = DEFAULT_MAX_BYTES


class TracingEdge:
    """Begins a trace of a running daemon on request."""

    def __init__(
        self,
        *,
        app: klein.Klein,
        record: typing.Callable[[str, int], pathlib.Path],
    ) -> None:
        self._record = record
        app.route("/v1/record", methods=["POST"])(self._take)

    def _take(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        try:
            body = decoding.decode_json(request.content.read(), RecordBody)
            path = self._record(body.path, body.max_bytes)
        except msgspec.DecodeError as error:
            return _error(request, 400, "bad_request", error)
        except exceptions.FulmarbarrowError as error:
            return _error(request, 409, error.code, error)
        return msgspec.json.encode({"path": str(path)})


def _error(
    request: http.Request, status: int, code: str, error: Exception
) -> bytes:
    request.setResponseCode(status)
    return msgspec.json.encode(
        {"error": {"code": code, "message": str(error)}}
    )
