"""What the replicated log is made of: entries, members, snapshots."""

from __future__ import annotations

import enum
import hashlib

import msgspec


class Group(enum.StrEnum):
    """The replicated logs of the system."""

    CONFIGURATION = "configuration"
    JOURNAL = "journal"


class EntryKind(enum.StrEnum):
    """What an entry of the log is for."""

    NOOP = "noop"
    COMMAND = "command"
    CONFIGURATION = "configuration"


class Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of the records that are stored and sent."""


class Entry(Record, frozen=True, kw_only=True, array_like=True):
    """One entry of the log; ``machine`` names the state machine it is for."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    machine: str = ""


class Member(Record, frozen=True, kw_only=True, array_like=True):
    """A control host that holds the log.

    ``identity`` is drawn when its data folder is made, so that a host whose
    disk was replaced is another member.
    """

    daemon_id: str
    identity: str
    address: str

    @property
    def member_id(self) -> str:
        """The name under which this member votes and acknowledges."""
        return f"{self.daemon_id}/{self.identity}"


class Configuration(Record, frozen=True, kw_only=True, array_like=True):
    """The voting members."""

    members: tuple[Member, ...] = ()

    @property
    def quorum(self) -> int:
        """The number of members that make a majority."""
        return len(self.members) // 2 + 1

    def find(self, member_id: str) -> Member | None:
        """Return the member of this id, or None."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        return None

    def holder(self, daemon_id: str) -> Member | None:
        """Return the member that runs as this daemon, or None."""
        for member in self.members:
            if member.daemon_id == daemon_id:
                return member
        return None

    def with_member(self, member: Member) -> Configuration:
        """Return the configuration with one member more."""
        return Configuration(members=(*self.members, member))

    def without(self, member_id: str) -> Configuration:
        """Return the configuration with one member less."""
        kept = (m for m in self.members if m.member_id != member_id)
        return Configuration(members=tuple(kept))


class Ballot(Record, frozen=True, kw_only=True, array_like=True):
    """The term and the member id that this member voted for in it."""

    term: int = 0
    vote: str = ""


class MachineState(Record, frozen=True, kw_only=True, array_like=True):
    """The state of one state machine within a snapshot."""

    machine: str
    state: bytes


class Snapshot(Record, frozen=True, kw_only=True, array_like=True):
    """Everything up to ``index``; each log starts with one at index 0.

    ``log_id`` tells logs of the same group apart that were formed by
    different first members.
    """

    index: int
    term: int
    log_id: str
    configuration: Configuration
    machines: tuple[MachineState, ...] = ()


def first_snapshot(group: Group, members: tuple[Member, ...]) -> Snapshot:
    """Return the start of a log that these members form."""
    ordered = tuple(sorted(members, key=lambda member: member.member_id))
    text = "\n".join((group.value, *(m.member_id for m in ordered)))
    return Snapshot(
        index=0,
        term=0,
        log_id=hashlib.blake2b(text.encode(), digest_size=8).hexdigest(),
        configuration=Configuration(members=ordered),
    )
