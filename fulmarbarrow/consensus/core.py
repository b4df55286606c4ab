"""The consensus core: the replicated log of one group on one member."""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random
import typing

from fulmarbarrow.consensus import applying
from fulmarbarrow.consensus import contacts
from fulmarbarrow.consensus import election
from fulmarbarrow.consensus import following
from fulmarbarrow.consensus import joining
from fulmarbarrow.consensus import leadership
from fulmarbarrow.consensus import log as logs
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import proposals
from fulmarbarrow.consensus import reading
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import replication
from fulmarbarrow.consensus import state
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module

CONTROL_ROLE = "control"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Inspection:
    """A member's state as seen by tests and checks."""

    member: str
    role: state.Role
    term: int
    ready: bool
    voter: bool
    members: tuple[str, ...]
    applied_index: int
    log: logs.Log | None


class ConsensusCore:
    """Replicates proposed commands and emits them in log order.

    ``addresses`` maps daemon ids to the peer addresses of the initial control
    hosts, including this one. ``machines`` names the state machines whose
    states make up a snapshot. Without ``may_form`` this host does not form a
    new log. If ``tolerated_losses`` is above 0, further hosts may join, up to
    ``2 * tolerated_losses + 1`` voters.
    """

    handles = (
        messages.Propose,
        messages.ReadBarrier,
        messages.ContactsWanted,
        messages.SnapshotTaken,
        messages.Persisted,
        membership_messages.LeaveStarted,
        membership_messages.DaemonChanged,
        membership_messages.SeedsChanged,
        message.Tick,
        *peer.PEER_MESSAGES,
    )

    def __init__(
        self,
        *,
        group: records.Group,
        me: records.Member,
        addresses: dict[str, str],
        stored: state.StoredState,
        rng: random.Random,
        metrics: metrics_module.Metrics,
        now: datetime.datetime,
        machines: tuple[str, ...] = ("",),
        snapshot_entries: int = applying.SNAPSHOT_ENTRIES,
        may_form: bool = True,
        tolerated_losses: int = 0,
    ) -> None:
        node = self._node = state.Node(
            group=group,
            me=me,
            founder_ids=frozenset(addresses),
            stored=stored,
            machines=machines,
            rng=rng,
            metrics=metrics,
            now=now,
        )
        self._contacts = contacts.Contacts(address=me.address)
        self._replication = replication.Replication(node=node)
        self._applier = applying.Applier(
            node=node, snapshot_entries=snapshot_entries
        )
        self._proposals = proposals.Proposals(node=node)
        self._applier.add_listener(self._proposals.entry_applied)
        self._joining = joining.Joining(
            node=node,
            replication=self._replication,
            addresses=addresses,
            may_form=may_form,
            tolerated_losses=tolerated_losses,
        )
        self._leadership = leadership.Leadership(
            node=node,
            joining=self._joining,
            replication=self._replication,
            proposals=self._proposals,
            reads=reading.ReadBarriers(node=node),
            applier=self._applier,
        )
        self._election = election.Election(
            node=node, leadership=self._leadership
        )
        self._following = following.FollowerReplication(
            node=node, election=self._election, applier=self._applier
        )
        if stored.snapshot is not None:
            self._applier.restore(stored.snapshot)

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle an event and return its effects."""
        if getattr(event, "group", self._node.group) != self._node.group:
            return []
        self._contacts.hear(event, now)
        had_log, former_leader = self._node.has_log, self._node.leader
        self._handle_event(event, now)
        if self._node.has_log and not had_log:
            self._election.log_opened(now)
        self._update_leadership(now)
        if self._node.leader != former_leader:
            if former_leader not in (None, self._node.me):
                self._proposals.leader_lost()
            if self._node.leader is not None:
                self._proposals.leader_known()
        return self._node.take_effects()

    def inspect(self) -> Inspection:
        """Return the current state; its log is not a copy."""
        node = self._node
        members = node.log.configuration.members if node.has_log else ()
        return Inspection(
            member=node.me.member_id,
            role=node.role,
            term=node.term,
            ready=self._leadership.ready,
            voter=node.is_voter,
            members=tuple(member.member_id for member in members),
            applied_index=node.applied_index,
            log=node.log if node.has_log else None,
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the indexes and members of the log as plain data."""
        node = self._node
        data: dict[str, typing.Any] = {
            "role": node.role.value,
            "member": node.me.member_id,
            "term": node.term,
            "leader": node.leader.daemon_id if node.leader else "",
            "waiting_proposals": self._proposals.count,
        }
        if node.has_log:
            members = node.log.configuration.members
            data |= {
                "members": [member.member_id for member in members],
                "voter": node.is_voter,
                "last_index": node.log.last_index,
                "synced_index": node.log.synced_index,
                "commit_index": node.commit_index,
                "applied_index": node.applied_index,
                "snapshot_index": node.log.snapshot.index,
                "lease_until": self._leadership.lease_until,
            }
        return data

    def _update_leadership(self, now: datetime.datetime) -> None:
        if self._node.role is not state.Role.LEADER:
            return
        self._leadership.advance(now)
        if self._leadership.must_step_down:
            self._election.step_down(now)

    def _is_current_reply(
        self, event: typing.Any, now: datetime.datetime
    ) -> bool:
        """Return whether a reply belongs to the current leadership."""
        if event.log_id != self._node.log_id or not self._node.has_log:
            return False
        self._election.observe_term(event.term, now)
        is_leader = self._node.role is state.Role.LEADER
        return is_leader and event.term == self._node.term

    @functools.singledispatchmethod
    def _handle_event(
        self, event: message.Message, now: datetime.datetime
    ) -> None:
        """Handle an event by its type."""

    @_handle_event.register
    def _(self, event: message.Tick, now: datetime.datetime) -> None:
        self._joining.tick(now)
        self._proposals.tick(now)
        if self._node.role is state.Role.LEADER:
            self._leadership.tick(now)
            if self._leadership.ready:
                self._joining.change_configuration(now)
        else:
            self._election.tick(now)

    @_handle_event.register
    def _(self, event: messages.Propose, now: datetime.datetime) -> None:
        self._proposals.propose(event, now)

    @_handle_event.register
    def _(self, event: messages.ReadBarrier, now: datetime.datetime) -> None:
        self._leadership.read(event, now)

    @_handle_event.register
    def _(
        self, event: messages.ContactsWanted, now: datetime.datetime
    ) -> None:
        self._node.effects.append(
            messages.Contacts(
                group=self._node.group, addresses=self._contacts.recent(now)
            )
        )

    @_handle_event.register
    def _(self, event: messages.SnapshotTaken, now: datetime.datetime) -> None:
        self._applier.snapshot_taken(event)

    @_handle_event.register
    def _(self, event: messages.Persisted, now: datetime.datetime) -> None:
        self._node.release_synced(event.write_id)
        self._election.count_own_vote(now)

    @_handle_event.register
    def _(
        self,
        event: membership_messages.LeaveStarted,
        now: datetime.datetime,
    ) -> None:
        self._node.leaving = True
        if self._node.role is state.Role.LEADER:
            self._leadership.hand_over(now)

    @_handle_event.register
    def _(
        self,
        event: membership_messages.DaemonChanged,
        now: datetime.datetime,
    ) -> None:
        if CONTROL_ROLE in event.daemon.roles:
            self._joining.add_contact(
                event.daemon.daemon_id, event.daemon.address
            )

    @_handle_event.register
    def _(
        self,
        event: membership_messages.SeedsChanged,
        now: datetime.datetime,
    ) -> None:
        for address in event.addresses:
            self._joining.add_contact(address.rpartition(":")[0], address)

    @_handle_event.register
    def _(self, event: peer.VoteRequest, now: datetime.datetime) -> None:
        if self._node.has_log and event.log_id == self._node.log_id:
            self._election.vote_request(event, now)

    @_handle_event.register
    def _(self, event: peer.VoteReply, now: datetime.datetime) -> None:
        if self._node.has_log and event.log_id == self._node.log_id:
            self._election.vote_reply(event, now)

    @_handle_event.register
    def _(self, event: peer.AppendRequest, now: datetime.datetime) -> None:
        if self._node.has_log and event.log_id == self._node.log_id:
            self._following.append_request(event, now)

    @_handle_event.register
    def _(self, event: peer.AppendReply, now: datetime.datetime) -> None:
        if self._is_current_reply(event, now):
            self._replication.append_reply(event, now)

    @_handle_event.register
    def _(self, event: peer.InstallRequest, now: datetime.datetime) -> None:
        if self._node.log_id in ("", event.log_id):
            self._following.install_request(event, now)

    @_handle_event.register
    def _(self, event: peer.InstallReply, now: datetime.datetime) -> None:
        if self._is_current_reply(event, now):
            self._replication.install_reply(event, now)

    @_handle_event.register
    def _(self, event: peer.HandOver, now: datetime.datetime) -> None:
        if self._node.has_log and event.log_id == self._node.log_id:
            self._election.handover_request(event, now)

    @_handle_event.register
    def _(self, event: peer.JoinRequest, now: datetime.datetime) -> None:
        self._joining.join_request(event, now)

    @_handle_event.register
    def _(self, event: peer.JoinReply, now: datetime.datetime) -> None:
        self._joining.join_reply(event)

    @_handle_event.register
    def _(self, event: peer.ProposalCall, now: datetime.datetime) -> None:
        self._proposals.handle_call(event)

    @_handle_event.register
    def _(self, event: peer.ProposalReply, now: datetime.datetime) -> None:
        self._proposals.handle_reply(event)
