"""Compresses counts for the network and for the replicated log."""

from __future__ import annotations

import typing
import zlib

import msgspec

# 4,096 accounts in 13 windows with names of 20 characters.
MAX_UNPACKED_BYTES = 2 << 20
COMPRESSION_LEVEL = 6

T = typing.TypeVar("T")


def pack(value: typing.Any) -> bytes:
    """Return the compressed encoding of a value."""
    return zlib.compress(msgspec.msgpack.encode(value), COMPRESSION_LEVEL)


def unpack(data: bytes, kind: type[T]) -> T:
    """Return the decoded value; raises ValueError for any other input."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("truncated or too large")
    return msgspec.msgpack.decode(plain, type=kind)
