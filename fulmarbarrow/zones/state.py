"""State machine of an availability zone: in, out, warming, ramping."""

from __future__ import annotations

import dataclasses
import datetime
import typing

import automat

from fulmarbarrow.config import defaults

RAMP_STEPS = 12


@dataclasses.dataclass(kw_only=True)
class Standing:
    """A zone's phase and weight, and when its warm-up or ramp started."""

    zone: str
    revision: int = 0
    weight: float = 1.0
    since: datetime.datetime | None = None
    phase: str = "in"
    ramp: datetime.timedelta = defaults.ZonesSection.ramp


class ZoneLife(typing.Protocol):
    """Inputs of the zone state machine."""

    def taken_out(self, now: datetime.datetime) -> None:
        """A revision takes the zone out."""

    def brought_back(self, now: datetime.datetime) -> None:
        """A revision brings the zone back."""

    def passed(self, now: datetime.datetime) -> None:
        """Time has passed; updates the weight during the ramp."""

    def warmed(self, now: datetime.datetime) -> None:
        """The warm-up period has ended."""

    def ramped(self, now: datetime.datetime) -> None:
        """The ramp period has ended."""


def _build() -> typing.Callable[[Standing], ZoneLife]:
    builder = automat.TypeMachineBuilder(ZoneLife, Standing)
    zone_in = builder.state("in")
    out = builder.state("out")
    warming = builder.state("warming")
    ramping = builder.state("ramping")

    def leave(_: ZoneLife, standing: Standing, now: datetime.datetime) -> None:
        standing.phase = "out"
        standing.weight = 0.0
        standing.since = None

    for state in (zone_in, warming, ramping):
        state.upon(ZoneLife.taken_out).to(out)(leave)

    @out.upon(ZoneLife.brought_back).to(warming)
    def warm(_: ZoneLife, standing: Standing, now: datetime.datetime) -> None:
        standing.phase = "warming"
        standing.since = now

    @warming.upon(ZoneLife.warmed).to(ramping)
    def ramp(_: ZoneLife, standing: Standing, now: datetime.datetime) -> None:
        standing.phase = "ramping"
        standing.since = now
        standing.weight = 1 / RAMP_STEPS

    @ramping.upon(ZoneLife.passed).loop()
    def climb(_: ZoneLife, standing: Standing, now: datetime.datetime) -> None:
        part = 1.0
        if standing.since is not None and standing.ramp:
            part = (now - standing.since) / standing.ramp
        step = int(part * RAMP_STEPS) + 1
        standing.weight = min(step, RAMP_STEPS) / RAMP_STEPS

    @ramping.upon(ZoneLife.ramped).to(zone_in)
    def done(_: ZoneLife, standing: Standing, now: datetime.datetime) -> None:
        standing.phase = "in"
        standing.weight = 1.0
        standing.since = None

    out.upon(ZoneLife.taken_out).loop().returns(None)
    for state in (zone_in, warming, ramping):
        state.upon(ZoneLife.brought_back).loop().returns(None)
    for state in (zone_in, out, warming):
        state.upon(ZoneLife.passed).loop().returns(None)
    for state in (zone_in, out, ramping):
        state.upon(ZoneLife.warmed).loop().returns(None)
    for state in (zone_in, out, warming):
        state.upon(ZoneLife.ramped).loop().returns(None)
    return builder.build()


make_zone_life = _build()


class Zone:
    """An availability zone with its state machine and weight."""

    def __init__(
        self, *, name: str, timing: defaults.ZonesSection | None = None
    ) -> None:
        self._timing = timing or defaults.ZonesSection()
        self.standing = Standing(zone=name, ramp=self._timing.ramp)
        self._life = make_zone_life(self.standing)

    @property
    def weight(self) -> float:
        """The fraction of its normal new work that the zone receives."""
        return self.standing.weight

    @property
    def warm_until(self) -> datetime.datetime | None:
        """The end of the warm-up, or None if the zone is not warming up."""
        if self.standing.phase != "warming" or self.standing.since is None:
            return None
        return self.standing.since + self._timing.warm_up

    def set_out(
        self, out: bool, revision: int, now: datetime.datetime
    ) -> None:
        """Apply the zone's state from a published revision."""
        self.standing.revision = revision
        if out:
            self._life.taken_out(now)
        else:
            self._life.brought_back(now)

    def tick(self, now: datetime.datetime) -> None:
        """Advance the warm-up and the ramp."""
        since = self.standing.since
        if since is not None and now - since >= self._timing.warm_up:
            self._life.warmed(now)
        since = self.standing.since
        if since is not None and now - since >= self._timing.ramp:
            self._life.ramped(now)
        self._life.passed(now)
