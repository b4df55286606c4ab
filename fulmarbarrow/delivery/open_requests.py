"""Table of the open requests of a router."""

from __future__ import annotations

import dataclasses

from fulmarbarrow.delivery import attempt as attempt_machine
from fulmarbarrow.delivery import request as request_machine
from fulmarbarrow.delivery import state


@dataclasses.dataclass(kw_only=True)
class OpenRequest:
    """An open request with its state machine and those of its attempts."""

    request: state.Request
    inputs: request_machine.RequestInputs
    attempts: dict[str, attempt_machine.AttemptInputs] = dataclasses.field(
        default_factory=dict
    )


class OpenRequests:
    """Open requests, indexed by request id."""

    def __init__(self) -> None:
        self._by_id: dict[str, OpenRequest] = {}

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._by_id)

    def __iter__(self):
        """Iterate over the open requests."""
        return iter(self._by_id.values())

    def add(self, request: state.Request) -> OpenRequest:
        """Add a request in its initial state."""
        entry = OpenRequest(
            request=request, inputs=request_machine.make_request(request)
        )
        self._by_id[request.request_id] = entry
        return entry

    def find(
        self, request_id: str = "", attempt_id: str = ""
    ) -> OpenRequest | None:
        """Return the open request with this id or with this attempt."""
        if not request_id:
            request_id = attempt_id.rpartition("-")[0]
        return self._by_id.get(request_id)

    def remove(self, entry: OpenRequest) -> None:
        """Remove a closed request."""
        self._by_id.pop(entry.request.request_id, None)
