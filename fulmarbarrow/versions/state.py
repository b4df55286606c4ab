"""State of version moves."""

from __future__ import annotations

import dataclasses
import datetime

import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.versions import messages

MAX_MOVES = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveRecord:
    """A version move and its last committed step."""

    move: bundles.VersionMove
    phase: messages.Phase
    share: float
    since: datetime.datetime
    reason: str = ""
    sequence: int = 0


class CommittedStep(msgspec.Struct, frozen=True, kw_only=True):
    """The last step of a move and the log index of its commit.

    ``since`` is when the move entered the step's phase.
    """

    step: messages.MoveStep
    index: int
    since: datetime.datetime


class StepStore:
    """The replicated state of version moves: the last step of each.

    It is stored apart from the configuration, because a restarted host
    applies the log before it has an active configuration.
    """

    def __init__(self) -> None:
        self._steps: dict[str, CommittedStep] = {}

    def get(self, move_id: str) -> CommittedStep | None:
        """Return a move's last step."""
        return self._steps.get(move_id)

    def apply(self, step: messages.MoveStep, index: int) -> None:
        """Store a committed step; beyond a limit, evict the oldest move.

        Steps are evicted in log order, so that every host retains the same
        ones.
        """
        previous = self._steps.pop(step.move_id, None)
        since = step.at
        if previous is not None and previous.step.phase is step.phase:
            since = previous.since
        self._steps[step.move_id] = CommittedStep(
            step=step, index=index, since=since
        )
        if len(self._steps) > MAX_MOVES:
            del self._steps[next(iter(self._steps))]

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return msgspec.msgpack.encode(list(self._steps.values()))

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        steps: list[CommittedStep] = []
        if data:  # empty if the host of the snapshot kept no such state
            steps = msgspec.msgpack.decode(data, type=list[CommittedStep])
        self._steps = {item.step.move_id: item for item in steps}


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingOrder:
    """A load order whose version the engine does not offer yet."""

    order_id: str
    move_id: str
    upstream_id: str
    version: str
    given_at: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """The engines of a model, split by the version that they offer."""

    old: tuple[membership_messages.Upstream, ...]
    new: tuple[membership_messages.Upstream, ...]

    @property
    def size(self) -> int:
        """The number of engines."""
        return len(self.old) + len(self.new)

    @property
    def new_fraction(self) -> float:
        """The new version's fraction of the pool's throughput."""
        new = sum(item.tokens_per_second for item in self.new)
        total = new + sum(item.tokens_per_second for item in self.old)
        return new / total if total else 0.0


def split_pool(
    move: bundles.VersionMove,
    upstreams: dict[str, membership_messages.Upstream],
) -> Pool:
    """Return the serving engines of a move's model, split by version."""
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
