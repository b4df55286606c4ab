"""Proposals waiting for their commit, on this member or the leader."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow.consensus import timing
from fulmarbarrow import message


@dataclasses.dataclass(kw_only=True)
class PendingProposal:
    """A proposal of this daemon; ``sent`` once a leader may have it."""

    proposal: messages.Propose
    deadline: datetime.datetime
    sent: bool = False
    result: messages.ProposeResult | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AcceptedProposal:
    """A proposal in the leader's log; ``reply_to`` is empty for its own."""

    proposal_id: str
    term: int
    reply_to: str = ""


class Proposals:
    """Forwards proposals to the leader and returns their results."""

    def __init__(self, *, node: state.Node) -> None:
        self._node = node
        self._pending: dict[str, PendingProposal] = {}
        self._accepted: dict[int, AcceptedProposal] = {}
        self._accepting = False

    @property
    def count(self) -> int:
        """The number of proposals without a result."""
        return len(self._pending) + len(self._accepted)

    def start(self) -> None:
        """Begin to accept proposals as leader."""
        self._accepting = True
        for pending in self._pending.values():
            self._forward(pending)

    def pause(self) -> None:
        """Accept no more proposals during a leadership transfer."""
        self._accepting = False

    def end(self) -> None:
        """Report the outcome of uncommitted proposals as unknown."""
        self._accepting = False
        accepted, self._accepted = self._accepted, {}
        for item in accepted.values():
            self._send_result(item, committed=False, unknown=True)

    def propose(self, event: messages.Propose, now: datetime.datetime) -> None:
        """Handle a proposal of this daemon."""
        pending = PendingProposal(
            proposal=event, deadline=now + timing.PROPOSAL_TIMEOUT
        )
        self._pending[event.proposal_id] = pending
        self._forward(pending)

    def leader_known(self) -> None:
        """Forward proposals that were not sent to a leader yet."""
        for pending in list(self._pending.values()):
            if not pending.sent:
                self._forward(pending)

    def leader_lost(self) -> None:
        """Report proposals sent to the former leader as unknown."""
        for proposal_id, pending in list(self._pending.items()):
            if pending.sent and pending.result is None:
                del self._pending[proposal_id]
                self._node.effects.append(self._failed_result(pending))

    def handle_call(self, event: peer.ProposalCall) -> None:
        """Handle a proposal from another daemon; only a leader accepts it."""
        accepted = AcceptedProposal(
            proposal_id=event.proposal_id,
            term=self._node.term,
            reply_to=event.reply_to,
        )
        if not self._accepting:
            self._send_result(accepted, committed=False, unknown=False)
            return
        self._accept(accepted, event.machine, event.command)

    def handle_reply(self, event: peer.ProposalReply) -> None:
        """Handle the leader's reply.

        The result is returned once the entry is applied on this member.
        """
        pending = self._pending.get(event.proposal_id)
        if pending is None:
            return
        if not event.committed and not event.unknown:
            pending.sent = False
            return
        pending.result = messages.ProposeResult(
            proposal_id=event.proposal_id,
            group=self._node.group,
            committed=event.committed,
            index=event.index,
            term=event.term,
            unknown=event.unknown,
        )
        self._return_results()

    def entry_applied(self, entry: records.Entry) -> None:
        """Report the result of an applied entry to its proposer."""
        accepted = self._accepted.pop(entry.index, None)
        if accepted is not None:
            committed = accepted.term == entry.term
            self._send_result(accepted, committed=committed, entry=entry)
        self._return_results()

    def tick(self, now: datetime.datetime) -> None:
        """Resend refused proposals, and end those past their timeout."""
        for proposal_id, pending in list(self._pending.items()):
            if pending.deadline <= now:
                del self._pending[proposal_id]
                self._node.effects.append(self._failed_result(pending))
            elif not pending.sent:
                self._forward(pending)

    def _forward(self, pending: PendingProposal) -> None:
        node = self._node
        proposal = pending.proposal
        if self._accepting:
            pending.sent = True
            accepted = AcceptedProposal(
                proposal_id=proposal.proposal_id, term=node.term
            )
            self._accept(accepted, proposal.machine, proposal.command)
            return
        if node.leader is None or node.leader == node.me:
            return
        pending.sent = True
        call = peer.ProposalCall(
            group=node.group,
            proposal_id=proposal.proposal_id,
            machine=proposal.machine,
            command=proposal.command,
            reply_to=node.me.address,
        )
        node.effects.append(
            message.Send(address=node.leader.address, message=call)
        )

    def _accept(
        self, accepted: AcceptedProposal, machine: str, command: bytes
    ) -> None:
        entry = self._node.append(records.EntryKind.COMMAND, command, machine)
        self._accepted[entry.index] = accepted

    def _send_result(
        self,
        accepted: AcceptedProposal,
        *,
        committed: bool,
        unknown: bool = False,
        entry: records.Entry | None = None,
    ) -> None:
        node = self._node
        reply = peer.ProposalReply(
            group=node.group,
            proposal_id=accepted.proposal_id,
            committed=committed,
            index=entry.index if entry and committed else 0,
            term=entry.term if entry and committed else 0,
            unknown=unknown,
        )
        if accepted.reply_to:
            node.effects.append(
                message.Send(address=accepted.reply_to, message=reply)
            )
        else:
            self.handle_reply(reply)

    def _return_results(self) -> None:
        node = self._node
        for proposal_id, pending in list(self._pending.items()):
            result = pending.result
            if result is None or result.index > node.applied_index:
                continue
            del self._pending[proposal_id]
            node.effects.append(result)

    def _failed_result(
        self, pending: PendingProposal
    ) -> messages.ProposeResult:
        node = self._node
        return messages.ProposeResult(
            proposal_id=pending.proposal.proposal_id,
            group=node.group,
            committed=False,
            unknown=pending.sent,
            leader=node.leader.daemon_id if node.leader else "",
        )
