"""Effect queue of the membership core, with a limit on its traffic."""

from __future__ import annotations

import collections
import datetime

import msgspec

from fulmarbarrow.membership import messages
from fulmarbarrow.membership import packing
from fulmarbarrow import message

RATE_BYTES_PER_SECOND = 4_000  # averaged over a minute
BURST_BYTES = 64_000  # capacity of the bucket that fills while idle
PEAK_BYTES_PER_SECOND = 4_500
# Of both rates; forwarded heartbeats beyond it leave the rest to changes.
HEARTBEAT_SHARE = 0.5
# Of the average rate; urgent changes beyond it are not charged.
URGENT_SHARE = 0.25
URGENT_RESERVE_BYTES = 16_000
FRAME_OVERHEAD_BYTES = 72  # envelope, names, sequence and MAC of a frame


class Outbox:
    """The effects of one event, with a limit on the bytes that are sent.

    All messages are charged to two token buckets: one for the average rate
    over a minute, which permits bursts after idle time, and one for the peak
    rate within a second. Heartbeats, lease renewals and urgent changes are
    always sent and may overdraw the buckets; everything else is sent only
    while ``available_bytes`` is positive. Urgent changes have a reserve that
    nothing else uses. While it is used up they are not charged, so that they
    leave the rest of the rate to other messages, but are sent in batches.
    """

    def __init__(
        self,
        *,
        rate_bytes_per_second: int = RATE_BYTES_PER_SECOND,
        burst_bytes: int = BURST_BYTES,
    ) -> None:
        self._rate_bytes_per_second = rate_bytes_per_second
        self._burst_bytes = burst_bytes
        self._burst_tokens = float(burst_bytes)
        self._peak_tokens = float(PEAK_BYTES_PER_SECOND)
        self._heartbeat_tokens = HEARTBEAT_SHARE * rate_bytes_per_second
        self._urgent_tokens = float(URGENT_RESERVE_BYTES)
        self._refilled_at: datetime.datetime | None = None
        self._effects: list[message.Message] = []
        self._last_compressed: (
            tuple[messages.Gossip, messages.Gossip | messages.PackedGossip]
            | None
        ) = None
        self._encoder = msgspec.msgpack.Encoder()
        self.sent_bytes = 0
        self.sent_by_type: collections.Counter[str] = collections.Counter()

    @property
    def available_bytes(self) -> int:
        """Bytes that may be sent now; negative if overdrawn."""
        return int(min(self._burst_tokens, self._peak_tokens))

    @property
    def urgent_bytes(self) -> int:
        """Bytes left in the reserve of urgent changes, 0 or more."""
        return int(self._urgent_tokens)

    def refill(self, now: datetime.datetime) -> None:
        """Add the tokens for the time since the last call."""
        if self._refilled_at is not None:
            elapsed = (now - self._refilled_at).total_seconds()
            burst_tokens = (
                self._burst_tokens + elapsed * self._rate_bytes_per_second
            )
            peak_tokens = self._peak_tokens + elapsed * PEAK_BYTES_PER_SECOND
            self._burst_tokens = min(self._burst_bytes, burst_tokens)
            self._peak_tokens = min(PEAK_BYTES_PER_SECOND / 2, peak_tokens)
            rate = HEARTBEAT_SHARE * self._rate_bytes_per_second
            self._heartbeat_tokens = min(
                rate, self._heartbeat_tokens + elapsed * rate
            )
            self._urgent_tokens = min(
                URGENT_RESERVE_BYTES,
                self._urgent_tokens
                + elapsed * URGENT_SHARE * self._rate_bytes_per_second,
            )
        self._refilled_at = now

    def emit(self, effect: message.Message) -> None:
        """Queue an effect for the other cores of this daemon."""
        self._effects.append(effect)

    def send(
        self,
        address: str,
        body: message.Message,
        *,
        urgent: bool = False,
        exempt_from_peak: bool = False,
        heartbeat: bool = False,
    ) -> None:
        """Queue a message to another daemon and charge its bytes.

        With ``exempt_from_peak`` only the bucket for the average is charged,
        and with ``heartbeat`` or ``urgent`` none once the share of heartbeats
        or urgent changes is used up.
        """
        kind = message.tag(body)
        if type(body) is messages.Gossip:
            body = self._compress(body)
        size = len(self._encoder.encode(body)) + FRAME_OVERHEAD_BYTES
        self.sent_bytes += size
        self.sent_by_type[kind] += size
        charged: float = size
        if heartbeat:
            charged = min(size, self._heartbeat_tokens)
            self._heartbeat_tokens -= charged
        elif urgent:
            charged = min(size, self._urgent_tokens)
            self._urgent_tokens -= charged
        self._burst_tokens -= charged
        self._peak_tokens -= 0 if exempt_from_peak else charged
        self._effects.append(
            message.Send(address=address, message=body, urgent=urgent)
        )

    def _compress(
        self, gossip: messages.Gossip
    ) -> messages.Gossip | messages.PackedGossip:
        """Compress gossip, caching the last result.

        The same message is usually sent to several daemons in a row.
        """
        if (
            self._last_compressed is None
            or self._last_compressed[0] is not gossip
        ):
            self._last_compressed = (gossip, packing.pack(gossip))
        return self._last_compressed[1]

    def size(self, body: object) -> int:
        """Return the encoded size of a message or a part of one in bytes."""
        return len(self._encoder.encode(body))

    def drain(self) -> list[message.Message]:
        """Return and clear the queued effects."""
        effects, self._effects = self._effects, []
        return effects
