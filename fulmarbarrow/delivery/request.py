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

    def delay(self, until: datetime.datetime) -> Effects:
        """Delay the next attempt."""

    def send(self, attempt: state.Attempt) -> Effects:
        """Placement chose an upstream; send the attempt."""

    def promote_hedge(self) -> Effects:
        """Every attempt failed while a hedge waits for its placement."""

    def finish(self) -> Effects:
        """The response is complete."""

    def record(self, until: datetime.datetime) -> Effects:
        """The response of an action is complete; record it first."""

    def seal(
        self, code: str, until: datetime.datetime, lookup: bool
    ) -> Effects:
        """An action did not run; seal its entry so that it never will."""

    def mark_unknown(self, code: str, until: datetime.datetime) -> Effects:
        """An action may have run; record its outcome as unknown."""

    def journal_written(self, committed: bool) -> Effects:
        """The journal committed the last record or failed to."""

    def journal_timed_out(self) -> Effects:
        """The journal did not reply in time."""

    def refuse(self, code: str) -> Effects:
        """Give up and send an error to the caller."""

    def disconnect(self) -> Effects:
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
        (admitting, RequestInputs.disconnect, closed, _disconnect),
        (intending, RequestInputs.dispatch, waiting, _ready),
        (intending, RequestInputs.replay, closed, _replay),
        (intending, RequestInputs.look_up, waiting, _look_up),
        (intending, RequestInputs.refuse, closed, _refuse_intending),
        (intending, RequestInputs.disconnect, closed, _disconnect_intending),
        (waiting, RequestInputs.place, placing, _place),
        (waiting, RequestInputs.delay, waiting, _delay),
        (waiting, RequestInputs.seal, sealing, _seal),
        (waiting, RequestInputs.mark_unknown, marking, _mark_unknown),
        (waiting, RequestInputs.refuse, closed, _refuse),
        (waiting, RequestInputs.disconnect, closed, _disconnect_granted),
        (placing, RequestInputs.send, attempting, _send),
        (placing, RequestInputs.delay, waiting, _delay),
        (placing, RequestInputs.seal, sealing, _seal),
        (placing, RequestInputs.mark_unknown, marking, _mark_unknown),
        (placing, RequestInputs.refuse, closed, _refuse),
        (placing, RequestInputs.disconnect, closed, _disconnect_granted),
        (attempting, RequestInputs.delay, waiting, _delay),
        (attempting, RequestInputs.promote_hedge, placing, _promote_hedge),
        (attempting, RequestInputs.look_up, waiting, _look_up),
        (attempting, RequestInputs.finish, closed, _finish),
        (attempting, RequestInputs.record, recording, _record),
        (attempting, RequestInputs.seal, sealing, _seal),
        (attempting, RequestInputs.mark_unknown, marking, _mark_unknown),
        (attempting, RequestInputs.refuse, closed, _refuse),
        (attempting, RequestInputs.disconnect, closed, _disconnect),
        (recording, RequestInputs.journal_written, closed, _finish_recorded),
        (recording, RequestInputs.journal_timed_out, closed, _finish),
        (sealing, RequestInputs.journal_written, closed, _refuse_sealed),
        (sealing, RequestInputs.journal_timed_out, closed, _refuse_unrecorded),
        (marking, RequestInputs.journal_written, closed, _refuse_marked),
        (marking, RequestInputs.journal_timed_out, closed, _refuse_unrecorded),
    )
    defined = set()
    for source, trigger, target, output in table:
        defined.add((source.name, trigger.__name__))
        source.upon(trigger).to(target)(_store_stage(target.name, output))
    for source in states:
        for trigger in _INPUTS:
            if (source.name, trigger.__name__) not in defined:
                source.upon(trigger).loop().returns(())
    return builder.build(), tuple(state.name for state in states)


def _store_stage(name: str, output: typing.Callable) -> typing.Callable:
    """Return an output that also stores the new state's name for dumps."""

    def output_with_stage(
        inputs: RequestInputs, request: state.Request, *args: typing.Any
    ) -> Effects:
        request.stage = name
        return output(inputs, request, *args)

    return output_with_stage


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
    return [*effects.replay(request, event), *effects.close(request)]


def _look_up(_: RequestInputs, request: state.Request) -> Effects:
    request.ready = True
    request.intending = False
    request.purpose = state.Purpose.LOOKUP
    request.attempt_number += 1
    request.excluded = ()
    request.wait_until = None
    return effects.cancel_placements(request)


def _place(_: RequestInputs, request: state.Request) -> Effects:
    request.ready = False
    request.wait_until = None
    request.placing_id = request.attempt_id
    return [effects.request_placement(request, request.attempt_id)]


def _delay(
    _: RequestInputs, request: state.Request, until: datetime.datetime
) -> Effects:
    request.ready = True
    request.wait_until = until
    return effects.cancel_placements(request)


def _send(
    _: RequestInputs, request: state.Request, attempt: state.Attempt
) -> Effects:
    request.placing_id = ""
    request.attempts[attempt.attempt_id] = attempt
    return [effects.start_attempt(request, attempt)]


def _promote_hedge(_: RequestInputs, request: state.Request) -> Effects:
    request.placing_id, request.hedge_id = request.hedge_id, ""
    return ()


def _finish(_: RequestInputs, request: state.Request) -> Effects:
    return [*effects.send_response(request), *effects.close(request)]


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
    return [*effects.cancel_placements(request), effects.seal(request, lookup)]


def _mark_unknown(
    _: RequestInputs,
    request: state.Request,
    code: str,
    until: datetime.datetime,
) -> Effects:
    request.ready = False
    request.refusal_code = code
    request.wait_until = until
    return [*effects.cancel_placements(request), effects.mark_unknown(request)]


def _finish_recorded(
    inputs: RequestInputs, request: state.Request, committed: bool
) -> Effects:
    return _finish(inputs, request)


def _refuse_sealed(
    inputs: RequestInputs, request: state.Request, committed: bool
) -> Effects:
    code = "not_run" if committed else request.refusal_code
    return _refuse(inputs, request, code)


def _refuse_marked(
    inputs: RequestInputs, request: state.Request, committed: bool
) -> Effects:
    return _refuse(inputs, request, request.refusal_code)


def _refuse_unrecorded(
    inputs: RequestInputs, request: state.Request
) -> Effects:
    return _refuse(inputs, request, request.refusal_code)


def _refuse(_: RequestInputs, request: state.Request, code: str) -> Effects:
    return [effects.send_error(request, code), *effects.close(request)]


def _refuse_intending(
    inputs: RequestInputs, request: state.Request, code: str
) -> Effects:
    """Refuse; seal an intent that may still be committed."""
    refused = _refuse(inputs, request, code)
    if code in ("deadline_exceeded", "journal_unavailable"):
        return [effects.seal(request), *refused]
    return refused


def _disconnect(_: RequestInputs, request: state.Request) -> Effects:
    return effects.close(request)


def _disconnect_intending(_: RequestInputs, request: state.Request) -> Effects:
    return [effects.seal(request), *effects.close(request)]


def _disconnect_granted(_: RequestInputs, request: state.Request) -> Effects:
    closing = effects.close(request)
    if not request.dispatch_granted:
        return closing
    if request.may_have_run:
        return [effects.mark_unknown(request), *closing]
    return [effects.seal(request), *closing]


make_request, STATES = _build()
