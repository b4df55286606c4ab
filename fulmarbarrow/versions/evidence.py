"""The fleet's evidence on a version move, gathered by the leader."""

from __future__ import annotations

import collections

import msgspec

from fulmarbarrow.versions import messages
from fulmarbarrow.versions import sequential


class MoveEvidence:
    """One comparison for each route of a move's model."""

    def __init__(self) -> None:
        self._routes: dict[str, sequential.Comparison] = (
            collections.defaultdict(sequential.Comparison)
        )
        self._attempts = 0

    @property
    def attempts(self) -> int:
        """Attempts at the new version so far."""
        return self._attempts

    @property
    def strongest(self) -> float:
        """The strongest evidence of a fault, 1 when it is found."""
        found = (item.evidence for item in self._routes.values())
        return round(max(found, default=0.0), 3)

    def add(self, routes: tuple[messages.RouteEvidence, ...]) -> str:
        """Add a router's report; return the fault that is proven now."""
        for report in routes:
            self._attempts += report.attempts
            fields = msgspec.structs.asdict(report)
            del fields["route"]
            counts = sequential.Counts(**fields)
            fault = self._routes[report.route].add(counts)
            if fault:
                return f"{fault} on {report.route}"
        return ""
