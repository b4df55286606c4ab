"""The form of an engine's answers."""

from __future__ import annotations

import msgspec

END = b"data: [DONE]\n\n"


def word(number: int) -> str:
    """Return the answer's word at an index; the same on every engine."""
    return f"w{number} "


def event(
    attempt: str, number: int, used: dict[str, object] | None = None
) -> bytes:
    """Return the server-sent event of one word.

    The last one says what was ``used``.
    """
    choice = {"index": 0, "delta": {"content": word(number)}}
    chunk: dict[str, object] = {
        "id": attempt,
        "object": "chat.completion.chunk",
        "choices": [choice],
    }
    if used is not None:
        chunk["usage"] = used
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def usage(
    *, prompt_tokens: int, answer_tokens: int, cached_tokens: int
) -> dict[str, object]:
    """Return the tokens of a request, of which some were in cache."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": answer_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


def completion(
    attempt: str, count: int, used: dict[str, object]
) -> dict[str, object]:
    """Return a whole answer that is not streamed."""
    text = "".join(word(number) for number in range(count))
    message = {"role": "assistant", "content": text}
    return {
        "id": attempt,
        "object": "chat.completion",
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": used,
    }
