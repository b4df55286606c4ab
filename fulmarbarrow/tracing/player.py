"""Feeds a recorded trace to the cores of a daemon built for it."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import tempfile

from twisted.internet import testing

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.config import findings
from fulmarbarrow.config import options
from fulmarbarrow.daemon import assembly
from fulmarbarrow import exceptions
from fulmarbarrow.tracing import invariants
from fulmarbarrow.tracing import observed
from fulmarbarrow.tracing import outcome
from fulmarbarrow.tracing import registry
from fulmarbarrow.tracing import trace

MAX_DIVERGENCES = 3


def play(
    path: pathlib.Path, stated: outcome.Outcome | None
) -> tuple[outcome.Report, observed.Observer]:
    """Replay a trace and compare it with its stated outcome.

    Raises ConfigurationError for a file that can't be replayed.
    """
    header, turns = trace.read(path)
    if not header.from_start:
        raise exceptions.ConfigurationError(
            f"{path} was not recorded from the daemon's start"
        )
    observer = observed.Observer()
    with tempfile.TemporaryDirectory() as folder:
        player = _Player(
            header=header, observer=observer, folder=pathlib.Path(folder)
        )
        found = [*player.feed(turns), *invariants.check(observer)]
        player.close()
    if stated is not None:
        found.extend(outcome.differences(stated, observer))
    report = outcome.Report(
        turns=player.turns,
        messages=observer.counts.total(),
        differences=tuple(found),
    )
    return report, observer


class _Player:
    """The cores of one daemon on a bus without its shells."""

    def __init__(
        self,
        *,
        header: trace.Header,
        observer: observed.Observer,
        folder: pathlib.Path,
    ) -> None:
        self.turns = 0
        self._clock = clocks.ManualClock(start=header.started)
        self._daemon = assembly.Daemon(
            settings=_settings(header, folder),
            reactor=testing.MemoryReactorClock(),
            clock=self._clock,
        )
        self._bus = buses.Bus(clock=self._clock)
        for kind in registry.classes().values():
            self._bus.subscribe(kind, observer.see)
        for core in self._daemon.cores.values():
            self._bus.attach(core)

    def feed(
        self, turns: collections.abc.Iterable[buses.Turn]
    ) -> collections.abc.Iterator[str]:
        """Deliver each turn; yield where it went on differently."""
        divergences = 0
        for turn in turns:
            self._clock.advance(turn.at - self._clock.now())
            queued = self._bus.replay(turn)
            self.turns += 1
            if queued != turn.queued and divergences < MAX_DIVERGENCES:
                divergences += 1
                yield (
                    f"turn {self.turns} at {turn.at.isoformat()} "
                    f"({type(turn.message).__name__}): {queued} messages "
                    f"instead of the {turn.queued} recorded"
                )
        for name, count in self._bus.errors.items():
            yield f"{count} errors in the handling of {name}"

    def close(self) -> None:
        """Let go of the folder."""
        self._daemon.release()


def _settings(
    header: trace.Header, folder: pathlib.Path
) -> defaults.Settings:
    """Return the recorded settings with another data folder."""
    source = findings.Source(
        path=pathlib.Path("settings in the trace"), text=header.settings
    )
    settings, found = options.load(source, defaults.Settings)
    if settings is None:
        raise exceptions.ConfigurationError(
            "; ".join(str(finding) for finding in found)
        )
    section = dataclasses.replace(settings.daemon, data_dir=str(folder))
    return dataclasses.replace(
        settings, daemon=section, trace=defaults.TraceSection()
    )
