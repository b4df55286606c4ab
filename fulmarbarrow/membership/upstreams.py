"""Table of the region's upstreams and their tombstones."""

from __future__ import annotations

import collections.abc
import datetime

import msgspec

from fulmarbarrow.membership import damping
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import records
from fulmarbarrow.membership import state

TOMBSTONE_RETENTION = datetime.timedelta(minutes=10)


class UpstreamTable:
    """Applies records and tombstones in any order; the newest wins."""

    def __init__(
        self,
        *,
        index: records.RecordIndex,
        outbox: outboxes.Outbox,
        flaps: damping.Damping,
    ) -> None:
        self._index = index
        self._outbox = outbox
        self._flaps = flaps
        self._entries: dict[str, state.Entry] = {}
        self._gone: dict[str, messages.Gone] = {}

    @property
    def entries(self) -> collections.abc.Collection[state.Entry]:
        """The entries of all upstreams without a tombstone."""
        return self._entries.values()

    @property
    def tombstones(self) -> int:
        """The number of tombstones."""
        return len(self._gone)

    def get(self, upstream_id: str) -> state.Entry | None:
        """Return the entry of an upstream, None if it is gone or unknown."""
        return self._entries.get(upstream_id)

    def tombstone(self, upstream_id: str) -> messages.Gone | None:
        """Return the tombstone of an upstream, or None."""
        return self._gone.get(upstream_id)

    def learn(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> state.Entry | None:
        """Apply a record; return its entry if it was newer."""
        version = (upstream.incarnation, upstream.sequence, 0)
        gone = self._gone.get(upstream.upstream_id)
        if gone is not None and state.gone_version(gone) >= version:
            return None
        entry = self._entries.get(upstream.upstream_id)
        if entry is not None and entry.version >= version:
            return None
        if entry is None:
            self._gone.pop(upstream.upstream_id, None)
            entry = self._add(upstream, now)
        else:
            self._replace(entry, upstream, now)
        self._put(entry)
        self._outbox.emit(messages.UpstreamChanged(upstream=upstream))
        return entry

    def change(self, change: messages.Change) -> state.Entry | None:
        """Apply a partial change; return its entry if it changed.

        If the change is based on another record, its state and a higher epoch
        are applied, but the sequence is kept, so that anti-entropy fetches
        the full record.
        """
        entry = self._entries.get(change.upstream_id)
        if entry is None:
            return None
        known = entry.upstream
        if known.incarnation != change.incarnation:
            return None
        if known.sequence >= change.sequence:
            return None
        base_matches = known.sequence == change.base
        newer_epoch = change.owner_epoch > known.owner_epoch
        updated = msgspec.structs.replace(
            known,
            sequence=change.sequence if base_matches else known.sequence,
            state=change.state,
            owner=change.owner if newer_epoch else known.owner,
            owner_epoch=max(change.owner_epoch, known.owner_epoch),
        )
        if updated == known:
            return None
        entry.upstream = updated
        entry.sequence = max(entry.sequence, change.sequence)
        entry.hidden = False
        self._put(entry)
        self._outbox.emit(messages.UpstreamChanged(upstream=updated))
        return entry

    def bury(
        self, gone: messages.Gone, now: datetime.datetime, *, reason: str
    ) -> bool:
        """Apply a tombstone; return whether it was newer."""
        version = state.gone_version(gone)
        known = self._gone.get(gone.upstream_id)
        if known is not None and state.gone_version(known) >= version:
            return False
        entry = self._entries.get(gone.upstream_id)
        if entry is not None and entry.version >= version:
            return False
        if entry is None and now - gone.at > TOMBSTONE_RETENTION:
            return False
        self._gone[gone.upstream_id] = gone
        self._index.put(
            records.Kind.UPSTREAM, gone.upstream_id, version, live=False
        )
        if entry is not None:
            del self._entries[gone.upstream_id]
            if not gone.left:
                self._flaps.count(gone.upstream_id, now)
            self._emit_gone(entry, reason)
        return True

    def hide(self, entry: state.Entry) -> None:
        """Treat an upstream as gone at this daemon only."""
        if not entry.hidden:
            entry.hidden = True
            entry.owner = None
            self._emit_gone(entry, "zone unreachable")

    def show(self, entry: state.Entry) -> None:
        """Undo ``hide``."""
        if entry.hidden:
            entry.hidden = False
            self._outbox.emit(
                messages.UpstreamChanged(upstream=entry.upstream)
            )

    def forget_gone(self, now: datetime.datetime) -> None:
        """Drop tombstones older than any announcement still in flight."""
        for gone in list(self._gone.values()):
            if now - gone.at > TOMBSTONE_RETENTION:
                del self._gone[gone.upstream_id]
                self._index.remove(records.Kind.UPSTREAM, gone.upstream_id)

    def _add(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> state.Entry:
        entry = state.Entry(
            upstream=upstream, sequence=upstream.sequence, learned_at=now
        )
        self._entries[upstream.upstream_id] = entry
        return entry

    def _replace(
        self,
        entry: state.Entry,
        upstream: messages.Upstream,
        now: datetime.datetime,
    ) -> None:
        if upstream.incarnation > entry.upstream.incarnation:
            self._flaps.count(upstream.upstream_id, now)
            entry.owner = None
            entry.sequence = 0
        entry.upstream = upstream
        entry.sequence = max(entry.sequence, upstream.sequence)
        entry.learned_at = now
        entry.hidden = False

    def _put(self, entry: state.Entry) -> None:
        self._index.put(
            records.Kind.UPSTREAM,
            entry.upstream.upstream_id,
            entry.version,
            live=True,
        )

    def _emit_gone(self, entry: state.Entry, reason: str) -> None:
        self._outbox.emit(
            messages.UpstreamGone(
                upstream_id=entry.upstream.upstream_id,
                incarnation=entry.upstream.incarnation,
                reason=reason,
            )
        )
