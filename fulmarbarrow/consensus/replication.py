"""Log replication on the leader."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow.consensus import timing

MAX_BATCH_ENTRIES = 512
# Heartbeats wait behind these bytes on a leader's link.
MAX_BATCH_BYTES = 128 << 10
SNAPSHOT_PART_BYTES = 128 << 10
# Each copy without a reply doubles the wait for the next one, this many times.
MAX_BACKOFF = 2


class Replication:
    """Sends entries and snapshots, and tracks what each host has synced."""

    def __init__(self, *, node: state.Node) -> None:
        self._node = node
        self._progress: dict[str, state.Progress] = {}
        self._encoded_snapshot: tuple[int, bytes] = (-1, b"")
        self._started_at = node.leader_heard_at

    def start(self, now: datetime.datetime) -> None:
        """Start replication to all members at the start of a leadership."""
        self._progress = {}
        self._started_at = now
        for member in self._node.other_voters:
            self.add(member)

    def end(self) -> None:
        """Stop replication to all hosts."""
        self._progress = {}

    def add(self, member: records.Member) -> None:
        """Start replication to a member or a joining host."""
        if member.member_id not in self._progress:
            self._progress[member.member_id] = state.Progress(
                member=member, next_index=self._node.log.last_index + 1
            )

    def remove(self, member_id: str) -> None:
        """Stop replication to a host."""
        self._progress.pop(member_id, None)

    def progress(self, member_id: str) -> state.Progress | None:
        """Return the replication state of a host, or None."""
        return self._progress.get(member_id)

    def send_entries(self, now: datetime.datetime) -> None:
        """Send new entries to each host with no entries in flight."""
        last = self._node.log.last_index
        for progress in self._progress.values():
            if (
                progress.in_flight_since is None
                and progress.next_index <= last
            ):
                self._send(progress, now)

    def send_heartbeats(self, now: datetime.datetime) -> None:
        """Send entries or a heartbeat to every host; resend lost entries."""
        for progress in self._progress.values():
            wait = timing.RESEND_AFTER * 2 ** min(progress.copies, MAX_BACKOFF)
            timed_out = (
                progress.in_flight_since is not None
                and now - progress.in_flight_since >= wait
            )
            if timed_out:
                progress.copies += 1
                progress.in_flight_since = None
                progress.next_index = min(
                    progress.next_index, progress.match_index + 1
                )
            if progress.in_flight_since is None:
                self._send(progress, now)
            else:
                self._send_heartbeat(progress, now)

    def send_commit(self, now: datetime.datetime) -> None:
        """Send a new commit index at once to hosts that lack no entries."""
        last = self._node.log.last_index
        for progress in self._progress.values():
            if progress.in_flight_since is None and progress.next_index > last:
                self._send_heartbeat(progress, now)

    def append_reply(
        self, event: peer.AppendReply, now: datetime.datetime
    ) -> None:
        """Update a host's progress, or go back to where its log matches."""
        progress = self._progress.get(event.follower)
        if progress is None:
            return
        self._record_reply(progress, event.sent_at, now)
        if event.success:
            if event.match_index > progress.match_index:
                progress.copies = 0
            progress.match_index = max(progress.match_index, event.match_index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            progress.end_install()
        elif (
            event.sent_at == progress.in_flight_since
            or not progress.in_flight_since
        ):
            # A conflict in reply to an older message than the one in flight
            # is ignored.
            progress.next_index = self._index_after_conflict(event, progress)
        if (
            progress.in_flight_since
            and event.sent_at > progress.in_flight_since
        ):
            # A reply to a later message came first, so the entries were lost.
            progress.next_index = progress.match_index + 1
        if (
            progress.in_flight_since
            and event.sent_at >= progress.in_flight_since
        ):
            progress.in_flight_since = None
        behind = progress.next_index <= self._node.log.last_index
        if progress.in_flight_since is None and (behind or not event.success):
            self._send(progress, now)

    def install_reply(
        self, event: peer.InstallReply, now: datetime.datetime
    ) -> None:
        """Send the next part of a snapshot, or the entries after it.

        A reply that shows progress counts even if the part was sent again
        meanwhile. One that shows none counts for the latest copy only: the
        host may have lost what it had received.
        """
        progress = self._progress.get(event.follower)
        if progress is None:
            return
        self._record_reply(progress, event.sent_at, now)
        offset = progress.install_offset
        if offset is None or event.index != progress.install_index:
            return
        advanced = event.done or event.offset > offset
        if not advanced and event.sent_at != progress.in_flight_since:
            return
        progress.in_flight_since = None
        if advanced:
            progress.copies = 0
        if event.done:
            progress.end_install()
            progress.match_index = max(progress.match_index, event.index)
            progress.next_index = progress.match_index + 1
        else:
            progress.install_offset = event.offset
        self._send(progress, now)

    def quorum_contact(self, now: datetime.datetime) -> datetime.datetime:
        """Return when a quorum is last known to have followed this leader.

        It is measured on this member's own clock, as the time at which the
        messages were sent that a quorum has replied to.
        """
        times = [now] if self._node.is_voter else []
        for member in self._node.other_voters:
            progress = self._progress.get(member.member_id)
            acked = progress.acked_sent_at if progress else None
            times.append(acked or self._started_at)
        times.sort(reverse=True)
        return times[self._node.log.configuration.quorum - 1]

    def quorum_index(self) -> int:
        """Return the highest index that a quorum has synced."""
        node = self._node
        indexes = [node.log.synced_index] if node.is_voter else []
        for member in node.other_voters:
            progress = self._progress.get(member.member_id)
            indexes.append(progress.match_index if progress else 0)
        indexes.sort(reverse=True)
        return indexes[node.log.configuration.quorum - 1]

    def _record_reply(
        self,
        progress: state.Progress,
        sent_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        progress.last_reply_at = now
        if progress.acked_sent_at is None or sent_at > progress.acked_sent_at:
            progress.acked_sent_at = sent_at

    def _index_after_conflict(
        self, event: peer.AppendReply, progress: state.Progress
    ) -> int:
        """Return the next index to try after a conflict."""
        next_index = event.conflict_index
        if event.conflict_term:
            last_own = self._node.log.last_index_of_term(event.conflict_term)
            if last_own is not None and last_own < event.conflict_index:
                next_index = last_own + 1
        return max(progress.match_index + 1, min(next_index, 1 << 62), 1)

    def _send(self, progress: state.Progress, now: datetime.datetime) -> None:
        log = self._node.log
        progress.next_index = min(progress.next_index, log.last_index + 1)
        previous = progress.next_index - 1
        term = log.term_at(previous)
        if term is None or self._needs_snapshot(progress):
            self._send_snapshot(progress, now)
            return
        entries = log.entries_after(
            previous, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES
        )
        self._send_append(progress, previous, term, entries, now)
        if entries:
            progress.in_flight_since = now
            progress.next_index = entries[-1].index + 1

    def _send_heartbeat(
        self, progress: state.Progress, now: datetime.datetime
    ) -> None:
        """Send the commit index without entries.

        It follows the last index that is known to match, or the base index if
        that one is no longer in memory.
        """
        log = self._node.log
        previous = progress.match_index
        term = log.term_at(previous)
        if term is None:
            previous, term = log.base_index, log.term_at(log.base_index)
        self._send_append(progress, previous, term or 0, (), now)

    def _send_append(
        self,
        progress: state.Progress,
        previous: int,
        term: int,
        entries: tuple[records.Entry, ...],
        now: datetime.datetime,
    ) -> None:
        node = self._node
        request = peer.AppendRequest(
            group=node.group,
            log_id=node.log_id,
            term=node.term,
            leader=node.me,
            previous_index=previous,
            previous_term=term,
            commit_index=node.commit_index,
            sent_at=now,
            entries=entries,
        )
        node.send(progress.member, request)

    def _send_snapshot(
        self, progress: state.Progress, now: datetime.datetime
    ) -> None:
        node = self._node
        if not progress.install_data:
            progress.install_data = self._encode_snapshot()
            progress.install_index = node.log.snapshot.index
            progress.install_offset = 0
        # The snapshot that the installation began with is sent to its end, as
        # newer ones may come faster than they can be sent.
        data, index = progress.install_data, progress.install_index
        offset = progress.install_offset or 0
        progress.install_offset = offset
        progress.in_flight_since = now
        part = data[offset : offset + SNAPSHOT_PART_BYTES]
        request = peer.InstallRequest(
            group=node.group,
            log_id=node.log_id,
            term=node.term,
            leader=node.me,
            index=index,
            offset=offset,
            data=part,
            last=offset + len(part) >= len(data),
            sent_at=now,
        )
        node.send(progress.member, request)

    def _encode_snapshot(self) -> bytes:
        snapshot = self._node.log.snapshot
        if self._encoded_snapshot[0] != snapshot.index:
            encoded = msgspec.msgpack.encode(snapshot)
            self._encoded_snapshot = (snapshot.index, encoded)
        return self._encoded_snapshot[1]

    def _needs_snapshot(self, progress: state.Progress) -> bool:
        """Return whether a host may have no log to append to."""
        if progress.install_offset is not None:
            return True
        configuration = self._node.log.configuration
        is_learner = configuration.find(progress.member.member_id) is None
        return is_learner and progress.last_reply_at is None
