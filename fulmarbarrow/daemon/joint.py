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

if typing.TYPE_CHECKING:
    from fulmarbarrow.consensus import memory


@dataclasses.dataclass(frozen=True, kw_only=True)
class Joint:
    """The parts that cores are made of, and the cores so far by name."""

    settings: defaults.Settings
    record: membership_messages.Daemon
    bus: buses.Bus
    metrics: metrics_module.Metrics
    rng: random.Random
    now: datetime.datetime
    logs: memory.LogStore | None = None
    by_name: dict[str, buses.Core] = dataclasses.field(default_factory=dict)

    def add(self, name: str, core: buses.Core) -> None:
        """Attach a core to the bus."""
        self.by_name[name] = core
        self.bus.attach(core)
