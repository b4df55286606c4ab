"""The work that this entry host has at upstreams."""

from __future__ import annotations

import collections
import dataclasses
import datetime

from fulmarbarrow import message
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import messages

RENEW_AFTER = datetime.timedelta(seconds=4)
MAX_HELD_IN_RENEWAL = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holding:
    """One attempt that runs at an upstream; ``cost`` is in tokens."""

    request: messages.PlaceRequest
    upstream_id: str
    incarnation: int
    renewed_at: datetime.datetime


class Holdings:
    """Attempts of this host that run, and their sums by upstream."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._held: dict[str, Holding] = {}
        self._work: collections.Counter[str] = collections.Counter()
        self._releases: dict[str, list[str]] = {}

    def __len__(self) -> int:
        """Return the number of attempts that run."""
        return len(self._held)

    def work(self, upstream_id: str) -> int:
        """Return the work in tokens that this host has at an upstream."""
        return self._work[upstream_id]

    def get(self, attempt_id: str) -> Holding | None:
        """Return what an attempt holds."""
        return self._held.get(attempt_id)

    def add(self, holding: Holding) -> None:
        """Take in an attempt that was placed."""
        self._held[holding.request.attempt_id] = holding
        self._work[holding.upstream_id] += holding.request.cost

    def end(self, attempt_id: str) -> Holding | None:
        """Drop an ended attempt and plan the release of its work."""
        holding = self._held.pop(attempt_id, None)
        if holding is None:
            return None
        upstream_id = holding.upstream_id
        self._work[upstream_id] -= holding.request.cost
        if not self._work[upstream_id]:
            del self._work[upstream_id]
        self.release(upstream_id, attempt_id)
        return holding

    def release(self, upstream_id: str, attempt_id: str) -> None:
        """Plan the release of a reservation that may exist."""
        self._releases.setdefault(upstream_id, []).append(attempt_id)

    def take_releases(
        self, directory: directories.Directory
    ) -> list[message.Message]:
        """Return the planned releases, one message an upstream."""
        planned, self._releases = self._releases, {}
        return [
            message.Send(
                address=owner.address,
                message=messages.Release(
                    attempt_ids=tuple(attempt_ids), upstream_id=upstream_id
                ),
            )
            for upstream_id, attempt_ids in planned.items()
            if (owner := directory.owners.get(upstream_id)) and owner.address
        ]

    def renewals(
        self,
        directory: directories.Directory,
        now: datetime.datetime,
        upstream_id: str = "",
    ) -> list[message.Message]:
        """Return renewals that are due, or all of one upstream."""
        due: dict[tuple[str, int], list[Holding]] = {}
        for holding in self._held.values():
            if upstream_id and holding.upstream_id != upstream_id:
                continue
            if not upstream_id and now - holding.renewed_at < RENEW_AFTER:
                continue
            key = (holding.upstream_id, holding.incarnation)
            due.setdefault(key, []).append(holding)
        effects: list[message.Message] = []
        for (chosen, incarnation), held in due.items():
            owner = directory.owners.get(chosen)
            if owner is None or not owner.address:
                continue
            for first in range(0, len(held), MAX_HELD_IN_RENEWAL):
                part = held[first : first + MAX_HELD_IN_RENEWAL]
                effects.append(self._renew(owner, chosen, incarnation, part))
                self._mark(part, now)
        return effects

    def _renew(
        self,
        owner: directories.Owner,
        upstream_id: str,
        incarnation: int,
        held: list[Holding],
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
                        attempt_id=item.request.attempt_id,
                        cost=item.request.cost,
                        cost_class=item.request.cost_class,
                        account=item.request.account,
                        best_effort=item.request.best_effort,
                    )
                    for item in held
                ),
            ),
        )

    def _mark(self, held: list[Holding], now: datetime.datetime) -> None:
        for item in held:
            attempt_id = item.request.attempt_id
            self._held[attempt_id] = dataclasses.replace(item, renewed_at=now)
