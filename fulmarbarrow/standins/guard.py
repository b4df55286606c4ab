"""Faults that strike a stand-in's requests, whatever they ask for."""

from __future__ import annotations

import logging
import os
import typing
import weakref

import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.web import http

from fulmarbarrow.delivery import responses
from fulmarbarrow.edge import headers
from fulmarbarrow.edge import requests
from fulmarbarrow.standins import faults as faults_module
from fulmarbarrow.standins import identity as identities

log = logging.getLogger(__name__)

CRASH_EXIT_CODE = 70


class Guard:
    """Lets requests in and answers out as far as the faults allow."""

    def __init__(
        self,
        *,
        faults: faults_module.Faults,
        identity: identities.Identity,
        reactor: typing.Any,
    ) -> None:
        self._faults = faults
        self._identity = identity
        self._reactor = reactor
        self._channels: weakref.WeakSet[typing.Any] = weakref.WeakSet()
        self._silent: weakref.WeakSet[typing.Any] = weakref.WeakSet()
        self._last_attempt = ""
        faults.watch(faults_module.FaultKind.SILENT, self._go_silent)
        faults.watch(faults_module.FaultKind.CRASH, self._crash)

    async def enter(self, request: http.Request, body: bytes) -> bytes | None:
        """Let a request in; the bytes of an answer mean that it can't run.

        On a silent connection it never returns. The attempt is echoed,
        unless answers are crossed.
        """
        self._channels.add(request.channel)
        attempt = requests.header(request, headers.ATTEMPT)
        self._echo(request, attempt)
        poison = self._faults.poison(body)
        if poison is not None and not poison.after_run:
            self.crash()
        if self.silent(request):
            await defer.Deferred()
        late = self._faults.take(faults_module.FaultKind.LATE)
        if late is not None:
            await task.deferLater(self._reactor, late.seconds)
        if self._faults.take(faults_module.FaultKind.REFUSE):
            return refuse(request, "refused")
        if self._misdirected(request):
            return refuse(
                request, "misdirected", status=responses.STATUS_MISDIRECTED
            )
        return None

    def ran(self, body: bytes) -> None:
        """Crash if the request that has just run is poison."""
        if self._faults.poison(body) is not None:
            self.crash()

    def silent(self, request: http.Request) -> bool:
        """Return whether nothing more comes over the request's connection."""
        return request.channel in self._silent

    def cut_after(self) -> int | None:
        """Return after how many parts this answer is cut, if at all."""
        fault = self._faults.take(faults_module.FaultKind.CUT)
        return fault.events if fault else None

    def crash(self) -> None:
        """End the process as a crash does: at once, whatever is open."""
        log.error("crash")
        os._exit(CRASH_EXIT_CODE)

    def _misdirected(self, request: http.Request) -> bool:
        """Return whether a request is meant for another incarnation."""
        expected = requests.header(request, headers.INCARNATION)
        return bool(expected) and expected != str(self._identity.incarnation)

    def _echo(self, request: http.Request, attempt: str) -> None:
        crossed = self._faults.take(faults_module.FaultKind.CROSSED)
        echoed = self._last_attempt if crossed else attempt
        request.setHeader(headers.ATTEMPT, echoed)
        self._last_attempt = attempt

    def _go_silent(self, fault: faults_module.Fault) -> None:
        if fault.on:
            self._silent.update(self._channels)

    def _crash(self, fault: faults_module.Fault) -> None:
        if fault.on:
            # The answer to this call is sent by the next turn of the loop. A
            # timer that is due in this turn would run the crash before that.
            later = self._reactor.callLater
            later(0, later, 0, self.crash)


def refuse(
    request: http.Request, code: str, status: int = http.SERVICE_UNAVAILABLE
) -> bytes:
    """Return the answer of an upstream that refused before running."""
    request.setResponseCode(status)
    request.setHeader(headers.NOT_RUN, "true")
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode({"error": {"code": code}})
