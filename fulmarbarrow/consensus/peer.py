"""Messages between the members of a replicated log."""

from __future__ import annotations

import datetime

from fulmarbarrow.consensus import records
from fulmarbarrow import message


class VoteRequest(message.Message, frozen=True, kw_only=True):
    """Requests a vote, or with ``pre`` a pre-vote.

    ``handover`` is set if the leader itself requested the election.
    """

    group: records.Group
    log_id: str
    term: int
    candidate: records.Member
    last_index: int
    last_term: int
    pre: bool = False
    handover: bool = False


class VoteReply(message.Message, frozen=True, kw_only=True):
    """The reply to a vote request of ``term``."""

    group: records.Group
    log_id: str
    term: int
    voter: str
    granted: bool
    pre: bool = False


class AppendRequest(message.Message, frozen=True, kw_only=True):
    """Entries after ``previous_index``; a heartbeat if there are none.

    ``sent_at`` is on the leader's clock and is compared only with it.
    """

    group: records.Group
    log_id: str
    term: int
    leader: records.Member
    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: datetime.datetime
    entries: tuple[records.Entry, ...] = ()


class AppendReply(message.Message, frozen=True, kw_only=True):
    """The index synced by the follower, or where its log conflicts."""

    group: records.Group
    log_id: str
    term: int
    follower: str
    success: bool
    match_index: int
    sent_at: datetime.datetime
    conflict_term: int = 0
    conflict_index: int = 0


class InstallRequest(message.Message, frozen=True, kw_only=True):
    """A part of an encoded snapshot for a member that lags far behind.

    ``last`` is set on the last part.
    """

    group: records.Group
    log_id: str
    term: int
    leader: records.Member
    index: int
    offset: int
    data: bytes
    last: bool
    sent_at: datetime.datetime


class InstallReply(message.Message, frozen=True, kw_only=True):
    """The number of bytes received; ``done`` once the snapshot is synced."""

    group: records.Group
    log_id: str
    term: int
    follower: str
    index: int
    offset: int
    done: bool
    sent_at: datetime.datetime


class HandOver(message.Message, frozen=True, kw_only=True):
    """The leader asks a caught-up member to start an election at once."""

    group: records.Group
    log_id: str
    term: int


class JoinRequest(message.Message, frozen=True, kw_only=True):
    """Sent by a host without a log, or one outside the configuration.

    A voter that has heard from no leader for a while sends it too, as it may
    have been replaced.
    """

    group: records.Group
    member: records.Member
    log_id: str = ""


class JoinReply(message.Message, frozen=True, kw_only=True):
    """The receiver of a join request and the id of its log, if any.

    ``first`` is the initial snapshot, until a later one is taken.
    """

    group: records.Group
    member: records.Member
    log_id: str = ""
    first: records.Snapshot | None = None


class ProposalCall(message.Message, frozen=True, kw_only=True):
    """A proposal forwarded to the leader."""

    group: records.Group
    proposal_id: str
    machine: str
    command: bytes
    reply_to: str


class ProposalReply(message.Message, frozen=True, kw_only=True):
    """The leader's reply to a forwarded proposal."""

    group: records.Group
    proposal_id: str
    committed: bool
    index: int = 0
    term: int = 0
    unknown: bool = False


PEER_MESSAGES: tuple[type[message.Message], ...] = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    InstallRequest,
    InstallReply,
    HandOver,
    JoinRequest,
    JoinReply,
    ProposalCall,
    ProposalReply,
)
