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
# A body without progress for this long may lose its memory to others.
STALLED_AFTER = datetime.timedelta(seconds=1)
# A body that does not get its memory for this long is refused.
MAX_WAIT = datetime.timedelta(seconds=2)
# Fractions of the budget: of all large bodies, and of those of one address.
LARGE_FRACTION = 0.8
ADDRESS_FRACTION = 0.5

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
    progress_at: datetime.datetime
    held: int = 0
    wanted: int = 0
    waiting_since: datetime.datetime | None = None
    complete: bool = False

    def stalled(self, now: datetime.datetime) -> bool:
        """Return whether the sender has stopped sending."""
        if self.complete or self.waiting_since is not None:
            return False
        return now - self.progress_at >= STALLED_AFTER


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
        return sum(
            body.waiting_since is not None for body in self._bodies.values()
        )

    def reserve(
        self, key: Key, address: str, total: int, now: datetime.datetime
    ) -> Decision:
        """Reserve memory for ``total`` bytes of a body in all."""
        body = self._bodies.get(key)
        if body is None:
            body = _Body(key=key, address=address, progress_at=now)
            self._bodies[key] = body
            self._charge(body, REQUEST_BYTES)
        body.progress_at = now
        total += REQUEST_BYTES
        if total <= body.held:
            return Decision(verdict=Verdict.GRANTED)
        evicted = self._make_room(body, total, now)
        if self._fits(body, total):
            self._charge(body, total)
            body.wanted, body.waiting_since = 0, None
            return Decision(verdict=Verdict.GRANTED, evicted=evicted)
        if total <= SMALL_BYTES + REQUEST_BYTES:
            self.release(key)
            return Decision(verdict=Verdict.REFUSED, evicted=evicted)
        if body.waiting_since is None:
            body.waiting_since = now
        body.wanted = total
        return Decision(verdict=Verdict.WAIT, evicted=evicted)

    def progress(self, key: Key, now: datetime.datetime) -> None:
        """Record that bytes of a body have arrived."""
        body = self._bodies.get(key)
        if body is not None:
            body.progress_at = now

    def complete(self, key: Key) -> None:
        """Record that a body has arrived completely."""
        body = self._bodies.get(key)
        if body is not None:
            body.complete, body.waiting_since = True, None

    def release(self, key: Key) -> None:
        """Release the memory of a body."""
        body = self._bodies.pop(key, None)
        if body is None:
            return
        self._used -= body.held
        self._used_by_address[body.address] -= body.held
        if not self._used_by_address[body.address]:
            del self._used_by_address[body.address]

    def review(self, now: datetime.datetime) -> Review:
        """Decide again on the bodies that wait, the smallest first."""
        granted: list[Key] = []
        refused: list[Key] = []
        waiting = [
            body
            for body in self._bodies.values()
            if body.waiting_since is not None
        ]
        waiting.sort(key=lambda body: (body.wanted, body.waiting_since))
        for body in waiting:
            refused.extend(self._make_room(body, body.wanted, now))
            if self._fits(body, body.wanted):
                self._charge(body, body.wanted)
                body.wanted, body.waiting_since = 0, None
                body.progress_at = now
                granted.append(body.key)
            elif now - body.waiting_since >= MAX_WAIT:
                self.release(body.key)
                refused.append(body.key)
        return Review(granted=tuple(granted), refused=tuple(refused))

    def _charge(self, body: _Body, total: int) -> None:
        extra = total - body.held
        body.held = total
        self._used += extra
        self._used_by_address[body.address] += extra

    def _fits(self, body: _Body, total: int) -> bool:
        extra = total - body.held
        if self._used == body.held:
            return True  # a single request is always served
        if total <= SMALL_BYTES + REQUEST_BYTES:
            return self._used + extra <= self._limit
        if self._used + extra > LARGE_FRACTION * self._limit:
            return False
        of_address = self._used_by_address[body.address]
        return (
            of_address == body.held
            or of_address + extra <= ADDRESS_FRACTION * self._limit
        )

    def _make_room(
        self, body: _Body, total: int, now: datetime.datetime
    ) -> tuple[Key, ...]:
        """Release bodies until ``total`` bytes fit; return their keys."""
        if self._fits(body, total):
            return ()
        small = total <= SMALL_BYTES + REQUEST_BYTES
        evicted = []
        for victim in self._victims(body, now, small=small):
            self.release(victim.key)
            evicted.append(victim.key)
            if self._fits(body, total):
                break
        return tuple(evicted)

    def _victims(
        self, body: _Body, now: datetime.datetime, *, small: bool
    ) -> list[_Body]:
        """Return the bodies that may lose their memory, the first one first.

        Those that have been stalled longest come first. In favour of a small
        body, large ones that arrive lose their memory too, the largest first.
        """
        others = [
            other
            for other in self._bodies.values()
            if other is not body and not other.complete
        ]
        stalled = [other for other in others if other.stalled(now)]
        stalled.sort(key=lambda other: other.progress_at)
        if not small:
            return stalled
        large = [
            other
            for other in others
            if other.held > SMALL_BYTES + REQUEST_BYTES
            and not other.stalled(now)
        ]
        large.sort(key=lambda other: other.held, reverse=True)
        return [*stalled, *large]
