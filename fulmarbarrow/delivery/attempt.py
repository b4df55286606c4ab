"""State machine of one attempt at an upstream."""

from __future__ import annotations

import datetime
import typing

import automat

from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import state

STATES = ("sending", "answering", "whole", "broken", "cancelled")


class AttemptInputs(typing.Protocol):
    """Inputs of an attempt; each returns whether it was accepted."""

    def start(
        self, event: messages.AttemptHeaders, now: datetime.datetime
    ) -> bool:
        """The upstream sent the response headers."""

    def complete(self) -> bool:
        """The response is complete."""

    def fail(self) -> bool:
        """The attempt failed, timed out or got another request's response."""

    def cancel(self) -> bool:
        """The response is no longer needed."""


def _build() -> typing.Callable[[state.Attempt], AttemptInputs]:
    builder = automat.TypeMachineBuilder(AttemptInputs, state.Attempt)
    sending, answering, completed, failed, cancelled = map(
        builder.state, STATES
    )

    @sending.upon(AttemptInputs.start).to(answering)
    def start(
        _: AttemptInputs,
        attempt: state.Attempt,
        event: messages.AttemptHeaders,
        now: datetime.datetime,
    ) -> bool:
        attempt.stage = "answering"
        attempt.headers = event
        attempt.progress_at = now
        return True

    def set_stage(name: str) -> typing.Callable:
        def output(_: AttemptInputs, attempt: state.Attempt) -> bool:
            attempt.stage = name
            return True

        return output

    for open_state in (sending, answering):
        open_state.upon(AttemptInputs.fail).to(failed)(set_stage("broken"))
        open_state.upon(AttemptInputs.cancel).to(cancelled)(
            set_stage("cancelled")
        )
    answering.upon(AttemptInputs.complete).to(completed)(set_stage("whole"))
    sending.upon(AttemptInputs.complete).loop().returns(False)
    answering.upon(AttemptInputs.start).loop().returns(False)
    for ended in (completed, failed, cancelled):
        for ignored in (
            AttemptInputs.start,
            AttemptInputs.complete,
            AttemptInputs.fail,
            AttemptInputs.cancel,
        ):
            ended.upon(ignored).loop().returns(False)
    return builder.build()


def receive_data(
    attempt: state.Attempt,
    event: messages.AttemptData,
    now: datetime.datetime,
) -> bool:
    """Account for response data; return False outside of ``answering``."""
    if attempt.stage != "answering":
        return False
    if attempt.time_to_first_token is None:
        attempt.time_to_first_token = now - attempt.sent_at
    attempt.progress_at = now
    if event.events:
        attempt.next_event = event.positions[-1] + 1
    attempt.received_bytes += len(event.data)
    attempt.tokens += event.tokens
    if event.reused_tokens is not None:
        known = attempt.reused_tokens or 0
        attempt.reused_tokens = max(known, event.reused_tokens)
    attempt.end_marker = attempt.end_marker or event.end_marker
    return True


make_attempt = _build()
