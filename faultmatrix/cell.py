"""Plays one cell of the matrix: faults at steps, then the checks."""

from __future__ import annotations

import dataclasses
import datetime

from faultmatrix.checks import at_most_once
from faultmatrix.checks import bad_version
from faultmatrix.checks import base
from faultmatrix.checks import configuration
from faultmatrix.checks import graceful_stop
from faultmatrix.checks import leaving
from faultmatrix.checks import load_bound
from faultmatrix.checks import not_run
from faultmatrix.checks import ramp
from faultmatrix.checks import whole_answer
from faultmatrix.checks import zone_out
from faultmatrix import faults
from faultmatrix import fleet as fleets
from faultmatrix import host as hosts
from faultmatrix import sabotage as sabotages
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import message


def _seconds(number: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=number)


PUBLISH_AT = _seconds(1.5)
LOAD_FROM = _seconds(3)
FAULTS_FROM = _seconds(4)
MOVE_AT = _seconds(4.5)
ZONE_OUT_AT = _seconds(7)
ZONE_IN_AT = _seconds(9)
LOAD_UNTIL = _seconds(12)
LENGTH = _seconds(22)
CHAT_INTERVAL = _seconds(0.08)

CHECKS: tuple[type[base.Check], ...] = (
    load_bound.LoadBound,
    ramp.Ramp,
    zone_out.ZoneOut,
    bad_version.BadVersion,
    whole_answer.WholeAnswer,
    not_run.NotRun,
    at_most_once.AtMostOnce,
    leaving.Leaving,
    graceful_stop.GracefulStop,
    configuration.Configuration,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Injection:
    """A fault at the first handling of a message type after a time."""

    fault: str
    step: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cell:
    """A seed with the faults to inject; none for the plain run."""

    seed: int
    injections: tuple[Injection, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What a cell showed.

    ``reached`` says that every step happened, so that each fault was
    injected; ``steps`` are the message types that were handled.
    """

    cell: Cell
    reached: bool
    steps: frozenset[str]
    calls: int
    answered: int
    breaches: tuple[base.Breach, ...]


class Player:
    """Plays one cell."""

    def __init__(
        self, cell: Cell, sabotage: sabotages.Sabotage | None = None
    ) -> None:
        self._cell = cell
        self._load_until = LOAD_UNTIL + (
            sabotage.load_longer if sabotage else datetime.timedelta()
        )
        self._checks = [kind() for kind in CHECKS]
        self.fleet = fleets.Fleet(
            seed=cell.seed, watchers=self._checks, sabotage=sabotage
        )
        for check in self._checks:
            check.fleet = self.fleet
        self._waiting = list(cell.injections)
        self._steps: set[str] = set()
        planned = [item.fault for item in cell.injections]
        for check in self._checks:
            if isinstance(check, graceful_stop.GracefulStop):
                check.judges = planned == [faults.PLANNED_STOP]

    def play(self) -> Result:
        """Play to the end and return what was seen."""
        timeline = self.fleet.timeline
        self.fleet.begin(self._watch)
        timeline.after(PUBLISH_AT, self._publish_first)
        timeline.after(LOAD_FROM, self._load, 0)
        timeline.after(MOVE_AT, self._publish_move)
        timeline.after(ZONE_OUT_AT, self._publish_zone, bundles.ZoneState.OUT)
        timeline.after(ZONE_IN_AT, self._publish_zone, bundles.ZoneState.IN)
        timeline.run(LENGTH)
        for check in self._checks:
            check.finish()
        calls = self.fleet.callers.calls.values()
        return Result(
            cell=self._cell,
            reached=not self._waiting,
            steps=frozenset(self._steps),
            calls=len(calls),
            answered=sum(call.answered for call in calls),
            breaches=tuple(
                found for check in self._checks for found in check.breaches
            ),
        )

    def _watch(self, host: hosts.Host) -> None:
        """See every message that a host handles."""
        host.bus.watch(lambda item: self._handled(host, item))

    def _handled(self, host: hosts.Host, item: message.Message) -> None:
        step = message.tag(item)
        if self.fleet.timeline.elapsed < FAULTS_FROM:
            return
        self._steps.add(step)
        if self._waiting and self._waiting[0].step == step:
            fault = faults.FAULTS[self._waiting.pop(0).fault]
            # After the message is handled, not within its handling.
            self.fleet.timeline.after(
                datetime.timedelta(), fault.inject, self.fleet, host
            )

    def _publish_first(self) -> None:
        self.fleet.operators.publish(self.fleet.operators.first_bundle())

    def _publish_move(self) -> None:
        move = self.fleet.operators.version_move()
        self.fleet.operators.publish(
            dataclasses.replace(
                self.fleet.operators.bundle, version_move=(move,)
            )
        )

    def _publish_zone(self, state: bundles.ZoneState) -> None:
        self.fleet.operators.publish(
            faults.with_zone(self.fleet.operators.bundle, "b", state)
        )

    def _load(self, number: int) -> None:
        """Send the next requests of the steady load."""
        self.fleet.callers.chat()
        if number % 3 == 0:
            self.fleet.callers.place_order()
        if number % 2 == 0:
            self.fleet.callers.look_up()
        if self.fleet.timeline.elapsed < self._load_until:
            self.fleet.timeline.after(CHAT_INTERVAL, self._load, number + 1)


def play(cell: Cell, sabotage: sabotages.Sabotage | None = None) -> Result:
    """Play one cell, on request with a mechanism switched off."""
    return Player(cell, sabotage).play()
