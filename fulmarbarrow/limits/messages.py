"""Messages about admission of requests at the entry."""

from __future__ import annotations

import datetime

from fulmarbarrow import message


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


PEER_MESSAGES: tuple[type, ...] = ()
