"""The time of the fleet: the median clock of the control hosts."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import logging
import statistics

from fulmarbarrow.usage import messages

log = logging.getLogger(__name__)

EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
# The clock of a process never steps, so the offset of a control host that is
# no longer heard stays right for minutes: 100 ppm drift is 30 ms in 300 s.
HEARD_LATELY = datetime.timedelta(seconds=300)
# A message that waited while this host was frozen shows a clock that is too
# early; the latest of several is closest to the truth.
SAMPLES = 3
MAX_CLOCKS = 32
# No clock is wrong by more; a longer offset could lead to a time that can't
# be represented.
MAX_OFFSET = datetime.timedelta(days=1)
# Time after the first sample until a median of fewer than half of the control
# hosts is used.
SAMPLE_WAIT = datetime.timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True)
class _Clock:
    incarnation: int
    heard_at: datetime.datetime
    offsets: collections.deque[datetime.timedelta]


class FleetTime:
    """Estimates the median clock of the control hosts."""

    def __init__(self) -> None:
        self._clocks: dict[str, _Clock] = {}
        self._first_at: datetime.datetime | None = None
        self._offset: datetime.timedelta | None = None
        self._refused = False

    @property
    def offset(self) -> datetime.timedelta:
        """What has to be added to the clock of this host."""
        return self._offset or datetime.timedelta(0)

    def add(self, event: messages.ClockTold, now: datetime.datetime) -> None:
        """Add what a control host told of its clock, if it can be right."""
        if event.at.tzinfo is None or abs(event.at - now) > MAX_OFFSET:
            self._refuse(event)
            return
        if self._first_at is None:
            self._first_at = now
        clock = self._clocks.get(event.daemon_id)
        # An incarnation is made from the host's own clock, so that the next
        # one is lower if the clock was set back before the restart.
        if clock is None or clock.incarnation != event.incarnation:
            clock = _Clock(
                incarnation=event.incarnation,
                heard_at=now,
                offsets=collections.deque(maxlen=SAMPLES),
            )
            self._clocks.pop(event.daemon_id, None)
            self._clocks[event.daemon_id] = clock
        clock.heard_at = now
        clock.offsets.append(event.at - now)
        for daemon_id, other in list(self._clocks.items()):
            if now - other.heard_at > HEARD_LATELY:
                del self._clocks[daemon_id]
        if len(self._clocks) > MAX_CLOCKS:
            del self._clocks[next(iter(self._clocks))]
        self._offset = datetime.timedelta(
            seconds=statistics.median(
                max(item.offsets).total_seconds()
                for item in self._clocks.values()
            )
        )

    def _refuse(self, event: messages.ClockTold) -> None:
        """Log the first time that is not used."""
        if not self._refused:
            self._refused = True
            log.warning(
                "time of a control host is ignored",
                extra={"daemon": event.daemon_id, "at": str(event.at)},
            )

    def known(self, control_hosts: int, now: datetime.datetime) -> bool:
        """Whether enough of the control hosts have told their time."""
        if self._first_at is None:
            return False
        if 2 * len(self._clocks) > control_hosts:
            return True
        return now - self._first_at >= SAMPLE_WAIT

    def at(self, now: datetime.datetime) -> datetime.datetime:
        """Return the time of the fleet at ``now`` of this host."""
        return now + self.offset

    def dump(self) -> dict[str, float]:
        """Return the offset of each control host in seconds."""
        offsets = {
            daemon_id: max(clock.offsets).total_seconds()
            for daemon_id, clock in self._clocks.items()
        }
        return {"median": self.offset.total_seconds(), **offsets}


def window_at(at: datetime.datetime, window: datetime.timedelta) -> int:
    """Return the number of the window that contains a time."""
    return (at - EPOCH) // window


def end_of(number: int, window: datetime.timedelta) -> datetime.datetime:
    """Return the end of a window."""
    return EPOCH + (number + 1) * window
