"""State machine of one action's entry in the journal."""

from __future__ import annotations

import dataclasses
import datetime
import typing

import automat
import msgspec

from fulmarbarrow.journal import messages

# Routers count the lease from their first call, the journal from the commit,
# which is later; so their clocks need not agree.
DISPATCH_LEASE = datetime.timedelta(seconds=2)
# Clocks of control hosts may differ by this much when the leader changes.
CLOCK_MARGIN = datetime.timedelta(seconds=2)
RESEND_WINDOW = datetime.timedelta(hours=24)


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The recorded state of one action.

    ``owner`` is the request that may dispatch the action until
    ``dispatch_until``; its run ends by ``run_until``. The entry is removed at
    ``expires_at``. All times are on the journal's clock.
    """

    digest: str
    owner: str
    state: str
    dispatch_until: datetime.datetime
    run_until: datetime.datetime
    expires_at: datetime.datetime
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


@dataclasses.dataclass(kw_only=True)
class EntryContext:
    """An entry and the time ``now`` of the command applied to it.

    ``entry`` is None if the key has no entry.
    """

    entry: Entry | None
    now: datetime.datetime

    def replace_fields(self, **fields: typing.Any) -> None:
        """Replace fields of the entry."""
        self.entry = msgspec.structs.replace(self.entry, **fields)


Reply = messages.IntendResult | messages.JournalWritten


class EntryInputs(typing.Protocol):
    """Inputs of the entry's state machine; each returns the reply."""

    def intend(self, event: messages.Intend) -> Reply:
        """Handle an intent of the owner, or of the first request."""

    def intend_again(self, event: messages.Intend) -> Reply:
        """Handle an intent of another request with the same body."""

    def intend_different(self, event: messages.Intend) -> Reply:
        """Handle an intent of another request with a different body."""

    def record(self, event: messages.RecordOutcome) -> Reply:
        """Record the answer, reported by the owner or looked up."""

    def seal(self, event: messages.SealEntry) -> Reply:
        """Record that the action did not run and must never run."""

    def mark_unknown(self, event: messages.MarkUnknown) -> Reply:
        """Record that the owner does not know whether the action ran."""

    def time_out(self) -> None:
        """Handle the end of the run's time without a recorded outcome."""


def _build_machine() -> tuple[automat.TypeMachine, dict[str, typing.Any]]:
    builder = automat.TypeMachineBuilder(EntryInputs, EntryContext)
    names = ("absent", "running", "done", "sealed", "unknown")
    states = {name: builder.state(name) for name in names}
    table = (
        ("absent", EntryInputs.intend, "running", _create),
        ("absent", EntryInputs.intend_again, "running", _create),
        ("absent", EntryInputs.intend_different, "running", _create),
        ("absent", EntryInputs.record, "absent", _reject),
        ("absent", EntryInputs.seal, "sealed", _create_sealed),
        ("absent", EntryInputs.mark_unknown, "absent", _reject),
        ("running", EntryInputs.intend, "running", _repeat_permission),
        ("running", EntryInputs.intend_again, "running", _report_entry),
        ("running", EntryInputs.record, "done", _record),
        ("running", EntryInputs.seal, "sealed", _confirm),
        ("running", EntryInputs.mark_unknown, "unknown", _confirm),
        ("running", EntryInputs.time_out, "unknown", _no_output),
        ("done", EntryInputs.record, "done", _confirm),
        ("done", EntryInputs.seal, "done", _reject),
        ("done", EntryInputs.mark_unknown, "done", _reject),
        ("sealed", EntryInputs.record, "sealed", _reject),
        ("sealed", EntryInputs.seal, "sealed", _confirm),
        ("sealed", EntryInputs.mark_unknown, "sealed", _reject),
        ("unknown", EntryInputs.record, "done", _record),
        ("unknown", EntryInputs.seal, "sealed", _confirm),
        ("unknown", EntryInputs.mark_unknown, "unknown", _confirm),
    )
    for old, input_method, new, output in table:
        states[old].upon(input_method).to(states[new])(
            _storing_state(new, output)
        )
    for name in ("done", "sealed", "unknown"):
        for input_method in (EntryInputs.intend, EntryInputs.intend_again):
            states[name].upon(input_method).loop()(_report_entry)
    for name in names[1:]:
        states[name].upon(EntryInputs.intend_different).loop()(
            _report_body_differs
        )
    for name in ("absent", "done", "sealed", "unknown"):
        states[name].upon(EntryInputs.time_out).loop()(_no_output)
    return builder.build(), states


def _storing_state(name: str, output: typing.Callable) -> typing.Callable:
    """Wrap an output so that it stores the new state in the entry."""

    def store_state(
        inputs: EntryInputs, context: EntryContext, *args: typing.Any
    ) -> Reply:
        reply = output(inputs, context, *args)
        if context.entry is not None:
            context.replace_fields(state=name)
        return reply

    store_state.__name__ = output.__name__
    return store_state


def _create(
    _: EntryInputs, context: EntryContext, event: messages.Intend
) -> Reply:
    context.entry = Entry(
        digest=event.digest,
        owner=event.request_id,
        state="running",
        dispatch_until=context.now + DISPATCH_LEASE,
        run_until=max(context.now, event.deadline) + CLOCK_MARGIN,
        expires_at=context.now + RESEND_WINDOW,
    )
    return _permit_dispatch(context, event)


def _permit_dispatch(context: EntryContext, event: messages.Intend) -> Reply:
    return messages.IntendResult(
        request_id=event.request_id,
        standing=messages.EntryStanding.MAY_DISPATCH,
        lease=DISPATCH_LEASE,
    )


def _repeat_permission(
    _: EntryInputs, context: EntryContext, event: messages.Intend
) -> Reply:
    return _permit_dispatch(context, event)


def _create_sealed(
    _: EntryInputs, context: EntryContext, event: messages.SealEntry
) -> Reply:
    """Create a sealed entry, so that a late intent is not permitted."""
    context.entry = Entry(
        digest="",
        owner=event.request_id,
        state="sealed",
        dispatch_until=context.now,
        run_until=context.now,
        expires_at=context.now + RESEND_WINDOW,
    )
    return _journal_written(event, True)


def _report_entry(
    _: EntryInputs, context: EntryContext, event: messages.Intend
) -> Reply:
    entry = context.entry
    unresolved = entry.state in ("running", "unknown")
    return messages.IntendResult(
        request_id=event.request_id,
        standing=messages.EntryStanding(entry.state),
        status=entry.status,
        content_type=entry.content_type,
        body=entry.body,
        kept=entry.kept,
        may_look_up=unresolved and dispatch_lease_over(context),
    )


def _report_body_differs(
    _: EntryInputs, context: EntryContext, event: messages.Intend
) -> Reply:
    return messages.IntendResult(
        request_id=event.request_id,
        standing=messages.EntryStanding.BODY_DIFFERS,
    )


def _record(
    _: EntryInputs, context: EntryContext, event: messages.RecordOutcome
) -> Reply:
    context.replace_fields(
        status=event.status,
        content_type=event.content_type,
        body=event.body,
        kept=event.kept,
    )
    return _journal_written(event, True)


def _confirm(
    _: EntryInputs, context: EntryContext, event: typing.Any
) -> Reply:
    return _journal_written(event, True)


def _reject(_: EntryInputs, context: EntryContext, event: typing.Any) -> Reply:
    return _journal_written(event, False)


def _no_output(_: EntryInputs, context: EntryContext) -> None:
    return None


def _journal_written(event: typing.Any, committed: bool) -> Reply:
    return messages.JournalWritten(
        request_id=event.request_id, committed=committed
    )


def dispatch_lease_over(context: EntryContext) -> bool:
    """Return whether the lease and the clock margin are over.

    No dispatch can follow then.
    """
    return context.now > context.entry.dispatch_until + CLOCK_MARGIN


make_entry_machine, STATES = _build_machine()
