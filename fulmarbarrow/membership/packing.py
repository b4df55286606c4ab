"""Compression of gossip messages.

Records of one region repeat most of their fields and compress well.
"""

from __future__ import annotations

import zlib

import msgspec

from fulmarbarrow.membership import messages

# One or two records, which are shorter than this, do not get any smaller.
COMPRESSION_THRESHOLD_BYTES = 250
# Level 1 takes 30 bytes per record in a message of 32; level 6 takes 27.
COMPRESSION_LEVEL = 1
# Limits memory for malformed input; all records of a region are far smaller.
MAX_UNPACKED_BYTES = 4 << 20

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.Gossip)


def pack(gossip: messages.Gossip) -> messages.Gossip | messages.PackedGossip:
    """Return gossip, compressed if it is large enough to benefit."""
    data = _encoder.encode(gossip)
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return gossip
    return messages.PackedGossip(data=zlib.compress(data, COMPRESSION_LEVEL))


def unpack(packed: messages.PackedGossip) -> messages.Gossip:
    """Decompress and decode gossip.

    Raises ``zlib.error`` or ``msgspec.DecodeError`` for malformed data.
    """
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(packed.data, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise zlib.error(
            f"data is truncated or exceeds {MAX_UNPACKED_BYTES} bytes"
        )
    return _decoder.decode(data)
