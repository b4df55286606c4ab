"""What a daemon knows of version moves."""

from __future__ import annotations

import dataclasses
import datetime

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.versions import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveRecord:
    """A version move and the last step that was committed for it."""

    move: bundles.VersionMove
    phase: messages.Phase
    share: float
    since: datetime.datetime
    started: datetime.datetime
    reason: str = ""
    sequence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingOrder:
    """An order whose effect has not been announced yet."""

    order_id: str
    move_id: str
    upstream_id: str
    version: str
    given_at: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """The engines of a model, split by the version they offer."""

    old: tuple[membership_messages.Upstream, ...]
    new: tuple[membership_messages.Upstream, ...]

    @property
    def size(self) -> int:
        """The number of engines."""
        return len(self.old) + len(self.new)

    @property
    def new_fraction(self) -> float:
        """The new version's part of the pool's speed."""
        new = sum(item.tokens_per_second for item in self.new)
        total = new + sum(item.tokens_per_second for item in self.old)
        return new / total if total else 0.0


def split_pool(
    move: bundles.VersionMove,
    upstreams: dict[str, membership_messages.Upstream],
) -> Pool:
    """Return the serving engines of a move's model by version."""
    found: dict[str, list[membership_messages.Upstream]] = {
        move.old: [],
        move.new: [],
    }
    for upstream in upstreams.values():
        if upstream.state is not membership_messages.UpstreamState.SERVING:
            continue
        offered = {
            offer.version
            for offer in upstream.offers
            if (offer.service, offer.model) == (move.service, move.model)
        }
        for version in (move.new, move.old):
            if version in offered:
                found[version].append(upstream)
                break
    return Pool(
        old=tuple(sorted(found[move.old], key=lambda up: up.upstream_id)),
        new=tuple(sorted(found[move.new], key=lambda up: up.upstream_id)),
    )
