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

    def first_loaded(self) -> None:
        """An engine offers the new version."""

    def canary_passed(self) -> None:
        """The canary has run long enough."""

    def expanded(self) -> None:
        """Only the last engine still offers the old version."""

    def watch_ended(self) -> None:
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
        move_input: typing.Callable[..., None],
        target: messages.Phase,
    ) -> None:
        @states[origin].upon(move_input).to(states[target])
        def entered(_: Move, actions: MoveActions) -> None:
            actions.enter(target)

    connect(phase.LOADING, Move.first_loaded, phase.CANARY)
    connect(phase.CANARY, Move.canary_passed, phase.EXPANDING)
    connect(phase.EXPANDING, Move.expanded, phase.WATCHING)
    connect(phase.WATCHING, Move.watch_ended, phase.COMPLETING)
    connect(phase.COMPLETING, Move.all_new, phase.COMPLETED)
    connect(phase.ROLLING_BACK, Move.all_old, phase.ROLLED_BACK)
    for origin in (
        phase.LOADING,
        phase.CANARY,
        phase.EXPANDING,
        phase.WATCHING,
        phase.COMPLETING,
        phase.COMPLETED,
    ):
        connect(origin, Move.fault, phase.ROLLING_BACK)
    return builder.build()


_new_machine = _build()


class _ActionGuard:
    """Suppresses actions while the state machine is being restored."""

    def __init__(self, *, actions: MoveActions) -> None:
        self._actions = actions
        self.enabled = False

    def enter(self, phase: messages.Phase) -> None:
        if self.enabled:
            self._actions.enter(phase)


# The inputs that lead from the initial state to each phase.
_INPUTS_TO_PHASE: dict[messages.Phase, tuple[str, ...]] = {
    messages.Phase.LOADING: (),
    messages.Phase.CANARY: ("first_loaded",),
    messages.Phase.EXPANDING: ("first_loaded", "canary_passed"),
    messages.Phase.WATCHING: ("first_loaded", "canary_passed", "expanded"),
    messages.Phase.COMPLETING: (
        "first_loaded",
        "canary_passed",
        "expanded",
        "watch_ended",
    ),
    messages.Phase.COMPLETED: (
        "first_loaded",
        "canary_passed",
        "expanded",
        "watch_ended",
        "all_new",
    ),
    messages.Phase.ROLLING_BACK: ("fault",),
    messages.Phase.ROLLED_BACK: ("fault", "all_old"),
}


def resume(phase: messages.Phase, actions: MoveActions) -> Move:
    """Return a state machine in the phase that was committed last."""
    guard = _ActionGuard(actions=actions)
    move = _new_machine(guard)
    for name in _INPUTS_TO_PHASE[phase]:
        getattr(move, name)()
    guard.enabled = True
    return move
