"""Table of the region's upstreams and their tombstones."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import msgspec

from fulmarbarrow.membership import damping
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import records
from fulmarbarrow.membership import state

TOMBSTONE_RETENTION = datetime.timedelta(minutes=10)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _EarlyLeave:
    """A leave that was received before the record of its upstream."""

    incarnation: int
    sequence: int
    received_at: datetime.datetime

    def supersedes(self, upstream: messages.Upstream) -> bool:
        """Return whether a record is from before the leave."""
        return (
            upstream.incarnation == self.incarnation
            and upstream.sequence < self.sequence
        )


class UpstreamTable:
    """Applies records and tombstones in any order; the newest wins."""

    def __init__(
        self,
        *,
        index: records.RecordIndex,
        outbox: outboxes.Outbox,
        flap_damping: damping.FlapDamping,
    ) -> None:
        self._index = index
        self._outbox = outbox
        self._flap_damping = flap_damping
        self._entries: dict[str, state.UpstreamEntry] = {}
        self._tombstones: dict[str, messages.UpstreamTombstone] = {}
        # Leaves of upstreams whose records are not known here yet.
        self._early_leaves: dict[str, _EarlyLeave] = {}

    @property
    def entries(self) -> collections.abc.Collection[state.UpstreamEntry]:
        """The entries of all upstreams without a tombstone."""
        return self._entries.values()

    @property
    def tombstone_count(self) -> int:
        """The number of tombstones."""
        return len(self._tombstones)

    def get(self, upstream_id: str) -> state.UpstreamEntry | None:
        """Return the entry of an upstream, None if it is gone or unknown."""
        return self._entries.get(upstream_id)

    def get_tombstone(
        self, upstream_id: str
    ) -> messages.UpstreamTombstone | None:
        """Return the tombstone of an upstream, or None."""
        return self._tombstones.get(upstream_id)

    def apply_record(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> state.UpstreamEntry | None:
        """Apply a record; return its entry if it was newer."""
        version = (upstream.incarnation, upstream.sequence, 0)
        tombstone = self._tombstones.get(upstream.upstream_id)
        if (
            tombstone is not None
            and state.tombstone_version(tombstone) >= version
        ):
            return None
        entry = self._entries.get(upstream.upstream_id)
        if entry is not None and entry.version >= version:
            return None
        if entry is not None and _undoes_leave(entry, upstream):
            return None
        leaving_sequence = upstream.sequence
        early = self._early_leaves.pop(upstream.upstream_id, None)
        if early is not None and early.supersedes(upstream):
            leaving_sequence = early.sequence
            upstream = msgspec.structs.replace(
                upstream, state=messages.UpstreamState.LEAVING
            )
        if entry is None:
            self._tombstones.pop(upstream.upstream_id, None)
            entry = self._add(upstream, now)
        else:
            self._replace(entry, upstream, now)
        if upstream.state is messages.UpstreamState.LEAVING:
            entry.leaving_sequence = leaving_sequence
        self._update_index(entry)
        self._outbox.emit(messages.UpstreamChanged(upstream=upstream))
        return entry

    def apply_delta(
        self, delta: messages.UpstreamDelta, now: datetime.datetime
    ) -> state.UpstreamEntry | None:
        """Apply a delta; return the entry of its upstream if it changed.

        If the delta is based on another record, its state and a higher epoch
        are applied, but the sequence is kept, so that anti-entropy fetches
        the full record. No record or delta from before a leave undoes it
        meanwhile, also if none is known yet.
        """
        entry = self._entries.get(delta.upstream_id)
        if entry is None or entry.upstream.incarnation < delta.incarnation:
            if delta.state is messages.UpstreamState.LEAVING:
                self._early_leaves[delta.upstream_id] = _EarlyLeave(
                    incarnation=delta.incarnation,
                    sequence=delta.sequence,
                    received_at=now,
                )
            return None
        current = entry.upstream
        if current.incarnation != delta.incarnation:
            return None
        if current.sequence >= delta.sequence:
            return None
        base_matches = current.sequence == delta.base
        newer_epoch = delta.owner_epoch > current.owner_epoch
        precedes_leave = (
            delta.state is not messages.UpstreamState.LEAVING
            and delta.sequence < entry.leaving_sequence
        )
        updated = msgspec.structs.replace(
            current,
            sequence=delta.sequence if base_matches else current.sequence,
            state=current.state if precedes_leave else delta.state,
            owner=delta.owner if newer_epoch else current.owner,
            owner_epoch=max(delta.owner_epoch, current.owner_epoch),
        )
        if updated == current:
            return None
        entry.upstream = updated
        entry.sequence = max(entry.sequence, delta.sequence)
        if delta.state is messages.UpstreamState.LEAVING:
            entry.leaving_sequence = max(
                entry.leaving_sequence, delta.sequence
            )
        entry.hidden = False
        self._update_index(entry)
        self._outbox.emit(messages.UpstreamChanged(upstream=updated))
        return entry

    def apply_tombstone(
        self,
        tombstone: messages.UpstreamTombstone,
        now: datetime.datetime,
        *,
        reason: str,
    ) -> bool:
        """Apply a tombstone; return whether it was newer."""
        version = state.tombstone_version(tombstone)
        known = self._tombstones.get(tombstone.upstream_id)
        if known is not None and state.tombstone_version(known) >= version:
            return False
        entry = self._entries.get(tombstone.upstream_id)
        if entry is not None and entry.version >= version:
            return False
        if entry is None and now - tombstone.at > TOMBSTONE_RETENTION:
            return False
        self._tombstones[tombstone.upstream_id] = tombstone
        self._index.put(
            records.Kind.UPSTREAM, tombstone.upstream_id, version, live=False
        )
        if entry is not None:
            del self._entries[tombstone.upstream_id]
            if not tombstone.left:
                self._flap_damping.record_departure(tombstone.upstream_id, now)
            self._emit_gone(entry, reason)
        return True

    def hide(self, entry: state.UpstreamEntry) -> None:
        """Treat an upstream as gone at this daemon only."""
        if not entry.hidden:
            entry.hidden = True
            entry.owner = None
            self._emit_gone(entry, "zone unreachable")

    def unhide(self, entry: state.UpstreamEntry) -> None:
        """Undo ``hide``."""
        if entry.hidden:
            entry.hidden = False
            self._outbox.emit(
                messages.UpstreamChanged(upstream=entry.upstream)
            )

    def expire_tombstones(self, now: datetime.datetime) -> None:
        """Drop tombstones older than any delayed announcement can be."""
        for upstream_id, early in list(self._early_leaves.items()):
            if now - early.received_at > TOMBSTONE_RETENTION:
                del self._early_leaves[upstream_id]
        for tombstone in list(self._tombstones.values()):
            if now - tombstone.at > TOMBSTONE_RETENTION:
                del self._tombstones[tombstone.upstream_id]
                self._index.remove(
                    records.Kind.UPSTREAM, tombstone.upstream_id
                )

    def _add(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> state.UpstreamEntry:
        entry = state.UpstreamEntry(
            upstream=upstream, sequence=upstream.sequence, received_at=now
        )
        self._entries[upstream.upstream_id] = entry
        return entry

    def _replace(
        self,
        entry: state.UpstreamEntry,
        upstream: messages.Upstream,
        now: datetime.datetime,
    ) -> None:
        if upstream.incarnation > entry.upstream.incarnation:
            self._flap_damping.record_departure(upstream.upstream_id, now)
            entry.owner = None
            entry.sequence = 0
            entry.leaving_sequence = -1
        entry.upstream = upstream
        entry.sequence = max(entry.sequence, upstream.sequence)
        entry.received_at = now
        entry.hidden = False

    def _update_index(self, entry: state.UpstreamEntry) -> None:
        self._index.put(
            records.Kind.UPSTREAM,
            entry.upstream.upstream_id,
            entry.version,
            live=True,
        )

    def _emit_gone(self, entry: state.UpstreamEntry, reason: str) -> None:
        self._outbox.emit(
            messages.UpstreamGone(
                upstream_id=entry.upstream.upstream_id,
                incarnation=entry.upstream.incarnation,
                reason=reason,
            )
        )


def _undoes_leave(
    entry: state.UpstreamEntry, upstream: messages.Upstream
) -> bool:
    """Return whether a record is from before a leave that is known of."""
    return (
        upstream.incarnation == entry.upstream.incarnation
        and upstream.state is not messages.UpstreamState.LEAVING
        and upstream.sequence < entry.leaving_sequence
    )
