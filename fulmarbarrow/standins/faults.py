"""The faults that can be switched on at a running stand-in."""

from __future__ import annotations

import enum
import logging
import typing

import msgspec

log = logging.getLogger(__name__)


class FaultKind(enum.StrEnum):
    """What can go wrong at a stand-in."""

    CRASH = "crash"
    POISON = "poison"
    SILENT = "silent"
    SLOW = "slow"
    COLD = "cold"
    LATE = "late"
    CROSSED = "crossed"
    CUT = "cut"
    REFUSE = "refuse"
    REFUSE_ORDERS = "refuse_orders"
    STALE_FENCING = "stale_fencing"
    IGNORE_FENCING = "ignore_fencing"
    FLAP = "flap"
    BAD_VERSION = "bad_version"
    LEAVING = "leaving"


class BadMode(enum.StrEnum):
    """What a bad version does."""

    FAIL = "fail"
    SLOW = "slow"


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault to switch on, or off where ``on`` is False.

    ``phrase``: the bytes of a body that make a poison request.
    ``after_run``: a poison request runs before the crash.
    ``factor``: how many times slower. ``seconds``: how late, or how long
    each half of a flap. ``events``: how many parts of an answer come before
    it is cut. ``count``: how many requests are hit, 0 for all.
    A bad version is ``version`` in ``mode``, from ``after_seconds`` on,
    while at least ``above_running`` requests run, on paths that start with
    ``route``.
    """

    fault: FaultKind
    on: bool = True
    phrase: str = ""
    after_run: bool = False
    factor: float = 10.0
    seconds: float = 1.0
    events: int = 2
    count: int = 0
    version: str = ""
    mode: BadMode = BadMode.FAIL
    after_seconds: float = 0.0
    above_running: int = 0
    route: str = ""


class Faults:
    """The faults that are on, and what to do when one is switched."""

    def __init__(self) -> None:
        self._active: dict[FaultKind, Fault] = {}
        self._left: dict[FaultKind, int] = {}
        self._watchers: dict[
            FaultKind, list[typing.Callable[[Fault], None]]
        ] = {}

    @property
    def active(self) -> list[Fault]:
        """The faults that are on."""
        return list(self._active.values())

    def watch(
        self, kind: FaultKind, watcher: typing.Callable[[Fault], None]
    ) -> None:
        """Call ``watcher`` whenever a fault of this kind is switched."""
        self._watchers.setdefault(kind, []).append(watcher)

    def switch(self, fault: Fault) -> None:
        """Switch a fault on or off."""
        log.info("fault %s switched %s", fault.fault, fault.on)
        if fault.on:
            self._active[fault.fault] = fault
            self._left[fault.fault] = fault.count
        else:
            self._active.pop(fault.fault, None)
        for watcher in self._watchers.get(fault.fault, ()):
            watcher(fault)

    def get(self, kind: FaultKind) -> Fault | None:
        """Return the fault if it is on."""
        return self._active.get(kind)

    def take(self, kind: FaultKind) -> Fault | None:
        """Return the fault if it hits this request, and count it."""
        fault = self._active.get(kind)
        if fault is None or fault.count == 0:
            return fault
        self._left[kind] -= 1
        if self._left[kind] == 0:
            del self._active[kind]
        return fault

    def poison(self, body: bytes) -> Fault | None:
        """Return the poison fault if ``body`` holds its phrase."""
        fault = self._active.get(FaultKind.POISON)
        if fault is not None and fault.phrase.encode() in body:
            return fault
        return None
