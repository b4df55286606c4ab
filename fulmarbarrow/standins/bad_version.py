"""A model version that fails or slows down under conditions."""

from __future__ import annotations

import datetime

from fulmarbarrow import clock as clocks
from fulmarbarrow.standins import faults as faults_module


class BadVersion:
    """Says which requests meet the fault of a bad version."""

    def __init__(
        self, *, faults: faults_module.Faults, clock: clocks.Clock
    ) -> None:
        self._faults = faults
        self._clock = clock
        self._since = clock.now()
        faults.watch(faults_module.FaultKind.BAD_VERSION, self._switched)

    @property
    def factor(self) -> float:
        """How many times slower a slow version is."""
        fault = self._faults.get(faults_module.FaultKind.BAD_VERSION)
        return fault.factor if fault else 1.0

    def strikes(
        self, *, version: str, path: str, running: int
    ) -> faults_module.BadMode | None:
        """Return what the fault does to a request, if anything."""
        fault = self._faults.get(faults_module.FaultKind.BAD_VERSION)
        if fault is None or fault.version != version:
            return None
        shows_at = self._since + datetime.timedelta(
            seconds=fault.after_seconds
        )
        if self._clock.now() < shows_at:
            return None
        if running < fault.above_running or not path.startswith(fault.route):
            return None
        return fault.mode

    def _switched(self, fault: faults_module.Fault) -> None:
        self._since = self._clock.now()
