"""The replicated state: which host holds which duty, under which number."""

from __future__ import annotations

import datetime
import logging

import msgspec

from fulmarbarrow.duties import messages

log = logging.getLogger(__name__)

NUMBER_BITS = 53  # more is not exact in a JSON number
# Clocks that are wrong by this much can't use up the numbers.
MAX_FLOOR = 1 << NUMBER_BITS - 1
MAX_SUBJECTS = 4096  # of one duty
MAX_SUBJECT_CHARACTERS = 256

_MILLISECOND = datetime.timedelta(milliseconds=1)
_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class Grant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A command: a host gets all subjects of a duty, with a new number.

    It has no effect if the duty has a number above ``base``, the one on which
    the leader decided, or if the log has it from another ``term``: a later
    leader may have confirmed the former holder in the meantime. The new number
    is at least ``floor``. With ``extends`` the host held the duty before, and
    its tenure goes on. Hosts whose settings differ during a rollout all use
    the ``lease`` of the grant.
    """

    duty: messages.Duty
    holder: str
    incarnation: int
    zone: str
    address: str
    subjects: tuple[str, ...]
    base: int
    term: int
    floor: int
    lease: datetime.timedelta
    extends: bool = False


class Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The grant of a duty that is in force.

    ``tenure`` is the number of the first of the consecutive grants to the same
    host. Leases are of tenures, calls carry the number.
    """

    duty: messages.Duty
    holder: str
    incarnation: int
    zone: str
    address: str
    subjects: tuple[str, ...]
    number: int
    tenure: int
    lease: datetime.timedelta

    def is_of(self, holder: str, incarnation: int) -> bool:
        """Return whether this process of the host is the holder."""
        return self.holder == holder and self.incarnation == incarnation


class Stored(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The whole state, as in a snapshot."""

    highest: int = 0
    records: tuple[Record, ...] = ()


_GRANTS = msgspec.msgpack.Decoder(Grant)
_STORED = msgspec.msgpack.Decoder(Stored)


def floor(now: datetime.datetime) -> int:
    """Return the lowest number of a grant that is proposed now.

    A fleet that lost its log on all disks starts with numbers above those that
    the platform has seen. While the log exists, only its highest number
    counts, so steps of the clock cannot make a number lower.
    """
    return (now - _EPOCH) // _MILLISECOND


class Grants:
    """Applies grants in the order of the log."""

    def __init__(self) -> None:
        self._highest = 0
        self._records: dict[messages.Duty, Record] = {}

    @property
    def highest(self) -> int:
        """The highest number that was ever granted."""
        return self._highest

    @property
    def records(self) -> tuple[Record, ...]:
        """All grants in force."""
        return tuple(self._records.values())

    def longest_lease(self, own: datetime.timedelta) -> datetime.timedelta:
        """Return the longest lease that may still run."""
        return max([own, *(item.lease for item in self._records.values())])

    def get(self, duty: messages.Duty) -> Record | None:
        """Return the grant of a duty."""
        return self._records.get(duty)

    def apply(self, command: bytes, term: int) -> Record | None:
        """Apply a command; return the new record, None if it has no effect."""
        try:
            grant = _GRANTS.decode(command)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            log.warning("grant of a duty is not readable")
            return None
        before = self._records.get(grant.duty)
        if grant.term != term:
            return None
        if before is not None and grant.base < before.number:
            return None
        wanted = grant.floor if grant.floor < MAX_FLOOR else 0
        number = self._highest = max(self._highest + 1, wanted)
        tenure, lease = number, grant.lease
        if (
            grant.extends
            and before is not None
            and before.is_of(grant.holder, grant.incarnation)
        ):
            tenure, lease = before.tenure, before.lease
        record = Record(
            duty=grant.duty,
            holder=grant.holder,
            incarnation=grant.incarnation,
            zone=grant.zone,
            address=grant.address,
            subjects=grant.subjects,
            number=number,
            tenure=tenure,
            lease=lease,
        )
        self._records[grant.duty] = record
        return record

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(
            Stored(highest=self._highest, records=self.records)
        )

    def restore(self, stored: bytes) -> None:
        """Replace the whole state."""
        try:
            taken = _STORED.decode(stored) if stored else Stored()
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            log.error("snapshot of the duties is not readable")
            return
        self._highest = taken.highest
        self._records = {record.duty: record for record in taken.records}


def bounded(subjects: tuple[str, ...]) -> tuple[str, ...]:
    """Return the subjects that a grant can carry, sorted."""
    kept = sorted(
        {item for item in subjects if len(item) <= MAX_SUBJECT_CHARACTERS}
    )
    return tuple(kept[:MAX_SUBJECTS])
