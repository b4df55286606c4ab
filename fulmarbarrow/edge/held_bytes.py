"""Decides which request bodies a process may hold.

Load pattern: many clients send large bodies at once, most of which stop short
of their end while their connections stay open. Without a bound on all bodies
together, bodies that are each within the limit use up the memory of the
process. A body that makes no progress loses its memory before one that does,
and large bodies lose it before small ones, so that ordinary requests continue.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import enum

# Bodies up to this size are not held back in favour of larger ones.
SMALL_BYTES = 64 << 10
# Memory that a request needs beside its body.
REQUEST_BYTES = 4 << 10
# A body without progress for this long may lose its memory to others, as may
# one that has arrived more slowly than ``LEAST_RATE``, in bytes a second.
STALLED_AFTER = datetime.timedelta(seconds=1)
LEAST_RATE = 16 << 10
# A body that does not get its memory for this long is refused.
MAX_WAIT = datetime.timedelta(seconds=2)
# More bodies than this do not wait: each is looked at in every review.
MAX_WAITING = 64
# Fractions of the budget: of all large bodies, and of the bodies of one
# address, large ones and all.
LARGE_FRACTION = 0.8
LARGE_ADDRESS_FRACTION = 0.5
ADDRESS_FRACTION = 0.75

Key = collections.abc.Hashable


class Verdict(enum.Enum):
    """Whether a body may be received further.

    ``GRANTED``: its memory is reserved. ``WAIT``: it is not read for now.
    ``REFUSED``: its request is refused.
    """

    GRANTED = "granted"
    WAIT = "wait"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """A verdict on a body, and other bodies that lose their memory for it."""

    verdict: Verdict
    evicted: tuple[Key, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Review:
    """Waiting bodies that may be read on, and bodies whose memory is taken."""

    granted: tuple[Key, ...] = ()
    refused: tuple[Key, ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class _Body:
    """A body; ``wanted`` is what it waits for, 0 if it does not wait."""

    key: Key
    address: str
    started_at: datetime.datetime
    progress_at: datetime.datetime
    received: int = 0
    held: int = 0
    wanted: int = 0
    waiting_since: datetime.datetime | None = None
    complete: bool = False

    def stalled(self, now: datetime.datetime) -> bool:
        """Return whether the sender has stopped sending."""
        if self.complete or self.waiting_since is not None:
            return False
        if now - self.progress_at >= STALLED_AFTER:
            return True
        age = now - self.started_at - STALLED_AFTER
        return self.received < LEAST_RATE * age.total_seconds()


class HeldBytes:
    """The bytes that request bodies occupy, within one budget.

    A complete body keeps its memory until its request has ended: it may run,
    and its bytes are needed for another attempt.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self._limit = limit_bytes
        self._bodies: dict[Key, _Body] = {}
        self._used = 0
        self._used_by_address: collections.Counter[str] = collections.Counter()
        self._waiting: dict[Key, _Body] = {}

    def __len__(self) -> int:
        """Return the number of bodies."""
        return len(self._bodies)

    @property
    def limit_bytes(self) -> int:
        """The budget."""
        return self._limit

    @property
    def used_bytes(self) -> int:
        """The bytes that are reserved."""
        return self._used

    @property
    def waiting(self) -> int:
        """The number of bodies that wait for memory."""
        return len(self._waiting)

    def reserve(
        self, key: Key, address: str, total: int, now: datetime.datetime
    ) -> Decision:
        """Reserve memory for ``total`` bytes of a body in all."""
        body = self._bodies.get(key)
        if body is None:
            body = _Body(
                key=key, address=address, started_at=now, progress_at=now
            )
            self._bodies[key] = body
            self._charge(body, REQUEST_BYTES)
        body.progress_at = now
        total += REQUEST_BYTES
        if total <= body.held:
            return Decision(verdict=Verdict.GRANTED)
        victims: list[_Body] = []
        if not self._fits(body, total):
            victims = self._victims(now, small=_is_small(total))
        evicted = self._make_room(body, total, victims)
        if self._fits(body, total):
            self._grant(body, total, now)
            return Decision(verdict=Verdict.GRANTED, evicted=evicted)
        if _is_small(total) or (
            key not in self._waiting and len(self._waiting) >= MAX_WAITING
        ):
            self.release(key)
            return Decision(verdict=Verdict.REFUSED, evicted=evicted)
        if body.waiting_since is None:
            body.waiting_since = now
        body.wanted = total
        self._waiting[key] = body
        return Decision(verdict=Verdict.WAIT, evicted=evicted)

    def progress(
        self, key: Key, received: int, now: datetime.datetime
    ) -> None:
        """Record that ``received`` bytes of a body have arrived in all."""
        body = self._bodies.get(key)
        if body is not None:
            body.progress_at, body.received = now, received

    def complete(self, key: Key, received: int) -> None:
        """Record that a body has arrived completely."""
        body = self._bodies.get(key)
        if body is not None:
            body.complete, body.waiting_since = True, None
            self._waiting.pop(key, None)
            self._charge(body, max(body.held, received + REQUEST_BYTES))

    def release(self, key: Key) -> None:
        """Release the memory of a body."""
        body = self._bodies.pop(key, None)
        if body is None:
            return
        self._waiting.pop(key, None)
        self._used -= body.held
        self._used_by_address[body.address] -= body.held
        if not self._used_by_address[body.address]:
            del self._used_by_address[body.address]

    def review(self, now: datetime.datetime) -> Review:
        """Decide again on the bodies that wait, the smallest first."""
        granted: list[Key] = []
        refused: list[Key] = []
        stalled = self._stalled(now)
        for body in sorted(
            self._waiting.values(),
            key=lambda body: (body.wanted, body.waiting_since),
        ):
            evicted = self._make_room(body, body.wanted, stalled)
            refused.extend(evicted)
            if evicted:
                stalled = [item for item in stalled if item.key not in evicted]
            if self._fits(body, body.wanted):
                self._grant(body, body.wanted, now)
                granted.append(body.key)
            elif now - body.waiting_since >= MAX_WAIT:
                self.release(body.key)
                refused.append(body.key)
        return Review(granted=tuple(granted), refused=tuple(refused))

    def _grant(self, body: _Body, total: int, now: datetime.datetime) -> None:
        self._charge(body, total)
        self._waiting.pop(body.key, None)
        body.wanted, body.waiting_since = 0, None
        # The time for which it was not read does not count as slowness.
        body.progress_at = body.started_at = now

    def _charge(self, body: _Body, total: int) -> None:
        extra = total - body.held
        body.held = total
        self._used += extra
        self._used_by_address[body.address] += extra

    def _missing(self, body: _Body, total: int) -> tuple[float, float]:
        """Return the bytes that are missing in all, and for the address."""
        extra = total - body.held
        if self._used == body.held:
            return 0, 0  # a single request is always served
        small = _is_small(total)
        limit = self._limit if small else LARGE_FRACTION * self._limit
        of_address = self._used_by_address[body.address]
        fraction = ADDRESS_FRACTION if small else LARGE_ADDRESS_FRACTION
        address_limit = fraction * self._limit
        missing = max(0, self._used + extra - limit)
        if of_address == body.held:
            return missing, 0
        return missing, max(0, of_address + extra - address_limit)

    def _fits(self, body: _Body, total: int) -> bool:
        return self._missing(body, total) == (0, 0)

    def _make_room(
        self,
        body: _Body,
        total: int,
        victims: collections.abc.Sequence[_Body],
    ) -> tuple[Key, ...]:
        """Release victims until ``total`` bytes fit; return their keys.

        None is released unless they suffice.
        """
        missing, of_address = self._missing(body, total)
        chosen: list[_Body] = []
        for victim in victims:
            if missing <= 0 and of_address <= 0:
                break
            same = victim.address == body.address
            if victim is body or (of_address > 0 and not same):
                continue
            chosen.append(victim)
            missing -= victim.held
            if same:
                of_address -= victim.held
        if not chosen or missing > 0 or of_address > 0:
            return ()
        for victim in chosen:
            self.release(victim.key)
        return tuple(victim.key for victim in chosen)

    def _stalled(self, now: datetime.datetime) -> list[_Body]:
        """Return the stalled bodies, the one stalled longest first."""
        stalled = [item for item in self._bodies.values() if item.stalled(now)]
        stalled.sort(key=lambda item: item.progress_at)
        return stalled

    def _victims(self, now: datetime.datetime, *, small: bool) -> list[_Body]:
        """Return the bodies that may lose their memory to a new one.

        Those that have been stalled longest come first. In favour of a small
        body, large ones that arrive lose their memory too, the largest first.
        """
        stalled = self._stalled(now)
        if not small:
            return stalled
        large = [
            other
            for other in self._bodies.values()
            if not _is_small(other.held)
            and not other.complete
            and not other.stalled(now)
        ]
        large.sort(key=lambda other: other.held, reverse=True)
        return [*stalled, *large]


def _is_small(total: int) -> bool:
    return total <= SMALL_BYTES + REQUEST_BYTES
