"""The life of a version move as a state machine."""

from __future__ import annotations

import typing

import automat

from fulmarbarrow.versions import messages


class MoveActions(typing.Protocol):
    """What a move has done by the control core."""

    def enter(self, phase: messages.Phase) -> None:
        """Propose that the move enters a phase."""


class Move(typing.Protocol):
    """Inputs of a version move."""

    def warm(self) -> None:
        """An engine offers the new version."""

    def proven(self) -> None:
        """The new version stood beside the old one long enough."""

    def expanded(self) -> None:
        """Only the engine that is held back offers the old version."""

    def watched(self) -> None:
        """The watch is over; the last engine may move."""

    def all_new(self) -> None:
        """No engine offers the old version any more."""

    def fault(self) -> None:
        """The new version is bad, or can't be in place by its deadline."""

    def all_old(self) -> None:
        """No engine offers the new version any more."""


def _build() -> typing.Callable[..., Move]:
    builder = automat.TypeMachineBuilder(Move, MoveActions)
    phase = messages.Phase
    states = {item: builder.state(item.value) for item in phase}

    def connect(
        origin: messages.Phase,
        given: typing.Callable[..., None],
        target: messages.Phase,
    ) -> None:
        @states[origin].upon(given).to(states[target])
        def entered(_: Move, actions: MoveActions) -> None:
            actions.enter(target)

    connect(phase.LOADING, Move.warm, phase.CANARY)
    connect(phase.CANARY, Move.proven, phase.EXPANDING)
    connect(phase.EXPANDING, Move.expanded, phase.WATCHING)
    connect(phase.WATCHING, Move.watched, phase.COMPLETING)
    connect(phase.COMPLETING, Move.all_new, phase.COMPLETED)
    connect(phase.TAKING_BACK, Move.all_old, phase.TAKEN_BACK)
    for origin in (
        phase.LOADING,
        phase.CANARY,
        phase.EXPANDING,
        phase.WATCHING,
        phase.COMPLETING,
        phase.COMPLETED,
    ):
        connect(origin, Move.fault, phase.TAKING_BACK)
    return builder.build()


_factory = _build()


class _Resumed:
    """Passes steps on to the real actions once the state is reached."""

    def __init__(self, *, actions: MoveActions) -> None:
        self._actions = actions
        self.live = False

    def enter(self, phase: messages.Phase) -> None:
        if self.live:
            self._actions.enter(phase)


_PATHS: dict[messages.Phase, tuple[str, ...]] = {
    messages.Phase.LOADING: (),
    messages.Phase.CANARY: ("warm",),
    messages.Phase.EXPANDING: ("warm", "proven"),
    messages.Phase.WATCHING: ("warm", "proven", "expanded"),
    messages.Phase.COMPLETING: ("warm", "proven", "expanded", "watched"),
    messages.Phase.COMPLETED: (
        "warm",
        "proven",
        "expanded",
        "watched",
        "all_new",
    ),
    messages.Phase.TAKING_BACK: ("fault",),
    messages.Phase.TAKEN_BACK: ("fault", "all_old"),
}


def resume(phase: messages.Phase, actions: MoveActions) -> Move:
    """Return a move's machine in the phase that was committed last."""
    guard = _Resumed(actions=actions)
    move = _factory(guard)
    for name in _PATHS[phase]:
        getattr(move, name)()
    guard.live = True
    return move
