"""Isolation of suspect requests, shared with the other routers."""

from __future__ import annotations

import datetime
import enum
import random
import typing

from fulmarbarrow.delivery import crash_evidence
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import poison
from fulmarbarrow.delivery import state
from fulmarbarrow.delivery import upstreams
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message

Effects = list[message.Message]

ROUTER_ROLE = "router"
# Routers of which one that starts hears of quarantined parts, on average.
SYNC_SENDERS = 8


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
        self._registry = poison.PoisonRegistry(crash_limit=crash_limit)
        self._rng = rng
        self._parts = crash_evidence.CrashEvidence(rng=rng)
        self._sync_at: datetime.datetime | None = None
        self._peers: dict[str, membership_messages.Daemon] = {}

    def update_daemon(
        self,
        event: membership_messages.DaemonChanged,
        now: datetime.datetime,
    ) -> Effects:
        """Add a router to the peers; tell one that starts what it missed."""
        daemon = event.daemon
        if ROUTER_ROLE not in daemon.roles:
            return []
        known = self._peers.get(daemon.daemon_id)
        self._peers[daemon.daemon_id] = daemon
        if known is not None and (known.incarnation, known.state) == (
            daemon.incarnation,
            daemon.state,
        ):
            return []
        if not self._parts.quarantined:
            return []
        # Some routers of a large fleet are enough to tell a new one.
        if self._rng.random() * len(self._peers) < SYNC_SENDERS:
            return self._send_evidence(daemon.address, now)
        return []

    def remove_daemon(self, event: membership_messages.DaemonGone) -> None:
        """Remove a router from the peers."""
        self._peers.pop(event.daemon_id, None)

    def handle_load_report(
        self, event: membership_messages.LoadReported, now: datetime.datetime
    ) -> None:
        """Handle a load report, which proves that the incarnation is alive."""
        self._registry.clear_crashes(event.upstream_id, event.incarnation, now)

    def handle_peer_message(
        self,
        event: messages.PoisonSuspected
        | messages.SuspectStarted
        | messages.SuspectEnded
        | messages.UpstreamsCrashed
        | messages.PartsServed,
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
            case messages.UpstreamsCrashed():
                self._parts.merge_crashes(event.crashes, now)
            case messages.PartsServed():
                self._parts.merge_served(event.parts, now)

    def record_life(
        self, attempt: state.Attempt, now: datetime.datetime
    ) -> None:
        """Record that an upstream has begun to answer an attempt."""
        placed = attempt.placed
        self._parts.record_life(
            (placed.upstream_id, placed.incarnation), attempt.sent_at, now
        )

    def record_served(
        self, request: state.Request, now: datetime.datetime
    ) -> None:
        """Record that a run of a request completed with success."""
        if request.part_keys:
            self._parts.record_served(request.part_keys, now)

    def exchange_evidence(
        self, now: datetime.datetime
    ) -> tuple[Effects, frozenset[int]]:
        """Return what is due to be told, and parts quarantined just now."""
        due = self._parts.due
        if due is None or now < due:
            return self._sync(now), frozenset()
        changes = self._parts.evaluate(now)
        effects: Effects = [
            *(
                messages.PartQuarantined(
                    part=crash_evidence.key_name(key),
                    upstreams=self._parts.crashed_upstreams(key, now),
                )
                for key in changes.quarantined
            ),
            *(
                messages.PartReleased(part=crash_evidence.key_name(key))
                for key in changes.released
            ),
        ]
        news = self._parts.collect(now)
        if news.crashes:
            told = messages.UpstreamsCrashed(crashes=news.crashes)
            effects.extend(self._broadcast(told))
        if news.served:
            effects.extend(
                self._broadcast(messages.PartsServed(parts=news.served))
            )
        return [*effects, *self._sync(now)], frozenset(changes.quarantined)

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
        if self._enabled and self._parts.is_quarantined(request.part_keys):
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
        if request.part_keys and not leaving:
            self._parts.record_failure(
                (placed.upstream_id, placed.incarnation),
                request.part_keys,
                now,
            )
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

    def dump_parts(self) -> dict[str, typing.Any]:
        """Return the crashes by prompt part as plain data."""
        return self._parts.dump("parts")

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

    def _sync(self, now: datetime.datetime) -> Effects:
        """Repeat the evidence to one router each interval.

        It may have been cut off when the crashes were reported.
        """
        if not self._parts.quarantined or not self._peers:
            return []
        if self._sync_at is not None and now < self._sync_at:
            return []
        self._sync_at = now + crash_evidence.SYNC_INTERVAL
        peer = self._rng.choice(sorted(self._peers))
        return self._send_evidence(self._peers[peer].address, now)

    def _send_evidence(self, address: str, now: datetime.datetime) -> Effects:
        evidence = self._parts.evidence(now)
        if not evidence or not self._enabled:
            return []
        event = messages.UpstreamsCrashed(crashes=evidence)
        return [message.Send(address=address, message=event, urgent=True)]
