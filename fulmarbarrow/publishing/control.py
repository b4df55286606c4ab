"""Accepts revisions on control hosts and distributes them to all daemons."""

from __future__ import annotations

import dataclasses
import datetime
import functools
import logging
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import authority
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import documents
from fulmarbarrow.publishing import fanout
from fulmarbarrow.publishing import fetches
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing
from fulmarbarrow.publishing import state
from fulmarbarrow.publishing import status as status_module

log = logging.getLogger(__name__)

GROUP = consensus_messages.Group.CONFIGURATION
BUNDLE_INVALID = "bundle_invalid"
NO_QUORUM = "no_quorum"
OUTCOME_UNKNOWN = "outcome_unknown"
SUPERSEDED = "superseded"
MILLISECOND = datetime.timedelta(milliseconds=1)
# Suffix of the next proposal of an amendment whose base was outdated.
RETRY_SUFFIX = "+"

Command = state.PublishCommand | amendments.AmendCommand | state.ReviseCommand


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingAmendment:
    """An amendment that this host proposed and that has no result yet."""

    command: amendments.AmendCommand
    until: datetime.datetime | None

    @property
    def numbered(self) -> bool:
        """Whether a number of its own orders it among its like."""
        kind = amendments.ReplaceServices
        return isinstance(self.command.amendment, kind)


class PublishingControl:
    """Handles publish requests and pushes accepted revisions to daemons."""

    handles = (
        messages.PublishRequested,
        messages.AmendRequested,
        messages.AmendAbandoned,
        messages.DocumentRequested,
        messages.StatusResponse,
        messages.RevisionAck,
        messages.RevisionFetch,
        messages.StatusRequested,
        messages.StatusCall,
        messages.StatusReply,
        consensus_messages.Applied,
        consensus_messages.ProposeResult,
        consensus_messages.ReadReady,
        consensus_messages.Contacts,
        consensus_messages.LeaderChanged,
        consensus_messages.SnapshotWanted,
        consensus_messages.SnapshotRestored,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        message.Tick,
    )

    def __init__(
        self, *, daemon: membership_messages.Daemon, now: datetime.datetime
    ) -> None:
        self._daemon = daemon
        self._state = state.PublishedState()
        self._fanout = fanout.FanOut(daemon=daemon, now=now)
        self._packed_revision = packing.RevisionCache()
        self._pending_publishes: set[str] = set()
        self._pending_amendments: dict[str, _PendingAmendment] = {}
        self._leader: consensus_messages.LeaderChanged | None = None
        self._status = status_module.StatusService(
            daemon=daemon, describe=self._describe, now=now
        )
        self._documents = documents.DocumentReader(
            state=self._state, status=self._status
        )
        self._fetches = fetches.ConfirmedFetches(
            daemon=daemon,
            state=self._state,
            status=self._status,
            answer=self._answer_fetch,
        )

    @property
    def _is_leader(self) -> bool:
        """Whether this host leads, even if its lease has just ended."""
        return (
            self._leader is not None and self._leader.lease_until is not None
        )

    @property
    def _term(self) -> int:
        """The term of the last leader that is known, 0 for none."""
        return self._leader.term if self._leader else 0

    def _has_lease(self, now: datetime.datetime) -> bool:
        """Whether no other host can lead yet, so that this state is newest."""
        return authority.has_lease(self._leader, self._daemon.daemon_id, now)

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        if getattr(event, "group", GROUP) is not GROUP:
            return []
        return self._on(event, now) or []

    def dump(self) -> dict[str, typing.Any]:
        """Return the accepted revision for debugging."""
        return {
            "revision": self._state.revision,
            "number": self._state.number,
            "digest": self._state.digest,
            "publisher": self._state.publisher,
            "leads": self._is_leader,
        }

    def _describe(self, now: datetime.datetime) -> messages.Status:
        """Return the status from this host's state."""
        return messages.Status(
            answered_by=self._daemon.daemon_id,
            current=self._is_leader,
            leader=self._status.leader,
            revision=self._state.revision,
            digest=self._state.digest,
            publisher=self._state.publisher,
            zones=self._fanout.zone_statuses(self._state.revision, now),
            leaderless_since=self._status.leaderless_since,
            term=self._term,
        )

    @functools.singledispatchmethod
    def _on(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message] | None:
        """Handle an event according to its type."""

    @_on.register
    def _(
        self, event: messages.PublishRequested, now: datetime.datetime
    ) -> list[message.Message]:
        try:
            bundle = bundles.decode(event.bundle)
        except msgspec.DecodeError:
            return [self._rejected(event, BUNDLE_INVALID)]
        valid_digests = {
            deltas.digest(event.bundle),
            deltas.digest(bundles.encode(bundle)),
        }
        if event.digest not in valid_digests:
            return [self._rejected(event, BUNDLE_INVALID)]
        self._pending_publishes.add(event.publish_id)
        command = self._state.to_publish_command(event, bundle)
        return [
            consensus_messages.Propose(
                proposal_id=event.publish_id,
                group=GROUP,
                command=msgspec.msgpack.encode(command),
                machine=messages.MACHINE,
            )
        ]

    @_on.register
    def _(
        self, event: messages.AmendRequested, now: datetime.datetime
    ) -> list[message.Message]:
        command = amendments.AmendCommand(
            amend_id=event.amend_id, amendment=event.amendment
        )
        pending = _PendingAmendment(command=command, until=event.until)
        if not pending.numbered:
            return self._propose_order(event.amend_id, pending)
        self._pending_amendments[event.amend_id] = pending
        return [
            _proposal(event.amend_id, self._state.to_delta_command(command))
        ]

    @_on.register
    def _(
        self, event: messages.AmendAbandoned, now: datetime.datetime
    ) -> None:
        """Propose an order without a number no further."""
        for proposal_id, pending in list(self._pending_amendments.items()):
            if pending.command.amend_id != event.amend_id:
                continue
            if not pending.numbered:
                del self._pending_amendments[proposal_id]

    @_on.register
    def _(
        self, event: messages.DocumentRequested, now: datetime.datetime
    ) -> list[message.Message]:
        return self._documents.on_requested(event, now)

    @_on.register
    def _(
        self, event: messages.StatusResponse, now: datetime.datetime
    ) -> list[message.Message]:
        return [
            *self._documents.on_status(event, now),
            *self._fetches.on_status(event, now),
        ]

    @_on.register
    def _(
        self,
        event: consensus_messages.ProposeResult,
        now: datetime.datetime,
    ) -> list[message.Message]:
        if event.proposal_id in self._pending_amendments:
            return self._report_failed_amendment(event)
        if event.proposal_id not in self._pending_publishes:
            return []
        self._pending_publishes.discard(event.proposal_id)
        if event.committed:
            return []
        code = OUTCOME_UNKNOWN if event.unknown else NO_QUORUM
        return [
            messages.PublishResult(
                publish_id=event.proposal_id, code=code, revision=0
            )
        ]

    @_on.register
    def _(
        self, event: consensus_messages.Applied, now: datetime.datetime
    ) -> list[message.Message]:
        if event.machine != messages.MACHINE:
            return []
        command = msgspec.msgpack.decode(event.command, type=Command)
        before = self._state.revision
        result = self._apply(command)
        if result is None:
            return self._propose_full(command.amend_id)
        own = None
        if isinstance(result, messages.PublishResult):
            own = self._pending_amendments.pop(result.publish_id, None)
        results = (
            [result] if own is None else self._end_order(result, own, now)
        )
        effects = [
            *results,
            *self._documents.on_applied(),
            *self._fetches.on_applied(now),
        ]
        if self._state.revision == before or not self._is_leader:
            return effects
        latest = self._state.history.deltas[-1:]
        if not latest:
            return effects
        term = self._term if self._has_lease(now) else 0
        return [*effects, *self._fanout.push(latest[0], term, now)]

    @_on.register
    def _(
        self, event: messages.RevisionAck, now: datetime.datetime
    ) -> list[message.Message]:
        self._fanout.acknowledge(event, now)
        return [
            messages.DaemonRevision(
                daemon_id=event.daemon_id, revision=event.revision
            )
        ]

    @_on.register
    def _(
        self, event: messages.RevisionFetch, now: datetime.datetime
    ) -> list[message.Message]:
        return self._fetches.add(event, now)

    @_on.register
    def _(
        self,
        event: consensus_messages.LeaderChanged,
        now: datetime.datetime,
    ) -> list[message.Message]:
        was_leader = self._is_leader
        self._leader = event
        if self._is_leader and not was_leader:
            self._fanout.start_leading(now)
        return self._status.on_leader_changed(event, now)

    @_on.register
    def _(
        self,
        event: consensus_messages.SnapshotWanted,
        now: datetime.datetime,
    ) -> list[message.Message]:
        return [
            consensus_messages.SnapshotTaken(
                group=GROUP,
                index=event.index,
                state=self._state.encode(),
                machine=messages.MACHINE,
            )
        ]

    @_on.register
    def _(
        self,
        event: consensus_messages.SnapshotRestored,
        now: datetime.datetime,
    ) -> None:
        if event.machine == messages.MACHINE:
            self._state.restore(event.state)

    @_on.register
    def _(
        self,
        event: membership_messages.DaemonChanged,
        now: datetime.datetime,
    ) -> None:
        self._fanout.daemon_changed(event.daemon, now)

    @_on.register
    def _(
        self, event: membership_messages.DaemonGone, now: datetime.datetime
    ) -> None:
        self._fanout.daemon_gone(event)

    @_on.register
    def _(
        self, event: messages.StatusRequested, now: datetime.datetime
    ) -> list[message.Message]:
        return self._status.on_requested(event, now)

    @_on.register
    def _(
        self, event: messages.StatusCall, now: datetime.datetime
    ) -> list[message.Message]:
        return self._status.on_call(event)

    @_on.register
    def _(
        self, event: messages.StatusReply, now: datetime.datetime
    ) -> list[message.Message]:
        return self._status.on_reply(event)

    @_on.register
    def _(
        self, event: consensus_messages.ReadReady, now: datetime.datetime
    ) -> list[message.Message]:
        return self._status.on_read_ready(event, now)

    @_on.register
    def _(
        self, event: consensus_messages.Contacts, now: datetime.datetime
    ) -> list[message.Message]:
        return self._fetches.on_contacts(event)

    @_on.register
    def _(
        self, event: message.Tick, now: datetime.datetime
    ) -> list[message.Message]:
        effects = [
            *self._status.on_tick(now),
            *self._documents.on_tick(now),
            *self._fetches.on_tick(now),
        ]
        if self._is_leader:
            self._fanout.remove_gone(now)
        return [*effects, *self._notices(now)]

    def _notices(self, now: datetime.datetime) -> list[message.Message]:
        """Return what the leader has to tell other daemons, if this is it.

        A leader that was suspended may have been replaced meanwhile.
        """
        if not self._has_lease(now):
            return []
        return self._fanout.notices(
            self._state.history, self._state.revision, self._term, now
        )

    @functools.singledispatchmethod
    def _apply(
        self, command: typing.Any
    ) -> messages.PublishResult | messages.AmendResult | None:
        """Apply a committed command; None if its base is outdated."""
        raise TypeError(f"unsupported command type {type(command).__name__}")

    @_apply.register
    def _(self, command: state.PublishCommand) -> messages.PublishResult:
        return self._state.apply(command)

    @_apply.register
    def _(self, command: amendments.AmendCommand) -> messages.AmendResult:
        self._remove_pending_amendment(command.amend_id)
        return self._state.amend(command)

    @_apply.register
    def _(self, command: state.ReviseCommand) -> messages.AmendResult | None:
        result = self._state.revise(command)
        if result is not None:
            self._remove_pending_amendment(command.amend_id)
        return result

    def _remove_pending_amendment(self, amend_id: str) -> None:
        for proposal_id in (amend_id, amend_id + RETRY_SUFFIX):
            self._pending_amendments.pop(proposal_id, None)

    def _propose_full(self, amend_id: str) -> list[message.Message]:
        """Propose an amendment again in full, which is valid on any base.

        Only the host that received the amendment does so.
        """
        pending = self._pending_amendments.pop(amend_id, None)
        if pending is None:
            return []
        proposal_id = amend_id + RETRY_SUFFIX
        self._pending_amendments[proposal_id] = pending
        return [_proposal(proposal_id, pending.command)]

    def _propose_order(
        self, proposal_id: str, pending: _PendingAmendment
    ) -> list[message.Message]:
        """Propose an order that is valid on this host's state only."""
        self._pending_amendments[proposal_id] = pending
        command = self._state.to_publish_amendment(
            pending.command.amendment, proposal_id
        )
        return [_proposal(proposal_id, command)]

    def _end_order(
        self,
        result: messages.PublishResult,
        pending: _PendingAmendment,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Report an order's result, or propose it again on a new base.

        Only while its caller waits: after that it may be older than what was
        accepted meanwhile.
        """
        if result.code and (pending.until is None or now < pending.until):
            return self._propose_order(
                result.publish_id + RETRY_SUFFIX, pending
            )
        return [
            messages.AmendResult(
                amend_id=pending.command.amend_id,
                code=SUPERSEDED if result.code else "",
                revision=result.revision,
                number=self._state.number,
            )
        ]

    def _answer_fetch(
        self, event: messages.RevisionFetch, term: int, now: datetime.datetime
    ) -> list[message.Message]:
        """Return the answer to a fetch, confirmed by the leader of ``term``.

        A daemon that has the newest revision already gets the confirmation
        only. Without a leader, ``term`` is 0 and nothing is confirmed.
        """
        if event.revision < self._state.revision:
            answer = self._fetch_response(event, term)
        elif event.confirm and term:
            answer = messages.RevisionNotice(
                control=self._status.leader_address,
                revision=self._state.revision,
                term=term,
                question=event.question,
            )
        else:
            return []
        self._log_hand_out(event, term, now)
        if self._has_lease(now):
            self._fanout.handed_out(event.daemon_id, now)
        if event.reply_to == self._daemon.address:
            return [answer]
        return [message.Send(address=event.reply_to, message=answer)]

    def _fetch_response(
        self, event: messages.RevisionFetch, term: int
    ) -> message.Message:
        missing = self._state.history.after(event.revision)
        if missing and not event.whole:
            return messages.RevisionDeltas(
                sender=self._daemon.address,
                control=self._status.leader_address,
                deltas=missing,
                term=term,
                question=event.question,
            )
        return messages.RevisionPush(
            sender=self._daemon.address,
            revision=self._state.revision,
            digest=self._state.digest,
            bundle=self._packed_revision.get(
                self._state.revision, self._state.content.encode
            ),
            publisher=self._state.publisher,
            term=term,
            question=event.question,
        )

    def _log_hand_out(
        self, event: messages.RevisionFetch, term: int, now: datetime.datetime
    ) -> None:
        since = self._status.leaderless_since
        log.info(
            "revision handed out",
            extra={
                "daemon": event.daemon_id,
                "question": event.question,
                "from_revision": event.revision,
                "revision": self._state.revision,
                "leader": self._status.leader,
                "term": term,
                "leaderless_ms": (now - since) // MILLISECOND if since else 0,
            },
        )

    def _report_failed_amendment(
        self, event: consensus_messages.ProposeResult
    ) -> list[message.Message]:
        """Report an amendment that failed or whose outcome is unknown.

        The result of a committed amendment is reported when it is applied.
        """
        if event.committed:
            return []
        pending = self._pending_amendments.pop(event.proposal_id)
        amend_id = pending.command.amend_id
        code = OUTCOME_UNKNOWN if event.unknown else NO_QUORUM
        return [messages.AmendResult(amend_id=amend_id, code=code)]

    @staticmethod
    def _rejected(
        event: messages.PublishRequested, code: str
    ) -> messages.PublishResult:
        return messages.PublishResult(
            publish_id=event.publish_id, code=code, revision=0
        )


def _proposal(proposal_id: str, command: Command) -> message.Message:
    return consensus_messages.Propose(
        proposal_id=proposal_id,
        group=GROUP,
        command=msgspec.msgpack.encode(command),
        machine=messages.MACHINE,
    )
