"""Tracks the attempts of this entry host that are running at upstreams."""

from __future__ import annotations

import collections
import dataclasses
import datetime

from fulmarbarrow import message
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import messages

# Reservations are renewed this often, well within their lease.
RENEWAL_INTERVAL = datetime.timedelta(seconds=12)
# Renewals to a new owner are repeated after this delay.
NEW_OWNER_RENEWAL_DELAY = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
MAX_RENEWALS_PER_MESSAGE = 64
MAX_RELEASES_PER_MESSAGE = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningAttempt:
    """An attempt that is running at an upstream."""

    request: messages.PlaceRequest
    upstream_id: str
    incarnation: int
    renewed_at: datetime.datetime


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingRelease:
    """Contents of the next release message for an upstream."""

    upstream_id: str
    attempt_ids: list[str] = dataclasses.field(default_factory=list)
    hits: int = 0
    misses: int = 0
    answered: int = 0
    lost: int = 0
    misdirected: int = 0

    def record_outcome(self, event: messages.WorkEnded) -> None:
        """Record the outcome of the attempt that was added last."""
        bit = 1 << (len(self.attempt_ids) - 1)
        outcome = event.outcome
        if outcome in messages.RESPONSE_OUTCOMES:
            self.answered |= bit
        elif outcome in messages.LOST_OUTCOMES:
            self.lost |= bit
        elif outcome is messages.WorkOutcome.MISDIRECTED:
            self.misdirected |= bit
        cache_reported = event.reused_tokens is not None
        if cache_reported and outcome is messages.WorkOutcome.COMPLETED:
            if event.reused_tokens:
                self.hits |= bit
            else:
                self.misses |= bit


class RunningAttempts:
    """Running attempts of this host and their total cost by upstream."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._running: dict[str, RunningAttempt] = {}
        self._work: collections.Counter[str] = collections.Counter()
        self._releases: list[_PendingRelease] = []

    def __len__(self) -> int:
        """Return the number of running attempts."""
        return len(self._running)

    @property
    def has_releases(self) -> bool:
        """Whether a release waits to be sent."""
        return bool(self._releases)

    def work(self, upstream_id: str) -> int:
        """Return the work in tokens that this host has at an upstream."""
        return self._work[upstream_id]

    def get(self, attempt_id: str) -> RunningAttempt | None:
        """Return a running attempt, None if it is not known."""
        return self._running.get(attempt_id)

    def add(self, attempt: RunningAttempt) -> None:
        """Add an attempt that was placed."""
        self._running[attempt.request.attempt_id] = attempt
        self._work[attempt.upstream_id] += attempt.request.cost

    def end(self, event: messages.WorkEnded) -> bool:
        """Remove an ended attempt and schedule the release of its work."""
        attempt = self._running.pop(event.attempt_id, None)
        if attempt is None:
            return False
        upstream_id = attempt.upstream_id
        self._work[upstream_id] -= attempt.request.cost
        if not self._work[upstream_id]:
            del self._work[upstream_id]
        self._schedule_release(upstream_id, event.attempt_id).record_outcome(
            event
        )
        return True

    def release(self, upstream_id: str, attempt_id: str) -> None:
        """Schedule the release of a reservation that may exist."""
        self._schedule_release(upstream_id, attempt_id)

    def take_releases(
        self, directory: directories.Directory
    ) -> list[message.Message]:
        """Return and clear the scheduled releases, batched by upstream."""
        pending, self._releases = self._releases, []
        return [
            message.Send(
                address=owner.address,
                message=messages.Release(
                    attempt_ids=tuple(item.attempt_ids),
                    upstream_id=item.upstream_id,
                    hits=item.hits,
                    misses=item.misses,
                    answered=item.answered,
                    lost=item.lost,
                    misdirected=item.misdirected,
                ),
            )
            for item in pending
            if (owner := directory.owners.get(item.upstream_id))
            and owner.address
        ]

    def _schedule_release(
        self, upstream_id: str, attempt_id: str
    ) -> _PendingRelease:
        for pending in self._releases:
            if (
                pending.upstream_id == upstream_id
                and len(pending.attempt_ids) < MAX_RELEASES_PER_MESSAGE
            ):
                break
        else:
            pending = _PendingRelease(upstream_id=upstream_id)
            self._releases.append(pending)
        pending.attempt_ids.append(attempt_id)
        return pending

    def renewals(
        self,
        directory: directories.Directory,
        now: datetime.datetime,
        upstream_id: str = "",
    ) -> list[message.Message]:
        """Return the renewals that are due, or all for one upstream.

        Renewals for one upstream are sent when its owner changes.
        """
        due: dict[tuple[str, int], list[RunningAttempt]] = {}
        for attempt in self._running.values():
            if upstream_id and attempt.upstream_id != upstream_id:
                continue
            if not upstream_id and now - attempt.renewed_at < RENEWAL_INTERVAL:
                continue
            key = (attempt.upstream_id, attempt.incarnation)
            due.setdefault(key, []).append(attempt)
        effects: list[message.Message] = []
        for (due_upstream_id, incarnation), attempts in due.items():
            owner = directory.owners.get(due_upstream_id)
            if owner is None or not owner.address:
                continue
            for start in range(0, len(attempts), MAX_RENEWALS_PER_MESSAGE):
                batch = attempts[start : start + MAX_RENEWALS_PER_MESSAGE]
                effects.append(
                    self._renewal(
                        owner, due_upstream_id, incarnation, batch, now
                    )
                )
                # A new owner may learn of its role only after this renewal,
                # so it is repeated soon.
                elapsed = RENEWAL_INTERVAL - NEW_OWNER_RENEWAL_DELAY
                self._set_renewed_at(
                    batch, now - elapsed if upstream_id else now
                )
        return effects

    def _renewal(
        self,
        owner: directories.Owner,
        upstream_id: str,
        incarnation: int,
        attempts: list[RunningAttempt],
        now: datetime.datetime,
    ) -> message.Message:
        return message.Send(
            address=owner.address,
            message=messages.Renew(
                reply_to=self._address,
                upstream_id=upstream_id,
                incarnation=incarnation,
                owner_epoch=owner.epoch,
                held=tuple(
                    messages.HeldWork(
                        attempt_id=attempt.request.attempt_id,
                        left_ms=(attempt.request.deadline - now)
                        // MILLISECOND,
                        cost=attempt.request.cost,
                        cost_class=attempt.request.cost_class,
                        account=attempt.request.account,
                        best_effort=attempt.request.best_effort,
                    )
                    for attempt in attempts
                ),
            ),
        )

    def _set_renewed_at(
        self, attempts: list[RunningAttempt], now: datetime.datetime
    ) -> None:
        for attempt in attempts:
            attempt_id = attempt.request.attempt_id
            self._running[attempt_id] = dataclasses.replace(
                attempt, renewed_at=now
            )
