"""Every caller gets the whole answer to its own request."""

from __future__ import annotations

import datetime

from faultmatrix import callers
from faultmatrix.checks import base

HANG_LIMIT = datetime.timedelta(seconds=3)


class WholeAnswer(base.Check):
    """Compares every answer with the only right one, byte by byte.

    A request that is neither answered nor refused some time after its
    deadline hangs.
    """

    name = "whole answer"

    def ended(self, call: callers.Call) -> None:
        """Compare an answer that ended."""
        right = call.right_answer
        if call.answered and call.body != right:
            self.breach(f"{call.request.request_id} got {call.body[:80]!r}")
        elif call.answered and call.length not in (None, len(right)):
            self.breach(f"{call.request.request_id} was told a wrong length")
        elif not right.startswith(call.body):
            self.breach(
                f"{call.request.request_id} got a wrong part before its end"
            )

    def finish(self) -> None:
        """Look for requests that hang."""
        now = self.fleet.timeline.now
        for call in self.fleet.callers.calls.values():
            if call.open and now > call.request.deadline + HANG_LIMIT:
                self.breach(f"{call.request.request_id} hangs")
