"""A stand-in model engine that streams made-up words."""

from __future__ import annotations

import typing

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.web import http

from fulmarbarrow.edge import headers
from fulmarbarrow.edge import requests
from fulmarbarrow.edge import upstreams
from fulmarbarrow.standins import options as options_module


class Engine:
    """Answers chat completions, one word an interval."""

    def __init__(
        self,
        *,
        options: options_module.StandinOptions,
        reactor: typing.Any,
    ) -> None:
        self._options = options
        self._reactor = reactor
        self._running = 0
        self.app = klein.Klein()
        self.app.route(requests.CHAT_PATH, methods=["POST"])(self._chat)

    def load(self) -> upstreams.LoadBody:
        """Return the work that runs now."""
        return upstreams.LoadBody(running_requests=self._running)

    def _chat(self, request: http.Request) -> defer.Deferred[bytes]:
        body = msgspec.json.decode(
            request.content.read(), type=requests.ChatRequest
        )
        gone: list[object] = []
        request.notifyFinish().addErrback(gone.append)
        attempt = requests.header(request, headers.ATTEMPT)
        request.setHeader(headers.ATTEMPT, attempt)
        count = body.max_tokens or requests.DEFAULT_ANSWER_TOKENS
        if body.stream:
            return defer.ensureDeferred(
                self._stream(request, attempt, count, gone)
            )
        return defer.ensureDeferred(self._whole(request, attempt, count))

    async def _stream(
        self,
        request: http.Request,
        attempt: str,
        count: int,
        gone: list[object],
    ) -> bytes:
        request.setHeader("Content-Type", "text/event-stream")
        offset = int(requests.header(request, headers.RESUME_OFFSET) or 0)
        request.setHeader(headers.RESUME_OFFSET, str(offset))
        interval = self._options.token_interval_ms / 1000
        self._running += 1
        try:
            for number in range(offset, count):
                await task.deferLater(self._reactor, interval)
                if gone:
                    return b""
                request.write(_event(attempt, number))
        finally:
            self._running -= 1
        request.write(b"data: [DONE]\n\n")
        return b""

    async def _whole(
        self, request: http.Request, attempt: str, count: int
    ) -> bytes:
        interval = self._options.token_interval_ms / 1000
        await task.deferLater(self._reactor, interval * count)
        request.setHeader("Content-Type", "application/json")
        text = "".join(word(number) for number in range(count))
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
        }
        return msgspec.json.encode(
            {
                "id": attempt,
                "object": "chat.completion",
                "choices": [choice],
                "usage": {"completion_tokens": count},
            }
        )


def word(number: int) -> str:
    """Return the answer's word at an index; the same on every engine."""
    return f"w{number} "


def _event(attempt: str, number: int) -> bytes:
    choice = {"index": 0, "delta": {"content": word(number)}}
    chunk = {
        "id": attempt,
        "object": "chat.completion.chunk",
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
