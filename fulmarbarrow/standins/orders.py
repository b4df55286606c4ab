"""The orders that an engine takes from the fleet."""

from __future__ import annotations

import typing

import msgspec

from fulmarbarrow.standins import faults as faults_module
from fulmarbarrow.versions import messages

STALE_FENCING = "stale_fencing"


class OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """What the fleet sends to ``POST /v1/orders``; fields as of ``Order``."""

    order_id: str
    kind: messages.OrderKind
    subject: str
    version: str = ""
    fencing_number: int = 0
    argument: str = ""


class OrderReply(msgspec.Struct, frozen=True, kw_only=True):
    """What became of an order; ``code`` is empty when it was carried out."""

    order_id: str
    code: str = ""


class OrderDesk:
    """Carries out orders, each once; refuses old fencing numbers.

    ``offers`` are written ``service/model/version``; a loaded version adds
    one and stays beside the old.
    """

    def __init__(
        self,
        *,
        offers: tuple[str, ...],
        move_kv: typing.Callable[[OrderBody], None],
        faults: faults_module.Faults,
        checks_fencing: bool,
    ) -> None:
        self._offers = list(offers)
        self._move_kv = move_kv
        self._faults = faults
        self._checks_fencing = checks_fencing
        self._highest = 0
        self._done: dict[str, OrderReply] = {}
        self._counts: dict[str, int] = {}
        self.role = ""

    @property
    def offers(self) -> tuple[str, ...]:
        """What the engine can run now."""
        return tuple(self._offers)

    @property
    def counts(self) -> dict[str, int]:
        """How often each order was carried out."""
        return dict(self._counts)

    def take(self, order: OrderBody) -> OrderReply:
        """Carry out an order or say why not."""
        code = self._objection(order)
        if code:
            return OrderReply(order_id=order.order_id, code=code)
        self._highest = max(self._highest, order.fencing_number)
        if order.order_id in self._done:
            return self._done[order.order_id]
        self._carry_out(order)
        reply = OrderReply(order_id=order.order_id)
        self._done[order.order_id] = reply
        self._counts[order.order_id] = self._counts.get(order.order_id, 0) + 1
        return reply

    def _objection(self, order: OrderBody) -> str:
        if self._faults.take(faults_module.FaultKind.REFUSE_ORDERS):
            return "refused"
        if self._faults.take(faults_module.FaultKind.STALE_FENCING):
            return STALE_FENCING
        ignores = self._faults.get(faults_module.FaultKind.IGNORE_FENCING)
        if not self._checks_fencing or ignores:
            return ""
        return STALE_FENCING if order.fencing_number < self._highest else ""

    def _carry_out(self, order: OrderBody) -> None:
        match order.kind:
            case (
                messages.OrderKind.LOAD_MODEL | messages.OrderKind.LOAD_ADAPTER
            ):
                self._load(order)
            case messages.OrderKind.CHANGE_ROLE:
                self.role = order.subject
            case messages.OrderKind.EXPORT_KV | messages.OrderKind.IMPORT_KV:
                self._move_kv(order)

    def _load(self, order: OrderBody) -> None:
        for offer in list(self._offers):
            service, model, _ = (offer.split("/") + ["", ""])[:3]
            loaded = f"{service}/{model}/{order.version}"
            if model == order.subject and loaded not in self._offers:
                self._offers.append(loaded)
