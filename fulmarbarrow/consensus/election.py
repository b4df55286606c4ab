"""Leader election with pre-votes and votes."""

from __future__ import annotations

import datetime
import logging
import typing

from fulmarbarrow.consensus import effects
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import roles as role_machine
from fulmarbarrow.consensus import state
from fulmarbarrow.consensus import timing

log = logging.getLogger(__name__)

# Election timeouts for which a host with equals goes first by its id.
MAX_ROUNDS_FIRST = 2


class Leadership(typing.Protocol):
    """The leadership that the election starts and ends."""

    def start(self, now: datetime.datetime) -> None:
        """Become leader of the current term."""

    def end(self) -> None:
        """Answer all requests that wait for this leader."""


class Election:
    """Changes a member's role by timeouts, terms and votes."""

    def __init__(self, *, node: state.Node, leadership: Leadership) -> None:
        self._node = node
        self._leadership = leadership
        self._votes: set[str] = set()
        self._pre_votes_sent_at = node.leader_heard_at
        self._votes_sent_at = node.leader_heard_at
        self._rounds = 0
        self._now = node.leader_heard_at
        self._by_handover = False
        self._roles = role_machine.make_roles(self)
        if node.has_log:
            self._roles.log_opened()
            if node.is_only_voter:
                # No other member can lead, so there is nothing to wait for.
                node.election_due_at = node.leader_heard_at

    def log_opened(self, now: datetime.datetime) -> None:
        """Take part in elections, as this host has a log now."""
        self._now = now
        self._roles.log_opened()

    def tick(self, now: datetime.datetime) -> None:
        """Start an election if no leader was heard within the timeout."""
        node = self._node
        if node.role in (state.Role.UNFORMED, state.Role.LEADER):
            return
        if not node.is_voter or (node.leaving and not node.is_only_voter):
            return
        self._now = now
        if now >= node.election_due_at:
            self._roles.timed_out()
        elif node.role is state.Role.PRE_CANDIDATE:
            self._repeat_pre_votes()
        elif node.role is state.Role.CANDIDATE:
            self._repeat_votes()

    def step_down(self, now: datetime.datetime) -> None:
        """Become a follower without a change of term."""
        self._now = now
        self._roles.step_down()

    def observe_term(self, term: int, now: datetime.datetime) -> None:
        """Enter a term that is higher than the current one."""
        if term > self._node.term:
            self._node.set_ballot(term, "")
            self._node.leader = None
            self.step_down(now)

    def follow_leader(
        self, leader: records.Member, now: datetime.datetime
    ) -> None:
        """Follow the leader of the current term after a message from it."""
        node = self._node
        if node.role is not state.Role.FOLLOWER:
            self.step_down(now)
        node.leader_heard_at = now
        node.election_due_at = now + self._election_timeout()
        if node.leader != leader:
            node.leader = leader
            node.effects.append(effects.leader_changed(node))

    def handover_request(
        self, event: peer.HandOver, now: datetime.datetime
    ) -> None:
        """Start an election at the leader's request."""
        node = self._node
        followers = (state.Role.FOLLOWER, state.Role.PRE_CANDIDATE)
        if event.term != node.term or node.role not in followers:
            return
        if node.leaving or not node.is_voter:
            return
        self._now = now
        self._by_handover = True
        self._roles.handover_requested()

    def vote_request(
        self, event: peer.VoteRequest, now: datetime.datetime
    ) -> None:
        """Reply to a vote request; a refusal carries the current term.

        A member that still hears from a leader does not reply at all, which
        keeps the leader's lease valid.
        """
        node = self._node
        if not event.handover and self._has_recent_leader(now):
            return
        if event.pre:
            granted = (
                event.term > node.term
                and self._is_up_to_date(event)
                and not self._comes_before(event)
            )
            self._reply(event, granted)
            return
        self.observe_term(event.term, now)
        may_vote = node.ballot.vote in ("", event.candidate.member_id)
        granted = (
            event.term == node.term and may_vote and self._is_up_to_date(event)
        )
        if granted:
            node.election_due_at = now + self._election_timeout()
            if not node.ballot.vote:
                node.set_ballot(event.term, event.candidate.member_id)
        self._reply(event, granted)

    def vote_reply(
        self, event: peer.VoteReply, now: datetime.datetime
    ) -> None:
        """Count a vote."""
        node = self._node
        if not event.granted:
            self.observe_term(event.term, now)
            return
        expected_term = node.term + 1 if event.pre else node.term
        role = state.Role.PRE_CANDIDATE if event.pre else state.Role.CANDIDATE
        if event.term != expected_term or node.role is not role:
            return
        self._votes.add(event.voter)
        self._now = now
        self._count_votes()

    def count_own_vote(self, now: datetime.datetime) -> None:
        """Count this member's own vote once it is synced."""
        node = self._node
        if node.role is not state.Role.CANDIDATE:
            return
        if node.synced_ballot == node.ballot:
            self._votes.add(self._node.me.member_id)
            self._now = now
            self._count_votes()

    # Actions of the role state machine.

    def follow(self) -> None:
        """Wait for a leader."""
        node = self._node
        self._rounds = 0
        was_leading = node.role is state.Role.LEADER
        node.role = state.Role.FOLLOWER
        node.election_due_at = self._now + self._election_timeout()
        if was_leading:
            node.leader = None
            node.effects.append(effects.leader_changed(node))

    def request_pre_votes(self) -> None:
        """Request pre-votes, without starting a new term."""
        node = self._node
        self._rounds += 1
        node.role = state.Role.PRE_CANDIDATE
        if node.leader is not None:
            node.leader = None
            node.effects.append(effects.leader_changed(node))
        node.election_due_at = self._now + self._election_timeout()
        node.metrics.count("consensus_pre_votes", group=node.group)
        self._by_handover = False
        self._votes = {node.me.member_id}
        self._send_pre_votes()
        self._count_votes()

    def request_votes(self) -> None:
        """Start a new term and request votes."""
        node = self._node
        node.role = state.Role.CANDIDATE
        node.leader = None
        node.election_due_at = self._now + self._election_timeout()
        node.metrics.count("consensus_elections", group=node.group)
        self._votes = set()
        node.set_ballot(node.term + 1, node.me.member_id)
        self._send_votes()

    def become_leader(self) -> None:
        """Become leader of the current term."""
        node = self._node
        node.role = state.Role.LEADER
        node.leader = node.me
        log.info(
            "%s is leader of %s in term %d",
            node.me.member_id,
            node.group,
            node.term,
        )
        self._leadership.start(self._now)

    def end_leadership(self) -> None:
        """Answer all requests that wait for this leader."""
        node = self._node
        log.info("%s is no longer leader of %s", node.me.member_id, node.group)
        self._leadership.end()

    def _repeat_pre_votes(self) -> None:
        """Request missing pre-votes again, from hosts that may be up now.

        A pre-vote binds nobody, so that more requests split no votes.
        """
        if self._now - self._pre_votes_sent_at >= timing.PRE_VOTE_INTERVAL:
            self._send_pre_votes()

    def _repeat_votes(self) -> None:
        """Request missing votes again; a request or a reply may be lost.

        A member grants its vote to the same candidate again.
        """
        node = self._node
        if node.synced_ballot != node.ballot:
            return
        if self._now - self._votes_sent_at >= timing.VOTE_INTERVAL:
            self._send_votes()

    def _send_votes(self) -> None:
        node = self._node
        self._votes_sent_at = self._now
        request = self._vote_request(node.term, pre=False)
        for member in node.other_voters:
            if member.member_id not in self._votes:
                node.emit_when_synced(effects.send_to(member, request))

    def _send_pre_votes(self) -> None:
        node = self._node
        self._pre_votes_sent_at = self._now
        for member in node.other_voters:
            if member.member_id not in self._votes:
                node.send(member, self._vote_request(node.term + 1, pre=True))

    def _count_votes(self) -> None:
        configuration = self._node.log.configuration
        voters = {member.member_id for member in configuration.members}
        if len(self._votes & voters) < configuration.quorum:
            return
        if self._node.role is state.Role.PRE_CANDIDATE:
            self._roles.pre_votes_won()
        else:
            self._roles.votes_won()

    def _has_recent_leader(self, now: datetime.datetime) -> bool:
        node = self._node
        if node.role is state.Role.LEADER:
            return True
        return now - node.leader_heard_at < timing.ELECTION_MIN

    def _comes_before(self, event: peer.VoteRequest) -> bool:
        """Whether this host requests pre-votes too, and should win them.

        Hosts that started together request them at the same moments, and would
        split the votes each time. Of two with equal logs, the first by id goes
        on until ``MAX_ROUNDS_FIRST`` timeouts have passed: it may be unheard.
        """
        node = self._node
        if node.role is not state.Role.PRE_CANDIDATE:
            return False
        if self._rounds > MAX_ROUNDS_FIRST or self._log_position != (
            event.last_term,
            event.last_index,
        ):
            return False
        return node.me.member_id < event.candidate.member_id

    @property
    def _log_position(self) -> tuple[int, int]:
        """The term and index of the last entry."""
        return (self._node.log.last_term, self._node.log.last_index)

    def _is_up_to_date(self, event: peer.VoteRequest) -> bool:
        return (event.last_term, event.last_index) >= self._log_position

    def _reply(self, event: peer.VoteRequest, granted: bool) -> None:
        node = self._node
        reply = peer.VoteReply(
            group=node.group,
            log_id=node.log_id,
            term=event.term if granted else node.term,
            voter=node.me.member_id,
            granted=granted,
            pre=event.pre,
        )
        node.emit_when_synced(effects.send_to(event.candidate, reply))

    def _vote_request(self, term: int, *, pre: bool) -> peer.VoteRequest:
        node = self._node
        return peer.VoteRequest(
            group=node.group,
            log_id=node.log_id,
            term=term,
            candidate=node.me,
            last_index=node.log.last_index,
            last_term=node.log.last_term,
            pre=pre,
            handover=self._by_handover,
        )

    def _election_timeout(self) -> datetime.timedelta:
        if self._node.is_only_voter:
            return datetime.timedelta()
        spread = timing.ELECTION_MAX - timing.ELECTION_MIN
        return timing.ELECTION_MIN + spread * self._node.rng.random()
