"""When the holder of a subject calls the platform."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.scaling import orders

FIRST_PAUSE = datetime.timedelta(seconds=1)
MAX_PAUSE = datetime.timedelta(seconds=15)
# The platform states that it never takes this order; it may be reconfigured.
REFUSED_PAUSE = datetime.timedelta(seconds=60)
# A proposal whose result does not arrive, and a call whose end does not.
PROPOSAL_TIMEOUT = datetime.timedelta(seconds=5)
CALL_TIMEOUT = datetime.timedelta(seconds=30)


@dataclasses.dataclass(kw_only=True)
class Held:
    """A subject that this host holds, with the state of its calls.

    ``due_at`` is when the last order is to be sent, ``repeat_at`` when it is
    to be sent once more, as an earlier call may be carried out until then.
    ``proposed_at`` is set while a number or its settlement is being committed.
    """

    subject: str
    number: int
    until: datetime.datetime
    due_at: datetime.datetime | None = None
    repeat_at: datetime.datetime | None = None
    proposed_at: datetime.datetime | None = None
    call_id: str = ""
    called_at: datetime.datetime | None = None
    called_index: int = 0
    pause: datetime.timedelta = FIRST_PAUSE

    def is_proposing(self, now: datetime.datetime) -> bool:
        """Whether the result of a proposal is awaited."""
        if self.proposed_at is None:
            return False
        return now < self.proposed_at + PROPOSAL_TIMEOUT

    def is_calling(self) -> bool:
        """Whether a call has not ended; the next one waits for it."""
        return bool(self.call_id)

    def call_due(self, now: datetime.datetime) -> bool:
        """Whether the last order is to be sent now."""
        if self.is_calling() or now >= self.until:
            return False
        times = (self.due_at, self.repeat_at)
        return any(time is not None and now >= time for time in times)

    def start_call(
        self, call_id: str, order: orders.Order, now: datetime.datetime
    ) -> None:
        """Note a call that sends the last order."""
        self.call_id, self.called_at = call_id, now
        self.called_index = order.index
        self.due_at = None
        if self.repeat_at is not None and now >= self.repeat_at:
            self.repeat_at = None

    def end_call(
        self,
        outcome: duties_messages.CallOutcome,
        retry_after: datetime.timedelta | None,
        late_execution: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Schedule the next call by what is known of the last one."""
        self.call_id, self.called_at = "", None
        outcomes = duties_messages.CallOutcome
        match outcome:
            case outcomes.ACCEPTED:
                self.pause = FIRST_PAUSE
            case outcomes.UNKNOWN:
                self.repeat_at = now + late_execution
            case outcomes.LIMITED | outcomes.NOT_SENT:
                self._retry(now + max(retry_after or FIRST_PAUSE, self.pause))
                self.pause = min(2 * self.pause, MAX_PAUSE)
            case outcomes.REFUSED:
                self._retry(now + REFUSED_PAUSE)

    def _retry(self, at: datetime.datetime) -> None:
        """Send the last order again, unless a newer one is due anyway."""
        if self.due_at is None:
            self.due_at = at

    def can_settle(self, order: orders.Order) -> bool:
        """Whether the last call sent this order and none can follow it."""
        return (
            not order.settled
            and self.called_index == order.index
            and not self.is_calling()
            and self.due_at is None
            and self.repeat_at is None
        )
