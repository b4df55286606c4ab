"""The paths of the product's own interface that need no upstream."""

from __future__ import annotations

import klein
import msgspec
from twisted.python import failure as failures
from twisted.web import http
from werkzeug import exceptions

from fulmarbarrow.edge import callers as callers_module
from fulmarbarrow.edge import dialect as dialects
from fulmarbarrow.edge import errors
from fulmarbarrow.edge import requests


class OwnRoutes:
    """The health check and the list of models.

    Klein serves only these: it would match every chat against its map and
    redirect paths that it finds untidy.
    """

    paths = (b"/healthz", b"/v1/models")

    def __init__(self, *, callers: callers_module.CallersEdge) -> None:
        self._callers = callers
        app = klein.Klein()
        app.route("/healthz", methods=["GET"])(self._health)
        app.route("/v1/models", methods=["GET"])(self._models)
        app.handle_errors(exceptions.MethodNotAllowed)(_wrong_method)
        self._resource = app.resource()

    def render(self, request: http.Request) -> bytes | int:
        """Answer a request for one of the paths."""
        return self._resource.render(request)

    def _health(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "text/plain")
        if not self._callers.healthy:
            request.setResponseCode(503)
            return b"stopping\n"
        return b"ok\n"

    def _models(self, request: http.Request) -> bytes:
        directory = self._callers.directory
        if not directory.in_force:
            return self._callers.reject(
                request, dialects.Rejected(code="no_configuration")
            )
        account = directory.account(requests.bearer_key(request))
        if account is None:
            return self._callers.reject(
                request, dialects.Rejected(code="unauthorized")
            )
        request.setHeader("Content-Type", "application/json")
        data = [
            {"id": name, "object": "model"}
            for name in directory.models(account)
        ]
        return msgspec.json.encode({"object": "list", "data": data})


def _wrong_method(request: http.Request, _: failures.Failure) -> bytes:
    """Answer a fixed path asked with a method that it has not."""
    request.setResponseCode(errors.status("method_not_allowed"))
    request.setHeader("Content-Type", errors.CONTENT_TYPE)
    request.setHeader("Allow", "GET")
    return errors.body("method_not_allowed")
