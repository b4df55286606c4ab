"""Calls of the collector to the platform: when to make and repeat them."""

from __future__ import annotations

import dataclasses
import datetime
import logging

from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow import message
from fulmarbarrow.usage import messages
from fulmarbarrow.usage import state

log = logging.getLogger(__name__)

Outcome = duties_messages.CallOutcome

# The client sends one call of the duty at a time; a second one waits there
# and follows without the delay of a tick.
MAX_CALLS = 2
# A client that reports no end is taken to have lost the call.
CALL_LOST_AFTER = datetime.timedelta(seconds=10)
# A holder whose calls do not reach the platform asks for a handover after this
# time. It doubles with each tenure in the fleet without a success, so that the
# duty does not move all the time while the platform is down for all hosts.
UNREACHABLE_AFTER = datetime.timedelta(seconds=2)
MAX_UNREACHABLE_AFTER = datetime.timedelta(seconds=30)
MAX_DOUBLINGS = 4
UNREACHABLE_CALLS = 3
_DELAYS = {
    Outcome.NOT_SENT: datetime.timedelta(milliseconds=500),
    Outcome.UNKNOWN: datetime.timedelta(seconds=1),
    Outcome.LIMITED: datetime.timedelta(seconds=1),
    # The same content will most likely be refused again.
    Outcome.REFUSED: datetime.timedelta(seconds=5),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Call:
    window: int
    number: int
    sent_at: datetime.datetime


class Reporter:
    """Reports each window until it is accepted.

    Calls stay open after the end of a tenure: the platform may still accept
    them, and then the window is not to be reported again.
    """

    def __init__(self, *, daemon_id: str, incarnation: int) -> None:
        self._daemon_id = daemon_id
        self._incarnation = incarnation
        self._number = 0
        self._proven = False
        self._calls: dict[str, _Call] = {}
        self._call_count = 0
        self._next_at: dict[int, datetime.datetime] = {}
        self._failures = 0
        self._failing_since: datetime.datetime | None = None
        self._logged: Outcome | None = None
        self.accepted: set[int] = set()
        self.superseded = False

    def begin(self, number: int) -> None:
        """Begin a tenure."""
        self._number = number
        self._proven = False
        self._next_at.clear()
        self._failures = 0
        self.superseded = False

    def end(self) -> None:
        """End the tenure; calls of it that fail later change nothing."""
        self._number = 0

    def due(
        self,
        open_windows: list[state.Committed],
        windows: state.Windows,
        until: datetime.datetime,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Return the calls for windows that were not accepted, in order."""
        for call_id, call in list(self._calls.items()):
            if now - call.sent_at >= CALL_LOST_AFTER:
                del self._calls[call_id]
        for number in list(self._next_at):
            if all(item.window != number for item in open_windows):
                del self._next_at[number]
        calling = {call.window for call in self._calls.values()}
        mine = sum(
            call.number == self._number for call in self._calls.values()
        )
        # Until a call has succeeded, the number may be superseded; then no
        # second call is to be on its way.
        limit = MAX_CALLS if self._proven else 1
        effects: list[message.Message] = []
        for item in open_windows:
            if mine >= limit or self.superseded:
                break
            if item.accepted or item.window in self.accepted:
                continue
            next_at = self._next_at.get(item.window)
            if item.window in calling or (next_at and now < next_at):
                continue
            mine += 1
            counts = windows.counts(item)
            effects.append(self._call(item.window, counts, until, now))
        return effects

    def _call(
        self,
        window: int,
        counts: messages.Counts,
        until: datetime.datetime,
        now: datetime.datetime,
    ) -> messages.ReportUsage:
        self._call_count += 1
        call_id = (
            f"usage/{window}/{self._daemon_id}/{self._incarnation}"
            f"/{self._number}/{self._call_count}"
        )
        self._calls[call_id] = _Call(
            window=window, number=self._number, sent_at=now
        )
        return messages.ReportUsage(
            call_id=call_id,
            holder=self._daemon_id,
            number=self._number,
            window=window,
            counts=counts,
            valid_until=until,
        )

    def on_ended(
        self,
        event: duties_messages.CallEnded,
        tenures: int,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Handle the end of a call; plan its repeat if necessary.

        ``tenures`` is how many there were in the fleet since a report was
        accepted.
        """
        call = self._calls.pop(event.call_id, None)
        if call is None:
            return []
        if event.outcome is Outcome.ACCEPTED:
            self._logged = None
            self.accepted.add(call.window)
            self._failures = 0
            self._proven = self._proven or call.number == self._number
            return []
        if call.number != self._number:
            return []
        self._log_outcome(call, event.outcome)
        if event.outcome is Outcome.SUPERSEDED:
            self.superseded = True
            return [
                duties_messages.DutyRefused(
                    duty=duties_messages.Duty.USAGE,
                    subject="",
                    number=self._number,
                )
            ]
        delay = event.retry_after or _DELAYS[event.outcome]
        self._next_at[call.window] = now + delay
        if event.outcome not in (Outcome.NOT_SENT, Outcome.UNKNOWN):
            self._failures = 0
            return []
        return self._count_failure(call, tenures, now)

    def _log_outcome(self, call: _Call, outcome: Outcome) -> None:
        """Log the first of several failures of one kind."""
        if outcome is self._logged:
            return
        self._logged = outcome
        log.warning(
            "usage report was not accepted",
            extra={
                "window": call.window,
                "outcome": outcome.value,
                "number": self._number,
            },
        )

    def _count_failure(
        self, call: _Call, tenures: int, now: datetime.datetime
    ) -> list[message.Message]:
        """Ask for a handover after several failures over some time."""
        if not self._failures:
            self._failing_since = call.sent_at
        self._failures += 1
        doublings = min(max(tenures - 1, 0), MAX_DOUBLINGS)
        limit = min(UNREACHABLE_AFTER * 2**doublings, MAX_UNREACHABLE_AFTER)
        if self._failures < UNREACHABLE_CALLS or (
            now - self._failing_since < limit
        ):
            return []
        self._failures = 0
        return [
            duties_messages.PlatformUnreachable(
                duty=duties_messages.Duty.USAGE
            )
        ]
