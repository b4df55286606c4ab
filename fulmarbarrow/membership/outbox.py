"""Effect queue of the membership core, with a limit on its traffic."""

from __future__ import annotations

import datetime

import msgspec

from fulmarbarrow.membership import messages
from fulmarbarrow.membership import packing
from fulmarbarrow import message

RATE_BYTES = 4_000  # per second, averaged over a minute
RESERVE_BYTES = 64_000  # capacity of the bucket that fills while idle
PEAK_BYTES = 4_500  # per second
FRAME_BYTES = 72  # envelope, names, sequence and MAC of a frame


class Outbox:
    """The effects of one event, with a limit on the bytes that are sent.

    All messages are charged to two token buckets: one for the average rate
    over a minute, which accumulates a reserve, and one for the peak rate
    within a second. Heartbeats, lease renewals and urgent changes are always
    sent and may overdraw the buckets; everything else is sent only while
    ``room`` is positive.
    """

    def __init__(
        self, *, rate: int = RATE_BYTES, reserve: int = RESERVE_BYTES
    ) -> None:
        self._rate = rate
        self._reserve = reserve
        self._saved = float(reserve)
        self._peak = float(PEAK_BYTES)
        self._refilled: datetime.datetime | None = None
        self._effects: list[message.Message] = []
        self._last: (
            tuple[messages.Gossip, messages.Gossip | messages.PackedGossip]
            | None
        ) = None
        self._encoder = msgspec.msgpack.Encoder()
        self.sent_bytes = 0

    @property
    def room(self) -> int:
        """Bytes that may be sent now; negative if overdrawn."""
        return int(min(self._saved, self._peak))

    def refill(self, now: datetime.datetime) -> None:
        """Add the tokens for the time since the last call."""
        if self._refilled is not None:
            passed = (now - self._refilled).total_seconds()
            saved = self._saved + passed * self._rate
            peak = self._peak + passed * PEAK_BYTES
            self._saved = min(self._reserve, saved)
            self._peak = min(PEAK_BYTES / 2, peak)
        self._refilled = now

    def emit(self, effect: message.Message) -> None:
        """Queue an effect for the other cores of this daemon."""
        self._effects.append(effect)

    def send(
        self,
        address: str,
        body: message.Message,
        *,
        urgent: bool = False,
        rare: bool = False,
    ) -> None:
        """Queue a message to another daemon and charge its bytes.

        A ``rare`` message is not charged to the peak bucket.
        """
        if type(body) is messages.Gossip:
            body = self._packed(body)
        size = len(self._encoder.encode(body)) + FRAME_BYTES
        self._saved -= size
        self._peak -= 0 if rare else size
        self.sent_bytes += size
        self._effects.append(
            message.Send(address=address, message=body, urgent=urgent)
        )

    def _packed(
        self, gossip: messages.Gossip
    ) -> messages.Gossip | messages.PackedGossip:
        """Compress gossip, caching the last result.

        The same message is usually sent to several daemons in a row.
        """
        if self._last is None or self._last[0] is not gossip:
            self._last = (gossip, packing.pack(gossip))
        return self._last[1]

    def size(self, body: object) -> int:
        """Return the encoded size of a message or a part of one in bytes."""
        return len(self._encoder.encode(body))

    def take(self) -> list[message.Message]:
        """Return and clear the queued effects."""
        effects, self._effects = self._effects, []
        return effects
