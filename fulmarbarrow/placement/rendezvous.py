"""Weighted rendezvous hashing over a fixed set of members."""

from __future__ import annotations

import collections.abc
import math

import xxhash

# Number of candidates that the search for an upstream usually needs.
TYPICAL_CANDIDATES = 6
_HASH_SCALE = 2.0**-64


class Ring:
    """Weighted members, prepared for ranking by many keys.

    The probability that a member ranks first for a key is proportional to
    its weight. Changing the weight of one member moves keys only from or to
    that member.
    """

    def __init__(
        self, *, weights: collections.abc.Mapping[str, float]
    ) -> None:
        weighted = sorted(item for item in weights.items() if item[1] > 0)
        self._members = [member for member, _ in weighted]
        self._weights = [weight for _, weight in weighted]
        seeds = [
            xxhash.xxh3_64_intdigest(member.encode())
            for member in self._members
        ]
        self._rows = list(
            zip(
                seeds,
                self._thresholds(),
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
        """The members with a weight above 0, sorted by name."""
        return self._members

    def order(self, key: str) -> list[str]:
        """Return all members, best for ``key`` first."""
        data = key.encode()
        digest = xxhash.xxh3_64_intdigest
        scores = [
            (math.log((digest(data, seed) + 1) * _HASH_SCALE) / weight, member)
            for seed, _, weight, member in self._rows
        ]
        scores.sort(reverse=True)
        return [member for _, member in scores]

    def best(self, key: str, count: int) -> list[str]:
        """Return the ``count`` best members for ``key``, best first.

        Only members whose digest reaches their threshold are ranked. The
        thresholds let a few times ``TYPICAL_CANDIDATES`` members pass; if too
        few pass, all members are ranked.
        """
        data = key.encode()
        digest = xxhash.xxh3_64_intdigest
        passed = [
            (math.log((key_digest + 1) * _HASH_SCALE) / weight, member)
            for seed, threshold, weight, member in self._rows
            if (key_digest := digest(data, seed)) >= threshold
        ]
        if len(passed) < min(count, len(self._rows)):
            return self.order(key)[:count]
        passed.sort(reverse=True)
        return [member for _, member in passed[:count]]

    def _thresholds(self) -> list[int]:
        """Return for each member the digest below which it is not ranked.

        All thresholds correspond to one score. A member below its threshold
        therefore ranks behind every member that reaches its own.
        """
        expected = 3 * TYPICAL_CANDIDATES
        if len(self._members) <= expected:
            return [0] * len(self._members)
        score = expected / sum(self._weights)
        return [
            int(math.exp(-score * weight) * (1 << 64))
            for weight in self._weights
        ]


def order(key: str, weights: collections.abc.Mapping[str, float]) -> list[str]:
    """Return the members with a weight above 0, best for ``key`` first."""
    return Ring(weights=weights).order(key)


def uniform(*parts: str) -> float:
    """Return a number in [0, 1) that depends only on the parts."""
    data = "\0".join(parts).encode()
    return xxhash.xxh3_64_intdigest(data) * _HASH_SCALE
