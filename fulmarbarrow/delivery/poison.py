"""Registry of poison requests, identified by digest."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import typing

from fulmarbarrow.delivery import messages

CRASHES_TO_QUARANTINE = 2
SUSPECT_DURATION = datetime.timedelta(minutes=1)
QUARANTINE_DURATION = datetime.timedelta(minutes=10)
# Until the evidence that all daemons share decides.
PROVISIONAL_QUARANTINE_DURATION = datetime.timedelta(seconds=5)
CLEAR_AFTER = datetime.timedelta(seconds=3)
MAX_DIGESTS = 10_000
RUN_LEASE = datetime.timedelta(seconds=30)


class DigestStatus(enum.StrEnum):
    """Whether requests with a digest are suspects or quarantined."""

    NONE = "none"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(kw_only=True)
class _CrashRecord:
    """Crash times by upstream incarnation, and when the record expires."""

    crashes: dict[tuple[str, int], datetime.datetime] = dataclasses.field(
        default_factory=dict
    )
    expires_at: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SuspectRun:
    """The current run of a suspect on any router."""

    attempt_id: str
    upstream_id: str
    expires_at: datetime.datetime


class PoisonRegistry:
    """Counts crashes by digest and tracks the runs of suspects.

    The first crash makes a digest a suspect for a minute. At ``crash_limit``
    crashes, by default two, it is quarantined for ``quarantine``. A suspect
    runs at most once at a time and an upstream runs at most one suspect at a
    time, so a crash identifies the suspect that caused it.
    """

    def __init__(
        self,
        *,
        crash_limit: int = CRASHES_TO_QUARANTINE,
        quarantine: datetime.timedelta = QUARANTINE_DURATION,
    ) -> None:
        self._crash_limit = crash_limit
        self._quarantine = quarantine
        self._records: dict[str, _CrashRecord] = {}
        self._runs: dict[str, _SuspectRun] = {}
        self._digests_by_crash: dict[tuple[str, int], set[str]] = {}

    def status(self, digest: str, now: datetime.datetime) -> DigestStatus:
        """Return the status of a digest."""
        record = self._records.get(digest)
        if record is None:
            return DigestStatus.NONE
        if record.expires_at <= now:
            del self._records[digest]
            return DigestStatus.NONE
        if len(record.crashes) >= self._crash_limit:
            return DigestStatus.QUARANTINED
        return DigestStatus.SUSPECT

    def crashed_incarnations(self, digest: str) -> frozenset[tuple[str, int]]:
        """Return the upstream incarnations that crashed on a digest."""
        record = self._records.get(digest)
        return frozenset(record.crashes) if record else frozenset()

    def add_crash(self, event: messages.PoisonSuspected) -> None:
        """Record a crash."""
        record = self._records.get(event.digest)
        if record is None:
            if len(self._records) >= MAX_DIGESTS:
                del self._records[next(iter(self._records))]
            record = _CrashRecord(expires_at=event.at)
            self._records[event.digest] = record
        crashed = (event.upstream_id, event.incarnation)
        record.crashes[crashed] = event.at
        self._digests_by_crash.setdefault(crashed, set()).add(event.digest)
        duration = SUSPECT_DURATION
        if len(record.crashes) >= self._crash_limit:
            record.expires_at = event.at + self._quarantine
            return
        record.expires_at = max(record.expires_at, event.at + duration)

    def clear_crashes(
        self, upstream_id: str, incarnation: int, now: datetime.datetime
    ) -> None:
        """Remove the crashes of an upstream incarnation that is alive.

        A process that crashed returns as another incarnation. One that still
        renews its lease ``CLEAR_AFTER`` after the crash only lost
        connections.
        """
        digests = self._digests_by_crash.get((upstream_id, incarnation), set())
        for digest in list(digests):
            record = self._records.get(digest)
            if record is None:
                digests.discard(digest)
                continue
            at = record.crashes.get((upstream_id, incarnation), now)
            if now - at < CLEAR_AFTER:
                continue
            digests.discard(digest)
            del record.crashes[upstream_id, incarnation]
            if not record.crashes:
                del self._records[digest]
        if not digests:
            self._digests_by_crash.pop((upstream_id, incarnation), None)

    def clear_served(self, digest: str) -> None:
        """Forget the crashes of a digest of which a run completed."""
        self._records.pop(digest, None)

    def start_run(
        self, event: messages.SuspectStarted, now: datetime.datetime
    ) -> None:
        """Record that a suspect runs."""
        self._runs[event.digest] = _SuspectRun(
            attempt_id=event.attempt_id,
            upstream_id=event.upstream_id,
            expires_at=now + event.lease,
        )

    def end_run(self, event: messages.SuspectEnded) -> None:
        """Record the end of a run; a harmless one clears the suspect."""
        run = self._runs.get(event.digest)
        if run is not None and run.attempt_id == event.attempt_id:
            del self._runs[event.digest]
        record = self._records.get(event.digest)
        if record is None or not event.harmless:
            return
        if len(record.crashes) < self._crash_limit:
            del self._records[event.digest]

    def is_running(self, digest: str, now: datetime.datetime) -> bool:
        """Return whether a digest runs as a suspect on any router."""
        self._drop_expired(now)
        return digest in self._runs

    def is_recorded_run(self, digest: str, attempt_id: str) -> bool:
        """Return whether an attempt is the recorded run of a suspect."""
        run = self._runs.get(digest)
        return run is not None and run.attempt_id == attempt_id

    def busy_upstreams(self, now: datetime.datetime) -> set[str]:
        """Return the upstreams that run a suspect."""
        self._drop_expired(now)
        return {run.upstream_id for run in self._runs.values()}

    def dump(self) -> dict[str, typing.Any]:
        """Return the suspect and quarantined digests as plain data."""
        return {
            digest: {
                "crashed": sorted(name for name, _ in record.crashes),
                "quarantined": (len(record.crashes) >= self._crash_limit),
                "until": record.expires_at.isoformat(),
            }
            for digest, record in self._records.items()
        }

    def _drop_expired(self, now: datetime.datetime) -> None:
        expired = [
            digest
            for digest, run in self._runs.items()
            if run.expires_at <= now
        ]
        for digest in expired:
            del self._runs[digest]
