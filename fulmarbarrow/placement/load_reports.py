"""Collects what responses state of upstreams' load, for their owners.

Load pattern: the pace of an upstream changes several times a second, and a
busy router reads hundreds of responses a second. Only readings that tell the
owner something new are sent, in few messages.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime

import xxhash

from fulmarbarrow import message
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import messages

MAX_MESSAGES = 10  # to other daemons within ``WINDOW``
WINDOW = datetime.timedelta(seconds=1)
# An unchanged pace is sent again after this time, before the owner's last
# reading is too old to be used.
REPEAT_AFTER = datetime.timedelta(milliseconds=250)
PACE_CHANGE = 20  # percent; a smaller change is no news
# A reading that could not be sent by then says nothing of the present.
MAX_AGE = datetime.timedelta(seconds=1)
# Times that come without a reading wait this long for one.
MAX_TIMES_DELAY = datetime.timedelta(seconds=1)
MAX_UPSTREAMS = 8_192
MAX_PER_MESSAGE = 32
MILLISECOND = datetime.timedelta(milliseconds=1)


def service_hash(service: str) -> int:
    """Return the hash that identifies a service on the wire."""
    return xxhash.xxh32_intdigest(service.encode())


@dataclasses.dataclass(kw_only=True, slots=True)
class _Times:
    """Sums over whole responses, see ``messages.TimeSample``."""

    incarnation: int
    since: datetime.datetime
    count: int = 0
    first: datetime.timedelta = datetime.timedelta(0)
    total: datetime.timedelta = datetime.timedelta(0)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Batch:
    """Readings and times for one owner."""

    readings: list[messages.LoadReading]
    times: list[messages.TimeSample]
    due: bool = False


class LoadReports:
    """Readings and measured times that have not been sent to their owners."""

    def __init__(self) -> None:
        self._readings: dict[
            str, tuple[messages.LoadStated, datetime.datetime]
        ] = {}
        self._last: dict[str, tuple[int, datetime.datetime]] = {}
        self._times: dict[tuple[str, int], _Times] = {}
        self._sent_at: collections.deque[datetime.datetime] = (
            collections.deque()
        )

    @property
    def waiting(self) -> bool:
        """Whether a reading waits to be sent."""
        return bool(self._readings)

    def record(
        self,
        event: messages.LoadStated,
        now: datetime.datetime,
        known_pace: int | None = None,
    ) -> None:
        """Record a reading unless the owner knows it.

        ``known_pace`` is the pace that the owner told recently.
        """
        upstream_id, pace = event.upstream_id, event.load.pace
        if known_pace is not None and abs(pace - known_pace) < PACE_CHANGE:
            return
        last = self._last.get(upstream_id)
        if last is not None and upstream_id not in self._readings:
            changed = abs(pace - last[0]) >= PACE_CHANGE
            if not changed and now - last[1] < REPEAT_AFTER:
                return
        if len(self._last) >= MAX_UPSTREAMS and last is None:
            self._last.pop(next(iter(self._last)))
        self._last[upstream_id] = pace, now
        self._readings[upstream_id] = event, now

    def record_time(
        self,
        event: messages.WorkEnded,
        service: str,
        now: datetime.datetime,
    ) -> None:
        """Record the time of a whole response, converted to usual pace."""
        completed = event.outcome is messages.WorkOutcome.COMPLETED
        if not completed or not event.pace or event.lasted is None:
            return
        key = (event.upstream_id, service_hash(service))
        times = self._times.get(key)
        if times is None or times.incarnation != event.incarnation:
            if times is None and len(self._times) >= MAX_UPSTREAMS:
                return
            times = _Times(incarnation=event.incarnation, since=now)
            self._times[key] = times
        times.count += 1
        times.first += (event.first_token or event.lasted) * 100 / event.pace
        times.total += event.lasted * 100 / event.pace

    def take(
        self,
        directory: directories.Directory,
        own_address: str,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Return the messages that are due, at most 10 a second."""
        if not self._readings and not self._times:
            return []
        while self._sent_at and now - self._sent_at[0] >= WINDOW:
            self._sent_at.popleft()
        effects: list[message.Message] = []
        for address, batch in self._batches(directory, now).items():
            if address != own_address:
                if not batch.due or len(self._sent_at) >= MAX_MESSAGES:
                    continue
                self._sent_at.append(now)
            effects.append(
                message.Send(
                    address=address,
                    message=messages.LoadReadings(
                        readings=tuple(batch.readings),
                        times=tuple(batch.times),
                    ),
                )
            )
            for reading in batch.readings:
                del self._readings[reading.upstream_id]
            for sample in batch.times:
                del self._times[sample.upstream_id, sample.service]
        return effects

    def _batches(
        self, directory: directories.Directory, now: datetime.datetime
    ) -> dict[str, _Batch]:
        """Return what waits by owner, the oldest readings first."""
        batches: dict[str, _Batch] = {}

        def batch_of(upstream_id: str) -> _Batch | None:
            owner = directory.owners.get(upstream_id)
            if owner is None or not owner.address:
                return None
            return batches.setdefault(
                owner.address, _Batch(readings=[], times=[])
            )

        for upstream_id, (event, read_at) in list(self._readings.items()):
            batch = batch_of(upstream_id)
            if batch is None or now - read_at > MAX_AGE:
                del self._readings[upstream_id]
            elif len(batch.readings) < MAX_PER_MESSAGE:
                batch.due = True
                batch.readings.append(
                    messages.LoadReading(
                        upstream_id=upstream_id,
                        incarnation=event.incarnation,
                        load=event.load,
                        age_ms=(now - read_at) // MILLISECOND,
                    )
                )
        for (upstream_id, service), times in list(self._times.items()):
            batch = batch_of(upstream_id)
            if batch is None:
                del self._times[upstream_id, service]
            elif len(batch.times) < MAX_PER_MESSAGE:
                batch.due |= now - times.since >= MAX_TIMES_DELAY
                batch.times.append(
                    messages.TimeSample(
                        upstream_id=upstream_id,
                        incarnation=times.incarnation,
                        service=service,
                        count=times.count,
                        first_ms=times.first // MILLISECOND,
                        total_ms=times.total // MILLISECOND,
                    )
                )
        return batches
