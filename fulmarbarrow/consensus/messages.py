"""Messages of the replicated log."""

from __future__ import annotations

import datetime

from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow import message

TERM_SHIFT_BITS = 40

Group = records.Group


def fencing_number(term: int, index: int) -> int:
    """Return a number that grows with the log and is never used twice."""
    return term << TERM_SHIFT_BITS | index


class Propose(message.Message, frozen=True, kw_only=True):
    """Asks the log's leader to commit a command.

    A member that does not lead passes it on. ``machine`` names the state
    machine that the command is for.
    """

    proposal_id: str
    group: Group
    command: bytes
    machine: str = ""


class ProposeResult(message.Message, frozen=True, kw_only=True):
    """A proposal was committed and applied at ``index``, or was not.

    ``committed`` False with ``unknown`` True means that it still may be.
    """

    proposal_id: str
    group: Group
    committed: bool
    index: int = 0
    term: int = 0
    unknown: bool = False
    leader: str = ""


class Applied(message.Message, frozen=True, kw_only=True):
    """Effect: the state machine named ``machine`` applies this command."""

    group: Group
    index: int
    term: int
    command: bytes
    machine: str = ""


class ReadBarrier(message.Message, frozen=True, kw_only=True):
    """Asks when everything committed before now has been applied here."""

    read_id: str
    group: Group


class ReadReady(message.Message, frozen=True, kw_only=True):
    """The state machine is fresh enough for the read, or the leader is not.

    ``leader`` is the known leader's daemon id when this is not it.
    """

    read_id: str
    group: Group
    ready: bool
    leader: str = ""


class LeaderChanged(message.Message, frozen=True, kw_only=True):
    """This daemon's knowledge of the leader changed.

    ``fencing_number`` grows with every leader and is never used twice.
    ``lease_until`` bounds this daemon's own leadership; None on others. It
    is told again, with a later end, whenever the lease is renewed.
    """

    group: Group
    term: int
    leader: str
    address: str
    fencing_number: int
    lease_until: datetime.datetime | None = None


class SnapshotWanted(message.Message, frozen=True, kw_only=True):
    """Effect: the group's state machines give their states.

    Each answers with SnapshotTaken before it applies another command.
    """

    group: Group
    index: int


class SnapshotTaken(message.Message, frozen=True, kw_only=True):
    """The group's state machine ``machine`` at ``index``."""

    group: Group
    index: int
    state: bytes
    machine: str = ""


class SnapshotRestored(message.Message, frozen=True, kw_only=True):
    """Effect: the state machine ``machine`` replaces its state with this."""

    group: Group
    index: int
    state: bytes
    machine: str = ""


class Persist(message.Message, frozen=True, kw_only=True):
    """Effect: write and sync, in the order of ``write_id``.

    ``entries`` replace everything stored from the first one's index on. With
    ``reset`` the whole stored log gives way to ``snapshot``.
    """

    group: Group
    write_id: int
    ballot: records.Ballot | None = None
    entries: tuple[records.Entry, ...] = ()
    snapshot: records.Snapshot | None = None
    reset: bool = False


class Persisted(message.Message, frozen=True, kw_only=True):
    """Everything up to ``write_id`` is synced."""

    group: Group
    write_id: int


PEER_MESSAGES = peer.PEER_MESSAGES
