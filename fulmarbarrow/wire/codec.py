"""Encodes messages between daemons and proves who sent them."""

from __future__ import annotations

import enum
import functools
import hashlib
import hmac
import operator

import msgspec

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.journal import messages as journal_messages
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message as messages
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.relay import messages as relay_messages
from fulmarbarrow.scaling import messages as scaling_messages
from fulmarbarrow.usage import messages as usage_messages
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.zones import messages as zones_messages

WIRE_VERSION = 1
MAC_BYTES = 16
REPLAY_WINDOW = 1024  # sequence numbers

PEER_MESSAGES: tuple[type, ...] = (
    *consensus_messages.PEER_MESSAGES,
    *delivery_messages.PEER_MESSAGES,
    *duties_messages.PEER_MESSAGES,
    *journal_messages.PEER_MESSAGES,
    *limits_messages.PEER_MESSAGES,
    *membership_messages.PEER_MESSAGES,
    *placement_messages.PEER_MESSAGES,
    *publishing_messages.PEER_MESSAGES,
    *relay_messages.PEER_MESSAGES,
    *scaling_messages.PEER_MESSAGES,
    *usage_messages.PEER_MESSAGES,
    *versions_messages.PEER_MESSAGES,
    *zones_messages.PEER_MESSAGES,
)


class DropReason(enum.StrEnum):
    """Why a received frame was dropped."""

    GARBAGE = "garbage"
    WRONG_KEY = "wrong_key"
    OLD_VERSION = "old_version"
    REPLAYED = "replayed"


class Envelope(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Messages of one sender to one receiver, in order of ``sequence``."""

    version: int
    sender: str
    receiver: str
    incarnation: int
    sequence: int
    bodies: tuple[msgspec.Raw, ...]


class _Window:
    """Sequence numbers seen from one incarnation of a sender."""

    def __init__(self, *, incarnation: int) -> None:
        self.incarnation = incarnation
        self._highest = 0
        self._seen: set[int] = set()

    def accept(self, sequence: int) -> bool:
        """Return whether ``sequence`` is new; each is new once."""
        if sequence <= self._highest - REPLAY_WINDOW:
            return False
        if sequence in self._seen:
            return False
        self._seen.add(sequence)
        if sequence > self._highest:
            self._highest = sequence
            floor = self._highest - REPLAY_WINDOW
            if len(self._seen) > 2 * REPLAY_WINDOW:
                self._seen = {item for item in self._seen if item > floor}
        return True


class Codec:
    """Frames messages with a MAC under the fleet key."""

    def __init__(
        self, *, fleet_key: str, sender: str, address: str, incarnation: int
    ) -> None:
        self._key = hashlib.blake2b(fleet_key.encode()).digest()
        self._sender = sender
        self._address = address
        self._incarnation = incarnation
        self._sequence = 0
        self._windows: dict[str, _Window] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._bodies = msgspec.msgpack.Decoder(
            functools.reduce(operator.or_, PEER_MESSAGES)
        )

    def encode(
        self, receiver: str, bodies: tuple[messages.Message, ...]
    ) -> bytes:
        """Return one frame for the daemon at the address ``receiver``."""
        self._sequence += 1
        envelope = Envelope(
            version=WIRE_VERSION,
            sender=self._sender,
            receiver=receiver,
            incarnation=self._incarnation,
            sequence=self._sequence,
            bodies=tuple(
                msgspec.Raw(self._encoder.encode(body)) for body in bodies
            ),
        )
        payload = self._encoder.encode(envelope)
        return self._mac(payload) + payload

    def decode(
        self, frame: bytes
    ) -> tuple[messages.Message, ...] | DropReason:
        """Return the messages of a frame, or why it must be dropped."""
        payload = frame[MAC_BYTES:]
        if not hmac.compare_digest(frame[:MAC_BYTES], self._mac(payload)):
            return DropReason.WRONG_KEY
        try:
            envelope = self._envelopes.decode(payload)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return DropReason.GARBAGE
        if envelope.version != WIRE_VERSION:
            return DropReason.OLD_VERSION
        if not self._fresh(envelope):
            return DropReason.REPLAYED
        try:
            return tuple(self._bodies.decode(raw) for raw in envelope.bodies)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return DropReason.GARBAGE

    def _fresh(self, envelope: Envelope) -> bool:
        if envelope.receiver != self._address:
            return False
        window = self._windows.get(envelope.sender)
        if window is None or envelope.incarnation > window.incarnation:
            window = _Window(incarnation=envelope.incarnation)
            self._windows[envelope.sender] = window
        if envelope.incarnation < window.incarnation:
            return False
        return window.accept(envelope.sequence)

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, digest_size=MAC_BYTES
        ).digest()
