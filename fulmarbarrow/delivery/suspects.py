"""Keeps requests that crashed an upstream apart, with the other routers."""

from __future__ import annotations

import datetime
import enum
import typing

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import poison
from fulmarbarrow.delivery import state
from fulmarbarrow.delivery import upstreams
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message

Effects = list[message.Message]

ROUTER = "router"


class Gate(enum.StrEnum):
    """Whether a request may be sent now."""

    OPEN = "open"
    WAIT = "wait"
    LAST_UPSTREAM = "last_upstream"
    QUARANTINED = "quarantined"


class Suspects:
    """Tells the other routers of crashes and of the runs of suspects."""

    def __init__(
        self,
        *,
        pools: upstreams.Pools,
        enabled: bool,
        isolate: bool = True,
        crashes: int = poison.CRASHES_TO_QUARANTINE,
    ) -> None:
        self._pools = pools
        self._enabled = enabled
        self._isolate = isolate
        self._registry = poison.PoisonRegistry(limit=crashes)
        self._peers: dict[str, str] = {}

    def change_daemon(self, event: membership_messages.DaemonChanged) -> None:
        """Learn of a daemon."""
        daemon = event.daemon
        if ROUTER in daemon.roles:
            self._peers[daemon.daemon_id] = daemon.address

    def remove_daemon(self, event: membership_messages.DaemonGone) -> None:
        """Forget a daemon."""
        self._peers.pop(event.daemon_id, None)

    def see_alive(
        self, event: membership_messages.LoadReported, now: datetime.datetime
    ) -> None:
        """Learn that an upstream's incarnation still renews its lease."""
        self._registry.acquit(event.upstream_id, event.incarnation, now)

    def hear(
        self,
        event: messages.PoisonSuspected
        | messages.SuspectStarted
        | messages.SuspectEnded,
        now: datetime.datetime,
    ) -> None:
        """Take another router's word."""
        match event:
            case messages.PoisonSuspected():
                self._registry.add(event)
            case messages.SuspectStarted():
                self._registry.start(event, now)
            case messages.SuspectEnded():
                self._registry.end(event)

    def excluded(
        self, request: state.Request, now: datetime.datetime
    ) -> tuple[str, ...]:
        """Return the upstreams that a request must not be sent to."""
        serving, crashed = self._serving_and_crashed(request)
        unwanted = set(crashed)
        if self._isolate and self._suspect(request, now):
            unwanted |= self._registry.busy_upstreams(now)
        failed = set(request.excluded)
        if set(serving) <= failed | unwanted:
            failed = set()
        return tuple(sorted(failed | unwanted))

    def gate(self, request: state.Request, now: datetime.datetime) -> Gate:
        """Return whether a request may be sent now.

        A suspect needs an upstream that has not crashed on it and runs no
        other suspect, and leaves at least one more for all others.
        """
        digest = request.arrived.digest
        suspicion = self._registry.suspicion(digest, now)
        if not self._enabled or suspicion is poison.Suspicion.NONE:
            return Gate.OPEN
        if suspicion is poison.Suspicion.QUARANTINED:
            return Gate.QUARANTINED
        if not self._isolate:
            return Gate.OPEN
        serving, crashed = self._serving_and_crashed(request)
        healthy = set(serving) - crashed
        if len(healthy) < 2:
            return Gate.LAST_UPSTREAM
        if self._registry.running(digest, now):
            return Gate.WAIT
        if len(healthy - self._registry.busy_upstreams(now)) < 2:
            return Gate.WAIT
        return Gate.OPEN

    def start(self, request: state.Request, attempt: state.Attempt) -> Effects:
        """Tell that a suspect runs; nothing for other requests."""
        now = attempt.sent_at
        if not self._isolate or not self._suspect(request, now):
            return []
        started = messages.SuspectStarted(
            digest=request.arrived.digest,
            attempt_id=attempt.attempt_id,
            upstream_id=attempt.placed.upstream_id,
            lease=poison.RUN_LEASE,
        )
        self._registry.start(started, now)
        return self._tell(started)

    def crash(
        self,
        request: state.Request,
        attempt: state.Attempt,
        now: datetime.datetime,
    ) -> Effects:
        """Count a crash and tell the others."""
        suspected = messages.PoisonSuspected(
            digest=request.arrived.digest,
            upstream_id=attempt.placed.upstream_id,
            incarnation=attempt.placed.incarnation,
            at=now,
        )
        self._registry.add(suspected)
        return self._tell(suspected)

    def end(
        self,
        request: state.Request,
        attempt: state.Attempt,
        harmless: bool,
    ) -> Effects:
        """Tell that a suspect's run ended; nothing for other requests."""
        digest = request.arrived.digest
        if not self._registry.is_run(digest, attempt.attempt_id):
            return []
        ended = messages.SuspectEnded(
            digest=request.arrived.digest,
            attempt_id=attempt.attempt_id,
            harmless=harmless,
        )
        self._registry.end(ended)
        return self._tell(ended)

    def dump(self) -> dict[str, typing.Any]:
        """Return suspects and quarantines, as plain data."""
        return self._registry.dump()

    def _serving_and_crashed(
        self, request: state.Request
    ) -> tuple[dict[str, int], set[str]]:
        """Return the pool and those of it whose incarnation crashed."""
        arrived = request.arrived
        serving = self._pools.serving(arrived.service, arrived.model)
        crashes = self._registry.crashes(arrived.digest)
        crashed = {
            upstream_id
            for upstream_id, incarnation in serving.items()
            if (upstream_id, incarnation) in crashes
        }
        return serving, crashed

    def _suspect(self, request: state.Request, now: datetime.datetime) -> bool:
        digest = request.arrived.digest
        suspicion = self._registry.suspicion(digest, now)
        return self._enabled and suspicion is not poison.Suspicion.NONE

    def _tell(self, event: message.Message) -> Effects:
        if not self._enabled:
            return []
        return [
            message.Send(address=address, message=event, urgent=True)
            for address in sorted(self._peers.values())
        ]
