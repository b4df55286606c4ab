"""Base class of all messages within and between daemons."""

from __future__ import annotations

import msgspec


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag=True,
):
    """An immutable message; by default the class name is its wire tag.

    A class that is renamed keeps its old name as the tag: ``tag="Old"``.

    New fields are appended and have a default, so that daemons of two
    consecutive releases can exchange messages.
    """


def tag(message: Message | type[Message]) -> str:
    """Return the wire tag of a message or a message class."""
    return str(message.__struct_config__.tag)


class Tick(Message, frozen=True, kw_only=True):
    """Periodic timer event on which cores check timeouts and leases."""


class Send(Message, frozen=True, kw_only=True):
    """Effect: send ``message`` to the daemon at ``address``.

    ``urgent`` messages are sent before all other queued messages. One that is
    ``fresh`` goes on a new connection, as the open one may be silent.
    """

    address: str
    message: Message
    urgent: bool = False
    fresh: bool = False
