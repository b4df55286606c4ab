"""Tracks recently active chats and the upstreams with their KV cache."""

from __future__ import annotations

import collections
import dataclasses

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.zones import messages

MAX_CHATS = 2_000
MAX_ATTEMPTS = 4_000
MAX_MOVES = 16


@dataclasses.dataclass(kw_only=True, slots=True)
class Chat:
    """A chat's current upstream, its size and its number of requests.

    ``home_upstream_id`` is the upstream that the chat used when its zone
    was taken out; empty if there is none.
    """

    upstream_id: str
    version: str
    tokens: int = 0
    requests: int = 0
    home_upstream_id: str = ""


class RecentChats:
    """An LRU table of the last ``MAX_CHATS`` active chats."""

    def __init__(self) -> None:
        self._chats: collections.OrderedDict[str, Chat] = (
            collections.OrderedDict()
        )
        self._chat_of_attempt: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of chats in the table."""
        return len(self._chats)

    def record_request(self, attempt_id: str, chat: str) -> None:
        """Remember the chat of an attempt that waits for placement."""
        if not chat:
            return
        self._chat_of_attempt[attempt_id] = chat
        if len(self._chat_of_attempt) > MAX_ATTEMPTS:
            self._chat_of_attempt.popitem(last=False)

    def record_placement(
        self, attempt_id: str, upstream_id: str, version: str
    ) -> None:
        """Record the upstream on which a chat's attempt is placed."""
        chat_id = self._chat_of_attempt.get(attempt_id)
        if chat_id is None:
            return
        chat = self._chats.get(chat_id)
        if chat is None:
            chat = Chat(upstream_id=upstream_id, version=version)
            self._chats[chat_id] = chat
        chat.upstream_id = upstream_id
        chat.version = version
        chat.requests += 1
        self._chats.move_to_end(chat_id)
        if len(self._chats) > MAX_CHATS:
            self._chats.popitem(last=False)

    def record_end(self, attempt_id: str, tokens: int) -> None:
        """Record a chat's size after an attempt; 0 means unknown."""
        chat_id = self._chat_of_attempt.pop(attempt_id, None)
        chat = self._chats.get(chat_id) if chat_id is not None else None
        if chat is not None and tokens:
            chat.tokens = tokens

    def record_homes(self, upstream_ids: frozenset[str]) -> None:
        """Set the home of the chats on the upstreams of a zone taken out."""
        for chat in self._chats.values():
            if chat.upstream_id in upstream_ids:
                chat.home_upstream_id = chat.upstream_id

    def pop_return_moves(
        self, upstreams: dict[str, membership_messages.Upstream], zone: str
    ) -> tuple[messages.KvMove, ...]:
        """Return the moves of the busiest chats back to ``zone``.

        Clears the home of every chat whose home is in that zone.
        """
        moves = []
        for chat_id, chat in self._chats.items():
            home = upstreams.get(chat.home_upstream_id)
            if home is None or home.zone != zone:
                continue
            chat.home_upstream_id = ""
            source = upstreams.get(chat.upstream_id)
            if source is not None and source is not home:
                moves.append(_return_move(chat_id, chat, source, home))
        moves.sort(key=lambda move: move.requests, reverse=True)
        return tuple(moves[:MAX_MOVES])


def _return_move(
    chat_id: str,
    chat: Chat,
    source: membership_messages.Upstream,
    home: membership_messages.Upstream,
) -> messages.KvMove:
    return messages.KvMove(
        chat=chat_id,
        version=chat.version,
        source_id=source.upstream_id,
        source_url=source.url,
        target_id=home.upstream_id,
        target_url=home.url,
        tokens=chat.tokens,
        requests=chat.requests,
    )
