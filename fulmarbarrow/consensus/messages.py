"""Messages of the replicated log."""

from __future__ import annotations

import datetime
import enum

from fulmarbarrow import message


class Group(enum.StrEnum):
    """The replicated logs of the system."""

    CONFIGURATION = "configuration"
    JOURNAL = "journal"


class Propose(message.Message, frozen=True, kw_only=True):
    """Asks the log's leader to commit a command."""

    proposal_id: str
    group: Group
    command: bytes


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
    """Effect: every state machine of the group applies this command."""

    group: Group
    index: int
    term: int
    command: bytes


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
    ``lease_until`` bounds this daemon's own leadership; None on others.
    """

    group: Group
    term: int
    leader: str
    address: str
    fencing_number: int
    lease_until: datetime.datetime | None = None


class SnapshotWanted(message.Message, frozen=True, kw_only=True):
    """Effect: the group's state machine gives its state for a snapshot."""

    group: Group
    index: int


class SnapshotTaken(message.Message, frozen=True, kw_only=True):
    """The group's state machine at ``index``."""

    group: Group
    index: int
    state: bytes


class SnapshotRestored(message.Message, frozen=True, kw_only=True):
    """Effect: the group's state machine replaces its state with this."""

    group: Group
    index: int
    state: bytes


PEER_MESSAGES: tuple[type, ...] = ()
