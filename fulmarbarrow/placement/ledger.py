"""Ledger of the reservations at one upstream, kept by its owner."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.placement import cold_detection
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import ownerless
from fulmarbarrow.placement import rate_limits
from fulmarbarrow.placement import recent_chats

LEASE = datetime.timedelta(seconds=30)
# An attempt ends at its deadline at the latest; its release may arrive this
# much later.
RELEASE_GRACE = datetime.timedelta(seconds=1)
SECOND = datetime.timedelta(seconds=1)
# An upstream counts as unresponsive after this many lost attempts in a row.
UNRESPONSIVE_AFTER = 2
# How long the owner refuses all reservations after an attempt has found
# another upstream at the address. Membership reports the end of the upstream
# in about the same time.
MISDIRECTED_PAUSE = datetime.timedelta(seconds=2)
# Bound on remembered releases that arrived before their reservation.
MAX_EARLY_RELEASES = 512
# By this time after a change of owner every reservation has been renewed.
SETTLING_TIME = datetime.timedelta(seconds=14)
# By this time after a change of owner most entry hosts have renewed.
HANDOVER_TIME = datetime.timedelta(seconds=2)
# No router places work without an owner at an upstream younger than this, its
# own clock being up to ``CLOCK_MARGIN`` ahead.
CLOCK_MARGIN = datetime.timedelta(seconds=2)
UNOWNED_WORK_AGE = ownerless.OWNER_GRACE - CLOCK_MARGIN
# The epoch of the first owner that an incarnation of an upstream names.
FIRST_EPOCH = 1
# Entry hosts renew as soon as they learn of a new owner, which takes one
# round of gossip.
FIRST_RENEWAL_TIME = datetime.timedelta(milliseconds=300)


class Priority(enum.IntEnum):
    """Scheduling priority at the engine; lower values run first."""

    GUARANTEED = 0
    SHORT = 1
    LONG = 2
    BEST_EFFORT = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Reservation of an attempt; ``cost`` is in tokens.

    ``holder`` is the address of the entry host. ``expected_hit`` is set if the
    chat was probably in the cache.
    """

    attempt_id: str
    holder: str
    account: str
    cost: int
    cost_class: messages.CostClass
    priority: Priority
    expires_at: datetime.datetime
    chat: int = 0
    expected_hit: bool = False

    @property
    def guaranteed(self) -> bool:
        """Whether the account's reserved share covers the work."""
        return self.priority is Priority.GUARANTEED

    @property
    def long(self) -> bool:
        """Whether the work may not use the capacity for short work."""
        return (
            not self.guaranteed and self.cost_class is messages.CostClass.LONG
        )


def lease_end(
    now: datetime.datetime, deadline: datetime.datetime
) -> datetime.datetime:
    """Return when a reservation expires unless it is renewed.

    The lease ends shortly after the deadline of the attempt, so that work of
    an unreachable holder, or work whose release was lost, is not counted for
    longer than it can run.
    """
    return min(now + LEASE, max(now, deadline) + RELEASE_GRACE)


class Ledger:
    """Reservations at one incarnation of an upstream and their totals.

    For a short time after a change of owner, the load that the upstream
    reports stands in for reservations that entry hosts have not renewed here
    yet. An owner that ``replaces`` another one grants nothing before the
    first renewals.

    An upstream that names no owner has one with epoch 0. If it then names
    the same owner, the ledger goes on (see ``continue_as_named``).
    """

    def __init__(
        self,
        *,
        upstream: membership_messages.Upstream,
        epoch: int,
        owned_since: datetime.datetime,
        placed_window: datetime.timedelta,
        replaces: bool = False,
    ) -> None:
        self.upstream = upstream
        self.epoch = epoch
        self.recent_chats = recent_chats.RecentChats()
        self.cold_detector = cold_detection.ColdDetector()
        self.pacer = rate_limits.Pacer()
        self.cold_since: datetime.datetime | None = None
        self._owned_since = owned_since
        self._replaces = replaces
        self._may_lack_work = epoch > 0
        self._began_unnamed = not epoch and not upstream.owner
        self._placed_window = placed_window
        self._reservations: dict[str, Reservation] = {}
        self._early_releases: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._reported_work = 0
        self._consecutive_losses = 0
        self.lost_at: datetime.datetime | None = None
        self._misdirected_until = owned_since
        self._recent_placements: collections.deque[
            tuple[datetime.datetime, int]
        ] = collections.deque()
        self._recent_work = 0
        self._recent_starts: collections.deque[datetime.datetime] = (
            collections.deque()
        )
        self._reserved = 0
        self._guaranteed = 0
        self._reserved_long = 0

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._reservations)

    @property
    def reserved(self) -> int:
        """All reserved work in tokens."""
        return self._reserved

    @property
    def reserved_shared(self) -> int:
        """Reserved work in tokens that no reserved share covers."""
        return self._reserved - self._guaranteed

    @property
    def reserved_long(self) -> int:
        """Reserved work in tokens that may not use short work's capacity."""
        return self._reserved_long

    @property
    def reservations(self) -> tuple[Reservation, ...]:
        """All reservations."""
        return tuple(self._reservations.values())

    @property
    def grants_start_at(self) -> datetime.datetime:
        """When the reservations granted by the former owner are known."""
        wait = FIRST_RENEWAL_TIME if self._replaces else datetime.timedelta(0)
        return self._owned_since + wait

    @property
    def responsive(self) -> bool:
        """Whether the upstream responded to its last attempts."""
        return self._consecutive_losses < UNRESPONSIVE_AFTER

    def misdirected(self, now: datetime.datetime) -> bool:
        """Return whether another upstream seems to use the address."""
        return now < self._misdirected_until

    def estimated_work(self, now: datetime.datetime) -> int:
        """Return the estimated work of the upstream in tokens."""
        if self._may_lack_work and now - self._owned_since < SETTLING_TIME:
            return max(self._reserved, self._reported_work)
        return self._reserved

    def in_handover(self, now: datetime.datetime) -> bool:
        """Return whether entry hosts may still have to renew here."""
        return self._may_lack_work and now - self._owned_since < HANDOVER_TIME

    def continues(self, incarnation: int, epoch: int) -> bool:
        """Return whether the upstream names its owner for the first time.

        A ledger that began when the upstream named an owner already does not
        continue: that owner may be this daemon before a restart.
        """
        return (
            self._began_unnamed
            and not self.epoch
            and epoch == FIRST_EPOCH
            and incarnation == self.upstream.incarnation
        )

    def continue_as_named(
        self, now: datetime.datetime, *, has_peers: bool
    ) -> None:
        """Go on as the first owner that the upstream names.

        Routers of other zones may have placed work without an owner until
        now, which they renew here. There is no such work without peers, nor
        at an upstream that has just started.
        """
        self.epoch = FIRST_EPOCH
        age = now - self.upstream.started_at
        if has_peers and age >= UNOWNED_WORK_AGE:
            self._owned_since = now
            self._may_lack_work = True

    def recent_work(self, now: datetime.datetime) -> int:
        """Return the work in tokens that was placed within the window."""
        while self._recent_placements:
            at, cost = self._recent_placements[0]
            if now - at < self._placed_window:
                break
            self._recent_placements.popleft()
            self._recent_work -= cost
        return self._recent_work

    def recent_starts(self, now: datetime.datetime) -> int:
        """Return how many attempts were placed within the last second."""
        while self._recent_starts and now - self._recent_starts[0] >= SECOND:
            self._recent_starts.popleft()
        return len(self._recent_starts)

    def guaranteed_work(self, account: str) -> int:
        """Return the work of an account that its reserved share covers."""
        if not self._guaranteed:
            return 0
        return sum(
            reservation.cost
            for reservation in self._reservations.values()
            if reservation.guaranteed and reservation.account == account
        )

    def get(self, attempt_id: str) -> Reservation | None:
        """Return a reservation, None if it is not known."""
        return self._reservations.get(attempt_id)

    def take_early_release(self, attempt_id: str) -> bool:
        """Forget an early release; return whether there was one.

        An early release arrived before its reservation.
        """
        if attempt_id not in self._early_releases:
            return False
        del self._early_releases[attempt_id]
        return True

    def record_load(self, load: membership_messages.Load) -> None:
        """Record the load that the upstream reported, with some delay."""
        self._reported_work = load.running_tokens + load.queued_tokens

    def add(
        self, reservation: Reservation, placed_at: datetime.datetime
    ) -> None:
        """Add a reservation or renew it."""
        known = self._reservations.get(reservation.attempt_id)
        if known is None:
            self._recent_placements.append((placed_at, reservation.cost))
            self._recent_starts.append(placed_at)
            self._recent_work += reservation.cost
        else:
            self._adjust_totals(known, -1)
        self._reservations[reservation.attempt_id] = reservation
        self._adjust_totals(reservation, 1)

    def remove(self, attempt_id: str) -> Reservation | None:
        """Remove a reservation; remember the release if it is not known yet.

        Messages may be reordered, so a release may precede its reservation.
        """
        reservation = self._reservations.pop(attempt_id, None)
        if reservation is not None:
            self._adjust_totals(reservation, -1)
            return reservation
        self._early_releases[attempt_id] = None
        if len(self._early_releases) > MAX_EARLY_RELEASES:
            self._early_releases.popitem(last=False)
        return None

    def release(self, event: messages.Release, now: datetime.datetime) -> bool:
        """Release attempts; return whether the upstream just turned cold.

        Cache hits and misses of the attempts show which chats are cached.
        """
        turned_cold = False
        for number, attempt_id in enumerate(event.attempt_ids):
            reservation = self.remove(attempt_id)
            if reservation is not None:
                self._update_availability(event, number, now)
            hit = bool(event.hits >> number & 1)
            if not hit and not event.misses >> number & 1:
                continue
            if reservation is not None and reservation.chat:
                self.recent_chats.adjust_limit(
                    reservation.chat, reservation.expected_hit, hit
                )
                turned_cold |= (
                    reservation.expected_hit
                    and self.cold_detector.observe(hit)
                )
        return turned_cold

    def _update_availability(
        self, event: messages.Release, number: int, now: datetime.datetime
    ) -> None:
        """Update the availability of the upstream from an attempt's end."""
        if event.answered >> number & 1:
            self._consecutive_losses = 0
        elif event.lost >> number & 1:
            self._consecutive_losses += 1
            self.lost_at = now
        elif event.misdirected >> number & 1:
            self._misdirected_until = now + MISDIRECTED_PAUSE

    def expire(self, now: datetime.datetime) -> list[Reservation]:
        """Remove and return the expired reservations."""
        expired = [
            reservation
            for reservation in self._reservations.values()
            if reservation.expires_at <= now
        ]
        for reservation in expired:
            del self._reservations[reservation.attempt_id]
            self._adjust_totals(reservation, -1)
        return expired

    def _adjust_totals(self, reservation: Reservation, sign: int) -> None:
        self._reserved += sign * reservation.cost
        if reservation.guaranteed:
            self._guaranteed += sign * reservation.cost
        elif reservation.long:
            self._reserved_long += sign * reservation.cost
