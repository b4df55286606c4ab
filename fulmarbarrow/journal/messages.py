"""Messages of the journal of at-most-once actions."""

from __future__ import annotations

import datetime
import enum

from fulmarbarrow import message


class EntryStanding(enum.StrEnum):
    """The journal's decision on a request for permission to dispatch."""

    MAY_DISPATCH = "may_dispatch"
    DONE = "done"
    RUNNING = "running"
    UNKNOWN = "unknown"
    SEALED = "sealed"
    BODY_DIFFERS = "body_differs"
    UNAVAILABLE = "unavailable"


class Intend(message.Message, frozen=True, kw_only=True):
    """Requests the commit of an intent before a non-idempotent dispatch."""

    request_id: str
    account: str
    key: str
    digest: str
    service: str
    attempt_id: str
    deadline: datetime.datetime


class IntendResult(message.Message, frozen=True, kw_only=True):
    """The decision on an intent; only MAY_DISPATCH permits the dispatch.

    ``dispatch_until`` is the latest time to dispatch. The journal returns a
    duration, ``lease``, and the router adds it to the time of its first call,
    so that their clocks need not agree. DONE carries the recorded answer
    unless ``kept`` is False. ``may_look_up`` is set once no dispatch can
    follow, so that the service can be queried for the outcome.
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
    """Requests the commit of the answer of an action that ran.

    ``kept`` is False if the answer is too large to be recorded. ``lookup`` is
    set if the answer of another request's run was looked up at the service.
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
    """Requests the commit of the fact that an action did not run.

    ``lookup`` is set if the service itself guaranteed this in a look-up.
    """

    request_id: str
    account: str
    key: str
    attempt_id: str
    lookup: bool = False


class MarkUnknown(message.Message, frozen=True, kw_only=True):
    """Requests the commit of the fact that an action may have run."""

    request_id: str
    account: str
    key: str
    attempt_id: str


class JournalWritten(message.Message, frozen=True, kw_only=True):
    """Reports whether an outcome, seal or unknown mark was committed."""

    request_id: str
    committed: bool


# Messages that daemons exchange.


class JournalCall(message.Message, frozen=True, kw_only=True):
    """A router's call to the journal's leader.

    Calls with the same ``call_id`` take effect once.
    """

    call_id: str
    reply_to: str
    body: Intend | RecordOutcome | SealEntry | MarkUnknown


class JournalReply(message.Message, frozen=True, kw_only=True):
    """The reply to a call; without a ``body`` it redirects to ``leader``."""

    call_id: str
    body: IntendResult | JournalWritten | None = None
    leader: str = ""


PEER_MESSAGES = (JournalCall, JournalReply)
