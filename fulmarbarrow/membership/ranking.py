"""Rendezvous hashing of upstreams onto daemons."""

from __future__ import annotations

import collections.abc

import xxhash


def score(key: str, member: str) -> int:
    """Return the rendezvous score of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def best(key: str, members: collections.abc.Iterable[str]) -> str:
    """Return the member with the highest score, "" if there are none."""
    return max(members, key=lambda member: score(key, member), default="")


def digest(parts: collections.abc.Iterable[object]) -> int:
    """Return a 64-bit digest of the parts; their order matters."""
    return xxhash.xxh3_64_intdigest("\0".join(map(str, parts)).encode())
