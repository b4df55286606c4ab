"""Header fields of the platform, and which of them go through."""

from __future__ import annotations

import collections.abc

REQUEST_ID = "X-Request-Id"
API_KEY = "X-Api-Key"
DEADLINE = "X-Request-Deadline"  # milliseconds from now, not a moment
MODEL = "X-Model"
TOKEN_COUNT = "X-Token-Count"  # of the prompt, and the most of the answer
PROMPT_PREFIX = "X-Prompt-Prefix"  # all parts of the prompt, not a prefix
LENGTH_HINT = "X-Length-Hint"
LAST_EVENT = "Last-Event-Id"
MAX_EVENT_ID = (
    2**63 - 2
)  # the place after it still fits a signed 64-bit number
TENANT = "X-Tenant"
EXPECTED_INSTANCE = "X-Expected-Instance"
PRIORITY = "X-Request-Priority"
FETCH = "Kv-Fetch"  # IP:PORT of the worker to copy the prompt's memory from
LEASE_HOLDER = "X-Lease-Holder"  # of a duty at the platform
FENCING_NUMBER = "X-Fencing-Token"
SIGNATURE = "X-Response-Signature"
NOT_EXECUTED = "X-Not-Executed"
CONTENT_ENCODING = "Content-Encoding"
RETRY_AFTER = "Retry-After"
RATE_LIMIT = "Server-Limit"  # requests a second, from all routers together
LEAVING = "Server-Leaving"  # "1" if the worker leaves
BRITTLE = "Server-Brittle"  # refusals a second that the worker bears
# Requests running and waiting, slots, and the pace in percent if the upstream
# shares its machine with others.
SERVER_LOAD = "X-Server-Load"

_ONE_CONNECTION = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Only this system may tell them to an upstream.
_OWN = frozenset(
    name.lower().encode()
    for name in (
        API_KEY,
        DEADLINE,
        TENANT,
        EXPECTED_INSTANCE,
        "X-Expected-Version",
        PRIORITY,
        LAST_EVENT,
        "X-Hold",
        "X-Pin-Duration",
        "X-Kv-Backup",
        "Kv-From",
        FETCH,
    )
)
# Set by the server that writes the answer.
_WRITTEN = frozenset((b"content-type", b"date", b"server"))

Pairs = collections.abc.Iterable[tuple[bytes, bytes]]


def for_upstream(fields: Pairs) -> tuple[tuple[bytes, bytes], ...]:
    """Return the fields of a caller's request that an upstream gets."""
    return tuple(_end_to_end(fields, _OWN))


def for_caller(fields: Pairs) -> tuple[tuple[str, str], ...]:
    """Return the fields of an upstream's answer that its caller gets."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in _end_to_end(fields, _WRITTEN)
    )


def _end_to_end(
    fields: Pairs, without: frozenset[bytes]
) -> collections.abc.Iterator[tuple[bytes, bytes]]:
    kept = list(fields)
    named = {
        token.strip().lower()
        for name, value in kept
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    for name, value in kept:
        lower = name.lower()
        if lower not in _ONE_CONNECTION and lower not in without | named:
            yield name, value
