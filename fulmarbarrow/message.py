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
    """An immutable message; its class name is its tag on the wire.

    A class that was renamed keeps its old name as its tag: ``tag="Old"``.

    New fields go to the end and have a default, so that daemons of two
    neighbouring releases understand each other.
    """


def tag(kind: Message | type[Message]) -> str:
    """Return the tag of a message or a message class on the wire."""
    return str(kind.__struct_config__.tag)


class Tick(Message, frozen=True, kw_only=True):
    """Time has passed; cores look at their timeouts and leases."""


class Send(Message, frozen=True, kw_only=True):
    """Effect: send ``message`` to the daemon at ``address``.

    ``urgent`` messages go ahead of everything else that waits.
    """

    address: str
    message: Message
    urgent: bool = False
