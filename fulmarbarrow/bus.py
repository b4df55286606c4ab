"""Delivers messages to the cores that subscribe to them."""

from __future__ import annotations

import collections
import collections.abc
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
Recorder = collections.abc.Callable[
    [messages.Message, datetime.datetime], None
]
ErrorWatcher = collections.abc.Callable[[messages.Message], None]


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
        self._queue: collections.deque[
            tuple[messages.Message, datetime.datetime]
        ] = collections.deque()
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
        """Give every posted message to ``recorder``; None stops it."""
        self._recorder = recorder

    def watch_errors(self, watcher: ErrorWatcher) -> None:
        """Call ``watcher`` with each message whose handling failed."""
        self._error_watchers.append(watcher)

    def watch(self, watcher: Watcher | None) -> None:
        """Give every delivered message, effects too, to ``watcher``."""
        self._watcher = watcher

    def post(self, message: messages.Message) -> None:
        """Deliver a message and everything that follows from it.

        The clock is read once, so that a replay of the posted messages at
        their recorded times takes every decision again.
        """
        now = self._clock.now()
        if self._recorder is not None:
            self._recorder(message, now)
        self._queue.append((message, now))
        if self._draining:
            return
        self._draining = True
        try:
            while self._queue:
                self._deliver(*self._queue.popleft())
        finally:
            self._draining = False

    def _deliver(
        self, message: messages.Message, now: datetime.datetime
    ) -> None:
        if self._watcher is not None:
            self._watcher(message)
        handlers = self._handlers.get(type(message))
        if not handlers:
            self.unhandled[type(message).__name__] += 1
            return
        for handler in handlers:
            try:
                effects = handler(message, now)
            except Exception:
                if self._strict:
                    raise
                self.errors[type(message).__name__] += 1
                log.exception("no handling of %s", type(message).__name__)
                for watcher in self._error_watchers:
                    watcher(message)
                continue
            self._queue.extend((effect, now) for effect in effects or ())
