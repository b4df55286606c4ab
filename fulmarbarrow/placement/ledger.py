"""The work reserved at one upstream, kept by its owner."""

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
# An attempt is over at its deadline; its release may take this much longer.
RELEASE_TIME = datetime.timedelta(seconds=1)
SECOND = datetime.timedelta(seconds=1)
# So many attempts in a row without an answer: the upstream doesn't serve.
LOST_ATTEMPTS = 2
# So long after an attempt found another upstream at the address, the owner
# lets nobody else try; a report of the upstream's end takes about as long.
MISDIRECTED = datetime.timedelta(seconds=2)
MAX_RELEASED = 512  # attempts whose release came before their reservation
SETTLE = datetime.timedelta(seconds=14)  # all reservations are renewed
HANDOVER = datetime.timedelta(seconds=2)  # entry hosts renew by then
# An entry host renews at once when it hears of a new owner, which takes a
# round of gossip.
FIRST_RENEWALS = datetime.timedelta(milliseconds=300)


class Priority(enum.IntEnum):
    """The engine's scheduling priority; lower runs first."""

    BY_RIGHT = 0
    SHORT = 1
    LONG = 2
    BEST_EFFORT = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Work in tokens that an entry host may have at the upstream.

    ``expected`` says that the chat was probably in the cache.
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
        """Whether the work may not use the slots of short work."""
        return not self.by_right and self.cost_class is messages.CostClass.LONG


def lease_end(
    now: datetime.datetime, deadline: datetime.datetime
) -> datetime.datetime:
    """Return until when a reservation holds that nobody renews.

    Work of a holder that is cut off, or whose release is lost, must not
    count for longer than it can run.
    """
    return min(now + LEASE, max(now, deadline) + RELEASE_TIME)


class Ledger:
    """Reservations of one incarnation of an upstream and their sums.

    For a short time after the owner changed, the upstream's own report
    stands for reservations that entry hosts have not yet renewed here. An
    owner that ``replaces`` another one waits for the first renewals.
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
        """Reserved work in tokens without that of priority by right."""
        return self._sum - self._by_right

    @property
    def long(self) -> int:
        """Reserved work in tokens that short work's slots are closed to."""
        return self._long

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """All reservations."""
        return tuple(self._reservations.values())

    @property
    def renewed_from(self) -> datetime.datetime:
        """When what the former owner had granted is known here."""
        wait = FIRST_RENEWALS if self._replaces else datetime.timedelta(0)
        return self._since + wait

    @property
    def answers(self) -> bool:
        """Whether the last attempts got an answer of the upstream."""
        return self._lost < LOST_ATTEMPTS

    def misdirected(self, now: datetime.datetime) -> bool:
        """Return whether another upstream seems to have the address."""
        return now < self._misdirected_until

    def work(self, now: datetime.datetime) -> int:
        """Return the work in tokens that the upstream is taken to have."""
        if self.epoch and now - self._since < SETTLE:
            return max(self._sum, self._reported)
        return self._sum

    def handing_over(self, now: datetime.datetime) -> bool:
        """Return whether entry hosts may not have renewed here yet."""
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
        """Return the work that an account holds by its reserved share."""
        if not self._by_right:
            return 0
        return sum(
            item.cost
            for item in self._reservations.values()
            if item.by_right and item.account == account
        )

    def get(self, attempt_id: str) -> Reservation | None:
        """Return a reservation."""
        return self._reservations.get(attempt_id)

    def crossed(self, attempt_id: str) -> bool:
        """Return whether the release came before this reservation, once."""
        if attempt_id not in self._released:
            return False
        del self._released[attempt_id]
        return True

    def report(self, load: membership_messages.Load) -> None:
        """Take the upstream's own, late, report."""
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
        """Release a reservation; remember it if it is not known yet."""
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

        Their answers tell which chats the cache holds.
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
        """Learn from an attempt's end whether the upstream serves."""
        if event.answered >> number & 1:
            self._lost = 0
        elif event.lost >> number & 1:
            self._lost += 1
        elif event.misdirected >> number & 1:
            self._misdirected_until = now + MISDIRECTED

    def expire(self, now: datetime.datetime) -> list[Reservation]:
        """Remove and return the reservations that nobody renewed."""
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
