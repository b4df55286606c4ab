"""What happened in a replay, seen from the requests."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import functools

from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow import message as messages
from fulmarbarrow.publishing import messages as publishing_messages


class Ending(enum.StrEnum):
    """How a request ended."""

    OPEN = "open"
    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    GONE = "gone"


@dataclasses.dataclass(kw_only=True)
class AttemptSeen:
    """One attempt at an upstream; ``not_run`` once that is proven."""

    attempt_id: str
    upstream: str
    lookup: bool
    sent: bool = False
    not_run: bool = False


@dataclasses.dataclass(kw_only=True)
class RequestSeen:
    """One request, its attempts and how it ended."""

    arrived: delivery_messages.RequestArrived
    ending: Ending = Ending.OPEN
    endings: int = 0
    status: int = 0
    code: str = ""
    ran: str = ""
    replayed: bool = False
    answer_bytes: int = 0
    attempts: list[AttemptSeen] = dataclasses.field(default_factory=list)


class Observer:
    """Follows every message that is delivered on a bus."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.requests: dict[str, RequestSeen] = {}
        self.revisions: list[int] = []
        self._attempts: dict[str, AttemptSeen] = {}

    def see(self, event: messages.Message, now: datetime.datetime) -> None:
        """Take a delivered message."""
        self.counts[messages.tag(event)] += 1
        self._follow(event)

    @functools.singledispatchmethod
    def _follow(self, event: messages.Message) -> None:
        """Pass over messages that say nothing about requests."""

    @_follow.register(delivery_messages.RequestArrived)
    def _arrived(self, event: delivery_messages.RequestArrived) -> None:
        self.requests[event.request_id] = RequestSeen(arrived=event)

    @_follow.register(delivery_messages.StartAttempt)
    def _started(self, event: delivery_messages.StartAttempt) -> None:
        attempt = AttemptSeen(
            attempt_id=event.attempt_id,
            upstream=event.upstream_id,
            lookup=event.lookup,
        )
        self._attempts[event.attempt_id] = attempt
        request = self.requests.get(event.request_id)
        if request is not None:
            request.attempts.append(attempt)

    @_follow.register(delivery_messages.AttemptSent)
    def _sent(self, event: delivery_messages.AttemptSent) -> None:
        attempt = self._attempts.get(event.attempt_id)
        if attempt is not None:
            attempt.sent = True

    @_follow.register(delivery_messages.AttemptHeaders)
    def _headers(self, event: delivery_messages.AttemptHeaders) -> None:
        attempt = self._attempts.get(event.attempt_id)
        if attempt is not None and event.not_run:
            attempt.not_run = True

    @_follow.register(delivery_messages.AttemptFailed)
    def _failed(self, event: delivery_messages.AttemptFailed) -> None:
        attempt = self._attempts.get(event.attempt_id)
        if attempt is not None and not event.sent:
            attempt.not_run = True

    @_follow.register(delivery_messages.ResponseStarted)
    def _answered(self, event: delivery_messages.ResponseStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            request.status = event.status
            request.replayed = event.replayed

    @_follow.register(delivery_messages.ResponseData)
    def _data(self, event: delivery_messages.ResponseData) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            request.answer_bytes += len(event.data)

    @_follow.register(delivery_messages.ResponseEnded)
    def _whole(self, event: delivery_messages.ResponseEnded) -> None:
        self._end(event.request_id, Ending.WHOLE)

    @_follow.register(delivery_messages.ResponseAborted)
    def _broken(self, event: delivery_messages.ResponseAborted) -> None:
        self._end(event.request_id, Ending.BROKEN, event.code, event.ran)

    @_follow.register(delivery_messages.RequestRefused)
    def _refused(self, event: delivery_messages.RequestRefused) -> None:
        self._end(event.request_id, Ending.REFUSED, event.code, event.ran)

    @_follow.register(delivery_messages.CallerDisconnected)
    def _gone(self, event: delivery_messages.CallerDisconnected) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and request.ending is Ending.OPEN:
            request.ending = Ending.GONE

    @_follow.register(publishing_messages.ConfigurationChanged)
    def _revision(
        self, event: publishing_messages.ConfigurationChanged
    ) -> None:
        self.revisions.append(event.revision)

    def _end(
        self, request_id: str, ending: Ending, code: str = "", ran: str = ""
    ) -> None:
        request = self.requests.get(request_id)
        if request is None:
            return
        request.ending = ending
        request.endings += 1
        request.code = code
        request.ran = str(ran)
