"""Applies committed entries to the state machines; takes snapshots."""

from __future__ import annotations

import collections.abc

from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import state

# A snapshot is taken after this many entries, or bytes of them, are applied.
SNAPSHOT_ENTRIES = 1000
SNAPSHOT_BYTES = 4 << 20
# Entries kept in memory before a snapshot for followers that lag behind.
RETAINED_ENTRIES = 200

Listener = collections.abc.Callable[[records.Entry], None]


class Applier:
    """Applies committed entries in the order of the log."""

    def __init__(
        self, *, node: state.Node, snapshot_entries: int = SNAPSHOT_ENTRIES
    ) -> None:
        self._node = node
        self._snapshot_entries = snapshot_entries
        self._listeners: list[Listener] = []
        self._applied_bytes = 0
        self._requested_snapshot_index = 0
        self._machine_states: dict[str, bytes] = {}
        self._unknown_states: tuple[records.MachineState, ...] = ()

    def add_listener(self, listener: Listener) -> None:
        """Register a listener that is called with each applied entry."""
        self._listeners.append(listener)

    def commit(self, index: int) -> None:
        """Commit and apply the entries up to ``index``."""
        node = self._node
        node.commit_index = max(node.commit_index, index)
        while node.applied_index < node.commit_index:
            entry = node.log.entry(node.applied_index + 1)
            if entry is None:
                return
            node.applied_index = entry.index
            self._apply(entry)
        self._request_snapshot()

    def restore(self, snapshot: records.Snapshot) -> None:
        """Restore the state machines from a snapshot.

        Hosts of another build or with other settings have other machines. A
        state without a machine here is kept for the next snapshot, and a
        machine without a state begins again with the empty one, so that what
        is restored depends on the snapshot alone. The initial snapshot of a
        log has no states.
        """
        node = self._node
        node.applied_index = max(node.applied_index, snapshot.index)
        node.commit_index = max(node.commit_index, snapshot.index)
        self._applied_bytes = 0
        self._requested_snapshot_index = 0
        known = set(node.machines)
        self._unknown_states = tuple(
            part for part in snapshot.machines if part.machine not in known
        )
        states = {part.machine: part.state for part in snapshot.machines}
        missing = known - states.keys() if snapshot.index else set()
        states |= dict.fromkeys(missing, b"")
        for name in sorted(known & states.keys()):
            node.effects.append(
                messages.SnapshotRestored(
                    group=node.group,
                    index=snapshot.index,
                    state=states[name],
                    machine=name,
                )
            )

    def snapshot_taken(self, event: messages.SnapshotTaken) -> None:
        """Store a snapshot once every state machine has sent its state."""
        node = self._node
        if (
            event.index != self._requested_snapshot_index
            or event.machine not in node.machines
        ):
            return
        self._machine_states[event.machine] = event.state
        if len(self._machine_states) < len(node.machines):
            return
        term = node.log.term_at(event.index)
        self._requested_snapshot_index = 0
        self._applied_bytes = 0
        if term is None:
            return
        taken = (
            records.MachineState(machine=name, state=data)
            for name, data in self._machine_states.items()
        )
        snapshot = records.Snapshot(
            index=event.index,
            term=term,
            log_id=node.log_id,
            configuration=node.log.configuration_at(event.index),
            machines=tuple(
                sorted(
                    (*taken, *self._unknown_states),
                    key=lambda part: part.machine,
                )
            ),
        )
        node.persist(snapshot=snapshot)
        node.log.compact(snapshot, keep=RETAINED_ENTRIES)
        node.metrics.count("consensus_snapshots", group=node.group)

    def _apply(self, entry: records.Entry) -> None:
        node = self._node
        self._applied_bytes += len(entry.data)
        if entry.kind is records.EntryKind.COMMAND:
            node.effects.append(
                messages.Applied(
                    group=node.group,
                    index=entry.index,
                    term=entry.term,
                    command=entry.data,
                    machine=entry.machine,
                )
            )
        for listener in self._listeners:
            listener(entry)

    def _request_snapshot(self) -> None:
        node = self._node
        if not node.machines or self._requested_snapshot_index:
            return
        count = node.applied_index - node.log.snapshot.index
        if (
            count < self._snapshot_entries
            and self._applied_bytes < SNAPSHOT_BYTES
        ):
            return
        if count == 0:
            return
        self._requested_snapshot_index = node.applied_index
        self._machine_states = {}
        node.effects.append(
            messages.SnapshotWanted(group=node.group, index=node.applied_index)
        )
