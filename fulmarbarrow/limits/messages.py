"""Messages for admission control of incoming requests."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages


class AdmitRequest(message.Message, frozen=True, kw_only=True):
    """Asks whether a request may be admitted.

    ``cost`` is in tokens.
    """

    request_id: str
    account: str
    service: str
    cost: int
    worth: float
    deadline: datetime.datetime


class Admitted(message.Message, frozen=True, kw_only=True):
    """The request is admitted."""

    request_id: str


class NotAdmitted(message.Message, frozen=True, kw_only=True):
    """The request is refused; no part of it has been executed."""

    request_id: str
    code: str
    retry_after: datetime.timedelta | None = None


class RequestFinished(
    message.Message, frozen=True, kw_only=True, tag="RequestLeft"
):
    """An admitted request has finished and no longer counts as open."""

    request_id: str
    account: str


class QueuedWork(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that waits in the queue of an upstream's owner.

    ``cost`` is in tokens. The attempt leaves the queue unserved at
    ``expires``; its caller has no use for an answer after ``deadline``.
    The attempt may use the fraction ``part`` of the load bound; ``evenly``
    also applies the bound on recently placed work. Attempts with a lower
    ``rank`` are served first.
    """

    attempt_id: str
    account: str
    service: str
    cost: int
    cost_class: placement_messages.CostClass
    worth: float
    expires: datetime.datetime
    deadline: datetime.datetime
    best_effort: bool = False
    chat: int = 0
    part: float = 1.0
    evenly: bool = True
    rank: int = 0


PEER_MESSAGES: tuple[type, ...] = ()
