"""Local state of an upstream at a daemon, and helpers on its record."""

from __future__ import annotations

import dataclasses
import datetime

import msgspec

from fulmarbarrow.membership import messages

# Greater than every sequence that an upstream can reach.
DEREGISTERED_SEQUENCE = 1 << 53


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """The daemon that keeps an upstream's reservations.

    ``daemon_id`` and ``address`` are empty if no daemon does.
    """

    daemon_id: str = ""
    address: str = ""
    epoch: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class UpstreamEntry:
    """The record of an upstream and its lease.

    ``sequence`` is the highest sequence received, including renewals;
    ``renewed_at`` is when an announcement or renewal was last received here.
    ``lease_holder`` is the id of the daemon that holds the lease. ``hidden``
    is set while the zone of the upstream is unreachable from this daemon.
    ``leaving_sequence`` is the highest one at which the upstream is known to
    leave; the record may be older.
    """

    upstream: messages.Upstream
    sequence: int
    received_at: datetime.datetime
    renewed_at: datetime.datetime | None = None
    hidden: bool = False
    lease_holder: str = ""
    lease_held_since: datetime.datetime | None = None
    lease_queried_at: datetime.datetime | None = None
    owner: Owner | None = None
    leaving_sequence: int = -1

    @property
    def version(self) -> tuple[int, int, int]:
        """The version of the record; the highest version wins."""
        return self.upstream.incarnation, self.upstream.sequence, 0

    @property
    def withdrawn(self) -> bool:
        """Whether the upstream deregistered itself."""
        return self.leaving_sequence >= DEREGISTERED_SEQUENCE

    def renewed_within(
        self, period: datetime.timedelta, now: datetime.datetime
    ) -> bool:
        """Return whether a renewal was received here within a period."""
        return self.renewed_at is not None and now - self.renewed_at <= period


def tombstone_version(
    tombstone: messages.UpstreamTombstone,
) -> tuple[int, int, int]:
    """Return the version of a tombstone."""
    if tombstone.left:
        return tombstone.incarnation, DEREGISTERED_SEQUENCE, 2
    return tombstone.incarnation, tombstone.sequence, 1


def differ_only_in_sequence(
    before: messages.Upstream, after: messages.Upstream
) -> bool:
    """Return whether two records differ only in their sequence."""
    return msgspec.structs.replace(before, sequence=after.sequence) == after


def delta_between(
    before: messages.Upstream, after: messages.Upstream
) -> messages.UpstreamDelta | None:
    """Return the delta between two records, None if it needs a full record.

    A delta contains only the sequence, the state and the owner.
    """
    changed = msgspec.structs.replace(
        before,
        sequence=after.sequence,
        state=after.state,
        owner=after.owner,
        owner_epoch=after.owner_epoch,
    )
    if changed != after:
        return None
    return messages.UpstreamDelta(
        upstream_id=after.upstream_id,
        incarnation=after.incarnation,
        base=before.sequence,
        sequence=after.sequence,
        state=after.state,
        owner=after.owner,
        owner_epoch=after.owner_epoch,
    )
