"""The control host's side of the journal: commits router calls."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import typing

import msgspec
import xxhash

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.journal import machine
from fulmarbarrow.journal import messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

SHARD_COUNT = 1
MAX_BATCH_COMMANDS = 256
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=2)

Effects = list[message.Message]


@dataclasses.dataclass(kw_only=True)
class _Proposal:
    """A proposed batch without a result."""

    calls: tuple[messages.JournalCall, ...]
    proposed_at: datetime.datetime


@dataclasses.dataclass(kw_only=True)
class _Shard:
    """A shard's open proposal and the calls queued behind it."""

    queued_calls: collections.deque[messages.JournalCall] = dataclasses.field(
        default_factory=collections.deque
    )
    open_proposal: str = ""


class JournalControl:
    """Proposes router calls to the log in batches and sends the replies.

    A follower redirects routers to the leader. With group commit, calls that
    arrive during a commit are queued, and one synced write commits them all.
    """

    handles = (
        messages.JournalCall,
        consensus_messages.Applied,
        consensus_messages.ProposeResult,
        consensus_messages.LeaderChanged,
        consensus_messages.SnapshotWanted,
        consensus_messages.SnapshotRestored,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        metrics: metrics_module.Metrics,
        group_commit: bool = True,
        journal: machine.Journal | None = None,
    ) -> None:
        self._daemon = daemon
        self._metrics = metrics
        self._group_commit = group_commit
        self.journal = journal or machine.Journal()
        self._shards = [_Shard() for _ in range(SHARD_COUNT)]
        self._proposals: dict[str, _Proposal] = {}
        self._reply_addresses: dict[str, str] = {}
        self._last_proposal_number = 0
        self._leader_id = ""
        self._addresses = {daemon.daemon_id: daemon.address}
        self._encoder = msgspec.msgpack.Encoder()

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> Effects:
        """Handle one event and return its effects."""
        match event:
            case messages.JournalCall():
                return self._handle_call(event, now)
            case consensus_messages.Applied(
                group=consensus_messages.Group.JOURNAL
            ):
                return self._handle_applied(event)
            case consensus_messages.ProposeResult(
                group=consensus_messages.Group.JOURNAL
            ):
                return self._handle_propose_result(event, now)
            case consensus_messages.LeaderChanged(
                group=consensus_messages.Group.JOURNAL
            ):
                self._leader_id = event.leader
                if event.leader and event.address:
                    self._addresses[event.leader] = event.address
            case consensus_messages.SnapshotWanted(
                group=consensus_messages.Group.JOURNAL
            ):
                return [self._snapshot(event)]
            case consensus_messages.SnapshotRestored(
                group=consensus_messages.Group.JOURNAL
            ):
                self.journal.restore(event.state)
            case membership_messages.DaemonChanged():
                daemon = event.daemon
                self._addresses[daemon.daemon_id] = daemon.address
            case membership_messages.DaemonGone():
                self._addresses.pop(event.daemon_id, None)
            case message.Tick():
                return self._drop_expired_proposals(now)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return counts of entries by state, expirations and open calls."""
        return {
            "entries": self.journal.counts(),
            "expired": self.journal.expired,
            "calls_pending": len(self._reply_addresses),
        }

    def _handle_call(
        self, call: messages.JournalCall, now: datetime.datetime
    ) -> Effects:
        if call.call_id in self._reply_addresses:
            return []
        self._reply_addresses[call.call_id] = call.reply_to
        leader_address = self._addresses.get(self._leader_id, "")
        if self._leader_id != self._daemon.daemon_id and leader_address:
            # The leader replies when it commits the batch; a follower would
            # learn of the commit only from the leader's next message.
            return self._redirect((call,), leader_address, False)
        shard_number = shard_of(call.body)
        shard = self._shards[shard_number]
        shard.queued_calls.append(call)
        return self._propose(shard_number, now)

    def _propose(self, shard_number: int, now: datetime.datetime) -> Effects:
        shard = self._shards[shard_number]
        if not shard.queued_calls or (
            self._group_commit and shard.open_proposal
        ):
            return []
        limit = MAX_BATCH_COMMANDS if self._group_commit else 1
        count = min(limit, len(shard.queued_calls))
        calls = tuple(shard.queued_calls.popleft() for _ in range(count))
        self._last_proposal_number += 1
        proposal_id = (
            f"journal-{self._daemon.daemon_id}-{self._daemon.incarnation:x}"
            f"-{shard_number}-{self._last_proposal_number}"
        )
        shard.open_proposal = proposal_id
        self._proposals[proposal_id] = _Proposal(calls=calls, proposed_at=now)
        self._metrics.count("journal_batches")
        self._metrics.count("journal_commands", count)
        batch = machine.Batch(
            shard=shard_number,
            now=now,
            commands=tuple(
                machine.Command(call_id=call.call_id, body=call.body)
                for call in calls
            ),
        )
        return [
            consensus_messages.Propose(
                proposal_id=proposal_id,
                group=consensus_messages.Group.JOURNAL,
                command=self._encoder.encode(batch),
            )
        ]

    def _handle_applied(self, event: consensus_messages.Applied) -> Effects:
        """Apply a committed batch and reply to the calls received here."""
        effects: Effects = []
        for call_id, reply in self.journal.apply(event.command).items():
            reply_to = self._reply_addresses.pop(call_id, "")
            if reply_to:
                journal_reply = messages.JournalReply(
                    call_id=call_id, body=reply
                )
                effects.append(self._reply_message(reply_to, journal_reply))
        return effects

    def _handle_propose_result(
        self,
        event: consensus_messages.ProposeResult,
        now: datetime.datetime,
    ) -> Effects:
        proposal = self._proposals.pop(event.proposal_id, None)
        if proposal is None:
            return []
        effects: Effects = []
        if not event.committed:
            leader_address = self._addresses.get(event.leader, "")
            calls = proposal.calls
            if not event.unknown:
                calls += self._take_queued_calls(event.proposal_id)
            effects.extend(
                self._redirect(calls, leader_address, event.unknown)
            )
        return [*effects, *self._propose_next(event.proposal_id, now)]

    def _take_queued_calls(
        self, proposal_id: str
    ) -> tuple[messages.JournalCall, ...]:
        """Remove and return the calls queued behind a refused proposal."""
        for shard in self._shards:
            if shard.open_proposal == proposal_id:
                calls = tuple(shard.queued_calls)
                shard.queued_calls.clear()
                return calls
        return ()

    def _redirect(
        self,
        calls: typing.Iterable[messages.JournalCall],
        leader_address: str,
        outcome_unknown: bool,
    ) -> Effects:
        """Reply with the leader's address, unless a call may be committed.

        A call with an unknown outcome gets no reply; its router retries it.
        """
        effects: Effects = []
        for call in calls:
            reply_to = self._reply_addresses.pop(call.call_id, "")
            if not reply_to or outcome_unknown:
                continue
            reply = messages.JournalReply(
                call_id=call.call_id, leader=leader_address
            )
            effects.append(self._reply_message(reply_to, reply))
        return effects

    def _propose_next(
        self, proposal_id: str, now: datetime.datetime
    ) -> Effects:
        effects: Effects = []
        for shard_number, shard in enumerate(self._shards):
            if shard.open_proposal == proposal_id:
                shard.open_proposal = ""
                effects.extend(self._propose(shard_number, now))
        return effects

    def _drop_expired_proposals(self, now: datetime.datetime) -> Effects:
        """Drop proposals whose result did not arrive in time."""
        effects: Effects = []
        for proposal_id, proposal in list(self._proposals.items()):
            if now - proposal.proposed_at < PROPOSAL_TIMEOUT:
                continue
            del self._proposals[proposal_id]
            for call in proposal.calls:
                self._reply_addresses.pop(call.call_id, None)
            effects.extend(self._propose_next(proposal_id, now))
        return effects

    def _snapshot(
        self, event: consensus_messages.SnapshotWanted
    ) -> message.Message:
        return consensus_messages.SnapshotTaken(
            group=event.group,
            index=event.index,
            state=self.journal.snapshot(),
        )

    def _reply_message(
        self, reply_to: str, reply: messages.JournalReply
    ) -> message.Message:
        if reply_to == self._daemon.address:
            return reply
        return message.Send(address=reply_to, message=reply)


def shard_of(body: machine.CallBody) -> int:
    """Return the number of the shard that stores an action's entry."""
    key = f"{body.account}\0{body.key}".encode()
    return xxhash.xxh3_64_intdigest(key) % SHARD_COUNT
