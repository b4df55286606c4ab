"""Builds an owner's replies and its queue entries."""

from __future__ import annotations

import datetime

from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow import message
from fulmarbarrow.placement import ledger as ledgers
from fulmarbarrow.placement import messages

MILLISECOND = datetime.timedelta(milliseconds=1)


def queued_work(
    event: messages.Reserve, now: datetime.datetime, part: float
) -> limits_messages.QueuedWork:
    """Return the queue entry for a reservation request."""
    return limits_messages.QueuedWork(
        attempt_id=event.attempt_id,
        account=event.account,
        service=event.service,
        cost=event.cost,
        cost_class=event.cost_class,
        worth=event.worth,
        expires=now + event.wait_ms * MILLISECOND,
        deadline=now + event.deadline_ms * MILLISECOND,
        best_effort=event.best_effort,
        chat=event.chat,
        part=part,
        evenly=event.stage is not messages.ReserveStage.LAST,
        rank=event.rank,
    )


def grant(
    ledger: ledgers.Ledger, reservation: ledgers.Reservation, address: str
) -> message.Message:
    """Return the message that grants a reservation."""
    return message.Send(
        address=address,
        message=messages.Reserved(
            attempt_id=reservation.attempt_id,
            upstream_id=ledger.upstream.upstream_id,
            incarnation=ledger.upstream.incarnation,
            priority=int(reservation.priority),
            lease=ledgers.LEASE,
        ),
    )


def moved(event: messages.Reserve, upstream_id: str) -> message.Message:
    """Return the message that names the upstream with a chat's cache."""
    return message.Send(
        address=event.reply_to,
        message=messages.ReserveRefused(
            attempt_id=event.attempt_id,
            upstream_id=event.upstream_id,
            code="moved",
            moved_to=upstream_id,
        ),
    )


def refusal(
    address: str,
    upstream_id: str,
    attempt_id: str,
    code: str,
    wait_ms: int = 0,
) -> message.Message:
    """Return the message that refuses a reservation."""
    return message.Send(
        address=address,
        message=messages.ReserveRefused(
            attempt_id=attempt_id,
            upstream_id=upstream_id,
            code=code,
            wait_ms=wait_ms,
        ),
    )
