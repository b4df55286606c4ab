"""Ledger of the reservations at one upstream, kept by its owner."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import cold
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import recent

LEASE = datetime.timedelta(seconds=30)
# An attempt ends at its deadline at the latest; its release may arrive this
# much later.
RELEASE_TIME = datetime.timedelta(seconds=1)
SECOND = datetime.timedelta(seconds=1)
# An upstream counts as unresponsive after this many lost attempts in a row.
LOST_ATTEMPTS = 2
# How long the owner refuses all reservations after an attempt has found
# another upstream at the address. Membership reports the end of the upstream
# in about the same time.
MISDIRECTED = datetime.timedelta(seconds=2)
# Bound on remembered releases that arrived before their reservation.
MAX_RELEASED = 512
# Time after a change of owner by which every reservation has been renewed.
SETTLE = datetime.timedelta(seconds=14)
# Time after a change of owner by which entry hosts usually have renewed.
HANDOVER = datetime.timedelta(seconds=2)
# Entry hosts renew as soon as they learn of a new owner, which takes one
# round of gossip.
FIRST_RENEWALS = datetime.timedelta(milliseconds=300)


class Priority(enum.IntEnum):
    """Scheduling priority at the engine; lower values run first."""

    BY_RIGHT = 0
    SHORT = 1
    LONG = 2
    BEST_EFFORT = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Reservation of an attempt; ``cost`` is in tokens.

    ``holder`` is the address of the entry host. ``expected`` is set if the
    chat was probably in the cache.
    """

    attempt_id: str
    holder: str
    account: str
    cost: int
    cost_class: messages.CostClass
    priority: Priority
    until: datetime.datetime
    chat: int = 0
    expected: bool = False

    @property
    def by_right(self) -> bool:
        """Whether the account's reserved share covers the work."""
        return self.priority is Priority.BY_RIGHT

    @property
    def long(self) -> bool:
        """Whether the work may not use the capacity for short work."""
        return not self.by_right and self.cost_class is messages.CostClass.LONG


def lease_end(
    now: datetime.datetime, deadline: datetime.datetime
) -> datetime.datetime:
    """Return when a reservation expires unless it is renewed.

    The lease ends shortly after the deadline of the attempt, so that work of
    an unreachable holder, or work whose release was lost, is not counted for
    longer than it can run.
    """
    return min(now + LEASE, max(now, deadline) + RELEASE_TIME)


class Ledger:
    """Reservations at one incarnation of an upstream and their totals.

    For a short time after a change of owner, the load that the upstream
    reports stands in for reservations that entry hosts have not renewed here
    yet. An owner that ``replaces`` another one grants nothing before the
    first renewals.
    """

    def __init__(
        self,
        *,
        upstream: membership_messages.Upstream,
        epoch: int,
        since: datetime.datetime,
        placed_window: datetime.timedelta,
        replaces: bool = False,
    ) -> None:
        self.upstream = upstream
        self.epoch = epoch
        self.chats = recent.RecentChats()
        self.cold = cold.ColdDetector()
        self.cold_since: datetime.datetime | None = None
        self._since = since
        self._replaces = replaces
        self._placed_window = placed_window
        self._reservations: dict[str, Reservation] = {}
        self._released: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._reported = 0
        self._lost = 0
        self._misdirected_until = since
        self._placements: collections.deque[tuple[datetime.datetime, int]] = (
            collections.deque()
        )
        self._placed = 0
        self._starts: collections.deque[datetime.datetime] = (
            collections.deque()
        )
        self._sum = 0
        self._by_right = 0
        self._long = 0

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._reservations)

    @property
    def reserved(self) -> int:
        """All reserved work in tokens."""
        return self._sum

    @property
    def shared(self) -> int:
        """Reserved work in tokens that no reserved share covers."""
        return self._sum - self._by_right

    @property
    def long(self) -> int:
        """Reserved work in tokens that may not use short work's capacity."""
        return self._long

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """All reservations."""
        return tuple(self._reservations.values())

    @property
    def renewed_from(self) -> datetime.datetime:
        """When the reservations granted by the former owner are known."""
        wait = FIRST_RENEWALS if self._replaces else datetime.timedelta(0)
        return self._since + wait

    @property
    def answers(self) -> bool:
        """Whether the upstream responded to its last attempts."""
        return self._lost < LOST_ATTEMPTS

    def misdirected(self, now: datetime.datetime) -> bool:
        """Return whether another upstream seems to use the address."""
        return now < self._misdirected_until

    def work(self, now: datetime.datetime) -> int:
        """Return the estimated work of the upstream in tokens."""
        if self.epoch and now - self._since < SETTLE:
            return max(self._sum, self._reported)
        return self._sum

    def handing_over(self, now: datetime.datetime) -> bool:
        """Return whether entry hosts may still have to renew here."""
        return bool(self.epoch) and now - self._since < HANDOVER

    def placed(self, now: datetime.datetime) -> int:
        """Return the work in tokens that was placed within the window."""
        while self._placements:
            at, cost = self._placements[0]
            if now - at < self._placed_window:
                break
            self._placements.popleft()
            self._placed -= cost
        return self._placed

    def starts(self, now: datetime.datetime) -> int:
        """Return how many attempts were placed within the last second."""
        while self._starts and now - self._starts[0] >= SECOND:
            self._starts.popleft()
        return len(self._starts)

    def by_right(self, account: str) -> int:
        """Return the work of an account that its reserved share covers."""
        if not self._by_right:
            return 0
        return sum(
            item.cost
            for item in self._reservations.values()
            if item.by_right and item.account == account
        )

    def get(self, attempt_id: str) -> Reservation | None:
        """Return a reservation, None if it is not known."""
        return self._reservations.get(attempt_id)

    def crossed(self, attempt_id: str) -> bool:
        """Return whether the release arrived before the reservation.

        The release is forgotten, so a second call returns False.
        """
        if attempt_id not in self._released:
            return False
        del self._released[attempt_id]
        return True

    def report(self, load: membership_messages.Load) -> None:
        """Record the load that the upstream reported, with some delay."""
        self._reported = load.running_tokens + load.queued_tokens

    def add(self, item: Reservation, placed_at: datetime.datetime) -> None:
        """Add a reservation or renew it."""
        known = self._reservations.get(item.attempt_id)
        if known is None:
            self._placements.append((placed_at, item.cost))
            self._starts.append(placed_at)
            self._placed += item.cost
        else:
            self._count(known, -1)
        self._reservations[item.attempt_id] = item
        self._count(item, 1)

    def remove(self, attempt_id: str) -> Reservation | None:
        """Remove a reservation; remember the release if it is not known yet.

        Messages may be reordered, so a release may precede its reservation.
        """
        item = self._reservations.pop(attempt_id, None)
        if item is not None:
            self._count(item, -1)
            return item
        self._released[attempt_id] = None
        if len(self._released) > MAX_RELEASED:
            self._released.popitem(last=False)
        return None

    def release(self, event: messages.Release, now: datetime.datetime) -> bool:
        """Release attempts; return whether the upstream just turned cold.

        Cache hits and misses of the attempts show which chats are cached.
        """
        turned_cold = False
        for number, attempt_id in enumerate(event.attempt_ids):
            item = self.remove(attempt_id)
            if item is not None:
                self._judge(event, number, now)
            hit = bool(event.hits >> number & 1)
            if not hit and not event.misses >> number & 1:
                continue
            if item is not None and item.chat:
                self.chats.found(item.chat, item.expected, hit)
                turned_cold |= item.expected and self.cold.observe(hit)
        return turned_cold

    def _judge(
        self, event: messages.Release, number: int, now: datetime.datetime
    ) -> None:
        """Update the availability of the upstream from an attempt's end."""
        if event.answered >> number & 1:
            self._lost = 0
        elif event.lost >> number & 1:
            self._lost += 1
        elif event.misdirected >> number & 1:
            self._misdirected_until = now + MISDIRECTED

    def expire(self, now: datetime.datetime) -> list[Reservation]:
        """Remove and return the expired reservations."""
        over = [
            item for item in self._reservations.values() if item.until <= now
        ]
        for item in over:
            del self._reservations[item.attempt_id]
            self._count(item, -1)
        return over

    def _count(self, item: Reservation, sign: int) -> None:
        self._sum += sign * item.cost
        if item.by_right:
            self._by_right += sign * item.cost
        elif item.long:
            self._long += sign * item.cost
