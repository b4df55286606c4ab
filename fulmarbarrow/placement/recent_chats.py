"""Tracks which chats an upstream probably has in its cache."""

from __future__ import annotations

import collections

import xxhash

MAX_CHATS = 2048  # maximum size of each table of an upstream
INITIAL_LIMIT = 512  # chats
MIN_LIMIT = 16  # chats
LIMIT_STEP = 0.01  # relative change of the limit for one wrong prediction


def chat_hash(chat: str) -> int:
    """Return the hash that identifies a chat on the wire; never 0."""
    return xxhash.xxh32_intdigest(chat.encode()) or 1


class RecentChats:
    """Least recently used list of an upstream's chats, and of moved chats.

    The length of the list follows the size of the cache: a cache miss of a
    listed chat shortens the list, a cache hit of a chat that is not listed
    lengthens it. Both tables are bounded.
    """

    def __init__(self) -> None:
        self._limit = float(INITIAL_LIMIT)
        self._chats: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._moved_to: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of chats that are probably in the cache."""
        return min(len(self._chats), int(self._limit))

    def __contains__(self, chat: int) -> bool:
        """Return whether a chat is probably in the cache."""
        return chat in self._chats

    def touch(self, chat: int) -> bool:
        """Mark a chat as most recently used; return whether it was listed."""
        listed = chat in self._chats
        self._chats[chat] = None
        self._chats.move_to_end(chat)
        self._evict()
        return listed

    def adjust_limit(self, chat: int, expected: bool, hit: bool) -> None:
        """Adjust the length of the list to an observed hit or miss."""
        if expected and not hit:
            self._limit = max(MIN_LIMIT, self._limit * (1 - LIMIT_STEP))
        elif hit and not expected:
            self._limit = min(MAX_CHATS, self._limit * (1 + LIMIT_STEP))
        self._evict()

    def remove(self, chat: int) -> None:
        """Remove a chat that was evicted from the cache."""
        self._chats.pop(chat, None)

    def clear(self) -> None:
        """Remove all chats after the cache was lost."""
        self._chats.clear()

    def moved_to(self, chat: int) -> str:
        """Return the upstream that a chat was moved to, "" if none."""
        return self._moved_to.get(chat, "")

    def record_move(self, chat: int, upstream_id: str) -> None:
        """Record the upstream that a chat of this home was moved to."""
        self._moved_to[chat] = upstream_id
        self._moved_to.move_to_end(chat)
        if len(self._moved_to) > MAX_CHATS:
            self._moved_to.popitem(last=False)

    def forget_move(self, chat: int) -> None:
        """Drop the record of a move; the chat is at its home again."""
        self._moved_to.pop(chat, None)

    def _evict(self) -> None:
        while len(self._chats) > self._limit:
            self._chats.popitem(last=False)
