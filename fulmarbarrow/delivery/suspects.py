"""Isolation of suspect requests, shared with the other routers."""

from __future__ import annotations

import datetime
import enum
import random
import typing

from fulmarbarrow.delivery import crash_evidence
from fulmarbarrow.delivery import evidence_exchange
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import poison
from fulmarbarrow.delivery import state
from fulmarbarrow.delivery import upstreams
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message

Effects = list[message.Message]

ROUTER_ROLE = evidence_exchange.ROUTER_ROLE


class DispatchDecision(enum.StrEnum):
    """Whether a request may be dispatched now."""

    ALLOWED = "allowed"
    WAIT = "wait"
    LAST_UPSTREAM = "last_upstream"
    QUARANTINED = "quarantined"


class SuspectTracker:
    """Tracks suspects and shares crashes and runs with the other routers."""

    def __init__(
        self,
        *,
        pools: upstreams.UpstreamPools,
        rng: random.Random,
        enabled: bool,
        isolate: bool = True,
        crash_limit: int = poison.CRASHES_TO_QUARANTINE,
    ) -> None:
        self._pools = pools
        self._enabled = enabled
        self._isolate = isolate
        self._registry = poison.PoisonRegistry(
            crash_limit=crash_limit,
            quarantine=(
                poison.QUARANTINE_DURATION
                if isolate
                else poison.PROVISIONAL_QUARANTINE_DURATION
            ),
        )
        self._evidence = evidence_exchange.EvidenceExchange(
            rng=rng, crash_limit=crash_limit, registered=pools
        )
        self._peers: dict[str, membership_messages.Daemon] = {}

    def update_daemon(
        self,
        event: membership_messages.DaemonChanged,
        now: datetime.datetime,
    ) -> Effects:
        """Add a daemon to the peers; tell one that starts what it missed."""
        daemon = event.daemon
        if ROUTER_ROLE in daemon.roles:
            self._peers[daemon.daemon_id] = daemon
        effects = self._evidence.update_daemon(event, now)
        return effects if self._enabled else []

    def remove_daemon(self, event: membership_messages.DaemonGone) -> None:
        """Remove a daemon from the peers."""
        self._peers.pop(event.daemon_id, None)
        self._evidence.remove_daemon(event)

    def handle_load_report(
        self, event: membership_messages.LoadReported, now: datetime.datetime
    ) -> None:
        """Handle a load report, which proves that the incarnation is alive."""
        self._registry.clear_crashes(event.upstream_id, event.incarnation, now)
        self._evidence.record_renewal(
            event.upstream_id, event.incarnation, now
        )

    def handle_peer_message(
        self,
        event: message.Message,
        now: datetime.datetime,
    ) -> None:
        """Handle a message from another router."""
        match event:
            case messages.PoisonSuspected():
                self._registry.add_crash(event)
            case messages.SuspectStarted():
                self._registry.start_run(event, now)
            case messages.SuspectEnded():
                self._registry.end_run(event)
            case _:
                self._evidence.handle_peer_message(event, now)

    def record_life(
        self, attempt: state.Attempt, now: datetime.datetime
    ) -> None:
        """Record that an upstream has begun to answer an attempt."""
        placed = attempt.placed
        for evidence in (self._evidence.parts, self._evidence.requests):
            evidence.record_life(
                (placed.upstream_id, placed.incarnation), attempt.sent_at, now
            )

    def record_served(
        self, request: state.Request, now: datetime.datetime
    ) -> None:
        """Record that a run of a request completed with success."""
        if request.part_keys:
            self._evidence.parts.record_served(request.part_keys, now)
        self._evidence.requests.record_served((request.key,), now)
        self._registry.clear_served(request.arrival.digest)

    def exchange_evidence(
        self, now: datetime.datetime
    ) -> tuple[Effects, frozenset[int]]:
        """Return what is due to be told, and parts quarantined just now."""
        told, changes = self._evidence.work(now)
        if not self._enabled:
            return [], frozenset()
        parts, requests = self._evidence.parts, self._evidence.requests
        effects: Effects = [
            *(
                messages.PartQuarantined(
                    part=crash_evidence.key_name(key),
                    upstreams=parts.crashed_upstreams(key, now),
                )
                for key in changes.parts.quarantined
            ),
            *(
                messages.PartReleased(part=crash_evidence.key_name(key))
                for key in changes.parts.released
            ),
            *(
                messages.RequestQuarantined(
                    key=crash_evidence.key_name(key),
                    upstreams=requests.crashed_upstreams(key, now),
                )
                for key in changes.requests.quarantined
            ),
            *(
                messages.RequestReleased(key=crash_evidence.key_name(key))
                for key in changes.requests.released
            ),
        ]
        return [*effects, *told], frozenset(changes.parts.quarantined)

    def excluded_upstreams(
        self, request: state.Request, now: datetime.datetime
    ) -> tuple[str, ...]:
        """Return the upstreams that a request must not be sent to.

        Upstreams where an attempt failed are allowed again once no other
        upstream is left.
        """
        serving, crashed = self._serving_and_crashed(request)
        avoided = set(crashed)
        if self._isolate and self._is_suspect(request, now):
            avoided |= self._registry.busy_upstreams(now)
        failed = set(request.excluded)
        if set(serving) <= failed | avoided:
            failed = set()
        return tuple(sorted(failed | avoided))

    def decide_dispatch(
        self, request: state.Request, now: datetime.datetime
    ) -> DispatchDecision:
        """Return whether a request may be dispatched now.

        A suspect is dispatched only if at least two upstreams have neither
        crashed on it nor run another suspect: one to run it and one that
        remains for all other requests.
        """
        if self._enabled and (
            self._evidence.parts.is_quarantined(request.part_keys)
            or self._evidence.requests.is_quarantined((request.key,))
        ):
            return DispatchDecision.QUARANTINED
        digest = request.arrival.digest
        status = self._registry.status(digest, now)
        if not self._enabled or status is poison.DigestStatus.NONE:
            return DispatchDecision.ALLOWED
        if status is poison.DigestStatus.QUARANTINED:
            return DispatchDecision.QUARANTINED
        if not self._isolate:
            return DispatchDecision.ALLOWED
        serving, crashed = self._serving_and_crashed(request)
        healthy = set(serving) - crashed
        if len(healthy) < 2:
            return DispatchDecision.LAST_UPSTREAM
        if self._registry.is_running(digest, now):
            return DispatchDecision.WAIT
        if len(healthy - self._registry.busy_upstreams(now)) < 2:
            return DispatchDecision.WAIT
        return DispatchDecision.ALLOWED

    def start_run(
        self, request: state.Request, attempt: state.Attempt
    ) -> Effects:
        """Announce the run of a suspect; do nothing for other requests."""
        now = attempt.sent_at
        if not self._isolate or not self._is_suspect(request, now):
            return []
        started = messages.SuspectStarted(
            digest=request.arrival.digest,
            attempt_id=attempt.attempt_id,
            upstream_id=attempt.placed.upstream_id,
            lease=poison.RUN_LEASE,
        )
        self._registry.start_run(started, now)
        return self._broadcast(started)

    def report_crash(
        self,
        request: state.Request,
        attempt: state.Attempt,
        now: datetime.datetime,
    ) -> Effects:
        """Record a crash and announce it to the other routers."""
        placed = attempt.placed
        # An upstream that leaves closes its connections without a crash.
        leaving = self._pools.is_leaving(
            placed.upstream_id, placed.incarnation
        )
        if not leaving:
            upstream = (placed.upstream_id, placed.incarnation)
            self._evidence.requests.record_failure(
                upstream, (request.key,), now
            )
            if request.part_keys:
                self._evidence.parts.record_failure(
                    upstream, request.part_keys, now
                )
        if self._evidence.requests.was_served_recently(request.key, now):
            return []
        suspected = messages.PoisonSuspected(
            digest=request.arrival.digest,
            upstream_id=attempt.placed.upstream_id,
            incarnation=attempt.placed.incarnation,
            at=now,
        )
        self._registry.add_crash(suspected)
        return self._broadcast(suspected)

    def end_run(
        self,
        request: state.Request,
        attempt: state.Attempt,
        harmless: bool,
    ) -> Effects:
        """Announce the end of a suspect's run, if the attempt is one."""
        digest = request.arrival.digest
        if not self._registry.is_recorded_run(digest, attempt.attempt_id):
            return []
        ended = messages.SuspectEnded(
            digest=request.arrival.digest,
            attempt_id=attempt.attempt_id,
            harmless=harmless,
        )
        self._registry.end_run(ended)
        return self._broadcast(ended)

    def dump(self) -> dict[str, typing.Any]:
        """Return the suspect and quarantined digests as plain data."""
        return self._registry.dump()

    def dump_evidence(self) -> dict[str, typing.Any]:
        """Return the crashes by prompt part and by request as plain data."""
        return self._evidence.dump()

    def _serving_and_crashed(
        self, request: state.Request
    ) -> tuple[dict[str, int], set[str]]:
        """Return a request's pool and the upstreams of it that crashed.

        An upstream that restarted since is not counted as crashed.
        """
        arrival = request.arrival
        serving = self._pools.serving(arrival.service, arrival.model)
        crashes = self._registry.crashed_incarnations(arrival.digest)
        crashed = {
            upstream_id
            for upstream_id, incarnation in serving.items()
            if (upstream_id, incarnation) in crashes
        }
        return serving, crashed

    def _is_suspect(
        self, request: state.Request, now: datetime.datetime
    ) -> bool:
        digest = request.arrival.digest
        status = self._registry.status(digest, now)
        return self._enabled and status is not poison.DigestStatus.NONE

    def _broadcast(self, event: message.Message) -> Effects:
        if not self._enabled:
            return []
        addresses = sorted(peer.address for peer in self._peers.values())
        return [
            message.Send(address=address, message=event, urgent=True)
            for address in addresses
        ]
