"""The result of a measurement."""

from __future__ import annotations

import dataclasses
import enum
import importlib


class Bound(enum.StrEnum):
    """On which side of its target a value must lie."""

    AT_MOST = "at_most"
    AT_LEAST = "at_least"
    NONE = "none"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measure:
    """One figure beside its target; ``target`` None has no bound."""

    slice: str
    name: str
    value: float
    unit: str
    command: str
    target: float | None = None
    bound: Bound = Bound.AT_MOST
    seed: int | None = None

    @property
    def met(self) -> bool | None:
        """Whether the value meets its target; None without one."""
        if self.target is None or self.bound is Bound.NONE:
            return None
        if self.bound is Bound.AT_MOST:
            return self.value <= self.target
        return self.value >= self.target


def run(name: str) -> list[Measure]:
    """Run the measurements of one module of this package."""
    return importlib.import_module(f"benchmarks.{name}").measure()
