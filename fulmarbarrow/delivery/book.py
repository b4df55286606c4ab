"""The open requests of a router, by request and by attempt."""

from __future__ import annotations

import dataclasses

from fulmarbarrow.delivery import attempt as attempt_machine
from fulmarbarrow.delivery import request as request_machine
from fulmarbarrow.delivery import state


@dataclasses.dataclass(kw_only=True)
class Open:
    """An open request with its machine and those of its attempts."""

    request: state.Request
    inputs: request_machine.RequestInputs
    attempts: dict[str, attempt_machine.AttemptInputs] = dataclasses.field(
        default_factory=dict
    )


class Book:
    """Finds open requests."""

    def __init__(self) -> None:
        self._open: dict[str, Open] = {}

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def __iter__(self):
        """Iterate over the open requests."""
        return iter(self._open.values())

    def add(self, request: state.Request) -> Open:
        """Open a request."""
        entry = Open(
            request=request, inputs=request_machine.make_request(request)
        )
        self._open[request.request_id] = entry
        return entry

    def find(self, request_id: str = "", attempt_id: str = "") -> Open | None:
        """Return an open request by its id or by one of its attempts'."""
        if not request_id:
            request_id = attempt_id.rpartition("-")[0]
        return self._open.get(request_id)

    def remove(self, entry: Open) -> None:
        """Forget a closed request."""
        self._open.pop(entry.request.request_id, None)
