"""The fleet's evidence on a version move, collected by the leader."""

from __future__ import annotations

import collections

import msgspec

from fulmarbarrow.versions import messages
from fulmarbarrow.versions import sequential


class MoveEvidence:
    """Compares the versions separately on each route of a move's model."""

    def __init__(self) -> None:
        self._routes: dict[str, sequential.Comparison] = (
            collections.defaultdict(sequential.Comparison)
        )
        self._attempts = 0

    @property
    def attempts(self) -> int:
        """The number of attempts at the new version so far."""
        return self._attempts

    @property
    def max_evidence(self) -> float:
        """The strongest evidence on any route; 1 means a detected fault."""
        evidence = (item.evidence for item in self._routes.values())
        return round(max(evidence, default=0.0), 3)

    def add(self, routes: tuple[messages.RouteEvidence, ...]) -> str:
        """Add a router's report; return the detected fault, if any."""
        for report in routes:
            self._attempts += report.attempts
            fields = msgspec.structs.asdict(report)
            del fields["route"]
            counts = sequential.Counts(**fields)
            fault = self._routes[report.route].add(counts)
            if fault:
                return f"{fault} on {report.route}"
        return ""
