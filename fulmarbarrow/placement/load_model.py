"""Model of what each owned upstream does now, from reports of its load.

Reports come from all routers, with their age. A pace is used only while it
is recent; the mean pace stands in for it afterwards.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import logging
import math
import typing

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import capacity
from fulmarbarrow.placement import messages

log = logging.getLogger(__name__)

# Upstreams are slow for about 600 ms at a time.
MAX_PACE_AGE = datetime.timedelta(milliseconds=600)
# A reported number of requests is replaced by the reservations after this.
MAX_LOAD_AGE = datetime.timedelta(milliseconds=300)
MEAN_PACE_TIME = datetime.timedelta(seconds=10)
MILLISECOND = datetime.timedelta(milliseconds=1)
MIN_SAMPLES = 20
SMOOTHING = 0.02  # lower bound of the weight of a sample in a mean time
MAX_SERVICES = 16  # by upstream
MAX_REQUEST_MS = 600_000
MAX_SAMPLE_COUNT = 1_000  # in one message, from one router
# Paces are 1.0 usually; a worse one than this is avoided.
BAD_PACE = 1.3
# Mean paces from which an upstream is logged as slow, and as usual again.
# Short slow periods alone give a mean of about 1.2.
SLOW_MEAN_PACE, USUAL_MEAN_PACE = 1.7, 1.35
# Limits the effect of an upstream that reports nonsense.
MIN_PACE, MAX_PACE = 0.25, 5.0
# An upstream with a bad mean pace gets few requests and thus few readings. It
# would be avoided for ever if the mean did not return to 1.0 without them.
FORGET_PACE_TIME = datetime.timedelta(seconds=2)
# A lie about the number of requests counts as at most so many batches.
MAX_REPORTED_BATCHES = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class MeanTime:
    """Mean time of requests of one service, at the usual pace."""

    count: int = 0
    first_ms: float = 0.0
    total_ms: float = 0.0

    def add(self, sample: messages.TimeSample) -> None:
        """Add measured times."""
        self.count += sample.count
        gain = 1 - (1 - SMOOTHING) ** sample.count
        gain = max(gain, sample.count / self.count)
        first_ms = sample.first_ms / sample.count
        total_ms = sample.total_ms / sample.count
        self.first_ms += gain * (first_ms - self.first_ms)
        self.total_ms += gain * (total_ms - self.total_ms)


class UpstreamModel:
    """Model of one incarnation of an upstream."""

    def __init__(self, *, incarnation: int) -> None:
        self.incarnation = incarnation
        self._mean_pace = 1.0
        self._slow = False
        self._pace = 1.0
        self._requests = 0
        self._read_at: datetime.datetime | None = None
        self._times: dict[int, MeanTime] = {}

    @property
    def samples(self) -> int:
        """The number of measured requests."""
        return sum(times.count for times in self._times.values())

    def record(
        self,
        load: messages.ServerLoad,
        slots: int,
        read_at: datetime.datetime,
    ) -> None:
        """Record a reading unless a newer one is known."""
        if self._read_at is not None and read_at <= self._read_at:
            return
        pace = min(max(load.pace / 100, MIN_PACE), MAX_PACE)
        if self._read_at is not None:
            # The first reading may be of a short slow period.
            elapsed = (read_at - self._read_at) / MEAN_PACE_TIME
            gain = 1 - math.exp(-elapsed)
            self._mean_pace += gain * (pace - self._mean_pace)
        self._pace, self._read_at = pace, read_at
        most = MAX_REPORTED_BATCHES * max(1, slots or load.slots)
        self._requests = min(load.running + load.waiting, most)

    def speed_change(self) -> str:
        """Return what to log if the upstream became slow or usual, or ""."""
        if self._slow and self._mean_pace <= USUAL_MEAN_PACE:
            self._slow = False
            return "upstream is as fast as usual again"
        if not self._slow and self._mean_pace >= SLOW_MEAN_PACE:
            self._slow = True
            return "upstream is slow"
        return ""

    def record_times(self, sample: messages.TimeSample) -> None:
        """Record measured times of a service."""
        if not 0 < sample.count <= MAX_SAMPLE_COUNT:
            return
        most = sample.count * MAX_REQUEST_MS
        if not 0 <= sample.first_ms <= sample.total_ms <= most:
            return
        times = self._times.get(sample.service)
        if times is None:
            if len(self._times) >= MAX_SERVICES:
                return
            times = self._times[sample.service] = MeanTime()
        times.add(sample)

    def pace_age(self, now: datetime.datetime) -> datetime.timedelta | None:
        """Return the age of the pace, None if there is none."""
        return None if self._read_at is None else now - self._read_at

    def pace(self, now: datetime.datetime) -> float:
        """Return the current pace, or the mean if it is not known."""
        age = self.pace_age(now)
        if age is None or age > MAX_PACE_AGE:
            return self.mean_pace(now)
        return self._pace

    def mean_pace(self, now: datetime.datetime) -> float:
        """Return the mean pace, nearer to 1.0 the older the last reading."""
        age = self.pace_age(now)
        if age is None:
            return 1.0
        excess = max(datetime.timedelta(0), age - MAX_PACE_AGE)
        kept = math.exp(-(excess / FORGET_PACE_TIME))
        return 1.0 + (self._mean_pace - 1.0) * kept

    def requests(self, now: datetime.datetime) -> int:
        """Return the requests there that were reported recently."""
        age = self.pace_age(now)
        if age is None or age > MAX_LOAD_AGE:
            return 0
        return self._requests

    def request_ms(self) -> float:
        """Return the mean time of a request, 0 if it is not certain."""
        count = self.samples
        if count < MIN_SAMPLES:
            return 0.0
        total = sum(
            item.count * item.total_ms for item in self._times.values()
        )
        return total / count

    def dump(self) -> dict[str, typing.Any]:
        """Return the model as plain data."""
        return {
            "pace": self._pace,
            "mean_pace": round(self._mean_pace, 3),
            "read_at": self._read_at,
            "samples": self.samples,
            "request_ms": round(self.request_ms(), 1),
        }


Owned = collections.abc.Mapping[str, capacity.OwnedUpstream]


class LoadModels:
    """Models of the owned upstreams that report a pace."""

    def __init__(self, *, owned: Owned) -> None:
        self._owned = owned
        self._models: dict[str, UpstreamModel] = {}

    def __len__(self) -> int:
        """Return the number of owned upstreams that report a pace."""
        return len(self._models)

    def record(
        self, event: messages.LoadReadings, now: datetime.datetime
    ) -> None:
        """Record what a router read; discard what is not owned or outdated."""
        for reading in event.readings:
            owned = self._owned.get(reading.upstream_id)
            if owned is None or reading.age_ms < 0:
                continue
            upstream = owned.ledger.upstream
            if upstream.incarnation == reading.incarnation:
                model = self._model(upstream)
                model.record(
                    reading.load,
                    upstream.slots,
                    now - min(reading.age_ms, 60_000) * MILLISECOND,
                )
                change = model.speed_change()
                if change:
                    log.info(
                        change,
                        extra={
                            "upstream": upstream.upstream_id,
                            **model.dump(),
                        },
                    )
        for sample in event.times:
            owned = self._owned.get(sample.upstream_id)
            if owned is None:
                continue
            model = self.get(owned.ledger.upstream)
            if model is not None and model.incarnation == sample.incarnation:
                model.record_times(sample)

    def get(
        self, upstream: membership_messages.Upstream
    ) -> UpstreamModel | None:
        """Return the model of an upstream, None if it reports no pace."""
        model = self._models.get(upstream.upstream_id)
        if model is None or model.incarnation != upstream.incarnation:
            return None
        return model

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream that is not owned any more."""
        self._models.pop(upstream_id, None)

    def tokens_per_second(
        self, upstream: membership_messages.Upstream, now: datetime.datetime
    ) -> float:
        """Return the measured throughput at the current pace.

        Without enough samples the configured throughput stands in for it.
        """
        model = self.get(upstream)
        if model is None:
            return upstream.tokens_per_second
        request_ms = model.request_ms()
        usual = float(upstream.tokens_per_second)
        if request_ms > 0:
            usual = upstream.batch_tokens * 1000 / request_ms
        return usual / model.pace(now)

    def defers(
        self,
        owned: capacity.OwnedUpstream,
        event: messages.Reserve,
        mean_requests: float,
        now: datetime.datetime,
    ) -> bool:
        """Return whether an engine is too slow now for an uncached chat.

        The chat has to be prefilled anywhere, so that it may go to an engine
        at its usual pace. A slow engine keeps its part of the mean.
        """
        if not event.chat or event.stage is messages.ReserveStage.LAST:
            return False
        ledger = owned.ledger
        model = self.get(ledger.upstream)
        if model is None or event.chat in ledger.recent_chats:
            return False
        age = model.pace_age(now)
        pace = model.pace(now)
        if age is None or age > MAX_PACE_AGE or pace < BAD_PACE:
            return False
        return len(ledger) + 1 > max(1.0, mean_requests / pace)

    def dump(self) -> dict[str, typing.Any]:
        """Return the models as plain data."""
        return {name: model.dump() for name, model in self._models.items()}

    def _model(self, upstream: membership_messages.Upstream) -> UpstreamModel:
        model = self.get(upstream)
        if model is None:
            model = UpstreamModel(incarnation=upstream.incarnation)
            self._models[upstream.upstream_id] = model
            log.info(
                "upstream reports its pace",
                extra={"upstream": upstream.upstream_id},
            )
        return model
