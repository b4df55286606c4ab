"""What is known of an open request."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.delivery import messages
from fulmarbarrow.placement import messages as placement_messages


@dataclasses.dataclass(kw_only=True)
class Request:
    """An open request and its current attempt."""

    arrived: messages.RequestArrived
    placed: placement_messages.Placed | None = None
    headers: messages.AttemptHeaders | None = None
    sent_at: datetime.datetime | None = None
    first_token: datetime.timedelta | None = None
    tokens: int = 0
    reused_tokens: int = 0
    body: bytes = b""
    attempts: int = 1

    @property
    def attempt_id(self) -> str:
        """The id of the current attempt."""
        return f"{self.arrived.request_id}-{self.attempts}"
