"""State machine of a request from its arrival to its last byte."""

from __future__ import annotations

import datetime
import typing

import automat

from fulmarbarrow.delivery import effects
from fulmarbarrow.delivery import state
from fulmarbarrow.journal import messages as journal_messages
from fulmarbarrow import message

MAX_RECORDED_BYTES = 64 << 10

Effects = typing.Sequence[message.Message]


class RequestInputs(typing.Protocol):
    """Inputs of a request; each returns its effects.

    An input without a transition in the current state is ignored.
    """

    def admit(self) -> Effects:
        """An idempotent request was admitted."""

    def intend(self) -> Effects:
        """An action was admitted and needs permission to dispatch."""

    def dispatch(self) -> Effects:
        """The journal granted permission to dispatch."""

    def replay(self, event: journal_messages.IntendResult) -> Effects:
        """The journal holds the response of an earlier run."""

    def look_up(self) -> Effects:
        """Query an upstream for the outcome of an earlier run."""

    def place(self) -> Effects:
        """Request an upstream now."""

    def hold(self, until: datetime.datetime) -> Effects:
        """Delay the next attempt."""

    def send(self, attempt: state.Attempt) -> Effects:
        """Placement chose an upstream; send the attempt."""

    def promote(self) -> Effects:
        """Every attempt failed while a hedge waits for its placement."""

    def finish(self) -> Effects:
        """The response is complete."""

    def record(self, until: datetime.datetime) -> Effects:
        """The response of an action is complete; record it first."""

    def seal(
        self, code: str, until: datetime.datetime, lookup: bool
    ) -> Effects:
        """An action did not run; seal its entry so that it never will."""

    def mark(self, code: str, until: datetime.datetime) -> Effects:
        """An action may have run; record its outcome as unknown."""

    def written(self, committed: bool) -> Effects:
        """The journal committed the last record or failed to."""

    def wait_over(self) -> Effects:
        """The journal did not reply in time."""

    def refuse(self, code: str) -> Effects:
        """Give up and send an error to the caller."""

    def leave(self) -> Effects:
        """The caller disconnected."""


_INPUTS = tuple(
    value
    for name, value in vars(RequestInputs).items()
    if not name.startswith("_")
)


def _build() -> tuple[automat.TypeMachine, tuple[str, ...]]:
    builder = automat.TypeMachineBuilder(RequestInputs, state.Request)
    admitting = builder.state("admitting")
    intending = builder.state("intending")
    waiting = builder.state("waiting")
    placing = builder.state("placing")
    attempting = builder.state("attempting")
    recording = builder.state("recording")
    sealing = builder.state("sealing")
    marking = builder.state("marking")
    closed = builder.state("closed")
    states = (
        admitting,
        intending,
        waiting,
        placing,
        attempting,
        recording,
        sealing,
        marking,
        closed,
    )
    table = (
        (admitting, RequestInputs.admit, waiting, _ready),
        (admitting, RequestInputs.intend, intending, _intend),
        (admitting, RequestInputs.refuse, closed, _refuse),
        (admitting, RequestInputs.leave, closed, _leave),
        (intending, RequestInputs.dispatch, waiting, _ready),
        (intending, RequestInputs.replay, closed, _replay),
        (intending, RequestInputs.look_up, waiting, _look_up),
        (intending, RequestInputs.refuse, closed, _refuse_intent),
        (intending, RequestInputs.leave, closed, _leave_intent),
        (waiting, RequestInputs.place, placing, _place),
        (waiting, RequestInputs.hold, waiting, _hold),
        (waiting, RequestInputs.seal, sealing, _seal),
        (waiting, RequestInputs.mark, marking, _mark),
        (waiting, RequestInputs.refuse, closed, _refuse),
        (waiting, RequestInputs.leave, closed, _leave_granted),
        (placing, RequestInputs.send, attempting, _send),
        (placing, RequestInputs.hold, waiting, _hold),
        (placing, RequestInputs.seal, sealing, _seal),
        (placing, RequestInputs.mark, marking, _mark),
        (placing, RequestInputs.refuse, closed, _refuse),
        (placing, RequestInputs.leave, closed, _leave_granted),
        (attempting, RequestInputs.hold, waiting, _hold),
        (attempting, RequestInputs.promote, placing, _promote),
        (attempting, RequestInputs.look_up, waiting, _look_up),
        (attempting, RequestInputs.finish, closed, _finish),
        (attempting, RequestInputs.record, recording, _record),
        (attempting, RequestInputs.seal, sealing, _seal),
        (attempting, RequestInputs.mark, marking, _mark),
        (attempting, RequestInputs.refuse, closed, _refuse),
        (attempting, RequestInputs.leave, closed, _leave),
        (recording, RequestInputs.written, closed, _written),
        (recording, RequestInputs.wait_over, closed, _finish),
        (sealing, RequestInputs.written, closed, _sealed),
        (sealing, RequestInputs.wait_over, closed, _give_up),
        (marking, RequestInputs.written, closed, _marked),
        (marking, RequestInputs.wait_over, closed, _give_up),
    )
    used = set()
    for old, given, new, output in table:
        used.add((old.name, given.__name__))
        old.upon(given).to(new)(_staged(new.name, output))
    for old in states:
        for given in _INPUTS:
            if (old.name, given.__name__) not in used:
                old.upon(given).loop().returns(())
    return builder.build(), tuple(state.name for state in states)


def _staged(name: str, output: typing.Callable) -> typing.Callable:
    """Return an output that also stores the new state's name for dumps."""

    def staged(
        inputs: RequestInputs, request: state.Request, *args: typing.Any
    ) -> Effects:
        request.stage = name
        return output(inputs, request, *args)

    return staged


def _ready(_: RequestInputs, request: state.Request) -> Effects:
    request.ready = True
    request.intending = False
    return ()


def _intend(_: RequestInputs, request: state.Request) -> Effects:
    request.intending = True
    return [effects.intend(request)]


def _replay(
    _: RequestInputs,
    request: state.Request,
    event: journal_messages.IntendResult,
) -> Effects:
    return [*effects.replay(request, event), *effects.leave(request)]


def _look_up(_: RequestInputs, request: state.Request) -> Effects:
    request.ready = True
    request.intending = False
    request.purpose = state.Purpose.LOOKUP
    request.number += 1
    request.excluded = ()
    request.wait_until = None
    return effects.stop_placing(request)


def _place(_: RequestInputs, request: state.Request) -> Effects:
    request.ready = False
    request.wait_until = None
    request.placing_id = request.attempt_id
    return [effects.place(request, request.attempt_id)]


def _hold(
    _: RequestInputs, request: state.Request, until: datetime.datetime
) -> Effects:
    request.ready = True
    request.wait_until = until
    return effects.stop_placing(request)


def _send(
    _: RequestInputs, request: state.Request, attempt: state.Attempt
) -> Effects:
    request.placing_id = ""
    request.attempts[attempt.attempt_id] = attempt
    return [effects.start(request, attempt)]


def _promote(_: RequestInputs, request: state.Request) -> Effects:
    request.placing_id, request.hedge_id = request.hedge_id, ""
    return ()


def _finish(_: RequestInputs, request: state.Request) -> Effects:
    return [*effects.answer(request), *effects.leave(request)]


def _record(
    _: RequestInputs, request: state.Request, until: datetime.datetime
) -> Effects:
    request.wait_until = until
    return [effects.record(request, MAX_RECORDED_BYTES)]


def _seal(
    _: RequestInputs,
    request: state.Request,
    code: str,
    until: datetime.datetime,
    lookup: bool,
) -> Effects:
    request.ready = False
    request.refusal_code = code
    request.wait_until = until
    return [*effects.stop_placing(request), effects.seal(request, lookup)]


def _mark(
    _: RequestInputs,
    request: state.Request,
    code: str,
    until: datetime.datetime,
) -> Effects:
    request.ready = False
    request.refusal_code = code
    request.wait_until = until
    return [*effects.stop_placing(request), effects.mark_unknown(request)]


def _written(
    inputs: RequestInputs, request: state.Request, committed: bool
) -> Effects:
    return _finish(inputs, request)


def _sealed(
    inputs: RequestInputs, request: state.Request, committed: bool
) -> Effects:
    code = "not_run" if committed else request.refusal_code
    return _refuse(inputs, request, code)


def _marked(
    inputs: RequestInputs, request: state.Request, committed: bool
) -> Effects:
    return _refuse(inputs, request, request.refusal_code)


def _give_up(inputs: RequestInputs, request: state.Request) -> Effects:
    return _refuse(inputs, request, request.refusal_code)


def _refuse(_: RequestInputs, request: state.Request, code: str) -> Effects:
    return [effects.refuse(request, code), *effects.leave(request)]


def _refuse_intent(
    inputs: RequestInputs, request: state.Request, code: str
) -> Effects:
    """Refuse; seal an intent that may still be committed."""
    refused = _refuse(inputs, request, code)
    if code in ("deadline_exceeded", "journal_unavailable"):
        return [effects.seal(request), *refused]
    return refused


def _leave(_: RequestInputs, request: state.Request) -> Effects:
    return effects.leave(request)


def _leave_intent(_: RequestInputs, request: state.Request) -> Effects:
    return [effects.seal(request), *effects.leave(request)]


def _leave_granted(_: RequestInputs, request: state.Request) -> Effects:
    left = effects.leave(request)
    if not request.granted:
        return left
    if request.may_have_run:
        return [effects.mark_unknown(request), *left]
    return [effects.seal(request), *left]


make_request, STATES = _build()
