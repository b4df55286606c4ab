"""The prompt prefixes that an engine keeps in limited memory."""

from __future__ import annotations

import collections


class PrefixCache:
    """Tokens kept by chat; the least recently used chat goes first."""

    def __init__(self, *, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._tokens: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._used = 0

    @property
    def used_tokens(self) -> int:
        """The tokens in memory."""
        return self._used

    @property
    def chats(self) -> list[str]:
        """The chats in memory, the least recently used first."""
        return list(self._tokens)

    def find(self, chat: str) -> int:
        """Return the tokens kept for a chat, which is now recently used."""
        tokens = self._tokens.get(chat, 0)
        if tokens:
            self._tokens.move_to_end(chat)
        return tokens

    def store(self, chat: str, tokens: int) -> list[str]:
        """Keep a chat's tokens and return the chats evicted for it."""
        self.drop(chat)
        if tokens > self._capacity:
            return [chat]
        self._tokens[chat] = tokens
        self._used += tokens
        evicted = []
        while self._used > self._capacity:
            old, size = self._tokens.popitem(last=False)
            self._used -= size
            evicted.append(old)
        return evicted

    def drop(self, chat: str) -> int:
        """Forget a chat and return the tokens that it had."""
        tokens = self._tokens.pop(chat, 0)
        self._used -= tokens
        return tokens

    def clear(self) -> list[str]:
        """Forget everything, as a restart does, and return the chats."""
        chats = list(self._tokens)
        self._tokens.clear()
        self._used = 0
        return chats
