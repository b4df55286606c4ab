"""The admin routes of a stand-in: its faults and its state."""

from __future__ import annotations

import typing

import klein
import msgspec
from twisted.web import http

from fulmarbarrow.standins import faults as faults_module


class StandinAdmin:
    """Switches faults over HTTP."""

    def __init__(
        self,
        *,
        app: klein.Klein,
        faults: faults_module.Faults,
        state: typing.Callable[[], dict[str, typing.Any]],
    ) -> None:
        self._faults = faults
        self._state = state
        app.route("/admin/faults", methods=["POST"])(self._switch)
        app.route("/admin/faults", methods=["GET"])(self._give_faults)
        app.route("/admin/state", methods=["GET"])(self._give_state)

    def _switch(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        try:
            fault = msgspec.json.decode(
                request.content.read(), type=faults_module.Fault
            )
        except msgspec.DecodeError as error:
            request.setResponseCode(400)
            return msgspec.json.encode({"error": {"message": str(error)}})
        self._faults.switch(fault)
        return b"{}"

    def _give_faults(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._faults.active)

    def _give_state(self, request: http.Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._state())
