"""Evidence of what crashes upstreams, shared among daemons.

Routers see crashes and completed runs. Control hosts keep the evidence too, so
that it survives the loss of all routers. A daemon that starts or returns is
sent what is quarantined, and so is one at random each interval, as it may have
been cut off when the crashes were reported.
"""

from __future__ import annotations

import dataclasses
import datetime
import hashlib
import random
import typing

from fulmarbarrow.delivery import crash_evidence
from fulmarbarrow.delivery import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message

Effects = list[message.Message]

ROUTER_ROLE = "router"
CONTROL_ROLE = "control"
# Daemons of which one that starts hears of what is quarantined, on average.
SYNC_SENDERS = 8
# An upstream that renews its lease so long after a crash has not crashed.
RENEWED_AFTER = datetime.timedelta(seconds=3)
# All routers have then heard that the lease of an upstream that crashed ended.
LEASE_ENDED_AFTER = datetime.timedelta(seconds=30)
# As many as an upstream runs, and queues, at once.
MAX_REQUESTS_PER_CRASH = 256
MAX_CRASHES_UNDER_REQUESTS = 128

PEER_MESSAGES = (
    messages.UpstreamsCrashed,
    messages.PartsServed,
    messages.RequestsCrashed,
    messages.RequestsServed,
)


class Registered(typing.Protocol):
    """Tells which incarnations of upstreams hold a lease."""

    def is_registered(self, upstream_id: str, incarnation: int) -> bool:
        """Return whether the incarnation has a lease, as far as is known."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Keys of parts and of requests that are quarantined or released now."""

    parts: crash_evidence.QuarantineChanges
    requests: crash_evidence.QuarantineChanges


def request_key(digest: str) -> int:
    """Return the key of all requests with a digest."""
    hashed = hashlib.blake2b(
        digest.encode(), digest_size=crash_evidence.KEY_BYTES
    )
    return int.from_bytes(hashed.digest())


def kind(event: message.Message) -> str:
    """Return what a message between daemons tells of."""
    of_parts = (messages.UpstreamsCrashed, messages.PartsServed)
    return "part" if isinstance(event, of_parts) else "request"


class EvidenceExchange:
    """Crashes by prompt part and by request, and the daemons that share them.

    ``crash_limit`` is the number of crashes after which a request is
    quarantined.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        crash_limit: int,
        registered: Registered,
    ) -> None:
        self._rng = rng
        self._registered = registered
        self.parts = crash_evidence.CrashEvidence(rng=rng)
        self.requests = crash_evidence.CrashEvidence(
            rng=rng,
            crash_limit=crash_limit,
            max_crashes=MAX_CRASHES_UNDER_REQUESTS,
            max_keys=MAX_REQUESTS_PER_CRASH,
            # Most requests that a crash cut off are sent again and complete.
            announced_from=max(1, crash_limit - 1),
            # A request's attempts may follow each other that closely.
            same_fault=datetime.timedelta(0),
        )
        self._peers: dict[str, membership_messages.Daemon] = {}
        self._sync_at: datetime.datetime | None = None

    def update_daemon(
        self,
        event: membership_messages.DaemonChanged,
        now: datetime.datetime,
    ) -> Effects:
        """Add a daemon to the peers; tell one that starts what it missed."""
        daemon = event.daemon
        if not {ROUTER_ROLE, CONTROL_ROLE} & set(daemon.roles):
            return []
        known = self._peers.get(daemon.daemon_id)
        self._peers[daemon.daemon_id] = daemon
        if known is not None and (known.incarnation, known.state) == (
            daemon.incarnation,
            daemon.state,
        ):
            return []
        if not self._has_quarantined:
            return []
        # Some daemons of a large fleet are enough to tell a new one.
        if self._rng.random() * len(self._peers) < SYNC_SENDERS:
            return self._send_evidence(daemon.address, now)
        return []

    def remove_daemon(self, event: membership_messages.DaemonGone) -> None:
        """Remove a daemon from the peers."""
        self._peers.pop(event.daemon_id, None)

    def handle_peer_message(
        self, event: message.Message, now: datetime.datetime
    ) -> None:
        """Add what another daemon tells."""
        match event:
            case messages.UpstreamsCrashed():
                self.parts.merge_crashes(event.crashes, now)
            case messages.PartsServed():
                self.parts.merge_served(event.parts, now)
            case messages.RequestsCrashed():
                self.requests.merge_crashes(event.crashes, now)
            case messages.RequestsServed():
                self.requests.merge_served(event.requests, now)

    def record_renewal(
        self, upstream_id: str, incarnation: int, now: datetime.datetime
    ) -> None:
        """Record that an upstream has renewed its lease.

        Only the router that holds the lease sees that. A renewal that comes
        late, once the incarnation has been replaced, proves nothing.
        """
        if self._registered.is_registered(upstream_id, incarnation):
            self.requests.disprove(
                (upstream_id, incarnation), now - RENEWED_AFTER, now
            )

    def work(self, now: datetime.datetime) -> tuple[Effects, Changes]:
        """Return what is due to be told, and what changes by the evidence."""
        changes = Changes(
            parts=self._evaluate(self.parts, now),
            requests=self._evaluate(self.requests, now),
        )
        return [*self._collect(now), *self._sync(now)], changes

    def dump(self) -> dict[str, typing.Any]:
        """Return the crashes by prompt part and by request as plain data."""
        return {
            "prompt_parts": self.parts.dump("parts"),
            "requests": self.requests.dump("requests"),
        }

    def _evaluate(
        self, evidence: crash_evidence.CrashEvidence, now: datetime.datetime
    ) -> crash_evidence.QuarantineChanges:
        if evidence.due is None or now < evidence.due:
            return crash_evidence.QuarantineChanges()
        before = now - LEASE_ENDED_AFTER
        for upstream in evidence.crashed_before(before):
            if self._registered.is_registered(*upstream):
                evidence.disprove(upstream, before, now)
        return evidence.evaluate(now)

    def _collect(self, now: datetime.datetime) -> Effects:
        told: list[message.Message] = []
        if self.parts.due is not None and now >= self.parts.due:
            news = self.parts.collect(now)
            if news.crashes:
                told.append(messages.UpstreamsCrashed(crashes=news.crashes))
            if news.served:
                told.append(messages.PartsServed(parts=news.served))
        if self.requests.due is not None and now >= self.requests.due:
            news = self.requests.collect(now)
            if news.crashes:
                told.append(messages.RequestsCrashed(crashes=news.crashes))
            if news.served:
                told.append(messages.RequestsServed(requests=news.served))
        return [
            message.Send(address=address, message=event, urgent=True)
            for event in told
            for address in self._addresses
        ]

    @property
    def _has_quarantined(self) -> bool:
        return bool(self.parts.quarantined or self.requests.quarantined)

    @property
    def _addresses(self) -> list[str]:
        return sorted(peer.address for peer in self._peers.values())

    def _sync(self, now: datetime.datetime) -> Effects:
        """Repeat the evidence to one daemon each interval."""
        if not self._peers or not self._has_quarantined:
            return []
        if self._sync_at is not None and now < self._sync_at:
            return []
        self._sync_at = now + crash_evidence.SYNC_INTERVAL
        peer = self._rng.choice(sorted(self._peers))
        return self._send_evidence(self._peers[peer].address, now)

    def _send_evidence(self, address: str, now: datetime.datetime) -> Effects:
        told: list[message.Message] = []
        if parts := self.parts.evidence(now):
            told.append(messages.UpstreamsCrashed(crashes=parts))
        if requests := self.requests.evidence(now):
            told.append(messages.RequestsCrashed(crashes=requests))
        return [
            message.Send(address=address, message=event, urgent=True)
            for event in told
        ]
