"""Limits on the requests a second that upstreams name in their answers.

Load pattern: an upstream in need takes fewer requests than its share of a
burst. Its owner spaces the starts of all routers; a router that can't reach
the owner has a small share of its own.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import logging
import math

from fulmarbarrow import message
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import messages

log = logging.getLogger(__name__)

SECOND = datetime.timedelta(seconds=1)
# Only an answer shows that a limit has risen, so that an upstream that takes
# nothing is still sent this many requests a second.
LEAST_RATE = 0.5
# Starts that may be made at once after a pause.
BURST = datetime.timedelta(milliseconds=500)
# An attempt that starts at a limited upstream is answered, and its answer
# reported, within this time; a limit that is not confirmed then has ended.
CONFIRM_WITHIN = datetime.timedelta(seconds=5)
# An owner may learn of an answer without a limit after one that named it.
REORDERED_WITHIN = datetime.timedelta(milliseconds=300)
# A router tells the owner an unchanged limit this often.
REPORT_INTERVAL = datetime.timedelta(seconds=1)
# Part of a limit that routers without a connection to the owner may use. The
# owner grants all of it to the others meanwhile.
OWNERLESS_PART = 0.25


class Pacer:
    """Spaces the starts at one upstream evenly, at the rate that it named.

    ``_free_at`` is when the starts so far are spent at the rate. A start is
    allowed up to ``BURST`` before.
    """

    def __init__(self) -> None:
        self._rate: float | None = None
        self._named_at: datetime.datetime | None = None
        self._free_at: datetime.datetime | None = None
        self._unconfirmed_since: datetime.datetime | None = None

    @property
    def limited(self) -> bool:
        """Whether the upstream named a limit that has not ended."""
        return self._rate is not None

    def set_rate(self, rate: float | None, now: datetime.datetime) -> None:
        """Apply the rate that an answer named, None if it named none."""
        if rate is None:
            if self._named_at and now - self._named_at >= REORDERED_WITHIN:
                self._rate = None
            return
        self._rate = max(rate, LEAST_RATE)
        self._named_at = now
        self._unconfirmed_since = None
        if self._free_at is not None:
            # A wait at a lower rate ends when the rate rises.
            latest = now + max(BURST, SECOND / self._rate)
            self._free_at = min(self._free_at, latest)

    def rate(self, now: datetime.datetime) -> float | None:
        """Return the starts a second that are allowed, None for any."""
        since = self._unconfirmed_since
        if since is not None and now - since > CONFIRM_WITHIN:
            self._rate = None
        return self._rate

    def record_start(self, now: datetime.datetime) -> None:
        """Record a start."""
        rate = self.rate(now)
        if rate is None:
            return
        self._free_at = max(now, self._free_at or now) + SECOND / rate
        self._unconfirmed_since = self._unconfirmed_since or now

    def wait(
        self, now: datetime.datetime, ahead: int = 0
    ) -> datetime.timedelta:
        """Return the time until a start, if ``ahead`` others come first."""
        rate = self.rate(now)
        if rate is None:
            return datetime.timedelta(0)
        interval = SECOND / rate
        burst = max(datetime.timedelta(0), BURST - interval)
        free_at = max(now, self._free_at or now) + ahead * interval
        return max(datetime.timedelta(0), free_at - burst - now)


@dataclasses.dataclass(kw_only=True, slots=True)
class _KnownLimit:
    """A limit that answers to this router named.

    ``rate`` and ``told_at`` are what the owner was told last, and when.
    ``pacer`` spaces this router's own starts while there is no owner.
    """

    incarnation: int
    pacer: Pacer
    told_at: datetime.datetime
    rate: float = math.nan


class KnownLimits:
    """The limits that answers to this router named, by upstream.

    Tells each upstream's owner, and bounds what this router places without
    one.
    """

    def __init__(self) -> None:
        self._known: dict[str, _KnownLimit] = {}

    def __len__(self) -> int:
        """Return the number of limited upstreams."""
        return len(self._known)

    def record(
        self,
        event: messages.RateLimitNamed,
        directory: directories.Directory,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Record a limit; return the message to the owner if it is due."""
        upstream = directory.upstreams.get(event.upstream_id)
        if upstream is None or upstream.incarnation != event.incarnation:
            return []
        known = self._known.get(event.upstream_id)
        if event.rate is None:
            if known is None:
                return []
            del self._known[event.upstream_id]
            log.info("limit ended", extra={"upstream": upstream.upstream_id})
            return self._tell_owner(event.upstream_id, event, directory)
        if known is None or known.incarnation != event.incarnation:
            known = self._known[event.upstream_id] = _KnownLimit(
                incarnation=event.incarnation, pacer=Pacer(), told_at=now
            )
        share = event.rate * OWNERLESS_PART / _ownerless_routers(event.rate)
        known.pacer.set_rate(share, now)
        changed = event.rate != known.rate
        if changed:
            log.info(
                "limit named",
                extra={
                    "upstream": upstream.upstream_id,
                    "rate": event.rate,
                },
            )
        if not changed and now - known.told_at < REPORT_INTERVAL:
            return []
        known.rate, known.told_at = event.rate, now
        return self._tell_owner(event.upstream_id, event, directory)

    def tell_new_owner(
        self, upstream_id: str, directory: directories.Directory
    ) -> list[message.Message]:
        """Return the message that tells a new owner of a known limit."""
        known = self._known.get(upstream_id)
        if known is None:
            return []
        event = messages.RateLimitNamed(
            upstream_id=upstream_id,
            incarnation=known.incarnation,
            rate=known.rate,
        )
        return self._tell_owner(upstream_id, event, directory)

    def remove_upstream(self, upstream_id: str) -> None:
        """Forget an upstream."""
        self._known.pop(upstream_id, None)

    def fits(
        self,
        upstream_id: str,
        rank: collections.abc.Callable[[], int],
        now: datetime.datetime,
    ) -> bool:
        """Return whether this router may start an attempt without an owner.

        ``rank`` returns the router's place in the upstream's order of routers.
        Only the first few of these may start any.
        """
        known = self._known.get(upstream_id)
        if known is None or known.pacer.rate(now) is None:
            return True
        if rank() >= _ownerless_routers(known.rate):
            return False
        return not known.pacer.wait(now)

    def record_ownerless_start(
        self, upstream_id: str, now: datetime.datetime
    ) -> None:
        """Record a start without an owner."""
        known = self._known.get(upstream_id)
        if known is not None:
            known.pacer.record_start(now)

    def dump(self) -> dict[str, float]:
        """Return the known limits in requests a second."""
        return {name: known.rate for name, known in self._known.items()}

    @staticmethod
    def _tell_owner(
        upstream_id: str,
        event: messages.RateLimitNamed,
        directory: directories.Directory,
    ) -> list[message.Message]:
        owner = directory.owners.get(upstream_id)
        if owner is None or not owner.address:
            return []
        return [
            message.Send(
                address=owner.address,
                message=messages.UpstreamRateLimit(
                    upstream_id=upstream_id,
                    incarnation=event.incarnation,
                    rate=event.rate,
                ),
            )
        ]


def _ownerless_routers(rate: float) -> int:
    """Return how many routers share the part that needs no owner."""
    return max(1, int(rate * OWNERLESS_PART))
