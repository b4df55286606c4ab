"""The replicated state machine of the journal."""

from __future__ import annotations

import collections
import datetime
import functools

import msgspec

from fulmarbarrow.journal import entry as entries
from fulmarbarrow.journal import messages

_INITIAL_TIME = datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC)

CallBody = (
    messages.Intend
    | messages.RecordOutcome
    | messages.SealEntry
    | messages.MarkUnknown
)


class Command(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One router call, as stored in a batch."""

    call_id: str
    body: CallBody


class Batch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Commands that are committed together at the proposer's time."""

    shard: int
    now: datetime.datetime
    commands: tuple[Command, ...]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The complete state, with the entries in order of expiry."""

    now: datetime.datetime
    entries: tuple[tuple[str, str, entries.Entry], ...]


_batch_decoder = msgspec.msgpack.Decoder(Batch)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


class Journal:
    """Applies committed batches in log order on each control host.

    Time is taken from the batches and never goes backward, so that every
    replica reaches the same state independently of its own clock.
    """

    def __init__(self) -> None:
        self._now = _INITIAL_TIME
        self._entries: dict[tuple[str, str], entries.Entry] = {}
        self.expired = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def apply(self, data: bytes) -> dict[str, entries.Reply]:
        """Apply an encoded batch and return the replies by call ID."""
        batch = _batch_decoder.decode(data)
        self._now = max(self._now, batch.now)
        self._remove_expired()
        return {
            command.call_id: self._apply_call(command.body)
            for command in batch.commands
        }

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return msgspec.msgpack.encode(
            Snapshot(
                now=self._now,
                entries=tuple(
                    (account, key, entry)
                    for (account, key), entry in self._entries.items()
                ),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of an encoded snapshot."""
        snapshot = _snapshot_decoder.decode(data)
        self._now = snapshot.now
        self._entries = {
            (account, key): entry for account, key, entry in snapshot.entries
        }

    def counts(self) -> dict[str, int]:
        """Return the number of entries in each state."""
        return dict(
            collections.Counter(
                entry.state for entry in self._entries.values()
            )
        )

    def _apply_call(self, body: CallBody) -> entries.Reply:
        key = (body.account, body.key)
        entry = self._entries.get(key)
        context = entries.EntryContext(entry=entry, now=self._now)
        state = entries.STATES[entry.state if entry else "absent"]
        inputs = entries.make_entry_machine(context, state)
        if entry is not None and self._now > entry.run_until:
            inputs.time_out()
        reply = _apply_input(body, inputs, context)
        if context.entry is not None and context.entry is not entry:
            self._entries[key] = context.entry
        return reply

    def _remove_expired(self) -> None:
        """Remove the entries whose resend window has ended, oldest first."""
        while self._entries:
            key = next(iter(self._entries))
            if self._entries[key].expires_at > self._now:
                return
            del self._entries[key]
            self.expired += 1


@functools.singledispatch
def _apply_input(
    body, inputs: entries.EntryInputs, context: entries.EntryContext
):
    """Apply a call to an entry as the matching state machine input."""
    raise TypeError(type(body).__name__)


@_apply_input.register
def _apply_intend(
    body: messages.Intend,
    inputs: entries.EntryInputs,
    context: entries.EntryContext,
) -> entries.Reply:
    entry = context.entry
    if entry is None or entry.owner == body.request_id:
        return inputs.intend(body)
    if entry.digest and entry.digest != body.digest:
        return inputs.intend_different(body)
    return inputs.intend_again(body)


@_apply_input.register
def _apply_record(
    body: messages.RecordOutcome,
    inputs: entries.EntryInputs,
    context: entries.EntryContext,
) -> entries.Reply:
    if not body.lookup and not _is_owner(body, context):
        return _not_committed(body)
    return inputs.record(body)


@_apply_input.register
def _apply_seal(
    body: messages.SealEntry,
    inputs: entries.EntryInputs,
    context: entries.EntryContext,
) -> entries.Reply:
    """Seal for the owner, or for a look-up once the dispatch lease is over."""
    if context.entry is None or _is_owner(body, context):
        return inputs.seal(body)
    if body.lookup and entries.dispatch_lease_over(context):
        return inputs.seal(body)
    return _not_committed(body)


@_apply_input.register
def _apply_unknown(
    body: messages.MarkUnknown,
    inputs: entries.EntryInputs,
    context: entries.EntryContext,
) -> entries.Reply:
    if not _is_owner(body, context):
        return _not_committed(body)
    return inputs.mark_unknown(body)


def _is_owner(body: CallBody, context: entries.EntryContext) -> bool:
    return context.entry is not None and context.entry.owner == body.request_id


def _not_committed(body: CallBody) -> entries.Reply:
    return messages.JournalWritten(request_id=body.request_id, committed=False)
