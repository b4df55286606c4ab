"""Ranks daemons for an upstream by rendezvous hashing."""

from __future__ import annotations

import collections.abc

import xxhash


def score(key: str, member: str) -> int:
    """Return the member's score for a key; the highest score wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def best(key: str, members: collections.abc.Iterable[str]) -> str:
    """Return the member ranked first for a key, "" if there is none."""
    return max(members, key=lambda member: score(key, member), default="")


def digest(parts: collections.abc.Iterable[object]) -> int:
    """Return a 64-bit digest of the parts in their order."""
    return xxhash.xxh3_64_intdigest("\0".join(map(str, parts)).encode())
