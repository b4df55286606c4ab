"""Weighted rendezvous hashing."""

from __future__ import annotations

import collections.abc
import math

import xxhash

_HASH_RANGE = float(1 << 64)


def score(key: str, member: str, weight: float) -> float:
    """Return the member's score for a key; the highest score wins.

    The chance to win is proportional to ``weight``; a change of one
    member's weight only moves keys from or to that member.
    """
    value = xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())
    uniform = (value + 0.5) / _HASH_RANGE
    return -weight / math.log(uniform)


def order(key: str, weights: collections.abc.Mapping[str, float]) -> list[str]:
    """Return the members with a weight above 0, best first."""
    scored = [
        (score(key, member, weight), member)
        for member, weight in weights.items()
        if weight > 0
    ]
    scored.sort(reverse=True)
    return [member for _, member in scored]
