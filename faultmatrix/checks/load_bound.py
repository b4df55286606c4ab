"""No engine carries more than a set multiple of the mean load."""

from __future__ import annotations

import math

from faultmatrix.checks import base
from faultmatrix import upstream as upstreams

MULTIPLE = 1.25
ALLOWED_SHARE = 0.005  # of dispatches, through disagreement and lost owners


class LoadBound(base.Check):
    """Looks at the true work of an upstream at each dispatch to it.

    Work is weighed against the larger of the mean and one full batch.
    """

    name = "load bound"

    def __init__(self) -> None:
        super().__init__()
        self._dispatches = 0
        self._above: list[str] = []

    def dispatched(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Compare the work before the dispatch with the bound."""
        pool = [
            item
            for item in self.fleet.upstreams.values()
            if item.up and item.offer.service == upstream.offer.service
        ]
        mean = sum(item.work for item in pool) / len(pool)
        bound = MULTIPLE * max(mean, upstreams.BATCH_TOKENS)
        self._dispatches += 1
        if upstream.work > bound:
            self._above.append(
                f"{upstream.upstream_id} had {upstream.work} tokens, "
                f"bound {bound:.0f}"
            )

    def finish(self) -> None:
        """Compare the number of dispatches above the bound."""
        allowed = math.ceil(ALLOWED_SHARE * self._dispatches)
        if len(self._above) > allowed:
            self.breach(
                f"{len(self._above)} of {self._dispatches} dispatches above "
                f"the bound; first: {self._above[0]}"
            )
