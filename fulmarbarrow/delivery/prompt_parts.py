"""Keys of the shared parts of prompts."""

from __future__ import annotations

import hashlib

from fulmarbarrow.delivery import crash_evidence
from fulmarbarrow.delivery import messages

MAX_PROMPT_PARTS = 64  # of one request that are told apart


def part_keys(arrival: messages.RequestArrived) -> tuple[int, ...]:
    """Return keys of a request's prompt parts but the last, its own.

    The key of a part is a hash with the pool, as a part may crash one model
    and not another. Hashes bound what callers' names take of memory.
    """
    pool = f"{arrival.service}\0{arrival.model}\0"
    return tuple(
        int.from_bytes(
            hashlib.blake2b(
                f"{pool}{name}".encode(), digest_size=crash_evidence.KEY_BYTES
            ).digest()
        )
        for name, _ in arrival.parts[:-1][:MAX_PROMPT_PARTS]
    )
