"""What a daemon knows of the other members."""

from __future__ import annotations

import dataclasses
import datetime

import msgspec

from fulmarbarrow.membership import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lease:
    """An upstream's record and the time until which it holds."""

    upstream: messages.Upstream
    until: datetime.datetime

    def older_than(self, other: messages.Upstream) -> bool:
        """Return whether ``other`` replaces this record."""
        mine = (self.upstream.incarnation, self.upstream.sequence)
        return mine < (other.incarnation, other.sequence)

    def same_as(self, other: messages.Upstream) -> bool:
        """Return whether ``other`` only renews this record."""
        renewed = msgspec.structs.replace(
            self.upstream, sequence=other.sequence
        )
        return renewed == other


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heard:
    """A daemon's record and the time of its last message."""

    daemon: messages.Daemon
    at: datetime.datetime
