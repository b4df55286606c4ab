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
class Waiting:
    """A proposal of this daemon; ``sent`` once a leader may have it."""

    proposal: messages.Propose
    until: datetime.datetime
    sent: bool = False
    result: messages.ProposeResult | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """A proposal in the leader's log; ``reply_to`` is empty for its own."""

    proposal_id: str
    term: int
    reply_to: str = ""


class Proposals:
    """Forwards proposals to the leader and returns their results."""

    def __init__(self, *, node: state.Node) -> None:
        self._node = node
        self._waiting: dict[str, Waiting] = {}
        self._accepted: dict[int, Accepted] = {}
        self._open = False

    @property
    def count(self) -> int:
        """The number of proposals without a result."""
        return len(self._waiting) + len(self._accepted)

    def start(self) -> None:
        """Begin to accept proposals as leader."""
        self._open = True
        for waiting in self._waiting.values():
            self._pass_on(waiting)

    def pause(self) -> None:
        """Accept no more proposals during a leadership transfer."""
        self._open = False

    def end(self) -> None:
        """Report the outcome of uncommitted proposals as unknown."""
        self._open = False
        accepted, self._accepted = self._accepted, {}
        for item in accepted.values():
            self._tell(item, committed=False, unknown=True)

    def propose(self, event: messages.Propose, now: datetime.datetime) -> None:
        """Handle a proposal of this daemon."""
        waiting = Waiting(proposal=event, until=now + timing.PROPOSAL_TIMEOUT)
        self._waiting[event.proposal_id] = waiting
        self._pass_on(waiting)

    def leader_known(self) -> None:
        """Forward proposals that were not sent to a leader yet."""
        for waiting in list(self._waiting.values()):
            if not waiting.sent:
                self._pass_on(waiting)

    def leader_lost(self) -> None:
        """Report proposals sent to the former leader as unknown."""
        for proposal_id, waiting in list(self._waiting.items()):
            if waiting.sent and waiting.result is None:
                del self._waiting[proposal_id]
                self._node.effects.append(self._timed_out(waiting))

    def call(self, event: peer.ProposalCall) -> None:
        """Handle a proposal from another daemon; only a leader accepts it."""
        accepted = Accepted(
            proposal_id=event.proposal_id,
            term=self._node.term,
            reply_to=event.reply_to,
        )
        if not self._open:
            self._tell(accepted, committed=False, unknown=False)
            return
        self._accept(accepted, event.machine, event.command)

    def reply(self, event: peer.ProposalReply) -> None:
        """Handle the leader's reply.

        The result is returned once the entry is applied on this member.
        """
        waiting = self._waiting.get(event.proposal_id)
        if waiting is None:
            return
        if not event.committed and not event.unknown:
            waiting.sent = False
            return
        waiting.result = messages.ProposeResult(
            proposal_id=event.proposal_id,
            group=self._node.group,
            committed=event.committed,
            index=event.index,
            term=event.term,
            unknown=event.unknown,
        )
        self._finish_applied()

    def applied(self, entry: records.Entry) -> None:
        """Report the result of an applied entry to its proposer."""
        accepted = self._accepted.pop(entry.index, None)
        if accepted is not None:
            same = accepted.term == entry.term
            self._tell(accepted, committed=same, entry=entry)
        self._finish_applied()

    def tick(self, now: datetime.datetime) -> None:
        """Resend refused proposals, and end those past their timeout."""
        for proposal_id, waiting in list(self._waiting.items()):
            if waiting.until <= now:
                del self._waiting[proposal_id]
                self._node.effects.append(self._timed_out(waiting))
            elif not waiting.sent:
                self._pass_on(waiting)

    def _pass_on(self, waiting: Waiting) -> None:
        node = self._node
        proposal = waiting.proposal
        if self._open:
            waiting.sent = True
            accepted = Accepted(
                proposal_id=proposal.proposal_id, term=node.term
            )
            self._accept(accepted, proposal.machine, proposal.command)
            return
        if node.leader is None or node.leader == node.me:
            return
        waiting.sent = True
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
        self, accepted: Accepted, machine: str, command: bytes
    ) -> None:
        entry = self._node.append(records.EntryKind.COMMAND, command, machine)
        self._accepted[entry.index] = accepted

    def _tell(
        self,
        accepted: Accepted,
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
            self.reply(reply)

    def _finish_applied(self) -> None:
        node = self._node
        for proposal_id, waiting in list(self._waiting.items()):
            result = waiting.result
            if result is None or result.index > node.applied_index:
                continue
            del self._waiting[proposal_id]
            node.effects.append(result)

    def _timed_out(self, waiting: Waiting) -> messages.ProposeResult:
        node = self._node
        return messages.ProposeResult(
            proposal_id=waiting.proposal.proposal_id,
            group=node.group,
            committed=False,
            unknown=waiting.sent,
            leader=node.leader.daemon_id if node.leader else "",
        )
