"""Callers: what they asked, what they got, and their resends."""

from __future__ import annotations

import dataclasses
import datetime

from faultmatrix import upstream as upstreams
from fulmarbarrow.delivery import messages

RESEND_DELAY = datetime.timedelta(milliseconds=400)
MAX_SENDS = 4


@dataclasses.dataclass(kw_only=True)
class Call:
    """One HTTP request of a caller, through one host."""

    request: messages.RequestArrived
    host_id: str
    sent_at: datetime.datetime
    status: int = 0
    body: bytes = b""
    length: int | None = None
    code: str = ""
    ran: messages.Ran | None = None
    ended: bool = False
    lost: bool = False
    replayed: bool = False

    @property
    def open(self) -> bool:
        """Whether the caller still waits."""
        return not (self.ended or self.lost)

    @property
    def answered(self) -> bool:
        """Whether the caller was told that its answer is whole."""
        return self.ended and not self.code

    @property
    def right_answer(self) -> bytes:
        """The only right answer to this request."""
        if self.request.stream:
            return upstreams.whole_answer(self.request.chat)
        return f"done {self.request.key or self.request.chat}".encode()


@dataclasses.dataclass(kw_only=True)
class Intention:
    """What a caller wants done; it may send it more than once."""

    name: str
    request: messages.RequestArrived
    calls: list[Call] = dataclasses.field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether the caller got its answer."""
        return any(call.answered for call in self.calls)
