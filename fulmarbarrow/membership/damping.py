"""Flap damping: delays upstreams that repeatedly leave and come back."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.membership import messages

HALF_LIFE = datetime.timedelta(seconds=60)
SUPPRESSION_THRESHOLD = 1.5  # a return is delayed from this penalty on
BASE_HOLD_TIME = datetime.timedelta(seconds=2)
MAX_HOLD_TIME = datetime.timedelta(seconds=60)
NEGLIGIBLE_PENALTY = 0.05
CONFIRMATION_DELAY = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Penalty:
    value: float
    updated_at: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _PendingReturn:
    """The first announcement of an upstream whose return is delayed."""

    incarnation: int
    sequence: int
    announced_at: datetime.datetime


class FlapDamping:
    """Keeps a penalty for each upstream and delays its return accordingly.

    The penalty increases by one with each departure and halves every
    ``HALF_LIFE``. From ``SUPPRESSION_THRESHOLD`` on, an upstream must keep
    announcing itself for a hold time that doubles with each departure before
    it is live again. An incarnation with a tombstone always needs a second
    announcement, so that a single delayed announcement cannot revive it.
    """

    def __init__(self) -> None:
        self._penalties: dict[str, _Penalty] = {}
        self._pending_returns: dict[str, _PendingReturn] = {}

    @property
    def pending_count(self) -> int:
        """The number of upstreams whose return is being delayed."""
        return len(self._pending_returns)

    def record_departure(
        self, upstream_id: str, now: datetime.datetime
    ) -> None:
        """Record a departure of an upstream."""
        value = self.penalty(upstream_id, now) + 1
        self._penalties[upstream_id] = _Penalty(value=value, updated_at=now)

    def penalty(self, upstream_id: str, now: datetime.datetime) -> float:
        """Return the decayed penalty of an upstream."""
        penalty = self._penalties.get(upstream_id)
        if penalty is None:
            return 0.0
        return penalty.value * 0.5 ** ((now - penalty.updated_at) / HALF_LIFE)

    def admits_at_once(
        self,
        upstream: messages.Upstream,
        tombstone: messages.UpstreamTombstone | None,
        now: datetime.datetime,
    ) -> bool:
        """Return whether the first announcement makes an upstream live."""
        if (
            tombstone is not None
            and tombstone.incarnation == upstream.incarnation
        ):
            return False
        return self.penalty(upstream.upstream_id, now) < SUPPRESSION_THRESHOLD

    def may_rejoin(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> bool:
        """Return whether an upstream that was delayed may be live now."""
        penalty = self.penalty(upstream.upstream_id, now)
        pending_return = self._pending_returns.get(upstream.upstream_id)
        if (
            pending_return is None
            or pending_return.incarnation != upstream.incarnation
        ):
            self._pending_returns[upstream.upstream_id] = _PendingReturn(
                incarnation=upstream.incarnation,
                sequence=upstream.sequence,
                announced_at=now,
            )
            return False
        hold_time = self._hold_time(penalty)
        if (
            upstream.sequence <= pending_return.sequence
            or now - pending_return.announced_at < hold_time
        ):
            return False
        del self._pending_returns[upstream.upstream_id]
        return True

    def prune(
        self, now: datetime.datetime, *, lease: datetime.timedelta
    ) -> None:
        """Drop negligible penalties and abandoned returns."""
        for upstream_id in list(self._penalties):
            if self.penalty(upstream_id, now) < NEGLIGIBLE_PENALTY:
                del self._penalties[upstream_id]
        for upstream_id, pending_return in list(self._pending_returns.items()):
            if now - pending_return.announced_at > MAX_HOLD_TIME + lease:
                del self._pending_returns[upstream_id]

    @staticmethod
    def _hold_time(penalty: float) -> datetime.timedelta:
        if penalty < SUPPRESSION_THRESHOLD:
            return CONFIRMATION_DELAY
        hold_time = BASE_HOLD_TIME * 2 ** (penalty - SUPPRESSION_THRESHOLD)
        return min(hold_time, MAX_HOLD_TIME)
