"""A non-idempotent action runs at most once."""

from __future__ import annotations

from faultmatrix.checks import base
from faultmatrix import upstream as upstreams


class AtMostOnce(base.Check):
    """Counts the runs of each idempotency key over all upstreams."""

    name = "at most once"

    def executed(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Look at a key's runs so far."""
        if run.request.key and self.fleet.key_runs(run.request) > 1:
            self.breach(f"{run.request.key} ran again")
