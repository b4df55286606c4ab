"""Delivers messages to the cores that subscribe to them."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import logging
import typing

from fulmarbarrow import clock as clocks
from fulmarbarrow import message as messages

log = logging.getLogger(__name__)

Handler = collections.abc.Callable[
    [typing.Any, datetime.datetime],
    collections.abc.Iterable[messages.Message] | None,
]
Watcher = collections.abc.Callable[[messages.Message], None]
ErrorWatcher = collections.abc.Callable[[messages.Message], None]


@dataclasses.dataclass(kw_only=True)
class Turn:
    """A message posted from outside and all that was posted meanwhile.

    ``nested`` holds each message that was posted while this one was being
    handled, after how many queued messages. ``queued`` is the number of all
    messages of the turn, with their effects.
    """

    at: datetime.datetime
    message: messages.Message
    nested: list[tuple[int, messages.Message]] = dataclasses.field(
        default_factory=list
    )
    queued: int = 0


Recorder = collections.abc.Callable[[Turn], None]


class Core(typing.Protocol):
    """A duty without I/O: typed messages in, typed messages out."""

    handles: tuple[type[messages.Message], ...]

    def handle(
        self, event: messages.Message, now: datetime.datetime
    ) -> collections.abc.Iterable[messages.Message]:
        """Take one event and return its effects."""

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state for operators, as plain data."""


class Bus:
    """Queues messages and hands each to every subscriber of its type.

    A message posted while another is handled waits its turn, so that no
    handler is entered twice. An error in one handler is logged and counted
    and stops neither the others nor the process; ``strict`` raises it, for
    tests.
    """

    def __init__(self, *, clock: clocks.Clock, strict: bool = False) -> None:
        self._clock = clock
        self._strict = strict
        self._handlers: dict[type, list[Handler]] = {}
        self._queue: collections.deque[messages.Message] = collections.deque()
        self._now = clock.now()
        self._queued = 0
        self._turn: Turn | None = None
        self._replayed: collections.deque[tuple[int, messages.Message]] = (
            collections.deque()
        )
        self._draining = False
        self._recorder: Recorder | None = None
        self._watcher: Watcher | None = None
        self._error_watchers: list[ErrorWatcher] = []
        self.unhandled: collections.Counter[str] = collections.Counter()
        self.errors: collections.Counter[str] = collections.Counter()

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call ``handler`` with each message of exactly this type."""
        self._handlers.setdefault(message_type, []).append(handler)

    def attach(self, core: Core) -> None:
        """Subscribe a core to every message type that it handles."""
        for message_type in core.handles:
            self.subscribe(message_type, core.handle)

    def record(self, recorder: Recorder | None) -> None:
        """Give every turn to ``recorder`` when it has ended; None stops it."""
        self._recorder = recorder

    def watch_errors(self, watcher: ErrorWatcher) -> None:
        """Call ``watcher`` with each message whose handling failed."""
        self._error_watchers.append(watcher)

    def detach(self, core: Core) -> None:
        """Take back an ``attach``."""
        for message_type in core.handles:
            self._handlers[message_type].remove(core.handle)

    def watch(self, watcher: Watcher | None) -> None:
        """Give every delivered message, effects too, to ``watcher``."""
        self._watcher = watcher

    def post(self, message: messages.Message) -> None:
        """Deliver a message and everything that follows from it.

        The clock is read once a turn, so that a replay of the turns at their
        recorded times takes every decision again.
        """
        if self._draining:
            if self._turn is not None:
                self._turn.nested.append((self._queued, message))
            self._enqueue(message)
            return
        self._now = self._clock.now()
        if self._recorder is not None:
            self._turn = Turn(at=self._now, message=message)
        self._drain(message)
        if self._turn is not None:
            turn, self._turn = self._turn, None
            turn.queued = self._queued
            if self._recorder is not None:
                self._recorder(turn)

    def replay(self, turn: Turn) -> int:
        """Deliver a recorded turn; return the number of queued messages.

        The clock shows the turn's time already.
        """
        self._now = turn.at
        self._replayed.extend(turn.nested)
        self._drain(turn.message)
        return self._queued

    def _drain(self, message: messages.Message) -> None:
        self._draining = True
        self._queued = 0
        self._enqueue(message)
        try:
            while self._queue or self._replayed:
                if not self._queue:
                    self._enqueue(self._replayed.popleft()[1])
                self._deliver(self._queue.popleft())
        finally:
            self._draining = False

    def _enqueue(self, message: messages.Message) -> None:
        self._queue.append(message)
        self._queued += 1

    def _deliver(self, message: messages.Message) -> None:
        if self._watcher is not None:
            self._watcher(message)
        handlers = self._handlers.get(type(message))
        if not handlers:
            self.unhandled[messages.tag(message)] += 1
            return
        for handler in handlers:
            try:
                effects = handler(message, self._now)
                for effect in effects or ():
                    while self._replayed and (
                        self._replayed[0][0] <= self._queued
                    ):
                        self._enqueue(self._replayed.popleft()[1])
                    self._enqueue(effect)
            except Exception:
                if self._strict:
                    raise
                self._failed(message)

    def _failed(self, message: messages.Message) -> None:
        self.errors[messages.tag(message)] += 1
        log.exception("no handling of %s", messages.tag(message))
        for watcher in self._error_watchers:
            watcher(message)
