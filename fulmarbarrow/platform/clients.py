"""Translates clients' requests and what they are answered."""

from __future__ import annotations

import datetime
import hashlib

import msgspec
from twisted.web import http

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import refusals
from fulmarbarrow.edge import dialect
from fulmarbarrow.edge import directory as directories
from fulmarbarrow.edge import requests
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.placement import rendezvous
from fulmarbarrow.platform import headers

MILLISECOND = datetime.timedelta(milliseconds=1)
NOT_RUN_STATUS = 503
DEADLINE_DIGITS = 12
TOKEN_DIGITS = 9
# Clients abandon a stream after a pause, also before its first event: of two
# seconds, or of these multiples of the objectives, whichever is longest.
STREAM_PATIENCE = datetime.timedelta(seconds=2)
OBJECTIVE_PATIENCE = 4
GAP_PATIENCE = 8
# Of the time that a client waits; the rest is left for the worker's answer.
START_PART = 0.7
PLAIN_START_PART = 0.5
COUNTS = 2  # of the prompt, and the most of the answer


class Clients:
    """Requests by host and path, errors by status and header fields."""

    def parse(
        self,
        request: http.Request,
        *,
        request_id: str,
        body: bytes,
        directory: directories.Directory,
        now: datetime.datetime,
    ) -> dialect.Taken | dialect.Rejected:
        """Return the checked request, or why it is refused."""
        caller_id = requests.header(request, headers.REQUEST_ID)
        if not directory.in_force or not len(directory.host_routes):
            return dialect.Rejected(
                code="no_configuration", caller_id=caller_id
            )
        host = requests.header(request, "Host").rpartition(":")
        path = request.uri.partition(b"?")[0].decode("latin-1")
        route = directory.host_routes.find((host[0] or host[2]).lower(), path)
        if route is None:
            return dialect.Rejected(code="no_route", caller_id=caller_id)
        account = self._account(request, route, directory)
        if account is None:
            return dialect.Rejected(code="unauthorized", caller_id=caller_id)
        service = self._service(route, directory, request_id)
        arrived = _arrived(
            request, request_id, body, route, service, account, now
        )
        return dialect.Taken(
            arrived=arrived,
            content_type=requests.header(request, "Content-Type"),
            fields=headers.for_upstream(
                (name, value)
                for name, values in request.requestHeaders.getAllRawHeaders()
                for value in values
            ),
            echo=caller_id,
        )

    def refuse(
        self,
        code: str,
        *,
        detail: str = "",
        ran: messages.Ran | None = None,
        retry_after: datetime.timedelta | None = None,
    ) -> dialect.Refused:
        """Return an error whose status promises no more than is known."""
        refusal = refusals.REFUSALS[code]
        ran = ran or refusal.ran
        status = refusal.status
        if status >= http.INTERNAL_SERVER_ERROR and ran is messages.Ran.NO:
            status = NOT_RUN_STATUS
        elif status in refusals.NOT_RUN_STATUSES and (
            ran is not messages.Ran.NO
        ):
            status = http.BAD_GATEWAY
        fields = [("Content-Type", "application/json")]
        if retry_after is not None:
            seconds = max(0.0, retry_after.total_seconds())
            fields.append((headers.RETRY_AFTER, f"{seconds:.3f}"))
        error = {"code": code, "message": refusal.message, "detail": detail}
        return dialect.Refused(
            status=status,
            body=msgspec.json.encode({"error": error}),
            fields=tuple(fields),
        )

    def broken(self, code: str, ran: messages.Ran) -> bytes:
        """Return nothing: a stream that breaks off just ends unfinished."""
        return b""

    @staticmethod
    def _account(
        request: http.Request,
        route: bundles.HostRoute,
        directory: directories.Directory,
    ) -> bundles.Account | None:
        """Return the account of a request; one without a name if none is due.

        None is an unknown key.
        """
        if route.public or not directory.has_accounts:
            return bundles.Account(name="", key_salt="", key_digest="")
        return directory.account(requests.header(request, headers.API_KEY))

    @staticmethod
    def _service(
        route: bundles.HostRoute,
        directory: directories.Directory,
        request_id: str,
    ) -> bundles.Service:
        weights = {target.service: target.weight for target in route.targets}
        name = rendezvous.order(request_id, weights)[0]
        return directory.service(name) or bundles.Service(
            name=name, kind=bundles.ServiceKind.PLAIN
        )


def _arrived(
    request: http.Request,
    request_id: str,
    body: bytes,
    route: bundles.HostRoute,
    service: bundles.Service,
    account: bundles.Account,
    now: datetime.datetime,
) -> messages.RequestArrived:
    parts = _parts(requests.header(request, headers.PROMPT_PREFIX))
    last_event = _last_event(request)
    left = _time_left(request, route)
    rank = route.rank if account.rank is None else account.rank
    return messages.RequestArrived(
        request_id=request_id,
        account=account.name,
        service=service.name,
        model=requests.header(request, headers.MODEL),
        chat=parts[-1][0] if parts else request_id,
        route=route.name,
        method=request.method.decode("ascii", "replace"),
        path=request.uri.decode("latin-1"),
        digest=_digest(request, account.name, body),
        idempotent=route.kind is not bundles.RequestKind.ONCE,
        key="",
        stream=route.stream,
        cost=_cost(requests.header(request, headers.TOKEN_COUNT), service),
        cost_class=(
            placement_messages.CostClass.LONG
            if route.stream
            else placement_messages.CostClass.SHORT
        ),
        worth=1.0,
        best_effort=False,
        deadline=now + left,
        resumed_from=0 if last_event is None else last_event + 1,
        parts=parts,
        attempts=route.attempts,
        rank=rank,
        objective=route.objective,
        caller_id=requests.header(request, headers.REQUEST_ID),
        start_by=now + _time_to_start(route, left),
    )


def _last_event(request: http.Request) -> int | None:
    """Return the id of the last event that a client has, None if none."""
    number = dialect.natural(
        requests.header(request, headers.LAST_EVENT),
        max_digits=len(str(headers.MAX_EVENT_ID)),
    )
    return None if number is None else min(number, headers.MAX_EVENT_ID)


def _time_to_start(
    route: bundles.HostRoute, left: datetime.timedelta
) -> datetime.timedelta:
    """Return how long a request may wait before it is sent to a worker."""
    if not route.stream:
        return left * PLAIN_START_PART
    patience = max(
        STREAM_PATIENCE,
        OBJECTIVE_PATIENCE * route.objective,
        GAP_PATIENCE * route.gap_objective,
    )
    return min(patience, left) * START_PART


def _parts(text: str) -> tuple[tuple[str, int], ...]:
    """Return the parts of a prompt from ``ID:TOKENS,...``."""
    found = []
    for entry in text.split(","):
        name, _, text = entry.strip().partition(":")
        tokens = dialect.natural(text, max_digits=TOKEN_DIGITS)
        if name and tokens is not None:
            found.append((name, tokens))
    return tuple(found)


def _time_left(
    request: http.Request, route: bundles.HostRoute
) -> datetime.timedelta:
    text = requests.header(request, headers.DEADLINE)
    left = dialect.natural(text, max_digits=DEADLINE_DIGITS)
    if left is None:
        return route.deadline
    return min(left * MILLISECOND, route.deadline)


def _cost(counts: str, service: bundles.Service) -> int:
    """Return the tokens that a request takes of its worker's memory.

    A request that needs less than a slot's part of the memory still takes a
    slot.
    """
    pool = service.pool
    if not pool.slots or not pool.kv_tokens:
        return placement_messages.PLAIN_REQUEST_COST
    numbers = (
        dialect.natural(item, max_digits=TOKEN_DIGITS)
        for item in counts.split(",", COUNTS)[:COUNTS]
    )
    needed = sum(number or 0 for number in numbers)
    return max(needed, pool.kv_tokens // pool.slots)


def _digest(request: http.Request, account: str, body: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in (account.encode(), request.method, request.uri, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
