"""Weighted rendezvous hashing over a fixed set of members."""

from __future__ import annotations

import collections.abc
import math

import xxhash

LIKELY_COUNT = 6  # members that a walk usually looks at
_HASH_UNIT = 2.0**-64


class Ring:
    """Members with their weights, prepared for many keys.

    A member wins a key with a chance proportional to its weight; a change
    of one member's weight moves keys only from or to that member.
    """

    def __init__(
        self, *, weights: collections.abc.Mapping[str, float]
    ) -> None:
        chosen = sorted(item for item in weights.items() if item[1] > 0)
        self._members = [member for member, _ in chosen]
        self._weights = [weight for _, weight in chosen]
        seeds = [
            xxhash.xxh3_64_intdigest(member.encode())
            for member in self._members
        ]
        self._rows = list(
            zip(
                seeds,
                self._floors(),
                self._weights,
                self._members,
                strict=True,
            )
        )

    def __len__(self) -> int:
        """Return the number of members with a weight above 0."""
        return len(self._members)

    @property
    def members(self) -> list[str]:
        """The members with a weight above 0, by name."""
        return self._members

    def order(self, key: str) -> list[str]:
        """Return all members, the best for ``key`` first."""
        data = key.encode()
        digest = xxhash.xxh3_64_intdigest
        scores = [
            (math.log((digest(data, seed) + 1) * _HASH_UNIT) / weight, member)
            for seed, _, weight, member in self._rows
        ]
        scores.sort(reverse=True)
        return [member for _, member in scores]

    def best(self, key: str, count: int) -> list[str]:
        """Return the ``count`` best members for ``key``, best first.

        Only digests above a floor are ranked; the floors are such that a
        few times ``LIKELY_COUNT`` members pass.
        """
        data = key.encode()
        digest = xxhash.xxh3_64_intdigest
        passed = [
            (math.log((value + 1) * _HASH_UNIT) / weight, member)
            for seed, floor, weight, member in self._rows
            if (value := digest(data, seed)) >= floor
        ]
        if len(passed) < min(count, len(self._rows)):
            return self.order(key)[:count]
        passed.sort(reverse=True)
        return [member for _, member in passed[:count]]

    def _floors(self) -> list[int]:
        """Return for each member the digest below which it is not ranked.

        A floor stands for one score for all members, so no member below
        its floor can be better than one above.
        """
        wanted = 3 * LIKELY_COUNT
        if len(self._members) <= wanted:
            return [0] * len(self._members)
        score = wanted / sum(self._weights)
        return [
            int(math.exp(-score * weight) * (1 << 64))
            for weight in self._weights
        ]


def order(key: str, weights: collections.abc.Mapping[str, float]) -> list[str]:
    """Return the members with a weight above 0, best for ``key`` first."""
    return Ring(weights=weights).order(key)


def uniform(*parts: str) -> float:
    """Return a number in [0, 1) that the parts always give."""
    data = "\0".join(parts).encode()
    return xxhash.xxh3_64_intdigest(data) * _HASH_UNIT
