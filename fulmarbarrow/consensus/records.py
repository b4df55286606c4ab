"""Records of the replicated log: entries, members, snapshots."""

from __future__ import annotations

import enum
import hashlib

import msgspec


class Group(enum.StrEnum):
    """The replicated logs of the system."""

    CONFIGURATION = "configuration"
    JOURNAL = "journal"


class EntryKind(enum.StrEnum):
    """The purpose of a log entry."""

    NOOP = "noop"
    COMMAND = "command"
    CONFIGURATION = "configuration"


class Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of records that are stored on disk and sent to peers."""


class Entry(Record, frozen=True, kw_only=True, array_like=True):
    """One entry of the log; ``machine`` names the state machine it is for."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    machine: str = ""


class Member(Record, frozen=True, kw_only=True, array_like=True):
    """A control host that stores the log.

    ``identity`` is generated when its data folder is created, so a host whose
    disk was replaced is another member.
    """

    daemon_id: str
    identity: str
    address: str

    @property
    def member_id(self) -> str:
        """The id under which this member votes and acknowledges entries."""
        return f"{self.daemon_id}/{self.identity}"


class Configuration(Record, frozen=True, kw_only=True, array_like=True):
    """The voting members."""

    members: tuple[Member, ...] = ()

    @property
    def quorum(self) -> int:
        """The number of members that make a majority."""
        return len(self.members) // 2 + 1

    def find(self, member_id: str) -> Member | None:
        """Return the member with this id, or None."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    def member_of_daemon(self, daemon_id: str) -> Member | None:
        """Return the member with this daemon id, or None."""
        for member in self.members:
            if member.daemon_id == daemon_id:
                return member
        return None

    def with_member(self, member: Member) -> Configuration:
        """Return the configuration with a member added."""
        return Configuration(members=(*self.members, member))

    def without_member(self, member_id: str) -> Configuration:
        """Return the configuration with a member removed."""
        remaining = (m for m in self.members if m.member_id != member_id)
        return Configuration(members=tuple(remaining))


class Ballot(Record, frozen=True, kw_only=True, array_like=True):
    """The current term and the id of the member voted for in it."""

    term: int = 0
    vote: str = ""


class MachineState(Record, frozen=True, kw_only=True, array_like=True):
    """The state of one state machine within a snapshot."""

    machine: str
    state: bytes


class Snapshot(Record, frozen=True, kw_only=True, array_like=True):
    """The state after the entry at ``index``; each log starts with one at 0.

    ``log_id`` distinguishes logs of the same group that were formed by
    different initial members.
    """

    index: int
    term: int
    log_id: str
    configuration: Configuration
    machines: tuple[MachineState, ...] = ()


def initial_snapshot(group: Group, members: tuple[Member, ...]) -> Snapshot:
    """Return the initial snapshot of a log formed by these members."""
    ordered = tuple(sorted(members, key=lambda member: member.member_id))
    text = "\n".join((group.value, *(m.member_id for m in ordered)))
    return Snapshot(
        index=0,
        term=0,
        log_id=hashlib.blake2b(text.encode(), digest_size=8).hexdigest(),
        configuration=Configuration(members=ordered),
    )
