"""SWIM-style failure detection: probes, suspicion and refutation."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import itertools
import random

import msgspec

from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import records

PROBE_PERIOD = datetime.timedelta(seconds=1)
INDIRECT_PROBE_DELAY = datetime.timedelta(milliseconds=400)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=1_000)
SUSPICION_TIMEOUT = datetime.timedelta(seconds=3)
FINAL_PROBE_LEAD = datetime.timedelta(seconds=1)  # before a suspicion expires
INDIRECT_PROBERS = 3
# A longer gap between two ticks means that this process was paused.
PAUSE_THRESHOLD = datetime.timedelta(milliseconds=1_500)
RELAY_RETENTION = datetime.timedelta(seconds=2)

StateChanged = collections.abc.Callable[
    [messages.Daemon, datetime.datetime], None
]


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingProbe:
    """A probe that has not been acknowledged yet."""

    daemon_id: str
    incarnation: int
    sent_at: datetime.datetime
    indirect: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _RelayedProbe:
    """A probe on behalf of another daemon, to which the ack is relayed."""

    address: str
    nonce: int
    sent_at: datetime.datetime


class FailureDetector:
    """Probes one daemon of the region per period, round robin in random order.

    If a probe is not acknowledged, a few other daemons are asked to probe the
    target as well. If that fails too, the target is suspected, and declared
    dead unless it refutes the suspicion in time. Any acknowledgement counts
    as proof of life. After a pause of this process its open probes are
    dropped, since the acknowledgements may have been missed.
    """

    def __init__(
        self,
        *,
        daemon_table: daemons.DaemonTable,
        index: records.RecordIndex,
        outbox: outboxes.Outbox,
        rng: random.Random,
        state_changed: StateChanged,
    ) -> None:
        self._daemon_table = daemon_table
        self._index = index
        self._outbox = outbox
        self._rng = rng
        self._state_changed = state_changed
        self._nonces = itertools.count(1)
        self._probe_queue: list[str] = []
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._next_probe: datetime.datetime | None = None
        self._last_tick: datetime.datetime | None = None

    def tick(self, now: datetime.datetime) -> None:
        """Handle probe timeouts and send the next probe."""
        paused = self._last_tick and now - self._last_tick > PAUSE_THRESHOLD
        self._last_tick = now
        if paused:
            self._pending_probes.clear()
        self._check_timeouts(now)
        self._check_suspicions(now)
        for nonce, relayed in list(self._relayed_probes.items()):
            if now - relayed.sent_at > RELAY_RETENTION:
                del self._relayed_probes[nonce]
        if self._next_probe is None:
            offset = self._rng.random() * PROBE_PERIOD
            self._next_probe = now + offset
        if now >= self._next_probe:
            self._next_probe = max(self._next_probe + PROBE_PERIOD, now)
            self._probe_next(now)

    def handle_probe(self, event: messages.Probe) -> None:
        """Acknowledge a probe."""
        own = self._daemon_table.own
        self._outbox.send(
            event.reply_to,
            messages.ProbeAck(
                daemon_id=own.daemon_id,
                reply_to=own.address,
                incarnation=own.incarnation,
                nonce=event.nonce,
                digest=self._index.root_digest,
                view=self._daemon_table.zone_view(),
            ),
        )

    def handle_probe_request(
        self, event: messages.ProbeRequest, now: datetime.datetime
    ) -> None:
        """Probe a daemon on behalf of another one."""
        nonce = next(self._nonces)
        self._relayed_probes[nonce] = _RelayedProbe(
            address=event.reply_to, nonce=event.nonce, sent_at=now
        )
        self._send_probe(event.address, nonce)

    def handle_ack(
        self, event: messages.ProbeAck, now: datetime.datetime
    ) -> None:
        """Process an acknowledgement, or relay it to the requesting daemon."""
        relayed = self._relayed_probes.pop(event.nonce, None)
        if relayed is not None:
            ack = msgspec.structs.replace(event, nonce=relayed.nonce)
            self._outbox.send(relayed.address, ack)
            return
        probe = self._pending_probes.get(event.nonce)
        if probe is None or probe.daemon_id != event.daemon_id:
            return
        del self._pending_probes[event.nonce]
        known = self._daemon_table.get(event.daemon_id)
        if known is None or event.incarnation < known.daemon.incarnation:
            return
        known.last_seen_at = now
        known.zone_view = event.view
        self._daemon_table.last_answer_at = now

    def _check_timeouts(self, now: datetime.datetime) -> None:
        for nonce, probe in list(self._pending_probes.items()):
            elapsed = now - probe.sent_at
            if elapsed >= PROBE_TIMEOUT:
                del self._pending_probes[nonce]
                self._handle_failed_probe(probe, now)
            elif elapsed >= INDIRECT_PROBE_DELAY and not probe.indirect:
                probe.indirect = True
                self._request_indirect_probes(nonce, probe)

    def _handle_failed_probe(
        self, probe: _PendingProbe, now: datetime.datetime
    ) -> None:
        known = self._daemon_table.get(probe.daemon_id)
        if known is None or known.daemon.incarnation != probe.incarnation:
            return
        if known.last_seen_at > probe.sent_at:
            return
        if known.daemon.state is messages.DaemonState.ALIVE:
            self._report_state(known, messages.DaemonState.SUSPECT, now)
        elif known.daemon.state is messages.DaemonState.LEAVING:
            self._report_state(known, messages.DaemonState.DEAD, now)

    def _check_suspicions(self, now: datetime.datetime) -> None:
        """Declare suspects dead that neither refute nor answer a last probe.

        If a suspect has acknowledged a probe meanwhile, the suspicion period
        starts again.
        """
        for known in self._daemon_table.peers():
            if known.daemon.state is not messages.DaemonState.SUSPECT:
                continue
            elapsed = now - known.changed_at
            if (
                elapsed >= SUSPICION_TIMEOUT
                and known.last_seen_at > known.changed_at
            ):
                known.changed_at = now
                known.final_probe_sent = False
            elif elapsed >= SUSPICION_TIMEOUT:
                self._report_state(known, messages.DaemonState.DEAD, now)
            elif (
                elapsed >= SUSPICION_TIMEOUT - FINAL_PROBE_LEAD
                and not known.final_probe_sent
            ):
                known.final_probe_sent = True
                self._probe(known, now)

    def _report_state(
        self,
        known: daemons.KnownDaemon,
        state: messages.DaemonState,
        now: datetime.datetime,
    ) -> None:
        daemon = msgspec.structs.replace(known.daemon, state=state)
        self._state_changed(daemon, now)

    def _probe_next(self, now: datetime.datetime) -> None:
        known = self._next_target()
        if known is not None:
            self._probe(known, now)

    def _probe(
        self, known: daemons.KnownDaemon, now: datetime.datetime
    ) -> None:
        nonce = next(self._nonces)
        self._pending_probes[nonce] = _PendingProbe(
            daemon_id=known.daemon.daemon_id,
            incarnation=known.daemon.incarnation,
            sent_at=now,
        )
        self._send_probe(known.daemon.address, nonce)

    def _next_target(self) -> daemons.KnownDaemon | None:
        while self._probe_queue:
            known = self._daemon_table.get(self._probe_queue.pop())
            if known is not None and known.reachable:
                return known
        peers = self._daemon_table.peers()
        self._probe_queue = [known.daemon.daemon_id for known in peers]
        self._rng.shuffle(self._probe_queue)
        if not self._probe_queue:
            return None
        return self._daemon_table.get(self._probe_queue.pop())

    def _send_probe(self, address: str, nonce: int) -> None:
        own = self._daemon_table.own
        self._outbox.send(
            address,
            messages.Probe(
                daemon_id=own.daemon_id,
                reply_to=own.address,
                nonce=nonce,
                digest=self._index.root_digest,
                view=self._daemon_table.zone_view(),
            ),
        )

    def _request_indirect_probes(
        self, nonce: int, probe: _PendingProbe
    ) -> None:
        target = self._daemon_table.get(probe.daemon_id)
        if target is None:
            return
        peers = [
            known
            for known in self._daemon_table.peers()
            if known is not target
            and known.daemon.state is messages.DaemonState.ALIVE
        ]
        count = min(INDIRECT_PROBERS, len(peers))
        for prober in self._rng.sample(peers, count):
            self._outbox.send(
                prober.daemon.address,
                messages.ProbeRequest(
                    reply_to=self._daemon_table.own.address,
                    nonce=nonce,
                    address=target.daemon.address,
                ),
            )
