"""Lets only holders of the operators' key to the admin port."""

from __future__ import annotations

import hmac

import klein
from twisted.python import failure as failures
from twisted.web import http
from twisted.web import resource as resources
from werkzeug import exceptions

from fulmarbarrow.edge import errors
from fulmarbarrow.edge import requests


class GuardedResource(resources.Resource):
    """Serves an app to requests with the bearer key; an empty key to all.

    Unknown paths and wrong methods get coded JSON errors.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, *, app: klein.Klein, key: str) -> None:
        super().__init__()
        app.handle_errors(exceptions.HTTPException)(_routing_error)
        self._inner = app.resource()
        self._key = key.encode()

    def render(self, request: http.Request) -> bytes | int:
        """Answer a request, or refuse it for want of the key."""
        given = requests.bearer_key(request).encode()
        if self._key and not hmac.compare_digest(given, self._key):
            return _error(request, "unauthorized")
        return self._inner.render(request)


def _routing_error(request: http.Request, failure: failures.Failure) -> bytes:
    if failure.check(exceptions.MethodNotAllowed):
        methods = failure.value.valid_methods or ()
        request.setHeader("Allow", ", ".join(sorted(methods)))
        return _error(request, "method_not_allowed")
    return _error(request, "no_route")


def _error(request: http.Request, code: str) -> bytes:
    request.setResponseCode(errors.status(code))
    request.setHeader("Content-Type", errors.CONTENT_TYPE)
    return errors.body(code)
