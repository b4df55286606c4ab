"""Messages about the number of upstreams of a service."""

from __future__ import annotations

import datetime

from fulmarbarrow import message

SEPARATOR = "/"


def subject(service: str, zone: str) -> str:
    """Return the subject of the scaling duty for a service in a zone."""
    return f"{service}{SEPARATOR}{zone}"


class OrderUpstreams(message.Message, frozen=True, kw_only=True):
    """Effect: order a number of upstreams from the platform.

    No byte may be sent at or after ``valid_until``.
    """

    call_id: str
    holder: str
    number: int
    service: str
    zone: str
    wanted: int
    valid_until: datetime.datetime


PEER_MESSAGES: tuple[type[message.Message], ...] = ()
