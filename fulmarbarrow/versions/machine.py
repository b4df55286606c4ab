"""State machine of a version move."""

from __future__ import annotations

import typing

import automat

from fulmarbarrow.versions import messages


class MoveActions(typing.Protocol):
    """Outputs of the state machine."""

    def enter(self, phase: messages.Phase) -> None:
        """Propose that the move enters a phase."""


class Move(typing.Protocol):
    """Inputs of the state machine."""

    def warm(self) -> None:
        """An engine offers the new version."""

    def proven(self) -> None:
        """The canary has run long enough."""

    def expanded(self) -> None:
        """Only the last engine still offers the old version."""

    def watched(self) -> None:
        """The watch period is over; the last engine may be moved."""

    def all_new(self) -> None:
        """No engine offers the old version any longer."""

    def fault(self) -> None:
        """The new version is faulty or the move missed its deadline."""

    def all_old(self) -> None:
        """No engine offers the new version any longer."""


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
    """Suppresses actions while the state machine is being restored."""

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
    """Return a state machine in the phase that was committed last."""
    guard = _Resumed(actions=actions)
    move = _factory(guard)
    for name in _PATHS[phase]:
        getattr(move, name)()
    guard.live = True
    return move
