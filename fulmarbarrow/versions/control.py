"""Controls version moves on the control hosts."""

from __future__ import annotations

import datetime
import logging
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import authority
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import plain
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import decisions
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import state

log = logging.getLogger(__name__)

_STEP_DECODER = msgspec.msgpack.Decoder(messages.MoveStep)

PUSH_INTERVAL = datetime.timedelta(seconds=10)
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=5)
ROUTER_ROLE = "router"


class VersionsControl:
    """Proposes steps, distributes shares and gives orders to engines.

    Its inputs are the evidence of routers and the offers of engines. Every
    control host stores the committed steps. Only the leader of the
    replicated log makes decisions, and each one is committed as a step
    before it takes effect.
    """

    handles = (
        publishing_messages.ConfigurationChanged,
        consensus_messages.Applied,
        consensus_messages.LeaderChanged,
        consensus_messages.ProposeResult,
        consensus_messages.SnapshotWanted,
        consensus_messages.SnapshotRestored,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        messages.VersionEvidence,
        messages.VersionStopped,
        messages.SharesRequest,
        messages.OrderResult,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        group: consensus_messages.Group,
    ) -> None:
        self._daemon = daemon
        self._group = group
        self._leader: consensus_messages.LeaderChanged | None = None
        self._steps = state.StepStore()
        self._records: dict[str, state.MoveRecord] = {}
        self._upstreams: dict[str, membership_messages.Upstream] = {}
        self._daemons: dict[str, membership_messages.Daemon] = {
            daemon.daemon_id: daemon
        }
        self._decider = decisions.Decider()
        self._proposed_at: dict[str, datetime.datetime] = {}
        self._proposal_count = 0
        self._next_push_at: datetime.datetime | None = None

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        match event:
            case messages.VersionEvidence():
                return self._add_evidence(event, now)
            case messages.VersionStopped():
                return self._stop_version(event.move_id, event.reason, now)
            case messages.SharesRequest():
                return self._answer_request(event, now)
            case messages.OrderResult():
                self._decider.orders.on_result(event)
            case consensus_messages.ProposeResult(group=self._group):
                self._on_proposal_ended(event)
            case consensus_messages.LeaderChanged(group=self._group):
                self._on_leader_changed(event, now)
            case publishing_messages.ConfigurationChanged():
                self._configure(event.bundle, now)
            case message.Tick():
                return self._on_tick(now)
            case _:
                return [
                    *self._on_log_event(event, now),
                    *self._on_membership(event, now),
                ]
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return each move's phase, share and evidence for debugging."""
        return {
            "leader": self._leader.leader if self._leader else "",
            "moves": {
                move_id: {
                    **plain.plain(record),
                    "evidence": self._decider.evidence(move_id).max_evidence,
                }
                for move_id, record in self._records.items()
            },
            "orders": self._decider.orders.dump(),
        }

    def _is_leader(self, now: datetime.datetime) -> bool:
        """Whether this host is the leader and its lease is valid."""
        return authority.has_lease(self._leader, self._daemon.daemon_id, now)

    def _term(self, now: datetime.datetime) -> int:
        """The term in which this host leads, 0 if it does not."""
        leads = self._leader is not None and self._is_leader(now)
        return self._leader.term if leads else 0

    def _on_log_event(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle an event of the replicated state machine."""
        match event:
            case consensus_messages.Applied(
                group=self._group, machine=messages.MACHINE
            ):
                return self._on_applied(event, now)
            case consensus_messages.SnapshotWanted(group=self._group):
                return [
                    consensus_messages.SnapshotTaken(
                        group=self._group,
                        index=event.index,
                        state=self._steps.snapshot(),
                        machine=messages.MACHINE,
                    )
                ]
            case consensus_messages.SnapshotRestored(
                group=self._group, machine=messages.MACHINE
            ):
                self._steps.restore(event.state)
                self._records = {
                    move_id: self._record(record.move, record.since)
                    for move_id, record in self._records.items()
                }
        return []

    def _on_membership(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        match event:
            case membership_messages.UpstreamChanged():
                self._upstreams[event.upstream.upstream_id] = event.upstream
                self._decider.orders.on_announced(event.upstream, now)
            case membership_messages.UpstreamGone():
                self._upstreams.pop(event.upstream_id, None)
            case membership_messages.DaemonChanged():
                self._daemons[event.daemon.daemon_id] = event.daemon
                if self._is_leader(now):
                    return self._push_all_to(event.daemon, now)
            case membership_messages.DaemonGone():
                self._daemons.pop(event.daemon_id, None)
        return []

    def _on_leader_changed(
        self, event: consensus_messages.LeaderChanged, now: datetime.datetime
    ) -> None:
        """Record the leader and reset the leader's unreplicated state."""
        before = self._leader
        self._leader = event
        if before is not None and before.term == event.term:
            return
        self._decider.start_term(fencing_number=event.fencing_number, now=now)
        self._proposed_at.clear()

    def _configure(
        self, bundle: bundles.Bundle, now: datetime.datetime
    ) -> None:
        """Replace the moves with those of a new configuration."""
        self._records = {
            move.id: self._record(move, now)
            for move in bundle.version_move
            if move.kind is not bundles.MoveKind.SOFTWARE
        }

    def _record(
        self, move: bundles.VersionMove, now: datetime.datetime
    ) -> state.MoveRecord:
        """Return a move with its last committed step, if any."""
        committed = self._steps.get(move.id)
        if committed is None:
            return state.MoveRecord(
                move=move,
                phase=messages.Phase.LOADING,
                share=0.0,
                since=now,
            )
        return state.MoveRecord(
            move=move,
            phase=committed.step.phase,
            share=committed.step.share,
            since=committed.since,
            reason=committed.step.reason,
            sequence=committed.index,
        )

    def _add_evidence(
        self, event: messages.VersionEvidence, now: datetime.datetime
    ) -> list[message.Message]:
        """Add a router's evidence to that of the fleet."""
        if event.move_id not in self._records:
            return []
        fault = self._decider.evidence(event.move_id).add(event.routes)
        if not fault:
            return []
        return self._stop_version(event.move_id, fault, now)

    def _stop_version(
        self, move_id: str, reason: str, now: datetime.datetime
    ) -> list[message.Message]:
        """Stop a faulty version on all routers, then roll the move back."""
        record = self._records.get(move_id)
        if (
            record is None
            or not self._is_leader(now)
            or move_id in self._decider.faults
        ):
            return []
        self._decider.faults[move_id] = reason
        stopped = messages.VersionStopped(move_id=move_id, reason=reason)
        sends: list[message.Message] = [
            message.Send(address=daemon.address, message=stopped, urgent=True)
            for daemon in self._routers()
        ]
        return [stopped, *sends, *self._advance(record, now)]

    def _routers(self) -> list[membership_messages.Daemon]:
        return [
            daemon
            for daemon in self._daemons.values()
            if ROUTER_ROLE in daemon.roles
            and daemon.daemon_id != self._daemon.daemon_id
        ]

    def _on_tick(self, now: datetime.datetime) -> list[message.Message]:
        if not self._is_leader(now):
            return []
        effects: list[message.Message] = []
        for record in list(self._records.values()):
            effects.extend(self._advance(record, now))
            effects.extend(self._decider.load(record, self._upstreams, now))
        if self._next_push_at is None or now >= self._next_push_at:
            self._next_push_at = now + PUSH_INTERVAL
            for daemon in self._routers():
                effects.extend(self._push_all_to(daemon, now))
        return effects

    def _advance(
        self, record: state.MoveRecord, now: datetime.datetime
    ) -> list[message.Message]:
        """Propose the next step of a move if it is due."""
        proposed_at = self._proposed_at.get(record.move.id)
        if proposed_at is not None and now < proposed_at + PROPOSAL_TIMEOUT:
            return []
        step = self._decider.next_step(record, self._upstreams, now)
        return [self._propose(step, now)] if step else []

    def _propose(
        self, step: messages.MoveStep, now: datetime.datetime
    ) -> message.Message:
        self._proposed_at[step.move_id] = now
        self._proposal_count += 1
        return consensus_messages.Propose(
            proposal_id=f"{step.move_id}/{self._daemon.incarnation}"
            f"/{self._proposal_count}",
            group=self._group,
            command=msgspec.msgpack.encode(step),
            machine=messages.MACHINE,
        )

    def _on_proposal_ended(
        self, event: consensus_messages.ProposeResult
    ) -> None:
        self._proposed_at.pop(event.proposal_id.partition("/")[0], None)

    def _on_applied(
        self, event: consensus_messages.Applied, now: datetime.datetime
    ) -> list[message.Message]:
        """Apply a committed step."""
        step = _STEP_DECODER.decode(event.command)
        self._steps.apply(step, event.index)
        before = self._records.get(step.move_id)
        if before is None:
            return []
        record = self._record(before.move, step.at)
        self._records[step.move_id] = record
        if step.phase is not before.phase:
            log.info(
                "version move %s entered phase %s with share %.3f %s",
                step.move_id,
                step.phase.value,
                step.share,
                step.reason,
            )
        return [
            messages.MoveChanged(step=step),
            *self._push_share(record, now),
        ]

    def _push_share(
        self, record: state.MoveRecord, now: datetime.datetime
    ) -> list[message.Message]:
        """Apply a move's share here; as leader, send it to all routers."""
        term = self._term(now)
        effects: list[message.Message] = [
            _shares_push(record, self._daemon.incarnation, term)
        ]
        if term:
            effects.extend(
                message.Send(
                    address=daemon.address,
                    message=_shares_push(record, daemon.incarnation, term),
                )
                for daemon in self._routers()
            )
        return effects

    def _answer_request(
        self, event: messages.SharesRequest, now: datetime.datetime
    ) -> list[message.Message]:
        """Send a router that has started the leader's shares and stops."""
        if not self._is_leader(now):
            return []
        return self._push_all(event.reply_to, event.incarnation, now)

    def _push_all_to(
        self, daemon: membership_messages.Daemon, now: datetime.datetime
    ) -> list[message.Message]:
        """Send one router all stops, then the shares of all moves."""
        if daemon.daemon_id == self._daemon.daemon_id:
            return []
        return self._push_all(daemon.address, daemon.incarnation, now)

    def _push_all(
        self, address: str, incarnation: int, now: datetime.datetime
    ) -> list[message.Message]:
        term = self._term(now)
        items: list[message.Message] = [
            messages.VersionStopped(move_id=move_id, reason=reason)
            for move_id, reason in self._decider.faults.items()
            if move_id in self._records
        ]
        items.extend(
            _shares_push(record, incarnation, term)
            for record in self._records.values()
            if record.sequence
        )
        return [message.Send(address=address, message=item) for item in items]


def _shares_push(
    record: state.MoveRecord, incarnation: int, term: int
) -> messages.SharesPush:
    return messages.SharesPush(
        move_id=record.move.id,
        sequence=record.sequence,
        share=record.share,
        incarnation=incarnation,
        term=term,
    )
