"""The leader's heartbeats, commits, lease and leadership transfer."""

from __future__ import annotations

import datetime

from fulmarbarrow.consensus import applying
from fulmarbarrow.consensus import effects
from fulmarbarrow.consensus import joining as joining_module
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import proposals as proposals_module
from fulmarbarrow.consensus import reading
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import replication as replications
from fulmarbarrow.consensus import state
from fulmarbarrow.consensus import timing


class Leadership:
    """The work of a leader from its election until it steps down."""

    def __init__(
        self,
        *,
        node: state.Node,
        replication: replications.Replication,
        joining: joining_module.Joining,
        proposals: proposals_module.Proposals,
        reads: reading.ReadBarriers,
        applier: applying.Applier,
    ) -> None:
        self._node = node
        self._replication = replication
        self._joining = joining
        self._proposals = proposals
        self._reads = reads
        self._applier = applier
        self._noop_index = 0
        self._last_heartbeat_at = node.leader_heard_at
        self._lease_until: datetime.datetime | None = None
        self._handover_until: datetime.datetime | None = None
        self._announced_lease_until = node.leader_heard_at
        self._must_step_down = False

    @property
    def ready(self) -> bool:
        """Whether this leader has committed an entry of its term."""
        is_leader = self._node.role is state.Role.LEADER
        return is_leader and self._node.applied_index >= self._noop_index

    @property
    def must_step_down(self) -> bool:
        """Whether the quorum was lost or a leadership transfer timed out.

        After a transfer the leader can't resume its lease, as the chosen
        member may still start its election later.
        """
        return self._must_step_down

    @property
    def lease_until(self) -> datetime.datetime | None:
        """The time before which no other member can lead; None if no lease."""
        return self._lease_until

    def start(self, now: datetime.datetime) -> None:
        """Become leader of the current term."""
        self._must_step_down = False
        self._handover_until = None
        self._lease_until = None
        self._announced_lease_until = now
        self._replication.start(now)
        self._joining.start(now)
        noop = self._node.append(records.EntryKind.NOOP)
        self._noop_index = noop.index
        self._proposals.start()
        self._send_heartbeats(now)

    def end(self) -> None:
        """Answer all requests that wait for this leader."""
        self._lease_until = None
        self._replication.end()
        self._proposals.end()
        self._reads.end()

    def tick(self, now: datetime.datetime) -> None:
        """Send due heartbeats; check the quorum and the transfer."""
        if self._handover_until is not None and now >= self._handover_until:
            self._must_step_down = True
        if now - self._last_heartbeat_at >= timing.HEARTBEAT:
            self._send_heartbeats(now)
        contact = self._replication.quorum_contact(now)
        if now - contact > timing.QUORUM_TIMEOUT:
            self._must_step_down = True
        self.advance(now)
        if self._node.leaving:
            self.hand_over(now)

    def advance(self, now: datetime.datetime) -> None:
        """Commit entries that a quorum has synced, and renew the lease."""
        node = self._node
        index = self._replication.quorum_index()
        is_new = index > node.commit_index
        if is_new and node.log.term_at(index) == node.term:
            self._applier.commit(index)
            self._replication.send_commit(now)
        self._renew_lease(now)
        if self.ready:
            self._reads.confirm(self._replication.quorum_contact(now))
        self._replication.send_entries(now)

    def read(
        self, event: messages.ReadBarrier, now: datetime.datetime
    ) -> None:
        """Answer a read barrier, at once while the lease is valid."""
        lease = self._lease_until if self.ready else None
        if self._reads.answer_or_queue(event, now, lease_until=lease):
            self._send_heartbeats(now)

    def hand_over(self, now: datetime.datetime) -> None:
        """Transfer the leadership to a caught-up member.

        No further proposals are accepted from then on.
        """
        node = self._node
        if self._handover_until is not None or node.is_only_voter:
            return
        self._proposals.pause()
        for member in node.other_voters:
            progress = self._replication.progress(member.member_id)
            if progress and progress.match_index == node.log.last_index:
                self._handover_until = now + timing.HANDOVER_TIMEOUT
                self._lease_until = None
                node.effects.append(effects.leader_changed(node))
                request = peer.HandOver(
                    group=node.group, log_id=node.log_id, term=node.term
                )
                node.send(member, request)
                return

    def _send_heartbeats(self, now: datetime.datetime) -> None:
        self._last_heartbeat_at = now
        self._replication.send_heartbeats(now)

    def _renew_lease(self, now: datetime.datetime) -> None:
        node = self._node
        if not self.ready or self._handover_until is not None:
            return
        lease_until = self._replication.quorum_contact(now) + timing.LEASE
        if self._lease_until is not None and lease_until <= self._lease_until:
            return
        self._lease_until = lease_until
        if lease_until - self._announced_lease_until < timing.HEARTBEAT / 2:
            return
        self._announced_lease_until = lease_until
        node.effects.append(
            effects.leader_changed(
                node,
                fencing_number=messages.fencing_number(
                    node.term, self._noop_index
                ),
                lease_until=lease_until,
            )
        )
