"""State of open requests and their attempts."""

from __future__ import annotations

import dataclasses
import datetime
import enum

from fulmarbarrow.delivery import messages
from fulmarbarrow.placement import messages as placement_messages

STATUS_ERROR = 400  # the lowest status of an error
RESUME_GRACE = datetime.timedelta(seconds=10)


class Purpose(enum.StrEnum):
    """Why an attempt is made."""

    RUN = "run"
    HEDGE = "hedge"
    LOOKUP = "lookup"


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One attempt at an upstream.

    It is to go on at the event position ``resume_offset``; ``next_event`` is
    the position after the last event received. ``received_bytes`` counts the
    body bytes received. ``unfinished_bytes`` is the size of an event in which
    the response ended. ``relayed`` is set if a body above the buffer limit was
    partly sent to the caller, which rules out a retry. ``asked_at`` is when a
    replacement was last asked for, None since its last progress. Its silence
    is looked at next at ``look_again_at``, if that is later than its time
    limit.
    """

    attempt_id: str
    purpose: Purpose
    placed: placement_messages.Placed
    sent_at: datetime.datetime
    progress_at: datetime.datetime
    resume_offset: int = 0
    stage: str = "sending"
    headers: messages.AttemptHeaders | None = None
    next_event: int = 0
    received_bytes: int = 0
    end_marker: bool = False
    unfinished_bytes: int = 0
    time_to_first_token: datetime.timedelta | None = None
    tokens: int = 0
    reused_tokens: int | None = None
    body: bytearray = dataclasses.field(default_factory=bytearray)
    paused: bool = False
    relayed: bool = False
    timer_at: datetime.datetime | None = None
    asked_at: datetime.datetime | None = None
    look_again_at: datetime.datetime | None = None

    @property
    def streamed(self) -> bool:
        """Whether the response is a stream of server-sent events."""
        return self.headers is not None and (
            self.headers.content_type.startswith("text/event-stream")
        )

    @property
    def resumed_by_itself(self) -> bool:
        """Whether there was progress since a replacement was asked for."""
        return self.asked_at is not None and self.progress_at > self.asked_at

    @property
    def framing(self) -> messages.BodyFraming:
        """How the end of the response body is marked."""
        if self.headers is None:
            return messages.BodyFraming.LENGTH
        return self.headers.framing

    @property
    def progressed(self) -> bool:
        """Whether an event came that the caller did not have before."""
        return self.next_event > self.resume_offset

    @property
    def _ended_empty(self) -> bool:
        """Whether a success without any event ended with its connection.

        An upstream that fails before the first event closes it as well, also
        one that was to go on after the events of another.
        """
        return (
            self.framing is messages.BodyFraming.CONNECTION
            and self.headers.status < STATUS_ERROR
            and not self.progressed
        )

    @property
    def complete(self) -> bool:
        """Whether the response is complete if it ends now."""
        if self.headers is None:
            return False
        if self.streamed and not self.headers.ends_with_body:
            return self.end_marker
        if self.streamed:
            return not self.unfinished_bytes and not self._ended_empty
        length = self.headers.length
        return length is None or length == self.received_bytes


@dataclasses.dataclass(kw_only=True)
class Request:
    """An open request.

    ``response_started`` is set once a part of the response was sent to the
    caller; ``delivered_events`` counts the events that were forwarded, and
    ``next_event`` is the position after the last one that the caller has, 0 if
    it has none. ``dispatch_granted`` is set once the journal permits dispatch
    until ``dispatch_until``. ``may_have_run`` is set as soon as it can't be
    proven that no upstream ran the request; ``possible_runs`` counts the
    attempts that may have run it. ``ready`` is set while only ``wait_until``
    delays the next attempt. ``placing_id`` and ``hedge_id`` are the ids of
    attempts that wait for an upstream. ``key`` is that of all requests with
    the same digest, ``part_keys`` are those of the shared parts of its prompt.
    A stream that has started may continue for ``grace`` after its deadline.
    ``replaced_id`` is the silent attempt that the one with ``hedge_id`` is to
    replace. ``no_retry`` tells why no attempt followed. ``began`` is set once
    an upstream has begun to run it. ``version`` is that of the upstream that
    began the response.
    """

    arrival: messages.RequestArrived
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    stage: str = "admitting"
    attempt_number: int = 1
    purpose: Purpose = Purpose.RUN
    placing_id: str = ""
    hedge_id: str = ""
    replaced_id: str = ""
    no_retry: str = ""
    excluded: tuple[str, ...] = ()
    admitted: bool = False
    intending: bool = False
    response_started: bool = False
    delivered_events: int = 0
    next_event: int = 0
    attempts_without_progress: int = 0
    dispatch_granted: bool = False
    dispatch_until: datetime.datetime | None = None
    may_have_run: bool = False
    caller_gone: bool = False
    refusal_code: str = ""
    retry_after: datetime.timedelta | None = None
    response: Attempt | None = None
    ready: bool = False
    wait_until: datetime.datetime | None = None
    timer_at: datetime.datetime | None = None
    grace_timer_set: bool = False
    closed: bool = False
    possible_runs: int = 0
    key: int = 0
    part_keys: tuple[int, ...] = ()
    grace: datetime.timedelta = RESUME_GRACE
    began: bool = False
    version: str = ""

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.arrival.request_id

    @property
    def attempt_id(self) -> str:
        """The id of the newest attempt."""
        return f"{self.arrival.request_id}-{self.attempt_number}"

    @property
    def deadline(self) -> datetime.datetime:
        """When to give up; a started response gets ``grace`` more time."""
        if self.response_started:
            return self.arrival.deadline + self.grace
        return self.arrival.deadline

    @property
    def last_event(self) -> int | None:
        """The position of the last event that the caller has."""
        return self.next_event - 1 if self.next_event else None

    @property
    def action(self) -> bool:
        """Whether the request is not idempotent and must not run twice."""
        return not self.arrival.idempotent
