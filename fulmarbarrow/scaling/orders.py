"""The replicated state: the last ordered number of each subject."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow.scaling import messages

MAX_SUBJECTS = 1024

Command = messages.OrderDecided | messages.OrderSettled
_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """The last ordered number, and the log index of its commit.

    ``settled`` is set once the platform has accepted it and no earlier call
    can be carried out any more.
    """

    subject: str
    number: int
    wanted: int
    at: datetime.datetime
    index: int
    raised_at: datetime.datetime | None = None
    settled: bool = False


class OrderStore:
    """Last orders by subject; every control host has the same."""

    def __init__(self) -> None:
        self._orders: dict[str, Order] = {}

    def get(self, subject: str) -> Order | None:
        """Return the last order of a subject."""
        return self._orders.get(subject)

    def subjects(self) -> list[str]:
        """Return the subjects with an order."""
        return list(self._orders)

    def apply(self, command: bytes, index: int) -> Order | None:
        """Apply a committed command; return the order if it is a new one.

        A decision of a holder that has been replaced is ignored.
        """
        decoded = _COMMAND_DECODER.decode(command)
        before = self._orders.get(decoded.subject)
        if isinstance(decoded, messages.OrderSettled):
            if before is not None and before.index == decoded.index:
                self._orders[decoded.subject] = msgspec.structs.replace(
                    before, settled=True
                )
            return None
        if before is not None and decoded.number < before.number:
            return None
        order = Order(
            subject=decoded.subject,
            number=decoded.number,
            wanted=decoded.wanted,
            at=decoded.at,
            index=index,
            raised_at=decoded.raised_at,
        )
        self._orders.pop(decoded.subject, None)
        self._orders[decoded.subject] = order
        if len(self._orders) > MAX_SUBJECTS:
            del self._orders[next(iter(self._orders))]
        return order

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return msgspec.msgpack.encode(list(self._orders.values()))

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        orders: list[Order] = []
        if data:
            orders = msgspec.msgpack.decode(data, type=list[Order])
        self._orders = {order.subject: order for order in orders}
