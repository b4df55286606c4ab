"""The JSON form of every error that a caller gets."""

from __future__ import annotations

import msgspec

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import refusals

CONTENT_TYPE = "application/json"


def body(
    code: str, *, detail: str = "", ran: messages.Ran | None = None
) -> bytes:
    """Return the error of a refusal code as JSON.

    ``ran`` is the table's value for the code unless given.
    """
    refusal = refusals.REFUSALS[code]
    text = f"{refusal.message}: {detail}" if detail else refusal.message
    error = {
        "code": code,
        "message": text,
        "ran": (ran or refusal.ran).value,
    }
    return msgspec.json.encode({"error": error})


def status(code: str) -> int:
    """Return the HTTP status of a refusal code."""
    return refusals.REFUSALS[code].status
