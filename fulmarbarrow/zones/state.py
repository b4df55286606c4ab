"""State machine of an availability zone: in, out, warming, ramping."""

from __future__ import annotations

import dataclasses
import datetime
import typing

import automat

from fulmarbarrow.config import defaults

RAMP_STEPS = 12


@dataclasses.dataclass(kw_only=True)
class ZoneStatus:
    """A zone's phase and weight, and when its warm-up or ramp started."""

    zone: str
    revision: int = 0
    weight: float = 1.0
    since: datetime.datetime | None = None
    phase: str = "in"
    ramp: datetime.timedelta = defaults.ZonesSection.ramp


class ZoneMachine(typing.Protocol):
    """Inputs of the zone state machine."""

    def taken_out(self, now: datetime.datetime) -> None:
        """A revision takes the zone out."""

    def brought_back(self, now: datetime.datetime) -> None:
        """A revision brings the zone back."""

    def time_passed(self, now: datetime.datetime) -> None:
        """Time has passed; updates the weight during the ramp."""

    def warm_up_ended(self, now: datetime.datetime) -> None:
        """The warm-up period has ended."""

    def ramp_ended(self, now: datetime.datetime) -> None:
        """The ramp period has ended."""


def _build_machine_factory() -> typing.Callable[[ZoneStatus], ZoneMachine]:
    builder = automat.TypeMachineBuilder(ZoneMachine, ZoneStatus)
    zone_in = builder.state("in")
    out = builder.state("out")
    warming = builder.state("warming")
    ramping = builder.state("ramping")

    def take_out(
        _: ZoneMachine, status: ZoneStatus, now: datetime.datetime
    ) -> None:
        status.phase = "out"
        status.weight = 0.0
        status.since = None

    for state in (zone_in, warming, ramping):
        state.upon(ZoneMachine.taken_out).to(out)(take_out)

    @out.upon(ZoneMachine.brought_back).to(warming)
    def start_warm_up(
        _: ZoneMachine, status: ZoneStatus, now: datetime.datetime
    ) -> None:
        status.phase = "warming"
        status.since = now

    @warming.upon(ZoneMachine.warm_up_ended).to(ramping)
    def start_ramp(
        _: ZoneMachine, status: ZoneStatus, now: datetime.datetime
    ) -> None:
        status.phase = "ramping"
        status.since = now
        status.weight = 1 / RAMP_STEPS

    @ramping.upon(ZoneMachine.time_passed).loop()
    def update_weight(
        _: ZoneMachine, status: ZoneStatus, now: datetime.datetime
    ) -> None:
        fraction = 1.0
        if status.since is not None and status.ramp:
            fraction = (now - status.since) / status.ramp
        step = int(fraction * RAMP_STEPS) + 1
        status.weight = min(step, RAMP_STEPS) / RAMP_STEPS

    @ramping.upon(ZoneMachine.ramp_ended).to(zone_in)
    def finish_ramp(
        _: ZoneMachine, status: ZoneStatus, now: datetime.datetime
    ) -> None:
        status.phase = "in"
        status.weight = 1.0
        status.since = None

    out.upon(ZoneMachine.taken_out).loop().returns(None)
    for state in (zone_in, warming, ramping):
        state.upon(ZoneMachine.brought_back).loop().returns(None)
    for state in (zone_in, out, warming):
        state.upon(ZoneMachine.time_passed).loop().returns(None)
    for state in (zone_in, out, ramping):
        state.upon(ZoneMachine.warm_up_ended).loop().returns(None)
    for state in (zone_in, out, warming):
        state.upon(ZoneMachine.ramp_ended).loop().returns(None)
    return builder.build()


make_zone_machine = _build_machine_factory()


class Zone:
    """An availability zone with its state machine and weight."""

    def __init__(
        self, *, name: str, timing: defaults.ZonesSection | None = None
    ) -> None:
        self._timing = timing or defaults.ZonesSection()
        self.status = ZoneStatus(zone=name, ramp=self._timing.ramp)
        self._machine = make_zone_machine(self.status)

    @property
    def weight(self) -> float:
        """The fraction of its normal new work that the zone receives."""
        return self.status.weight

    @property
    def warm_up_ends(self) -> datetime.datetime | None:
        """The end of the warm-up, or None if the zone is not warming up."""
        if self.status.phase != "warming" or self.status.since is None:
            return None
        return self.status.since + self._timing.warm_up

    def apply_state(
        self, out: bool, revision: int, now: datetime.datetime
    ) -> None:
        """Apply the zone's state from a published revision."""
        self.status.revision = revision
        if out:
            self._machine.taken_out(now)
        else:
            self._machine.brought_back(now)

    def tick(self, now: datetime.datetime) -> None:
        """Advance the warm-up and the ramp."""
        since = self.status.since
        if since is not None and now - since >= self._timing.warm_up:
            self._machine.warm_up_ended(now)
        since = self.status.since
        if since is not None and now - since >= self._timing.ramp:
            self._machine.ramp_ended(now)
        self._machine.time_passed(now)
