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
class Work:
    """An entry and the time ``now`` of the command applied to it.

    ``entry`` is None if the key has no entry.
    """

    entry: Entry | None
    now: datetime.datetime

    def change(self, **fields: typing.Any) -> None:
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


def _build() -> tuple[automat.TypeMachine, dict[str, typing.Any]]:
    builder = automat.TypeMachineBuilder(EntryInputs, Work)
    names = ("absent", "running", "done", "sealed", "unknown")
    states = {name: builder.state(name) for name in names}
    table = (
        ("absent", EntryInputs.intend, "running", _create),
        ("absent", EntryInputs.intend_again, "running", _create),
        ("absent", EntryInputs.intend_different, "running", _create),
        ("absent", EntryInputs.record, "absent", _not_written),
        ("absent", EntryInputs.seal, "sealed", _create_sealed),
        ("absent", EntryInputs.mark_unknown, "absent", _not_written),
        ("running", EntryInputs.intend, "running", _grant_again),
        ("running", EntryInputs.intend_again, "running", _tell),
        ("running", EntryInputs.record, "done", _record),
        ("running", EntryInputs.seal, "sealed", _written),
        ("running", EntryInputs.mark_unknown, "unknown", _written),
        ("running", EntryInputs.time_out, "unknown", _nothing),
        ("done", EntryInputs.record, "done", _written),
        ("done", EntryInputs.seal, "done", _not_written),
        ("done", EntryInputs.mark_unknown, "done", _not_written),
        ("sealed", EntryInputs.record, "sealed", _not_written),
        ("sealed", EntryInputs.seal, "sealed", _written),
        ("sealed", EntryInputs.mark_unknown, "sealed", _not_written),
        ("unknown", EntryInputs.record, "done", _record),
        ("unknown", EntryInputs.seal, "sealed", _written),
        ("unknown", EntryInputs.mark_unknown, "unknown", _written),
    )
    for old, given, new, output in table:
        states[old].upon(given).to(states[new])(_with_state(new, output))
    for name in ("done", "sealed", "unknown"):
        for given in (EntryInputs.intend, EntryInputs.intend_again):
            states[name].upon(given).loop()(_tell)
    for name in names[1:]:
        states[name].upon(EntryInputs.intend_different).loop()(_differs)
    for name in ("absent", "done", "sealed", "unknown"):
        states[name].upon(EntryInputs.time_out).loop()(_nothing)
    return builder.build(), states


def _with_state(name: str, output: typing.Callable) -> typing.Callable:
    """Wrap an output so that it stores the new state in the entry."""

    def keep(inputs: EntryInputs, work: Work, *args: typing.Any) -> Reply:
        reply = output(inputs, work, *args)
        if work.entry is not None:
            work.change(state=name)
        return reply

    keep.__name__ = output.__name__
    return keep


def _create(_: EntryInputs, work: Work, event: messages.Intend) -> Reply:
    work.entry = Entry(
        digest=event.digest,
        owner=event.request_id,
        state="running",
        dispatch_until=work.now + DISPATCH_LEASE,
        run_until=max(work.now, event.deadline) + CLOCK_MARGIN,
        expires_at=work.now + RESEND_WINDOW,
    )
    return _grant(work, event)


def _grant(work: Work, event: messages.Intend) -> Reply:
    return messages.IntendResult(
        request_id=event.request_id,
        standing=messages.EntryStanding.MAY_DISPATCH,
        lease=DISPATCH_LEASE,
    )


def _grant_again(_: EntryInputs, work: Work, event: messages.Intend) -> Reply:
    return _grant(work, event)


def _create_sealed(
    _: EntryInputs, work: Work, event: messages.SealEntry
) -> Reply:
    """Seal the key before an intent that may still arrive."""
    work.entry = Entry(
        digest="",
        owner=event.request_id,
        state="sealed",
        dispatch_until=work.now,
        run_until=work.now,
        expires_at=work.now + RESEND_WINDOW,
    )
    return _answer(event, True)


def _tell(_: EntryInputs, work: Work, event: messages.Intend) -> Reply:
    entry = work.entry
    open_end = entry.state in ("running", "unknown")
    return messages.IntendResult(
        request_id=event.request_id,
        standing=messages.EntryStanding(entry.state),
        status=entry.status,
        content_type=entry.content_type,
        body=entry.body,
        kept=entry.kept,
        may_look_up=open_end and dispatch_over(work),
    )


def _differs(_: EntryInputs, work: Work, event: messages.Intend) -> Reply:
    return messages.IntendResult(
        request_id=event.request_id,
        standing=messages.EntryStanding.BODY_DIFFERS,
    )


def _record(
    _: EntryInputs, work: Work, event: messages.RecordOutcome
) -> Reply:
    work.change(
        status=event.status,
        content_type=event.content_type,
        body=event.body,
        kept=event.kept,
    )
    return _answer(event, True)


def _written(_: EntryInputs, work: Work, event: typing.Any) -> Reply:
    return _answer(event, True)


def _not_written(_: EntryInputs, work: Work, event: typing.Any) -> Reply:
    return _answer(event, False)


def _nothing(_: EntryInputs, work: Work) -> None:
    return None


def _answer(event: typing.Any, committed: bool) -> Reply:
    return messages.JournalWritten(
        request_id=event.request_id, committed=committed
    )


def dispatch_over(work: Work) -> bool:
    """Return whether the dispatch lease is over on every clock."""
    return work.now > work.entry.dispatch_until + CLOCK_MARGIN


make_entry, STATES = _build()
