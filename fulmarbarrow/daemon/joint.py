"""What the cores of one daemon have in common."""

from __future__ import annotations

import dataclasses
import datetime
import random
import typing

from fulmarbarrow import bus as buses
from fulmarbarrow.config import defaults
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.observe import metrics as metrics_module


class Logs(typing.Protocol):
    """Where the replicated logs of a control host are stored."""

    @property
    def host_identity(self) -> str:
        """The identity of this host's disk."""

    def open(self, group: typing.Any) -> typing.Any:
        """Return what is stored of a group's log."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Joint:
    """The parts that cores are made of, and the cores so far by name."""

    settings: defaults.Settings
    record: membership_messages.Daemon
    bus: buses.Bus
    metrics: metrics_module.Metrics
    rng: random.Random
    now: datetime.datetime
    logs: Logs | None = None
    by_name: dict[str, buses.Core] = dataclasses.field(default_factory=dict)

    def add(self, name: str, core: buses.Core) -> None:
        """Attach a core to the bus."""
        self.by_name[name] = core
        self.bus.attach(core)
