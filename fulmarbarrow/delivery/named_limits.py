"""Finds the limits that upstreams name in their answers."""

from __future__ import annotations

import datetime
import logging

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import state
from fulmarbarrow import message
from fulmarbarrow.placement import messages as placement_messages

log = logging.getLogger(__name__)


class NamedLimits:
    """Reports the limits of upstreams, and their ends, to placement.

    Holds one entry for each upstream that named a limit last: its incarnation
    and the time of the answer.
    """

    def __init__(self) -> None:
        self._named: dict[str, tuple[int, datetime.datetime]] = {}

    def __len__(self) -> int:
        """Return the number of upstreams that named a limit last."""
        return len(self._named)

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream that is gone."""
        self._named.pop(upstream_id, None)

    def read(
        self,
        attempt: state.Attempt,
        event: messages.AttemptHeaders,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Return the report that the head of an attempt's answer calls for.

        A limit that can't be read leaves the last one as it is. An answer
        without a limit ends it only if its attempt was sent after the answer
        that named it, as answers overtake each other.
        """
        placed = attempt.placed
        if event.rate_limit_unreadable:
            log.warning(
                "limit not understood", extra={"upstream": placed.upstream_id}
            )
            return []
        if event.rate_limit is not None:
            self._named[placed.upstream_id] = placed.incarnation, now
        else:
            incarnation, named_at = self._named.get(
                placed.upstream_id, (placed.incarnation, None)
            )
            if (
                named_at is None
                or incarnation != placed.incarnation
                or attempt.sent_at <= named_at
            ):
                return []
            del self._named[placed.upstream_id]
        return [
            placement_messages.RateLimitNamed(
                upstream_id=placed.upstream_id,
                incarnation=placed.incarnation,
                rate=event.rate_limit,
            )
        ]
