"""What the checkers have in common."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from faultmatrix import fleet as fleets


@dataclasses.dataclass(frozen=True, kw_only=True)
class Breach:
    """Something that must always hold did not."""

    check: str
    at: datetime.datetime
    text: str


class Check(fleets.Watcher):
    """Watches a fleet and collects breaches."""

    name: typing.ClassVar[str]

    def __init__(self) -> None:
        self.fleet: fleets.Fleet | None = None
        self.breaches: list[Breach] = []

    def breach(self, text: str) -> None:
        """Note a breach now."""
        at = self.fleet.timeline.now
        self.breaches.append(Breach(check=self.name, at=at, text=text))

    def finish(self) -> None:
        """Look at the end state."""
