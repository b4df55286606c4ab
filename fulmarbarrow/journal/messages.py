"""Messages about actions that run at most once."""

from __future__ import annotations

import datetime
import enum

from fulmarbarrow import message


class EntryStanding(enum.StrEnum):
    """What the journal says to a request for the right to dispatch."""

    MAY_DISPATCH = "may_dispatch"
    DONE = "done"
    RUNNING = "running"
    UNKNOWN = "unknown"
    SEALED = "sealed"
    BODY_DIFFERS = "body_differs"
    UNAVAILABLE = "unavailable"


class Intend(message.Message, frozen=True, kw_only=True):
    """Asks to commit an intent before a non-idempotent dispatch."""

    request_id: str
    account: str
    key: str
    digest: str
    service: str
    attempt_id: str
    deadline: datetime.datetime


class IntendResult(message.Message, frozen=True, kw_only=True):
    """The journal's word on an intent; only MAY_DISPATCH allows sending.

    ``dispatch_until`` bounds the moment of sending; the journal gives it as
    ``lease``, counted from the first call, so that clocks need not agree.
    The recorded answer is
    given for DONE, unless ``kept`` is False. ``may_look_up`` says that no
    dispatch can follow any more, so that a service can be asked.
    """

    request_id: str
    standing: EntryStanding
    dispatch_until: datetime.datetime | None = None
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True
    may_look_up: bool = False
    lease: datetime.timedelta | None = None


class RecordOutcome(message.Message, frozen=True, kw_only=True):
    """Asks to record the answer of an action that ran.

    ``kept`` is False if the answer is too large to be recorded; ``lookup``
    says that the service was asked for it after another request's run.
    """

    request_id: str
    account: str
    key: str
    attempt_id: str
    status: int
    content_type: str
    body: bytes
    kept: bool = True
    lookup: bool = False


class SealEntry(message.Message, frozen=True, kw_only=True):
    """Asks to record that an intent was proven not to have run.

    ``lookup`` says that the service itself promised it when it was asked.
    """

    request_id: str
    account: str
    key: str
    attempt_id: str
    lookup: bool = False


class MarkUnknown(message.Message, frozen=True, kw_only=True):
    """Asks to record that an intent may have run without an answer."""

    request_id: str
    account: str
    key: str
    attempt_id: str


class JournalWritten(message.Message, frozen=True, kw_only=True):
    """An outcome, seal or unknown mark is committed, or is not."""

    request_id: str
    committed: bool


# Messages between daemons.


class JournalCall(message.Message, frozen=True, kw_only=True):
    """A router's request to the journal's leader.

    A call that is sent again under its ``call_id`` has the effect of one.
    """

    call_id: str
    reply_to: str
    body: Intend | RecordOutcome | SealEntry | MarkUnknown


class JournalReply(message.Message, frozen=True, kw_only=True):
    """The journal's answer to a call; ``leader`` is set on a redirect."""

    call_id: str
    body: IntendResult | JournalWritten | None = None
    leader: str = ""


PEER_MESSAGES = (JournalCall, JournalReply)
