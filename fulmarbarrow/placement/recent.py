"""Which chats an upstream probably has in its cache."""

from __future__ import annotations

import collections

import xxhash

MAX_CHATS = 2048  # of one upstream
FIRST_LIMIT = 512  # chats
LEAST_LIMIT = 16  # chats
STEP = 0.01  # of the limit, for one wrong guess


def chat_hash(chat: str) -> int:
    """Return the short name of a chat on the wire; never 0."""
    return xxhash.xxh32_intdigest(chat.encode()) or 1


class RecentChats:
    """The chats placed last at an upstream, and where others went.

    How many of them the cache holds is learned: a chat that was missed
    though it is listed shortens the list, one that was found though it is
    not listed lengthens it. Both tables are bounded.
    """

    def __init__(self) -> None:
        self._limit = float(FIRST_LIMIT)
        self._chats: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._moved: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of chats that are probably in the cache."""
        return min(len(self._chats), int(self._limit))

    def __contains__(self, chat: int) -> bool:
        """Return whether a chat is probably in the cache."""
        return chat in self._chats

    def used(self, chat: int) -> bool:
        """List a chat as the last one; return whether it was listed."""
        known = chat in self._chats
        self._chats[chat] = None
        self._chats.move_to_end(chat)
        self._shorten()
        return known

    def found(self, chat: int, expected: bool, hit: bool) -> None:
        """Learn from an answer whether the list has the right length."""
        if expected and not hit:
            self._limit = max(LEAST_LIMIT, self._limit * (1 - STEP))
        elif hit and not expected:
            self._limit = min(MAX_CHATS, self._limit * (1 + STEP))
        self._shorten()

    def evicted(self, chat: int) -> None:
        """Drop a chat that left the cache."""
        self._chats.pop(chat, None)

    def clear(self) -> None:
        """Drop all chats; the cache was lost."""
        self._chats.clear()

    def moved_to(self, chat: int) -> str:
        """Return the upstream that a chat of this home was moved to."""
        return self._moved.get(chat, "")

    def move(self, chat: int, upstream_id: str) -> None:
        """Remember where a chat of this home went."""
        self._moved[chat] = upstream_id
        self._moved.move_to_end(chat)
        if len(self._moved) > MAX_CHATS:
            self._moved.popitem(last=False)

    def returned(self, chat: int) -> None:
        """Forget where a chat went; it is at its home again."""
        self._moved.pop(chat, None)

    def _shorten(self) -> None:
        while len(self._chats) > self._limit:
            self._chats.popitem(last=False)
