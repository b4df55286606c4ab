"""Carries orders to engines over HTTP."""

from __future__ import annotations

import datetime
import logging
import typing

import msgspec
import treq.client
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import client as web_client

from fulmarbarrow import bus as buses
from fulmarbarrow.edge import headers
from fulmarbarrow.versions import messages

log = logging.getLogger(__name__)

PATH = "/v1/orders"
TIMEOUT_SECONDS = 5
STATUS_TAKEN = 200
STATUS_STALE = 409


class OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine gets on ``POST /v1/orders``.

    An engine that checks fencing numbers answers 409 to one that is lower
    than the highest it has seen.
    """

    order_id: str
    kind: messages.OrderKind
    subject: str
    version: str
    fencing_number: int
    argument: str = ""


class OrdersClient:
    """Sends each order once and reports what became of it."""

    def __init__(
        self, *, reactor: interfaces.IReactorTCP, bus: buses.Bus, key: str
    ) -> None:
        self._bus = bus
        self._key = key
        agent = web_client.Agent(reactor, connectTimeout=TIMEOUT_SECONDS)
        self._client = treq.client.HTTPClient(agent)
        bus.subscribe(messages.Order, self._start)

    def _start(
        self, order: messages.Order, now: datetime.datetime
    ) -> list[typing.Any]:
        log.info(
            "order %s: %s %s %s on %s",
            order.order_id,
            order.kind.value,
            order.subject,
            order.version,
            order.upstream_id,
        )
        defer.ensureDeferred(self._send(order))
        return []

    async def _send(self, order: messages.Order) -> None:
        body = OrderBody(
            order_id=order.order_id,
            kind=order.kind,
            subject=order.subject,
            version=order.version,
            fencing_number=order.fencing_number,
            argument=order.argument,
        )
        try:
            response = await self._client.post(
                order.url + PATH,
                data=msgspec.json.encode(body),
                headers={
                    headers.FLEET_KEY: self._key,
                    "Content-Type": "application/json",
                },
                timeout=TIMEOUT_SECONDS,
            )
            code = _code(response.code)
        except Exception as error:
            log.info("order %s failed: %r", order.order_id, error)
            code = "unreachable"
        result = messages.OrderResult(
            order_id=order.order_id, upstream_id=order.upstream_id, code=code
        )
        self._bus.post(result)


def _code(status: int) -> str:
    """Return an order's result code, empty if the engine took it."""
    if status == STATUS_TAKEN:
        return ""
    if status == STATUS_STALE:
        return "stale_fencing_number"
    return "refused"
