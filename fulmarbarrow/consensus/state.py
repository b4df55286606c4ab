"""State of one member of a replicated log."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import enum
import random

from fulmarbarrow.consensus import log as logs
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module


class Role(enum.StrEnum):
    """Role of a member in its current term.

    A host is UNFORMED until it has a log.
    """

    UNFORMED = "unformed"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredState:
    """State read from disk at start; without ``snapshot`` there is no log."""

    ballot: records.Ballot
    snapshot: records.Snapshot | None
    entries: tuple[records.Entry, ...] = ()


@dataclasses.dataclass(kw_only=True)
class Progress:
    """The leader's replication state for a member or learner.

    Entries up to ``match_index`` are known to be synced there. While
    ``in_flight_since`` is set, entries or a snapshot part sent at that time
    have no reply yet and no others are sent. ``acked_sent_at`` is when the
    latest message that was replied to was sent; ``last_reply_at`` is when its
    latest reply arrived. ``copies`` counts how often what is in flight was
    sent again. ``install_offset`` is the next byte to send of the snapshot at
    ``install_index``, which is ``install_data``, or None if none is needed.
    """

    member: records.Member
    next_index: int
    match_index: int = 0
    in_flight_since: datetime.datetime | None = None
    last_reply_at: datetime.datetime | None = None
    acked_sent_at: datetime.datetime | None = None
    copies: int = 0
    install_offset: int | None = None
    install_index: int = 0
    install_data: bytes = b""

    def end_install(self) -> None:
        """Send entries from now on."""
        self.install_offset = None
        self.install_data = b""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingWrite:
    """A write that is not synced yet and the effects that wait for it."""

    write_id: int
    term: int
    last_index: int
    last_term: int
    ballot: records.Ballot | None
    held_effects: list[message.Message]


class Node:
    """State shared by the components of a consensus core.

    The components append their effects to ``effects``; the core returns them
    after each event.
    """

    def __init__(
        self,
        *,
        group: records.Group,
        me: records.Member,
        founder_ids: frozenset[str],
        stored: StoredState,
        machines: tuple[str, ...],
        rng: random.Random,
        metrics: metrics_module.Metrics,
        now: datetime.datetime,
    ) -> None:
        self.group = group
        self.me = me
        self.founder_ids = founder_ids
        self.machines = machines
        self.rng = rng
        self.metrics = metrics
        self.role = Role.UNFORMED
        self.ballot = self.synced_ballot = stored.ballot
        self._log: logs.Log | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.leader: records.Member | None = None
        self.leader_heard_at = now
        self.election_due_at = now
        self.leaving = False
        self.effects: list[message.Message] = []
        self._pending_writes: collections.deque[PendingWrite] = (
            collections.deque()
        )
        self._next_write_id = 1
        if stored.snapshot is not None:
            self.open_log(stored.snapshot, stored.entries)

    @property
    def log(self) -> logs.Log:
        """The log; raises RuntimeError if this host has none yet."""
        if self._log is None:
            raise RuntimeError("this host has no log")
        return self._log

    @property
    def has_log(self) -> bool:
        """Whether this host has a log."""
        return self._log is not None

    @property
    def log_id(self) -> str:
        """The id of the log; empty if this host has none yet."""
        return self._log.snapshot.log_id if self._log else ""

    @property
    def term(self) -> int:
        """The current term."""
        return self.ballot.term

    @property
    def is_voter(self) -> bool:
        """Whether this host is a voting member."""
        if self._log is None:
            return False
        return self.log.configuration.find(self.me.member_id) is not None

    @property
    def is_only_voter(self) -> bool:
        """Whether this host is the only voting member."""
        return self.is_voter and len(self.log.configuration.members) == 1

    @property
    def other_voters(self) -> list[records.Member]:
        """The other voting members."""
        return [
            member
            for member in self.log.configuration.members
            if member.member_id != self.me.member_id
        ]

    def open_log(
        self,
        snapshot: records.Snapshot,
        entries: collections.abc.Iterable[records.Entry] = (),
    ) -> None:
        """Open a log that was read from disk, received or just formed."""
        self._log = logs.Log(snapshot=snapshot, entries=entries)
        self.commit_index = self.applied_index = snapshot.index

    def send(
        self,
        member: records.Member,
        body: message.Message,
        urgent: bool = True,
    ) -> None:
        """Send a message to another member without waiting for a sync."""
        self.effects.append(
            message.Send(address=member.address, message=body, urgent=urgent)
        )

    def persist(
        self,
        *,
        entries: tuple[records.Entry, ...] = (),
        snapshot: records.Snapshot | None = None,
        ballot: bool = False,
        reset: bool = False,
    ) -> None:
        """Emit a write; effects held from now on wait until it is synced."""
        write_id = self._next_write_id
        self._next_write_id += 1
        self._pending_writes.append(
            PendingWrite(
                write_id=write_id,
                term=self.term,
                last_index=entries[-1].index if entries else 0,
                last_term=entries[-1].term if entries else 0,
                ballot=self.ballot if ballot else None,
                held_effects=[],
            )
        )
        self.effects.append(
            messages.Persist(
                group=self.group,
                write_id=write_id,
                ballot=self.ballot if ballot else None,
                entries=entries,
                snapshot=snapshot,
                reset=reset,
            )
        )

    def emit_when_synced(self, effect: message.Message) -> None:
        """Emit an effect once all writes so far are synced.

        The effect is dropped if a later term has begun by then: it would
        make a promise that this member no longer keeps.
        """
        if self._pending_writes:
            self._pending_writes[-1].held_effects.append(effect)
        else:
            self.effects.append(effect)

    def release_synced(self, write_id: int) -> None:
        """Release the effects that waited for writes up to ``write_id``."""
        while (
            self._pending_writes
            and self._pending_writes[0].write_id <= write_id
        ):
            write = self._pending_writes.popleft()
            if write.ballot is not None:
                self.synced_ballot = write.ballot
            if write.last_index:
                self.log.mark_synced(write.last_index, write.last_term)
            if write.term == self.term:
                self.effects.extend(write.held_effects)

    def set_ballot(self, term: int, vote: str) -> None:
        """Enter a term or vote in it, and write this to disk."""
        self.ballot = records.Ballot(term=term, vote=vote)
        self.persist(ballot=True)

    def append(
        self,
        kind: records.EntryKind,
        data: bytes = b"",
        machine: str = "",
    ) -> records.Entry:
        """Append an entry of the current term to the log and write it."""
        entry = records.Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            data=data,
            machine=machine,
        )
        self.log.append(entry)
        self.persist(entries=(entry,))
        return entry

    def take_effects(self) -> list[message.Message]:
        """Return and clear the effects collected so far."""
        effects, self.effects = self.effects, []
        return effects
