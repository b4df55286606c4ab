"""What the HTTP interface of a daemon is made of and does."""

from __future__ import annotations

import dataclasses
import typing

from fulmarbarrow import bus as buses
from fulmarbarrow import clock as clocks
from fulmarbarrow.config import defaults
from fulmarbarrow.daemon import listeners
from fulmarbarrow.edge import exchange
from fulmarbarrow.edge import guard as guards
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.relay import dialer as dialers

MAX_OWN_BODY_BYTES = 16 << 20  # bundles and announcements


class Callers(typing.Protocol):
    """The edge towards callers, for the daemon's shutdown and dump."""

    def begin_stop(self) -> None:
        """Tell the balancer to send no more requests here."""

    def refuse_new(self) -> None:
        """Refuse new requests; open ones go on."""

    def answered(self) -> bool:
        """Return whether no request is open."""

    def drained(self) -> bool:
        """Return whether every answer is sent and its connection closed."""

    def dump(self) -> dict[str, typing.Any]:
        """Return the open answers as plain data."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parts:
    """What an interface is made of."""

    settings: defaults.Settings
    record: membership_messages.Daemon
    reactor: typing.Any
    bus: buses.Bus
    clock: clocks.Clock
    metrics: metrics_module.Metrics
    exchanges: exchange.Exchanges
    dialer: dialers.Dialer | None = None
    guard: guards.Guard | None = None


class Interface(typing.Protocol):
    """Serves all from outside the system."""

    callers: Callers | None

    def listen(self, made: listeners.Listeners) -> None:
        """Add the ports of the daemon's roles."""
