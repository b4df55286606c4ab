"""Compresses gossip, whose records resemble each other a lot."""

from __future__ import annotations

import zlib

import msgspec

from fulmarbarrow.membership import messages

# Below it the compressed form of one or two records is no shorter.
LEAST_BYTES = 250
LEVEL = 1  # 30 bytes a record among 32 of them already; 6 saves 3 more
MAX_UNPACKED_BYTES = 4 << 20  # far above all records of a region

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.Gossip)


def pack(gossip: messages.Gossip) -> messages.Gossip | messages.PackedGossip:
    """Return gossip in its shorter form."""
    data = _encoder.encode(gossip)
    if len(data) < LEAST_BYTES:
        return gossip
    return messages.PackedGossip(data=zlib.compress(data, LEVEL))


def unpack(packed: messages.PackedGossip) -> messages.Gossip:
    """Return what was packed.

    Raises zlib.error or msgspec.DecodeError for anything else.
    """
    inflater = zlib.decompressobj()
    data = inflater.decompress(packed.data, MAX_UNPACKED_BYTES)
    if not inflater.eof:
        raise zlib.error("incomplete or too large")
    return _decoder.decode(data)
