"""The life of a daemon from its start to the end of a graceful shutdown."""

from __future__ import annotations

import typing

import automat


class Actions(typing.Protocol):
    """What the lifecycle has done by the assembled daemon."""

    def begin_serving(self) -> None:
        """Start the clockwork; the ports are bound already."""

    def announce_stop(self) -> None:
        """Turn the health check to 503 and tell the other daemons."""

    def refuse_new(self) -> None:
        """Refuse new requests."""

    def close(self) -> None:
        """Close everything and end the process."""


class Lifecycle(typing.Protocol):
    """Inputs of the lifecycle."""

    def start(self) -> None:
        """Start to serve."""

    def stop(self) -> None:
        """Begin the graceful shutdown; a second call ends at once."""

    def grace_over(self) -> None:
        """The balancer has had time to notice."""

    def drained(self) -> None:
        """No request is open any more."""

    def time_over(self) -> None:
        """The process must end now, whatever is open."""


def _build() -> typing.Callable[[Actions], Lifecycle]:
    builder = automat.TypeMachineBuilder(Lifecycle, Actions)
    idle = builder.state("idle")
    serving = builder.state("serving")
    leaving = builder.state("leaving")
    draining = builder.state("draining")
    stopped = builder.state("stopped")

    @idle.upon(Lifecycle.start).to(serving)
    def start(_: Lifecycle, actions: Actions) -> None:
        actions.begin_serving()

    @serving.upon(Lifecycle.stop).to(leaving)
    def stop(_: Lifecycle, actions: Actions) -> None:
        actions.announce_stop()

    @leaving.upon(Lifecycle.grace_over).to(draining)
    def grace_over(_: Lifecycle, actions: Actions) -> None:
        actions.refuse_new()

    @draining.upon(Lifecycle.drained).to(stopped)
    def drained(_: Lifecycle, actions: Actions) -> None:
        actions.close()

    @leaving.upon(Lifecycle.time_over).to(stopped)
    def time_over_while_leaving(_: Lifecycle, actions: Actions) -> None:
        actions.close()

    @draining.upon(Lifecycle.time_over).to(stopped)
    def time_over(_: Lifecycle, actions: Actions) -> None:
        actions.close()

    @leaving.upon(Lifecycle.stop).to(stopped)
    def stop_while_leaving(_: Lifecycle, actions: Actions) -> None:
        actions.close()

    @draining.upon(Lifecycle.stop).to(stopped)
    def stop_while_draining(_: Lifecycle, actions: Actions) -> None:
        actions.close()

    serving.upon(Lifecycle.drained).loop().returns(None)
    leaving.upon(Lifecycle.drained).loop().returns(None)
    stopped.upon(Lifecycle.stop).loop().returns(None)
    stopped.upon(Lifecycle.drained).loop().returns(None)
    stopped.upon(Lifecycle.grace_over).loop().returns(None)
    stopped.upon(Lifecycle.time_over).loop().returns(None)
    return builder.build()


make_lifecycle = _build()
