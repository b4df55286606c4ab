"""Load reports that are late, as an engine's are."""

from __future__ import annotations

import collections
import datetime

from fulmarbarrow import clock as clocks
from fulmarbarrow.edge import upstreams


class LoadLag:
    """Gives out the load that was measured ``lag`` ago."""

    def __init__(self, *, clock: clocks.Clock, lag: datetime.timedelta):
        self._clock = clock
        self._lag = lag
        self._samples: collections.deque[upstreams.LoadBody] = (
            collections.deque()
        )

    def sample(
        self,
        *,
        running_tokens: int,
        queued_tokens: int,
        running_requests: int,
        queued_requests: int,
    ) -> None:
        """Measure the load now."""
        self._samples.append(
            upstreams.LoadBody(
                running_tokens=running_tokens,
                queued_tokens=queued_tokens,
                running_requests=running_requests,
                queued_requests=queued_requests,
                measured_at=self._clock.now(),
            )
        )
        self._drop_old()

    def report(self) -> upstreams.LoadBody:
        """Return the newest load that is old enough."""
        self._drop_old()
        limit = self._clock.now() - self._lag
        if self._samples and self._samples[0].measured_at <= limit:
            return self._samples[0]
        return upstreams.LoadBody(measured_at=limit)

    def _drop_old(self) -> None:
        limit = self._clock.now() - self._lag
        while len(self._samples) > 1 and self._samples[1].measured_at <= limit:
            self._samples.popleft()
