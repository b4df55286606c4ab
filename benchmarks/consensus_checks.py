"""What must hold of a replicated log at every step."""

from __future__ import annotations

import datetime

from fulmarbarrow.consensus import core as consensus_core
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow import message


class ViolationError(AssertionError):
    """Something that must always hold did not."""


class Checks:
    """Watches all hosts of one group from outside."""

    def __init__(self) -> None:
        self._leaders: dict[int, str] = {}
        self._entries: dict[tuple[int, int], records.Entry] = {}
        self._applied: dict[int, messages.Applied] = {}
        self._next: dict[str, int] = {}
        self._acknowledged: dict[int, str] = {}
        self._votes: dict[tuple[str, int], str] = {}
        self._fencing: dict[int, str] = {}
        self._highest_fencing = 0
        self._asked: dict[str, int] = {}
        self._led: set[int] = set()
        self._seen: dict[str, int] = {}

    @property
    def leaders(self) -> int:
        """The number of terms that had a leader."""
        return len(self._leaders)

    def host(self, name: str, seen: consensus_core.Inspection) -> None:
        """Check one host's log and role."""
        if seen.log is None:
            return
        log = seen.log
        for index in range(
            max(log.base_index + 1, self._seen.get(name, 0) - 8),
            log.last_index + 1,
        ):
            entry = log.entry(index)
            known = self._entries.setdefault((index, entry.term), entry)
            if known != entry:
                raise ViolationError(f"log matching at {index}")
        self._seen[name] = log.last_index
        if seen.role is state.Role.LEADER:
            first = self._leaders.setdefault(seen.term, seen.member)
            if first != seen.member:
                raise ViolationError(f"two leaders of term {seen.term}")
            if seen.term not in self._led:
                self._led.add(seen.term)
                self._complete(seen)

    def _complete(self, seen: consensus_core.Inspection) -> None:
        log = seen.log
        for index, applied in self._applied.items():
            if index <= log.base_index:
                continue
            entry = log.entry(index)
            if entry is None or entry.data != applied.command:
                raise ViolationError(f"leader lacks committed entry {index}")

    def applied(self, name: str, event: messages.Applied) -> None:
        """Check that all hosts apply the same command at an index."""
        known = self._applied.setdefault(event.index, event)
        if known != event:
            raise ViolationError(f"two commands applied at {event.index}")

    def acknowledged(self, result: messages.ProposeResult) -> None:
        """Check that an acknowledged proposal was applied where it says."""
        self._acknowledged[result.index] = result.proposal_id
        applied = self._applied.get(result.index)
        if applied is None or applied.command.decode() != result.proposal_id:
            raise ViolationError(f"{result.proposal_id} is not applied")

    def sent(self, send: message.Send) -> None:
        """Check that no member votes for two candidates in a term."""
        vote = send.message
        if not isinstance(vote, peer.VoteReply):
            return
        if vote.pre or not vote.granted:
            return
        key = (vote.voter, vote.term)
        first = self._votes.setdefault(key, send.address)
        if first != send.address:
            raise ViolationError(f"{vote.voter} votes twice in {vote.term}")

    def fencing(self, name: str, event: messages.LeaderChanged) -> None:
        """Check that fencing numbers grow and belong to one leadership."""
        owner = f"{name} {event.term}"
        number = event.fencing_number
        if self._fencing.setdefault(number, owner) != owner:
            raise ViolationError(f"fencing number {number} used twice")
        if number < self._highest_fencing:
            raise ViolationError(f"fencing number {number} is old")
        self._highest_fencing = number

    def leases(self, holders: list[str], time: datetime.timedelta) -> None:
        """Check that at most one host holds a leader lease."""
        if len(holders) > 1:
            raise ViolationError(f"leases of {holders} overlap at {time}")

    def asked(self, read_id: str) -> None:
        """Note what a read that is asked now must see."""
        self._asked[read_id] = max(self._acknowledged, default=0)

    def read(self, event: messages.ReadReady, applied: int) -> None:
        """Check that a read sees everything acknowledged before it."""
        if event.ready and applied < self._asked[event.read_id]:
            raise ViolationError(f"stale read {event.read_id}")

    def converged(self, machines: list[list[bytes]], leads: bool) -> None:
        """Check that the healed group is whole and lost nothing."""
        if not leads:
            raise ViolationError("no leader after all faults healed")
        if any(machine != machines[0] for machine in machines):
            raise ViolationError("state machines differ after healing")
        present = {command.decode() for command in machines[0]}
        lost = set(self._acknowledged.values()) - present
        if lost:
            raise ViolationError(f"acknowledged and lost: {sorted(lost)}")
