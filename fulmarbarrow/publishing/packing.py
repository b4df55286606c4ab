"""Compression of configurations, which are highly repetitive."""

from __future__ import annotations

import collections.abc
import zlib

LEVEL = 3  # a tenth of the size, in a third of the default level's time
MAX_UNPACKED_BYTES = 64 << 20


def pack(data: bytes) -> bytes:
    """Return the compressed form of ``data``."""
    return zlib.compress(data, LEVEL)


def unpack(data: bytes) -> bytes:
    """Return the unpacked data; raises zlib.error if it is not valid."""
    decompressor = zlib.decompressobj()
    unpacked = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise zlib.error("data is incomplete or too large")
    return unpacked


class RevisionCache:
    """Caches the packed configuration of the latest requested revision."""

    def __init__(self) -> None:
        self._revision = 0
        self._data = b""

    def get(
        self, revision: int, encode: collections.abc.Callable[[], bytes]
    ) -> bytes:
        """Return the packed revision; ``encode`` returns it unpacked."""
        if revision != self._revision:
            self._data = pack(encode())
            self._revision = revision
        return self._data
