"""Feeds a recorded trace to the cores of a daemon built for it."""

from __future__ import annotations

import collections.abc
import pathlib
import random

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.config import findings
from fulmarbarrow.config import options
from fulmarbarrow.consensus import memory as consensus_memory
from fulmarbarrow.consensus import records as consensus_records
from fulmarbarrow.consensus import state as consensus_state
from fulmarbarrow.daemon import cores
from fulmarbarrow import exceptions
from fulmarbarrow import message as messages
from fulmarbarrow.observe import metrics
from fulmarbarrow.tracing import invariants
from fulmarbarrow.tracing import observed
from fulmarbarrow.tracing import outcome
from fulmarbarrow.tracing import registry
from fulmarbarrow.tracing import trace

MAX_DIVERGENCES = 3


def play(
    path: pathlib.Path,
    stated: outcome.Outcome | None,
    *,
    outcome_only: bool = False,
) -> tuple[outcome.Report, observed.Observer]:
    """Replay a trace and compare it with its stated outcome.

    With ``outcome_only`` the recorded decisions may differ, as those of a
    later release do. The shells' part of the trace is then that of the old
    decisions, so only the stated outcome and the invariants count.

    Raises ConfigurationError for a file that can't be replayed.
    """
    header, turns = trace.read(path)
    if not header.from_start:
        raise exceptions.ConfigurationError(
            f"{path} was not recorded from a daemon's first start"
        )
    observer = observed.Observer()
    player = _Player(header=header, observer=observer)
    divergences = list(player.feed(turns))
    found = [*player.errors(), *invariants.check(observer)]
    if not outcome_only:
        found = [*divergences, *found]
    if stated is not None:
        found.extend(outcome.differences(stated, observer))
    report = outcome.Report(
        turns=player.turns,
        messages=observer.counts.total(),
        differences=tuple(found),
    )
    return report, observer


class _RecordedLogs:
    """Empty logs whose writes are acknowledged by the trace itself."""

    def __init__(self, *, host_identity: str) -> None:
        self.host_identity = host_identity

    def open(
        self, group: consensus_records.Group
    ) -> consensus_state.StoredState:
        """Return an empty disk."""
        return consensus_memory.MemoryLogStore().open(group)


class _Player:
    """The cores of one daemon on a bus without its shells."""

    def __init__(
        self, *, header: trace.Header, observer: observed.Observer
    ) -> None:
        self.turns = 0
        self._clock = clocks.ManualClock(start=header.started)
        self.bus = buses.Bus(clock=self._clock)
        for kind in registry.classes().values():
            self.bus.subscribe(kind, observer.see)
        settings = _settings(header)
        record = cores.describe(settings, header.started)
        cores.Cores(
            settings=settings,
            record=record,
            bus=self.bus,
            metrics=metrics.Metrics(),
            rng=random.Random(record.incarnation),
            now=header.started,
            logs=_RecordedLogs(host_identity=header.host_identity),
            stores_revisions=bool(settings.daemon.data_dir),
        )

    def feed(
        self, turns: collections.abc.Iterable[buses.Turn]
    ) -> collections.abc.Iterator[str]:
        """Deliver each turn; yield where it went on differently."""
        divergences = 0
        for turn in turns:
            self._clock.advance(turn.at - self._clock.now())
            queued = self.bus.replay(turn)
            self.turns += 1
            if queued != turn.queued and divergences < MAX_DIVERGENCES:
                divergences += 1
                yield (
                    f"turn {self.turns} at {turn.at.isoformat()} "
                    f"({messages.tag(turn.message)}): {queued} messages "
                    f"instead of the {turn.queued} recorded"
                )

    def errors(self) -> collections.abc.Iterator[str]:
        """Yield the errors that cores raised."""
        for name, count in self.bus.errors.items():
            yield f"{count} errors in the handling of {name}"


def _settings(header: trace.Header) -> defaults.Settings:
    source = findings.Source(
        path=pathlib.Path("settings in the trace"), text=header.settings
    )
    settings, found = options.load(source, defaults.Settings)
    if settings is None:
        raise exceptions.ConfigurationError(
            "; ".join(str(finding) for finding in found)
        )
    return settings
