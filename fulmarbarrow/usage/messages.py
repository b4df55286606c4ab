"""Messages about the use of the system by client account."""

from __future__ import annotations

import datetime

from fulmarbarrow import message


class ReportUsage(message.Message, frozen=True, kw_only=True):
    """Effect: report the counts of a window to the platform.

    ``counts`` are pairs of a client account and the number of its requests
    that began to run in ``window``. No byte may be sent at or after
    ``valid_until``.
    """

    call_id: str
    holder: str
    number: int
    window: int
    counts: tuple[tuple[str, int], ...]
    valid_until: datetime.datetime


PEER_MESSAGES: tuple[type[message.Message], ...] = ()
