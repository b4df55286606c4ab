"""Moves of a chat's KV cache between engines."""

from __future__ import annotations

import logging
import typing

import msgspec
import treq
from twisted.internet import defer
from twisted.web import http

from fulmarbarrow.standins import orders
from fulmarbarrow.standins import prefix_cache
from fulmarbarrow.versions import messages

log = logging.getLogger(__name__)

PATH = "/v1/kv"
TIMEOUT_SECONDS = 5


class KvBody(msgspec.Struct, frozen=True, kw_only=True):
    """The KV cache of one chat; its size stands for its contents."""

    chat: str
    tokens: int


class KvMover:
    """Exports chats to peer engines and imports them from there.

    ``stored`` is told each chat that came and the chats evicted for it.
    """

    def __init__(
        self,
        *,
        cache: prefix_cache.PrefixCache,
        stored: typing.Callable[[str, list[str]], None],
    ) -> None:
        self._cache = cache
        self._stored = stored

    def move(self, order: orders.OrderBody) -> None:
        """Start the move that an order asks for."""
        moving = (
            self._export
            if order.kind is messages.OrderKind.EXPORT_KV
            else self._import
        )
        moved = defer.ensureDeferred(moving(order.subject, order.argument))
        moved.addErrback(
            lambda failure: log.warning("KV not moved: %s", failure.value)
        )

    def take(self, request: http.Request) -> bytes:
        """Answer ``POST``: a peer exports a chat to this engine."""
        body = msgspec.json.decode(request.content.read(), type=KvBody)
        self._keep(body)
        return b"{}"

    def give(self, request: http.Request) -> bytes:
        """Answer ``GET``: a peer imports the chat in parameter ``chat``."""
        chat = request.args.get(b"chat", [b""])[0].decode()
        tokens = self._cache.find(chat)
        return msgspec.json.encode(KvBody(chat=chat, tokens=tokens))

    async def _export(self, chat: str, peer: str) -> None:
        body = KvBody(chat=chat, tokens=self._cache.find(chat))
        response = await treq.post(
            peer + PATH,
            data=msgspec.json.encode(body),
            timeout=TIMEOUT_SECONDS,
        )
        await response.content()

    async def _import(self, chat: str, peer: str) -> None:
        response = await treq.get(
            peer + PATH, params={"chat": chat}, timeout=TIMEOUT_SECONDS
        )
        content = await response.content()
        self._keep(msgspec.json.decode(content, type=KvBody))

    def _keep(self, body: KvBody) -> None:
        if body.tokens:
            self._stored(body.chat, self._cache.store(body.chat, body.tokens))
