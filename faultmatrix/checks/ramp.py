"""An upstream that has just started gets no more work than it can bear."""

from __future__ import annotations

from faultmatrix.checks import base
from faultmatrix import upstream as upstreams
from fulmarbarrow.placement import bounds


class Ramp(base.Check):
    """Compares a fresh upstream's work with its allowance at a dispatch."""

    name = "ramp"

    def dispatched(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Compare the work after the dispatch with the allowance.

        One attempt is always allowed, or a fresh upstream could never start.
        """
        limits = bounds.Bounds()
        age = self.fleet.timeline.now - upstream.serving_since
        if age >= limits.ramp or not upstream.work:
            return
        share = limits.ramp_share(age) * limits.ceiling
        allowed = share * upstreams.BATCH_TOKENS
        if upstream.work + run.cost > allowed:
            self.breach(
                f"{upstream.upstream_id} at age {age.total_seconds():.1f} s "
                f"got {upstream.work + run.cost} tokens, may bear "
                f"{allowed:.0f}"
            )
