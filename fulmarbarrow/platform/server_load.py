"""Reads the load that a worker states in its answers."""

from __future__ import annotations

import logging
import re

from fulmarbarrow.edge import dialect
from fulmarbarrow.placement import messages
from fulmarbarrow.platform import headers

log = logging.getLogger(__name__)

MAX_REQUESTS = 100_000
MAX_SLOTS = 4_096
MIN_PACE, MAX_PACE = 10, 2_000  # percent
# Workers whose unreadable field has been logged.
MAX_LOGGED = 1_024

# Longer numbers are no load; they would make the conversion expensive.
_FIELD = re.compile(
    r"([0-9]{1,9}), ?([0-9]{1,9}), ?([0-9]{1,9})"
    r"(?:, ?([0-9]{1,9})(?:\.[0-9]{0,9})?)?"
)


class LoadReader:
    """Reads the field and logs once for each worker that it can't be read."""

    def __init__(self) -> None:
        self._logged: set[str] = set()

    def read(
        self, upstream_id: str, fields: dialect.Fields
    ) -> messages.ServerLoad | None:
        """Return the load, None if it is absent or unreadable.

        Without a pace it is not used, as the load of such a worker is known
        from its registration.
        """
        name = headers.SERVER_LOAD.lower().encode()
        values = [value for key, value in fields if key.lower() == name]
        if not values:
            return None
        if len(values) > 1:
            return self._unreadable(upstream_id, "repeated")
        text = values[0].decode("latin-1").strip()
        match = _FIELD.fullmatch(text)
        if match is None:
            return self._unreadable(upstream_id, "malformed")
        if match.group(4) is None:
            return None
        running, waiting, slots, pace = map(int, match.groups())
        if (
            max(running, waiting) > MAX_REQUESTS
            or not 0 < slots <= MAX_SLOTS
            or not MIN_PACE <= pace <= MAX_PACE
        ):
            return self._unreadable(upstream_id, "out of range")
        return messages.ServerLoad(
            running=running, waiting=waiting, slots=slots, pace=pace
        )

    def _unreadable(self, upstream_id: str, reason: str) -> None:
        if upstream_id in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(upstream_id)
        log.warning(
            "load not understood",
            extra={"upstream": upstream_id, "reason": reason},
        )
