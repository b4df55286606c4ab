"""Rollouts that operators order by call, on the control hosts."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import logging
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.consensus import authority
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.scaling import messages as scaling_messages
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import rollout_decisions
from fulmarbarrow.versions import rollout_evidence

log = logging.getLogger(__name__)

MAX_STEPS = 1000  # beyond it, steps of moves that are gone are deleted
MAX_WAITING = 256  # orders and reads of callers
# Callers get an answer within 5 s. What is not committed by then is refused.
ORDER_TIMEOUT = datetime.timedelta(seconds=4)
# Callers of reads try another daemon after one second.
READ_TIMEOUT = datetime.timedelta(milliseconds=800)
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=1)
STOP_RESEND_INTERVAL = datetime.timedelta(seconds=1)
TELL_INTERVAL = datetime.timedelta(seconds=1)
# Pushes are repeated, as a push may be lost and a new leader has sent none.
PUSH_INTERVAL = datetime.timedelta(seconds=1)
ENDED_PUSH_INTERVAL = datetime.timedelta(seconds=10)
ENDED_AFTER = datetime.timedelta(seconds=60)  # since the final step
CONTROL_ROLE = "control"
ROUTER_ROLE = "router"
NO_QUORUM = "no_quorum"
NOT_CURRENT = "not_current"

_COMMANDS = msgspec.msgpack.Decoder(
    messages.RolloutStep | messages.RolloutRead
)
_State = messages.RolloutState
_ORDER = tuple(_State)
_ANSWERS = {
    _State.COMPLETED: "completed",
    _State.ROLLED_BACK: "rolled_back",
}
IN_PROGRESS = "in_progress"


class StepStore:
    """The replicated state: the last step of each rollout.

    A step is applied only if its state follows the committed one, so that the
    proposals of two leaders never undo each other.
    """

    def __init__(self) -> None:
        self._steps: dict[str, messages.RolloutStep] = {}

    def get(self, move_id: str) -> messages.RolloutStep | None:
        """Return the last step of a rollout."""
        return self._steps.get(move_id)

    def apply(
        self, step: messages.RolloutStep, kept: typing.Container[str] | None
    ) -> bool:
        """Apply a committed step; return whether it is valid.

        Steps of the moves in ``kept`` are never deleted: a completed rollout
        without its step would begin again and be rolled back. With None, as
        long as the moves are not known, no step is deleted.
        """
        known = self._steps.get(step.move_id)
        if known is not None and (
            known.state in rollout_decisions.FINAL
            or _ORDER.index(step.state) <= _ORDER.index(known.state)
        ):
            return False
        self._steps.pop(step.move_id, None)
        self._steps[step.move_id] = step
        if kept is not None and len(self._steps) > MAX_STEPS:
            # The moves of the newest steps may not be known here yet.
            oldest = list(self._steps)[: len(self._steps) - MAX_STEPS]
            for move_id in oldest:
                if move_id not in kept:
                    del self._steps[move_id]
        return True

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return msgspec.msgpack.encode(list(self._steps.values()))

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        # A snapshot by a host without this state machine has no state of it.
        steps: list[messages.RolloutStep] = []
        if data:
            steps = msgspec.msgpack.decode(
                data, type=list[messages.RolloutStep]
            )
        self._steps = {step.move_id: step for step in steps}


@dataclasses.dataclass(kw_only=True)
class _Read:
    """A caller's read; ``revision`` is the leader's once it is known."""

    service: str
    until: datetime.datetime
    order: messages.RolloutOrdered | None = None
    revision: int | None = None


class RolloutControl:
    """Takes orders, decides on rollouts as leader and answers reads.

    Every control host collects the evidence, so that a new leader continues
    with what the former one knew.
    """

    handles = (
        messages.RolloutOrdered,
        messages.RolloutRequested,
        messages.RolloutEvidence,
        messages.RolloutStopped,
        messages.RolloutsRequest,
        messages.RolloutRemaining,
        publishing_messages.AmendResult,
        publishing_messages.ConfigurationChanged,
        publishing_messages.StatusResponse,
        consensus_messages.Applied,
        consensus_messages.LeaderChanged,
        consensus_messages.ProposeResult,
        consensus_messages.SnapshotWanted,
        consensus_messages.SnapshotRestored,
        membership_messages.UpstreamChanged,
        membership_messages.UpstreamGone,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        group: consensus_messages.Group,
        settings: defaults.RolloutsSection,
    ) -> None:
        self._daemon = daemon
        self._group = group
        self._settings = settings
        self._leader: consensus_messages.LeaderChanged | None = None
        self._steps = StepStore()
        self._bundle = bundles.Bundle()
        self._revision = 0
        self._moves: dict[str, bundles.VersionMove] = {}
        self._moving: set[str] = set()
        self._newest: dict[str, bundles.VersionMove] = {}
        self._evidence: dict[str, rollout_evidence.RolloutEvidence] = {}
        self._faults: dict[str, str] = {}
        self._deadlines: dict[str, datetime.datetime] = {}
        self._told_at: datetime.datetime | None = None
        self._upstreams: dict[str, membership_messages.Upstream] = {}
        self._daemons: dict[str, membership_messages.Daemon] = {
            daemon.daemon_id: daemon
        }
        self._ordered: dict[str, datetime.datetime] = {}
        self._reads: dict[str, _Read] = {}
        self._proposed_at: dict[str, datetime.datetime] = {}
        self._pushed_at: dict[str, datetime.datetime] = {}
        self._stops_sent_at: datetime.datetime | None = None
        self._count = 0

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        match event:
            case messages.RolloutEvidence():
                return self._add_evidence(event, now)
            case messages.RolloutStopped():
                return self._stop(event.move_id, event.reason, now)
            case messages.RolloutsRequest():
                return self._answer_router(event, now)
            case messages.RolloutRemaining():
                self._set_deadline(event.move_id, now + event.remaining)
            case message.Tick():
                return self._tick(now)
            case consensus_messages.LeaderChanged(group=self._group):
                if self._leader is None or self._leader.term != event.term:
                    self._proposed_at.clear()
                    self._pushed_at.clear()
                self._leader = event
            case publishing_messages.ConfigurationChanged():
                return self._configure(event, now)
            case (
                consensus_messages.Applied()
                | consensus_messages.SnapshotWanted()
                | consensus_messages.SnapshotRestored()
            ):
                return self._on_log_event(event, now)
            case _:
                return [
                    *self._on_call(event, now),
                    *self._on_membership(event, now),
                ]
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return each rollout's state and evidence for debugging."""
        return {
            move_id: {
                "service": move.service,
                "old": move.old,
                "new": move.new,
                "deadline": move.deadline.isoformat(),
                "state": self._answer_of(move_id),
                "fault": self._faults.get(move_id, ""),
                **self._evidence_of(move_id).inputs(),
            }
            for move_id, move in self._moves.items()
        }

    # Orders and reads of callers.

    def _on_call(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        match event:
            case messages.RolloutOrdered():
                return self._order(event, now)
            case messages.RolloutRequested():
                read = _Read(service=event.service, until=now + READ_TIMEOUT)
                return self._begin_read(event.read_id, read)
            case publishing_messages.AmendResult():
                if self._ordered.pop(event.amend_id, None) is not None:
                    return [
                        messages.RolloutOrderResult(
                            order_id=event.amend_id, code=event.code
                        )
                    ]
            case publishing_messages.StatusResponse():
                return self._on_status(event, now)
            case consensus_messages.ProposeResult(group=self._group):
                return self._proposal_ended(event)
        return []

    def _order(
        self, event: messages.RolloutOrdered, now: datetime.datetime
    ) -> list[message.Message]:
        """Propose an order, or find out first whether its service is new."""
        seconds = event.duration
        findings = []
        if not event.target:
            findings.append("Target: must not be empty")
        if not datetime.timedelta() < seconds <= messages.MAX_ROLLOUT_DURATION:
            findings.append("DurationS: must be above 0 and at most 30 days")
        if findings:
            return [_refused(event.order_id, findings)]
        if self._knows(event.service):
            return self._propose_order(event, now, now + ORDER_TIMEOUT)
        # This host's configuration may be outdated.
        read = _Read(
            service=event.service, until=now + ORDER_TIMEOUT, order=event
        )
        return self._begin_read(event.order_id, read)

    def _knows(self, service: str) -> bool:
        return any(item.name == service for item in self._bundle.service)

    def _propose_order(
        self,
        event: messages.RolloutOrdered,
        now: datetime.datetime,
        until: datetime.datetime,
    ) -> list[message.Message]:
        if len(self._ordered) >= MAX_WAITING:
            return [
                messages.RolloutOrderResult(
                    order_id=event.order_id, code=NO_QUORUM
                )
            ]
        self._ordered[event.order_id] = until
        last = self._newest.get(event.service)
        ended = last is not None and self._answer_of(last.id) != IN_PROGRESS
        return [
            publishing_messages.AmendRequested(
                amend_id=event.order_id,
                amendment=amendments.StartRollout(
                    service=event.service,
                    target=event.target,
                    old=self._old_version(event.service, event.target),
                    ordered_at=now,
                    deadline=now + event.duration,
                    share=self._settings.share,
                    ended=last.id if last is not None and ended else "",
                ),
                until=until,
            )
        ]

    def _old_version(self, service: str, target: str) -> str:
        """Return the version that a service moves from, "" if unknown.

        While a rollout is in progress, both of its versions serve. An order
        for its old version takes it back. The old version of a rollout that
        is over may be outdated.
        """
        move = self._newest.get(service)
        state = self._answer_of(move.id) if move is not None else ""
        versions = collections.Counter(
            offer.version
            for upstream in self._serving(service)
            for offer in upstream.offers
            if offer.service == service
        )
        if move is not None and state == IN_PROGRESS and versions[move.old]:
            return move.old
        completed = state == _ANSWERS[_State.COMPLETED]
        if move is not None and completed and versions[move.new]:
            return move.new
        # A version that serves alone is moved to itself.
        if len(versions) > 1:
            del versions[target]
        rolled_back = state == _ANSWERS[_State.ROLLED_BACK]
        if move is not None and rolled_back and len(versions) > 1:
            del versions[move.new]
        found = versions.most_common(1)
        return found[0][0] if found else ""

    def _serving(self, service: str) -> list[membership_messages.Upstream]:
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.state is membership_messages.UpstreamState.SERVING
            and any(offer.service == service for offer in upstream.offers)
        ]

    def _begin_read(self, read_id: str, read: _Read) -> list[message.Message]:
        """Commit a read, which puts it after everything accepted before."""
        if len(self._reads) >= MAX_WAITING:
            return self._reject(read_id, read)
        self._reads[read_id] = read
        return [
            consensus_messages.Propose(
                proposal_id=read_id,
                group=self._group,
                command=msgspec.msgpack.encode(
                    messages.RolloutRead(read_id=read_id)
                ),
                machine=messages.ROLLOUTS_MACHINE,
            )
        ]

    def _on_status(
        self, event: publishing_messages.StatusResponse, now: datetime.datetime
    ) -> list[message.Message]:
        read = self._reads.get(event.status_id)
        if read is None:
            return []
        if not event.status.current:
            return self._reject(event.status_id, read)
        read.revision = event.status.revision
        return self._answer_reads(now)

    def _answer_reads(self, now: datetime.datetime) -> list[message.Message]:
        """Answer the reads whose configuration is in force here."""
        effects: list[message.Message] = []
        for read_id, read in list(self._reads.items()):
            if read.revision is None or read.revision > self._revision:
                continue
            del self._reads[read_id]
            if read.order is None:
                effects.append(self._response(read_id, read.service))
            elif self._knows(read.service):
                effects.extend(
                    self._propose_order(read.order, now, read.until)
                )
            else:
                finding = f"Service: no service is named {read.service!r}"
                effects.append(_refused(read_id, [finding]))
        return effects

    def _response(self, read_id: str, service: str) -> message.Message:
        move = self._newest.get(service)
        if move is None:
            return messages.RolloutResponse(read_id=read_id)
        return messages.RolloutResponse(
            read_id=read_id,
            state=self._answer_of(move.id),
            target=move.new,
        )

    def _answer_of(self, move_id: str) -> str:
        step = self._steps.get(move_id)
        return _ANSWERS.get(step.state, IN_PROGRESS) if step else IN_PROGRESS

    def _reject(self, read_id: str, read: _Read) -> list[message.Message]:
        self._reads.pop(read_id, None)
        if read.order is not None:
            return [
                messages.RolloutOrderResult(order_id=read_id, code=NO_QUORUM)
            ]
        return [messages.RolloutResponse(read_id=read_id, code=NOT_CURRENT)]

    def _proposal_ended(
        self, event: consensus_messages.ProposeResult
    ) -> list[message.Message]:
        read = self._reads.get(event.proposal_id)
        if read is not None and not event.committed:
            return self._reject(event.proposal_id, read)
        move_id, _, _ = event.proposal_id.partition("/")
        if not event.committed and move_id in self._moves:
            self._proposed_at.pop(move_id, None)
        return []

    # The replicated state.

    def _on_log_event(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        machine = messages.ROLLOUTS_MACHINE
        match event:
            case consensus_messages.Applied(
                group=self._group, machine=messages.ROLLOUTS_MACHINE
            ):
                command = _COMMANDS.decode(event.command)
                if isinstance(command, messages.RolloutRead):
                    if command.read_id not in self._reads:
                        return []
                    return [
                        publishing_messages.StatusRequested(
                            status_id=command.read_id
                        )
                    ]
                return self._applied(command, now)
            case consensus_messages.SnapshotWanted(group=self._group):
                return [
                    consensus_messages.SnapshotTaken(
                        group=self._group,
                        index=event.index,
                        state=self._steps.snapshot(),
                        machine=machine,
                    )
                ]
            case consensus_messages.SnapshotRestored(
                group=self._group, machine=messages.ROLLOUTS_MACHINE
            ):
                self._steps.restore(event.state)
        return []

    def _applied(
        self, step: messages.RolloutStep, now: datetime.datetime
    ) -> list[message.Message]:
        self._proposed_at.pop(step.move_id, None)
        if not self._steps.apply(
            step, self._moves if self._revision else None
        ):
            return []
        move = self._moves.get(step.move_id)
        log.info(
            "rollout entered state",
            extra={
                "move": step.move_id,
                "service": move.service if move else None,
                "target": move.new if move else None,
                "state": step.state.value,
                "reason": step.reason,
                "leads": self._leads(now),
                **self._evidence_of(step.move_id).inputs(),
            },
        )
        if step.state in rollout_decisions.FINAL:
            self._faults.pop(step.move_id, None)
        own = messages.RolloutPush(
            move_id=step.move_id,
            state=step.state,
            incarnation=self._daemon.incarnation,
            term=self._leader.term if self._leader else 0,
        )
        return [
            own,
            *self._push(step.move_id, now),
            *self._tell_scaling(),
        ]

    # The leader's decisions.

    def _leads(self, now: datetime.datetime) -> bool:
        return authority.has_lease(self._leader, self._daemon.daemon_id, now)

    def _configure(
        self,
        event: publishing_messages.ConfigurationChanged,
        now: datetime.datetime,
    ) -> list[message.Message]:
        earlier = None if not self._revision else set(self._moves)
        self._bundle = event.bundle
        self._revision = event.revision
        self._moves = {
            move.id: move
            for move in sorted(
                event.bundle.version_move, key=lambda item: item.id
            )
            if amendments.is_rollout(move)
        }
        self._newest = {move.service: move for move in self._moves.values()}
        if earlier is not None:
            for move_id in set(self._moves) - earlier:
                duration = amendments.rollout_duration(self._moves[move_id])
                self._set_deadline(move_id, now + duration)
        for table in (
            self._evidence,
            self._faults,
            self._proposed_at,
            self._pushed_at,
            self._deadlines,
        ):
            for move_id in set(table) - set(self._moves):
                del table[move_id]
        return [
            *self._answer_reads(now),
            *self._advance_all(now),
            *self._tell_scaling(),
        ]

    def _tell_scaling(self) -> list[message.Message]:
        """Tell for which services a rollout is in progress, if it changed."""
        moving = {
            move.service
            for move_id, move in self._moves.items()
            if self._answer_of(move_id) == IN_PROGRESS
        }
        changed = moving ^ self._moving
        self._moving = moving
        return [
            scaling_messages.RolloutChanged(
                service=service, in_progress=service in moving
            )
            for service in sorted(changed)
        ]

    def _set_deadline(self, move_id: str, at: datetime.datetime) -> None:
        """Keep the earliest deadline by this host's own clock.

        A host that learns of an order as it is given counts its duration from
        then on; the leader tells the others what is left of it.
        """
        if move_id in self._moves:
            known = self._deadlines.get(move_id, at)
            self._deadlines[move_id] = min(known, at)

    def _tell_remaining(self, now: datetime.datetime) -> list[message.Message]:
        if self._told_at is not None and now < self._told_at + TELL_INTERVAL:
            return []
        self._told_at = now
        return [
            message.Send(
                address=daemon.address,
                message=messages.RolloutRemaining(
                    move_id=move_id,
                    remaining=self._deadline(move) - now,
                ),
            )
            for move_id, move in self._moves.items()
            if self._answer_of(move_id) == IN_PROGRESS
            for daemon in self._daemons.values()
            if CONTROL_ROLE in daemon.roles
            and daemon.daemon_id != self._daemon.daemon_id
        ]

    def _deadline(self, move: bundles.VersionMove) -> datetime.datetime:
        return self._deadlines.get(move.id, move.deadline)

    def _evidence_of(self, move_id: str) -> rollout_evidence.RolloutEvidence:
        evidence = self._evidence.get(move_id)
        if evidence is None:
            evidence = rollout_evidence.RolloutEvidence()
            if move_id in self._moves:
                self._evidence[move_id] = evidence
        return evidence

    def _add_evidence(
        self, event: messages.RolloutEvidence, now: datetime.datetime
    ) -> list[message.Message]:
        if event.move_id not in self._moves:
            return []
        fault = self._evidence_of(event.move_id).add(event, now)
        return self._stop(event.move_id, fault, now) if fault else []

    def _stop(
        self, move_id: str, reason: str, now: datetime.datetime
    ) -> list[message.Message]:
        """Stop a faulty version on all routers, then roll it back.

        A host that does not lead keeps the fault in case that it will.
        """
        step = self._steps.get(move_id)
        if (
            move_id not in self._moves
            or move_id in self._faults
            or (step is not None and step.state in rollout_decisions.FINAL)
        ):
            return []
        self._faults[move_id] = reason
        if not self._leads(now):
            return []
        log.warning(
            "rollout stopped",
            extra={
                "move": move_id,
                "reason": reason,
                **self._evidence_of(move_id).inputs(),
            },
        )
        return [
            *self._send_stops((move_id,)),
            *self._advance(self._moves[move_id], now),
        ]

    def _send_stops(
        self, move_ids: typing.Iterable[str]
    ) -> list[message.Message]:
        return [
            message.Send(
                address=daemon.address,
                message=messages.RolloutStopped(
                    move_id=move_id, reason=self._faults[move_id]
                ),
                urgent=True,
            )
            for move_id in move_ids
            for daemon in self._routers()
        ]

    def _tick(self, now: datetime.datetime) -> list[message.Message]:
        effects: list[message.Message] = []
        for read_id, read in list(self._reads.items()):
            if read.until <= now:
                effects.extend(self._reject(read_id, read))
        for order_id, until in list(self._ordered.items()):
            if until <= now:
                del self._ordered[order_id]
                effects.append(
                    publishing_messages.AmendAbandoned(amend_id=order_id)
                )
                effects.append(
                    messages.RolloutOrderResult(
                        order_id=order_id, code=NO_QUORUM
                    )
                )
        effects.extend(self._advance_all(now))
        for move_id in self._moves:
            if self._push_due(move_id, now):
                effects.extend(self._push(move_id, now))
        if (
            self._faults
            and self._leads(now)
            and (
                self._stops_sent_at is None
                or now >= self._stops_sent_at + STOP_RESEND_INTERVAL
            )
        ):
            self._stops_sent_at = now
            effects.extend(self._send_stops(tuple(self._faults)))
        return effects

    def _advance_all(self, now: datetime.datetime) -> list[message.Message]:
        if not self._moves or not self._leads(now):
            return []
        steps = [
            effect
            for move in self._moves.values()
            for effect in self._advance(move, now)
        ]
        return [*steps, *self._tell_remaining(now)]

    def _advance(
        self, move: bundles.VersionMove, now: datetime.datetime
    ) -> list[message.Message]:
        """Propose the next step of a rollout if it is due."""
        committed = self._steps.get(move.id)
        if (
            committed is not None
            and committed.state in rollout_decisions.FINAL
        ):
            return []
        proposed_at = self._proposed_at.get(move.id)
        if proposed_at is not None and now < proposed_at + PROPOSAL_TIMEOUT:
            return []
        step = rollout_decisions.next_step(
            self._situation(move, committed, now), now
        )
        if step is None:
            return []
        self._proposed_at[move.id] = now
        self._count += 1
        return [
            consensus_messages.Propose(
                proposal_id=f"{move.id}/{self._daemon.incarnation}"
                f"/{self._count}",
                group=self._group,
                command=msgspec.msgpack.encode(step),
                machine=messages.ROLLOUTS_MACHINE,
            )
        ]

    def _situation(
        self,
        move: bundles.VersionMove,
        committed: messages.RolloutStep | None,
        now: datetime.datetime,
    ) -> rollout_decisions.Situation:
        serving = self._serving(move.service)
        new = sum(
            any(
                offer.service == move.service and offer.version == move.new
                for offer in upstream.offers
            )
            for upstream in serving
        )
        newest = self._newest[move.service]
        return rollout_decisions.Situation(
            move=dataclasses.replace(move, deadline=self._deadline(move)),
            state=committed.state if committed else None,
            since=committed.at if committed else now,
            evidence=self._evidence_of(move.id),
            fault=self._faults.get(move.id, ""),
            superseded=newest.new if newest.id != move.id else "",
            serving=new,
            others=len(serving) - new,
            routers=frozenset(
                daemon.daemon_id
                for daemon in self._daemons.values()
                if ROUTER_ROLE in daemon.roles
            ),
        )

    # Routers.

    def _routers(self) -> list[membership_messages.Daemon]:
        return [
            daemon
            for daemon in self._daemons.values()
            if ROUTER_ROLE in daemon.roles
            and daemon.daemon_id != self._daemon.daemon_id
        ]

    def _push_due(self, move_id: str, now: datetime.datetime) -> bool:
        step = self._steps.get(move_id)
        pushed_at = self._pushed_at.get(move_id)
        if step is None or pushed_at is None:
            return step is not None
        ended = step.state in rollout_decisions.FINAL
        long_ago = ended and now >= step.at + ENDED_AFTER
        interval = ENDED_PUSH_INTERVAL if long_ago else PUSH_INTERVAL
        return now >= pushed_at + interval

    def _push(
        self, move_id: str, now: datetime.datetime
    ) -> list[message.Message]:
        """Send a committed state to all routers, as leader."""
        step = self._steps.get(move_id)
        if step is None or not self._leads(now):
            return []
        self._pushed_at[move_id] = now
        return [
            message.Send(
                address=daemon.address,
                message=messages.RolloutPush(
                    move_id=move_id,
                    state=step.state,
                    incarnation=daemon.incarnation,
                    term=self._leader.term if self._leader else 0,
                ),
                urgent=True,
            )
            for daemon in self._routers()
        ]

    def _answer_router(
        self, event: messages.RolloutsRequest, now: datetime.datetime
    ) -> list[message.Message]:
        """Tell a router the states; those that may change only as leader."""
        effects: list[message.Message] = []
        term = self._leader.term if self._leader and self._leads(now) else 0
        for move_id in event.move_ids:
            step = self._steps.get(move_id)
            if step is None:
                continue
            if term or step.state in rollout_decisions.FINAL:
                push = messages.RolloutPush(
                    move_id=move_id,
                    state=step.state,
                    incarnation=event.incarnation,
                    term=term,
                )
                effects.append(
                    message.Send(address=event.reply_to, message=push)
                )
        return effects

    def _on_membership(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        match event:
            case membership_messages.UpstreamChanged():
                self._upstreams[event.upstream.upstream_id] = event.upstream
            case membership_messages.UpstreamGone():
                self._upstreams.pop(event.upstream_id, None)
            case membership_messages.DaemonChanged():
                self._daemons[event.daemon.daemon_id] = event.daemon
            case membership_messages.DaemonGone():
                self._daemons.pop(event.daemon_id, None)
        return []


def _refused(order_id: str, findings: list[str]) -> message.Message:
    return messages.RolloutOrderResult(
        order_id=order_id, code="refused", findings=tuple(findings)
    )
