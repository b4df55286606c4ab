"""Effects that several components of a consensus core emit."""

from __future__ import annotations

import datetime

from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state
from fulmarbarrow import message


def send_to(member: records.Member, body: message.Message) -> message.Send:
    """Return the effect that sends ``body`` urgently to a member."""
    return message.Send(address=member.address, message=body, urgent=True)


def leader_changed(
    node: state.Node,
    *,
    fencing_number: int = 0,
    lease_until: datetime.datetime | None = None,
) -> messages.LeaderChanged:
    """Return the effect that reports the leader known to this daemon."""
    leader = node.leader
    return messages.LeaderChanged(
        group=node.group,
        term=node.term,
        leader=leader.daemon_id if leader else "",
        address=leader.address if leader else "",
        fencing_number=fencing_number,
        lease_until=lease_until,
    )
