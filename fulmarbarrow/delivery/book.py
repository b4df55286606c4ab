"""Table of the open requests of a router."""

from __future__ import annotations

import dataclasses

from fulmarbarrow.delivery import attempt as attempt_machine
from fulmarbarrow.delivery import request as request_machine
from fulmarbarrow.delivery import state


@dataclasses.dataclass(kw_only=True)
class Open:
    """An open request with its state machine and those of its attempts."""

    request: state.Request
    inputs: request_machine.RequestInputs
    attempts: dict[str, attempt_machine.AttemptInputs] = dataclasses.field(
        default_factory=dict
    )


class Book:
    """Open requests, indexed by request id."""

    def __init__(self) -> None:
        self._open: dict[str, Open] = {}

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def __iter__(self):
        """Iterate over the open requests."""
        return iter(self._open.values())

    def add(self, request: state.Request) -> Open:
        """Add a request in its initial state."""
        entry = Open(
            request=request, inputs=request_machine.make_request(request)
        )
        self._open[request.request_id] = entry
        return entry

    def find(self, request_id: str = "", attempt_id: str = "") -> Open | None:
        """Return the open request with this id or with this attempt."""
        if not request_id:
            request_id = attempt_id.rpartition("-")[0]
        return self._open.get(request_id)

    def remove(self, entry: Open) -> None:
        """Remove a closed request."""
        self._open.pop(entry.request.request_id, None)
