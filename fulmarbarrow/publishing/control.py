"""Accepts revisions on control hosts and distributes them to all daemons."""

from __future__ import annotations

import datetime
import functools
import typing

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import documents
from fulmarbarrow.publishing import fanout
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing
from fulmarbarrow.publishing import state
from fulmarbarrow.publishing import status as status_module

GROUP = consensus_messages.Group.CONFIGURATION
INVALID = "bundle_invalid"
NO_QUORUM = "no_quorum"
UNKNOWN = "outcome_unknown"
# Suffix of the second proposal of an amendment whose base was outdated.
AGAIN = "+"

Command = state.PublishCommand | amendments.AmendCommand | state.ReviseCommand


class PublishingControl:
    """Handles publish requests and pushes accepted revisions to daemons."""

    handles = (
        messages.PublishRequested,
        messages.AmendRequested,
        messages.DocumentRequested,
        messages.StatusGiven,
        messages.RevisionAck,
        messages.RevisionFetch,
        messages.StatusRequested,
        messages.StatusCall,
        messages.StatusReply,
        consensus_messages.Applied,
        consensus_messages.ProposeResult,
        consensus_messages.ReadReady,
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
        self._packed = packing.Packed()
        self._requested: set[str] = set()
        self._amending: dict[str, amendments.AmendCommand] = {}
        self._leads = False
        self._status = status_module.StatusDesk(
            daemon=daemon, describe=self._describe, now=now
        )
        self._documents = documents.DocumentDesk(
            state=self._state, status=self._status
        )

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
            "leads": self._leads,
        }

    def _describe(self, now: datetime.datetime) -> messages.Status:
        """Return the status from this host's state."""
        return messages.Status(
            answered_by=self._daemon.daemon_id,
            current=self._leads,
            leader=self._status.leader,
            revision=self._state.revision,
            digest=self._state.digest,
            publisher=self._state.publisher,
            zones=self._fanout.zones(self._state.revision, now),
            leaderless_since=self._status.leaderless_since,
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
            return [self._refused(event, INVALID)]
        given = {
            deltas.digest(event.bundle),
            deltas.digest(bundles.encode(bundle)),
        }
        if event.digest not in given:
            return [self._refused(event, INVALID)]
        self._requested.add(event.publish_id)
        command = self._state.command(event, bundle)
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
        self._amending[event.amend_id] = command
        return [
            consensus_messages.Propose(
                proposal_id=event.amend_id,
                group=GROUP,
                command=msgspec.msgpack.encode(self._state.shortened(command)),
                machine=messages.MACHINE,
            )
        ]

    @_on.register
    def _(
        self, event: messages.DocumentRequested, now: datetime.datetime
    ) -> list[message.Message]:
        return self._documents.requested(event, now)

    @_on.register
    def _(
        self, event: messages.StatusGiven, now: datetime.datetime
    ) -> list[message.Message]:
        return self._documents.confirmed(event, now)

    @_on.register
    def _(
        self,
        event: consensus_messages.ProposeResult,
        now: datetime.datetime,
    ) -> list[message.Message]:
        if event.proposal_id in self._amending:
            return self._amend_ended(event)
        if event.proposal_id not in self._requested:
            return []
        self._requested.discard(event.proposal_id)
        if event.committed:
            return []
        code = UNKNOWN if event.unknown else NO_QUORUM
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
            return self._propose_whole(command.amend_id)
        effects = [result, *self._documents.applied()]
        if self._state.revision == before or not self._leads:
            return effects
        step = self._state.history.deltas[-1:]
        return [*effects, *(self._fanout.push(step[0], now) if step else ())]

    @_on.register
    def _(
        self, event: messages.RevisionAck, now: datetime.datetime
    ) -> list[message.Message]:
        self._fanout.acknowledged(event, now)
        return [
            messages.DaemonInForce(
                daemon_id=event.daemon_id, revision=event.revision
            )
        ]

    @_on.register
    def _(
        self, event: messages.RevisionFetch, now: datetime.datetime
    ) -> list[message.Message]:
        if event.revision >= self._state.revision:
            return []
        answer = self._answer(event)
        if event.reply_to == self._daemon.address:
            return [answer]
        return [message.Send(address=event.reply_to, message=answer)]

    @_on.register
    def _(
        self,
        event: consensus_messages.LeaderChanged,
        now: datetime.datetime,
    ) -> list[message.Message]:
        leads = event.lease_until is not None
        if leads and not self._leads:
            self._fanout.lead(now)
        self._leads = leads
        return self._status.leader_changed(event, now)

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
        self._fanout.changed(event.daemon, now)

    @_on.register
    def _(
        self, event: membership_messages.DaemonGone, now: datetime.datetime
    ) -> None:
        self._fanout.gone(event)

    @_on.register
    def _(
        self, event: messages.StatusRequested, now: datetime.datetime
    ) -> list[message.Message]:
        return self._status.requested(event, now)

    @_on.register
    def _(
        self, event: messages.StatusCall, now: datetime.datetime
    ) -> list[message.Message]:
        return self._status.called(event)

    @_on.register
    def _(
        self, event: messages.StatusReply, now: datetime.datetime
    ) -> list[message.Message]:
        return self._status.replied(event)

    @_on.register
    def _(
        self, event: consensus_messages.ReadReady, now: datetime.datetime
    ) -> list[message.Message]:
        return self._status.read(event, now)

    @_on.register
    def _(
        self, event: message.Tick, now: datetime.datetime
    ) -> list[message.Message]:
        effects = [*self._status.tick(now), *self._documents.tick(now)]
        if self._leads:
            self._fanout.forget(now)
            effects += self._fanout.notices(self._state.revision, now)
        return effects

    @functools.singledispatchmethod
    def _apply(
        self, command: typing.Any
    ) -> messages.PublishResult | messages.AmendResult | None:
        """Apply a committed command; None if its base is outdated."""
        raise TypeError(type(command).__name__)

    @_apply.register
    def _(self, command: state.PublishCommand) -> messages.PublishResult:
        return self._state.apply(command)

    @_apply.register
    def _(self, command: amendments.AmendCommand) -> messages.AmendResult:
        self._forget_amending(command.amend_id)
        return self._state.amend(command)

    @_apply.register
    def _(self, command: state.ReviseCommand) -> messages.AmendResult | None:
        result = self._state.revise(command)
        if result is not None:
            self._forget_amending(command.amend_id)
        return result

    def _forget_amending(self, amend_id: str) -> None:
        for proposal_id in (amend_id, amend_id + AGAIN):
            self._amending.pop(proposal_id, None)

    def _propose_whole(self, amend_id: str) -> list[message.Message]:
        """Propose an amendment again in full, which is valid on any base.

        Only the host that received the amendment does so.
        """
        command = self._amending.pop(amend_id, None)
        if command is None:
            return []
        proposal_id = amend_id + AGAIN
        self._amending[proposal_id] = command
        return [
            consensus_messages.Propose(
                proposal_id=proposal_id,
                group=GROUP,
                command=msgspec.msgpack.encode(command),
                machine=messages.MACHINE,
            )
        ]

    def _answer(self, event: messages.RevisionFetch) -> message.Message:
        steps = self._state.history.after(event.revision)
        if steps and not event.whole:
            return messages.RevisionDeltas(
                sender=self._daemon.address,
                control=self._daemon.address if self._leads else "",
                deltas=steps,
            )
        return messages.RevisionPush(
            sender=self._daemon.address,
            revision=self._state.revision,
            digest=self._state.digest,
            bundle=self._packed.get(
                self._state.revision, self._state.content.encode
            ),
            publisher=self._state.publisher,
        )

    def _amend_ended(
        self, event: consensus_messages.ProposeResult
    ) -> list[message.Message]:
        """Report an amendment that failed or whose outcome is unknown.

        The result of a committed amendment is reported when it is applied.
        """
        if event.committed:
            return []
        command = self._amending.pop(event.proposal_id)
        code = UNKNOWN if event.unknown else NO_QUORUM
        return [messages.AmendResult(amend_id=command.amend_id, code=code)]

    @staticmethod
    def _refused(
        event: messages.PublishRequested, code: str
    ) -> messages.PublishResult:
        return messages.PublishResult(
            publish_id=event.publish_id, code=code, revision=0
        )
