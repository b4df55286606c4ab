"""Read barriers, by the leader's lease or a round of heartbeats.

Without a valid lease, a read waits until a quorum has replied to messages
sent after it was requested, which shows that no other leader was elected
before the read.
"""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import state


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingRead:
    """A pending barrier; entries up to ``index`` must be applied first."""

    read_id: str
    index: int
    requested_at: datetime.datetime


class ReadBarriers:
    """Answers read barriers on the leader."""

    def __init__(self, *, node: state.Node) -> None:
        self._node = node
        self._pending: list[PendingRead] = []

    def answer_or_queue(
        self,
        event: messages.ReadBarrier,
        now: datetime.datetime,
        *,
        lease_until: datetime.datetime | None,
    ) -> bool:
        """Answer a barrier or queue it; returns whether it was queued."""
        node = self._node
        if node.role is not state.Role.LEADER:
            self._answer(event.read_id, ready=False)
            return False
        if lease_until is not None and now < lease_until:
            self._answer(event.read_id, ready=True)
            return False
        self._pending.append(
            PendingRead(
                read_id=event.read_id,
                index=node.log.last_index,
                requested_at=now,
            )
        )
        return True

    def confirm(self, contact: datetime.datetime) -> None:
        """Answer applied reads that were requested by ``contact``."""
        pending = []
        for read in self._pending:
            applied = read.index <= self._node.applied_index
            if applied and read.requested_at <= contact:
                self._answer(read.read_id, ready=True)
            else:
                pending.append(read)
        self._pending = pending

    def end(self) -> None:
        """Refuse waiting reads, as this member is no longer leader."""
        reads, self._pending = self._pending, []
        for read in reads:
            self._answer(read.read_id, ready=False)

    def _answer(self, read_id: str, *, ready: bool) -> None:
        node = self._node
        leader = node.leader.daemon_id if node.leader else ""
        node.effects.append(
            messages.ReadReady(
                read_id=read_id,
                group=node.group,
                ready=ready,
                leader="" if ready else leader,
            )
        )
