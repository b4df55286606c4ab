"""In-process message bus that connects the cores of a daemon."""

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
    """One message posted to an idle bus, with everything that it caused.

    ``nested`` lists the messages that were posted, not returned as effects,
    during the turn. Each comes with the number of messages that had been
    queued before it, so that a replay inserts it at the same position.
    ``queued`` counts all messages of the turn, effects included.
    """

    at: datetime.datetime
    message: messages.Message
    nested: list[tuple[int, messages.Message]] = dataclasses.field(
        default_factory=list
    )
    queued: int = 0


Recorder = collections.abc.Callable[[Turn], None]


class Core(typing.Protocol):
    """A component without I/O that maps messages to effects."""

    handles: tuple[type[messages.Message], ...]

    def handle(
        self, event: messages.Message, now: datetime.datetime
    ) -> collections.abc.Iterable[messages.Message]:
        """Process one message and return its effects."""

    def dump(self) -> dict[str, typing.Any]:
        """Return the full state as plain data, for operators."""


class Bus:
    """Queues messages and delivers each to every subscriber of its type.

    A message posted while another one is being handled is queued, so that
    handlers are never re-entered. An exception in a handler or a watcher of
    errors is logged and counted; the other handlers and the process continue:
    a timer that posts would never fire again after an exception. With
    ``strict``, which tests use, a handler's exception is raised instead.
    """

    def __init__(self, *, clock: clocks.Clock, strict: bool = False) -> None:
        self._clock = clock
        self._strict = strict
        self._handlers: dict[type, list[Handler]] = {}
        self._queue: collections.deque[messages.Message] = collections.deque()
        self._now = clock.now()
        self._queued_count = 0
        self._turn: Turn | None = None
        self._pending_nested: collections.deque[
            tuple[int, messages.Message]
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
        """Call ``recorder`` with each completed turn; None stops recording."""
        self._recorder = recorder

    def watch_errors(self, watcher: ErrorWatcher) -> None:
        """Call ``watcher`` with each message for which a handler failed."""
        self._error_watchers.append(watcher)

    def detach(self, core: Core) -> None:
        """Unsubscribe a core from every message type that it handles."""
        for message_type in core.handles:
            self._handlers[message_type].remove(core.handle)

    def watch(self, watcher: Watcher | None) -> None:
        """Call ``watcher`` with each message, effects included; None stops."""
        self._watcher = watcher

    def post(self, message: messages.Message) -> None:
        """Deliver a message and all messages that result from it.

        The clock is read once per turn, so that replaying the turns at their
        recorded times reproduces every decision.
        """
        if self._draining:
            if self._turn is not None:
                self._turn.nested.append((self._queued_count, message))
            self._enqueue(message)
            return
        self._now = self._clock.now()
        if self._recorder is not None:
            self._turn = Turn(at=self._now, message=message)
        self._drain(message)
        if self._turn is not None:
            turn, self._turn = self._turn, None
            turn.queued = self._queued_count
            if self._recorder is not None:
                self._recorder(turn)

    def replay(self, turn: Turn) -> int:
        """Deliver a recorded turn; return the number of queued messages.

        The caller sets the clock to the time of the turn first.
        """
        self._now = turn.at
        self._pending_nested.extend(turn.nested)
        self._drain(turn.message)
        return self._queued_count

    def _drain(self, message: messages.Message) -> None:
        self._draining = True
        self._queued_count = 0
        self._enqueue(message)
        try:
            while self._queue or self._pending_nested:
                if not self._queue:
                    self._enqueue(self._pending_nested.popleft()[1])
                self._deliver(self._queue.popleft())
        finally:
            self._draining = False

    def _enqueue(self, message: messages.Message) -> None:
        self._queue.append(message)
        self._queued_count += 1

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
                    while self._pending_nested and (
                        self._pending_nested[0][0] <= self._queued_count
                    ):
                        self._enqueue(self._pending_nested.popleft()[1])
                    self._enqueue(effect)
            except Exception:
                if self._strict:
                    raise
                self._handle_failure(message)

    def _handle_failure(self, message: messages.Message) -> None:
        self.errors[messages.tag(message)] += 1
        log.exception("handler for %s failed", messages.tag(message))
        for watcher in self._error_watchers:
            try:
                watcher(message)
            except Exception:
                self.errors[messages.tag(message)] += 1
                log.exception("error watcher failed")
