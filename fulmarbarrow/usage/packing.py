"""Encodes counts compactly for the network and for the replicated log.

Accounts are written as gaps between their positions in the sorted names of
the configuration, most of them with a count of 1 in a single byte; accounts
that the configuration does not name are written with their names.
"""

from __future__ import annotations

import collections.abc
import functools
import hashlib
import zlib

import msgspec

from fulmarbarrow.usage import limits
from fulmarbarrow.usage import messages

# Longer names are written out with each count.
MAX_NAME_CHARACTERS = 64
# 4,096 names of 64 characters of 4 bytes; the counts of 64 routers need less.
MAX_UNPACKED_BYTES = 4096 * (4 * MAX_NAME_CHARACTERS + 1)
COMPRESSION_LEVEL = 6
DIGEST_BYTES = 6
_MAX_SHIFT = 42  # bits of a number
_ROUTERS = msgspec.msgpack.Decoder(list[messages.RouterCounts])

Pairs = tuple[tuple[str, int], ...]


class Names:
    """The sorted names of the accounts of a configuration."""

    def __init__(self, *, names: collections.abc.Iterable[str] = ()) -> None:
        usable = {
            name for name in names if 0 < len(name) <= MAX_NAME_CHARACTERS
        }
        chosen = sorted(name for name in usable if "\n" not in name)
        self.names = tuple(chosen[: limits.MAX_ACCOUNTS])
        joined = "\n".join(self.names).encode()
        digest = hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest()
        self.digest = int.from_bytes(digest)

    @functools.cached_property
    def _positions(self) -> dict[str, int]:
        return {name: number for number, name in enumerate(self.names)}

    def pack(self) -> bytes:
        """Return the compressed names."""
        joined = "\n".join(self.names).encode()
        return zlib.compress(joined, COMPRESSION_LEVEL)

    def encode(self, counts: dict[str, int]) -> tuple[bytes, Pairs]:
        """Return the counts of known names, and the others by name."""
        known = []
        others = []
        for account, number in sorted(counts.items()):
            position = self._positions.get(account)
            if position is None:
                others.append((account, number))
            else:
                known.append((position, number))
        data = bytearray()
        last = -1
        for position, number in known:
            repeated = number > 1
            _write(data, (position - last - 1) << 1 | repeated)
            if repeated:
                _write(data, number)
            last = position
        return bytes(data), tuple(others)

    def decode(self, data: bytes, others: Pairs) -> dict[str, int]:
        """Return the counts; raises ValueError if they make no sense."""
        counts = dict(others)
        position = -1
        start = 0
        while start < len(data):
            value, start = _read(data, start)
            position += (value >> 1) + 1
            number = 1
            if value & 1:
                number, start = _read(data, start)
            if position >= len(self.names):
                raise ValueError("unknown account")
            counts[self.names[position]] = number
        if len(counts) > limits.MAX_ACCOUNTS:
            raise ValueError("too many accounts")
        for number in counts.values():
            if not 0 < number < limits.MAX_COUNT:
                raise ValueError("count out of range")
        return counts


def unpack_names(data: bytes) -> Names:
    """Return packed names; raises ValueError for any other input."""
    plain = decompress(data).decode()
    return Names(names=plain.split("\n") if plain else ())


def compress(data: bytes) -> bytes:
    """Return compressed data."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the data up to a limit; raises ValueError."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("truncated or too large")
    return plain


def pack_routers(routers: list[messages.RouterCounts]) -> bytes:
    """Return the compressed counts of routers."""
    return compress(msgspec.msgpack.encode(routers))


def unpack_routers(data: bytes) -> list[messages.RouterCounts]:
    """Return the counts of routers; raises ValueError."""
    return _ROUTERS.decode(decompress(data))


def _write(data: bytearray, value: int) -> None:
    while value >= 0x80:
        data.append(value & 0x7F | 0x80)
        value >>= 7
    data.append(value)


def _read(data: bytes, start: int) -> tuple[int, int]:
    """Return a number and the position after it."""
    value = 0
    for shift in range(0, _MAX_SHIFT, 7):
        if start >= len(data):
            break
        byte = data[start]
        start += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, start
    raise ValueError("number is truncated or too large")
