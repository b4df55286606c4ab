"""Passive health checks: excludes upstreams by the outcomes of attempts.

- An upstream that crashed, stopped responding or lost its address to another
  one is excluded after one or two attempts and retried with exponential
  backoff.
- If several upstreams of an availability zone fail, the zone counts as
  unreachable and its other upstreams are excluded too.
- An upstream that fails part of its requests, or is many times slower than
  its pool while its own health check passes, is excluded for a while.
- An upstream that says for how long it wants nothing gets nothing until then,
  even if no other is left.
- An upstream that says how many refusals it bears gets nothing after one
  until this router's share of them is free again, even if no other is left.
- If all upstreams of a pool do equally badly, none is excluded, as no other
  one would do better.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import statistics

from fulmarbarrow.placement import messages

# Backoff after the first lost attempt, doubled with each further one.
MIN_BACKOFF = datetime.timedelta(milliseconds=300)
MAX_BACKOFF = datetime.timedelta(seconds=2)
# Pause after a refusal, times the number of refusals in a row, at most 10.
REFUSED_PAUSE = datetime.timedelta(milliseconds=100)
# Longest pause after a refusal by an upstream that says how many it bears.
MAX_BRITTLE_PAUSE = datetime.timedelta(seconds=4)
# How long an outlier in errors or latency is excluded.
OUTLIER_PAUSE = datetime.timedelta(seconds=2)
# Time after a failure during which an upstream gets no request that must not
# be executed twice.
SUSPECT_TIME = datetime.timedelta(seconds=2)
SMOOTHING = 0.2  # lower bound of the weight of a sample in the averages
MIN_SAMPLES = 5  # samples before an upstream is compared with its pool
MIN_ERROR_RATE = 0.3  # error rate up to which no upstream is excluded
ERROR_RATE_FACTOR = 2.5  # multiple of the pool's median error rate
SLOW_FACTOR = 4.0  # multiple of the pool's median time to the first token
# Time to the first token up to which no upstream counts as slow.
MIN_SLOW_LATENCY = datetime.timedelta(milliseconds=250)
MAX_UPSTREAMS = 20_000  # records kept; the oldest one is dropped
# A zone counts as unreachable when this many of its upstreams have failed
# since any of its upstreams last responded; it is retried after the pause.
ZONE_FAILURES = 2
ZONE_PAUSE = datetime.timedelta(milliseconds=700)

_RESPONSES = frozenset(
    (messages.WorkOutcome.COMPLETED, messages.WorkOutcome.FAILED)
)


@dataclasses.dataclass(kw_only=True, slots=True)
class _UpstreamRecord:
    """Outcomes of attempts at one incarnation of an upstream."""

    incarnation: int
    lost_since_success: int = 0
    refused_since_response: int = 0
    failed_at: datetime.datetime | None = None
    excluded_until: datetime.datetime | None = None
    barred_until: datetime.datetime | None = None
    held_off_until: datetime.datetime | None = None
    brittle_pause: datetime.timedelta | None = None
    misdirected: bool = False
    samples: int = 0
    error_rate: float = 0.0
    first_token_ms: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _ZoneFailures:
    """Upstreams of a zone that failed since any of them last responded."""

    failed: set[str] = dataclasses.field(default_factory=set)
    failed_at: datetime.datetime | None = None

    def unreachable(self, now: datetime.datetime) -> bool:
        """Return whether the zone seems to be unreachable from here."""
        if self.failed_at is None or len(self.failed) < ZONE_FAILURES:
            return False
        return now - self.failed_at < ZONE_PAUSE


class Health:
    """Decides from attempt outcomes which upstreams should get work."""

    def __init__(
        self,
        *,
        zone_of: collections.abc.Callable[[str], str] | None = None,
        router_count: collections.abc.Callable[[], int] | None = None,
    ) -> None:
        self._zone_of = zone_of or (lambda _: "")
        self._router_count = router_count or (lambda: 1)
        self._records: dict[str, _UpstreamRecord] = {}
        self._zones: dict[str, _ZoneFailures] = {}

    def record_outcome(
        self, event: messages.WorkEnded, now: datetime.datetime
    ) -> None:
        """Record the outcome of an attempt."""
        record = self._record_of(event)
        if event.hold_off is not None:
            until = now + event.hold_off
            record.held_off_until = max(record.held_off_until or until, until)
        outcome = event.outcome
        if outcome is messages.WorkOutcome.MISDIRECTED:
            # Another upstream uses the address, so retries are useless until
            # membership publishes a new record.
            record.misdirected = True
        elif outcome in messages.LOST_OUTCOMES:
            record.lost_since_success += 1
            record.failed_at = now
            record.excluded_until = now + _backoff(record)
            zone = self._zones.setdefault(
                self._zone_of(event.upstream_id), _ZoneFailures()
            )
            zone.failed.add(event.upstream_id)
            zone.failed_at = now
        elif outcome is messages.WorkOutcome.REFUSED:
            record.refused_since_response += 1
            pause = REFUSED_PAUSE * min(record.refused_since_response, 10)
            record.excluded_until = now + pause
            record.brittle_pause = self._brittle_pause(event)
            if record.brittle_pause is not None:
                record.barred_until = now + record.brittle_pause
        elif outcome in _RESPONSES:
            self._zones.pop(self._zone_of(event.upstream_id), None)
            self._record_response(record, event)

    def record_start(self, upstream_id: str, now: datetime.datetime) -> None:
        """Record the start of an attempt.

        If the last attempts at the upstream failed, or a brittle upstream
        refused the last one, this attempt probes it,
        and no other one is placed there until its outcome is known or the
        backoff has passed.
        """
        record = self._records.get(upstream_id)
        if record is None:
            return
        if record.lost_since_success:
            record.excluded_until = now + _backoff(record)
        if record.brittle_pause is not None and record.refused_since_response:
            record.barred_until = now + record.brittle_pause

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream."""
        self._records.pop(upstream_id, None)

    def healthy(
        self,
        upstream_ids: collections.abc.Sequence[str],
        now: datetime.datetime,
        *,
        once: bool,
    ) -> list[str]:
        """Return the healthy upstreams in the given order.

        Work that must run ``once`` avoids upstreams that have just failed.
        If no upstream is healthy, all but the misdirected ones and those
        that bear no further refusal are returned.
        """
        healthy = [
            item
            for item in upstream_ids
            if self._is_healthy(item, now, once=once)
        ]
        if not healthy and once:
            return self.healthy(upstream_ids, now, once=False)
        usable = [
            item
            for item in upstream_ids
            if not self._is_misdirected(item)
            and not self._is_barred(item, now)
        ]
        return healthy or usable

    def exclude_outliers(
        self,
        pool: collections.abc.Iterable[str],
        now: datetime.datetime,
    ) -> None:
        """Exclude upstreams that are outliers in errors or latency."""
        records = [
            record
            for item in pool
            if (record := self._records.get(item)) is not None
            and record.samples >= MIN_SAMPLES
        ]
        if len(records) < 2:
            return
        median_error_rate = statistics.median_low(
            item.error_rate for item in records
        )
        median_first_token_ms = statistics.median_low(
            item.first_token_ms for item in records
        )
        min_slow_ms = MIN_SLOW_LATENCY.total_seconds() * 1000
        for record in records:
            failing = record.error_rate > max(
                MIN_ERROR_RATE, ERROR_RATE_FACTOR * median_error_rate
            )
            slow = record.first_token_ms > max(
                min_slow_ms, SLOW_FACTOR * median_first_token_ms
            )
            if failing or slow:
                record.excluded_until = now + OUTLIER_PAUSE
                record.failed_at = now
                record.samples = 0
                record.error_rate = record.first_token_ms = 0.0

    def dump(self) -> dict[str, str]:
        """Return the excluded upstreams and the end of their exclusion."""
        return {
            upstream_id: (
                "misdirected"
                if record.misdirected
                else str(record.excluded_until)
            )
            for upstream_id, record in self._records.items()
            if record.misdirected or record.excluded_until is not None
        }

    def _is_healthy(
        self, upstream_id: str, now: datetime.datetime, *, once: bool
    ) -> bool:
        zone = self._zones.get(self._zone_of(upstream_id))
        if zone is not None and zone.unreachable(now):
            return False
        record = self._records.get(upstream_id)
        if record is None:
            return True
        if record.misdirected or self._is_barred(upstream_id, now):
            return False
        if record.excluded_until is not None and now < record.excluded_until:
            return False
        suspect = record.lost_since_success and record.failed_at is not None
        return not (once and suspect and now - record.failed_at < SUSPECT_TIME)

    def _is_misdirected(self, upstream_id: str) -> bool:
        record = self._records.get(upstream_id)
        return record is not None and record.misdirected

    def _is_barred(self, upstream_id: str, now: datetime.datetime) -> bool:
        record = self._records.get(upstream_id)
        if record is None:
            return False
        return any(
            until is not None and now < until
            for until in (record.barred_until, record.held_off_until)
        )

    def _brittle_pause(
        self, event: messages.WorkEnded
    ) -> datetime.timedelta | None:
        """Return the time in which this router may cause no other refusal."""
        if event.refusals_borne is None:
            return None
        routers = max(1, self._router_count())
        share = max(event.refusals_borne, 1.0) / routers
        return min(datetime.timedelta(seconds=1 / share), MAX_BRITTLE_PAUSE)

    def _record_of(self, event: messages.WorkEnded) -> _UpstreamRecord:
        record = self._records.get(event.upstream_id)
        if record is None or record.incarnation < event.incarnation:
            if len(self._records) >= MAX_UPSTREAMS:
                del self._records[next(iter(self._records))]
            record = _UpstreamRecord(incarnation=event.incarnation)
            self._records[event.upstream_id] = record
        return record

    @staticmethod
    def _record_response(
        record: _UpstreamRecord, event: messages.WorkEnded
    ) -> None:
        record.refused_since_response = 0
        failed = event.outcome is messages.WorkOutcome.FAILED
        if not failed:
            record.lost_since_success = 0
        record.samples += 1
        gain = max(SMOOTHING, 1 / record.samples)
        record.error_rate += gain * (float(failed) - record.error_rate)
        if event.first_token is not None:
            latency_ms = event.first_token.total_seconds() * 1000
            record.first_token_ms += gain * (
                latency_ms - record.first_token_ms
            )


def _backoff(record: _UpstreamRecord) -> datetime.timedelta:
    """Return the exponential backoff of an upstream that keeps failing."""
    pause = MIN_BACKOFF * 2 ** min(record.lost_since_success - 1, 8)
    return min(pause, MAX_BACKOFF)
