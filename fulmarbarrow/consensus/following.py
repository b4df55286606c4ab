"""Log replication on a follower."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow.consensus import applying
from fulmarbarrow.consensus import effects
from fulmarbarrow.consensus import election as elections
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state


class FollowerReplication:
    """Receives entries and snapshots from the leader."""

    def __init__(
        self,
        *,
        node: state.Node,
        election: elections.Election,
        applier: applying.Applier,
    ) -> None:
        self._node = node
        self._election = election
        self._applier = applier
        self._snapshot_data = bytearray()
        self._snapshot_key = ("", 0, 0)

    def append_request(
        self, event: peer.AppendRequest, now: datetime.datetime
    ) -> None:
        """Append the leader's entries if the log matches before them."""
        node = self._node
        if event.term < node.term:
            self._reply_append(event, success=False, match_index=0)
            return
        self._election.observe_term(event.term, now)
        self._election.follow_leader(event.leader, now)
        log = node.log
        known_term = log.term_at(event.previous_index)
        # Entries up to the base index are committed, so they match.
        compacted = event.previous_index < log.base_index
        if not compacted and known_term != event.previous_term:
            self._reply_conflict(event, known_term)
            return
        self._append(event.entries)
        match_index = event.previous_index + len(event.entries)
        self._reply_append(event, success=True, match_index=match_index)
        self._applier.commit(min(event.commit_index, match_index))

    def install_request(
        self, event: peer.InstallRequest, now: datetime.datetime
    ) -> bool:
        """Receive a part of a snapshot.

        Returns whether it was the last one of the first log on this host.
        """
        node = self._node
        if event.term < node.term:
            self._reply_install(event, done=False)
            return False
        if event.term > node.term and not node.has_log:
            node.set_ballot(event.term, "")
        self._election.observe_term(event.term, now)
        if node.has_log:
            self._election.follow_leader(event.leader, now)
        snapshot_key = (event.leader.member_id, event.term, event.index)
        if snapshot_key != self._snapshot_key:
            self._snapshot_key = snapshot_key
            self._snapshot_data = bytearray()
        if event.offset == len(self._snapshot_data):
            self._snapshot_data += event.data
        complete = event.last and len(
            self._snapshot_data
        ) == event.offset + len(event.data)
        if not complete:
            self._reply_install(event, done=False)
            return False
        snapshot = msgspec.msgpack.decode(
            self._snapshot_data, type=records.Snapshot
        )
        self._snapshot_data = bytearray()
        formed = self._install(snapshot)
        self._reply_install(event, done=True)
        return formed

    def _install(self, snapshot: records.Snapshot) -> bool:
        node = self._node
        if not node.has_log:
            node.open_log(snapshot)
            node.persist(snapshot=snapshot, reset=True)
            self._applier.restore(snapshot)
            return True
        if snapshot.index > node.commit_index:
            dropped = node.log.replace(snapshot)
            node.persist(snapshot=snapshot, reset=dropped)
            node.commit_index = node.applied_index = snapshot.index
            self._applier.restore(snapshot)
        return False

    def _append(self, entries: tuple[records.Entry, ...]) -> None:
        node = self._node
        log = node.log
        for position, entry in enumerate(entries):
            if entry.index <= log.base_index:
                continue
            known_term = log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                # Raft never replaces a committed entry.
                if entry.index <= node.commit_index:
                    reason = (
                        f"the leader's entry {entry.index} conflicts with a "
                        f"committed one"
                    )
                    raise AssertionError(reason)
                log.truncate(entry.index)
            new_entries = entries[position:]
            for new_entry in new_entries:
                log.append(new_entry)
            node.persist(entries=new_entries)
            return

    def _reply_conflict(
        self, event: peer.AppendRequest, known_term: int | None
    ) -> None:
        log = self._node.log
        if known_term is None:
            self._reply_append(
                event,
                success=False,
                match_index=0,
                conflict_index=log.last_index + 1,
            )
            return
        self._reply_append(
            event,
            success=False,
            match_index=0,
            conflict_term=known_term,
            conflict_index=log.first_index_of_same_term(event.previous_index),
        )

    def _reply_append(
        self,
        event: peer.AppendRequest,
        *,
        success: bool,
        match_index: int,
        conflict_term: int = 0,
        conflict_index: int = 0,
    ) -> None:
        node = self._node
        reply = peer.AppendReply(
            group=node.group,
            log_id=node.log_id,
            term=node.term,
            follower=node.me.member_id,
            success=success,
            match_index=match_index,
            sent_at=event.sent_at,
            conflict_term=conflict_term,
            conflict_index=conflict_index,
        )
        node.emit_when_synced(effects.send_to(event.leader, reply))

    def _reply_install(
        self, event: peer.InstallRequest, *, done: bool
    ) -> None:
        node = self._node
        reply = peer.InstallReply(
            group=node.group,
            log_id=event.log_id,
            term=node.term,
            follower=node.me.member_id,
            index=event.index,
            offset=len(self._snapshot_data),
            done=done,
            sent_at=event.sent_at,
        )
        node.emit_when_synced(effects.send_to(event.leader, reply))
