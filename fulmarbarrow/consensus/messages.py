"""Messages of the replicated log."""

from __future__ import annotations

import datetime

from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow import message

TERM_SHIFT_BITS = 40

Group = records.Group


def fencing_number(term: int, index: int) -> int:
    """Return a number that increases with the log and is never reused."""
    return term << TERM_SHIFT_BITS | index


class Propose(message.Message, frozen=True, kw_only=True):
    """Asks the log's leader to commit a command.

    A member that is not the leader forwards it. ``machine`` names the state
    machine that the command is for.
    """

    proposal_id: str
    group: Group
    command: bytes
    machine: str = ""


class ProposeResult(message.Message, frozen=True, kw_only=True):
    """A proposal was committed and applied at ``index``, or was not.

    If ``unknown`` is set, the command may still be committed later.
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
    """Asks to be told once all commands committed so far are applied here."""

    read_id: str
    group: Group


class ReadReady(message.Message, frozen=True, kw_only=True):
    """The result of a read barrier.

    ``ready`` is set if the state machine has applied all commands that were
    committed before the barrier. If it is not set, this member is not the
    leader, and ``leader`` is the daemon id of the leader, if known.
    """

    read_id: str
    group: Group
    ready: bool
    leader: str = ""


class LeaderChanged(message.Message, frozen=True, kw_only=True):
    """The leader known to this daemon changed, or its lease was renewed.

    ``fencing_number`` increases with every leader and is never reused.
    ``lease_until`` is the end of the lease if this daemon is the leader, and
    None otherwise. The message is repeated when the lease is renewed.
    """

    group: Group
    term: int
    leader: str
    address: str
    fencing_number: int
    lease_until: datetime.datetime | None = None


class ContactsWanted(message.Message, frozen=True, kw_only=True):
    """Asks which control hosts this one hears."""

    group: Group


class Contacts(message.Message, frozen=True, kw_only=True):
    """The addresses of the control hosts heard lately, with this one."""

    group: Group
    addresses: tuple[str, ...]


class SnapshotWanted(message.Message, frozen=True, kw_only=True):
    """Effect: request the state of each of the group's state machines.

    Each replies with SnapshotTaken before it applies another command.
    """

    group: Group
    index: int


class SnapshotTaken(message.Message, frozen=True, kw_only=True):
    """The state of the state machine ``machine`` at ``index``."""

    group: Group
    index: int
    state: bytes
    machine: str = ""


class SnapshotRestored(message.Message, frozen=True, kw_only=True):
    """Effect: the state machine ``machine`` replaces its state with this.

    ``state`` is empty if the snapshot has no state of this machine.
    """

    group: Group
    index: int
    state: bytes
    machine: str = ""


class Persist(message.Message, frozen=True, kw_only=True):
    """Effect: write and sync, in the order of ``write_id``.

    ``entries`` replace all stored entries from the index of the first one on.
    With ``reset``, ``snapshot`` replaces the whole stored log.
    """

    group: Group
    write_id: int
    ballot: records.Ballot | None = None
    entries: tuple[records.Entry, ...] = ()
    snapshot: records.Snapshot | None = None
    reset: bool = False


class Persisted(message.Message, frozen=True, kw_only=True):
    """All writes up to ``write_id`` are synced."""

    group: Group
    write_id: int


PEER_MESSAGES = peer.PEER_MESSAGES
