"""Messages about admission of requests at the entry."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages


class AdmitRequest(message.Message, frozen=True, kw_only=True):
    """Asks whether a request of an account may enter at all."""

    request_id: str
    account: str
    service: str
    cost: int
    worth: float
    deadline: datetime.datetime


class Admitted(message.Message, frozen=True, kw_only=True):
    """The request may enter."""

    request_id: str


class NotAdmitted(message.Message, frozen=True, kw_only=True):
    """The request is refused before anything ran."""

    request_id: str
    code: str
    retry_after: datetime.timedelta | None = None


class RequestLeft(message.Message, frozen=True, kw_only=True):
    """An admitted request has ended."""

    request_id: str
    account: str


class QueuedWork(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt that waits at an upstream's owner; ``cost`` is in tokens.

    The attempt leaves the queue unserved at ``expires``; an answer after
    ``deadline`` is of no use to its caller. It may use ``part`` of what the
    bound allows; ``evenly`` keeps to the bound on work placed of late. Work
    of a lower ``rank`` goes first.
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
