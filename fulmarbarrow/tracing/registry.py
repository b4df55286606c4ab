"""All message classes, for traces."""

from __future__ import annotations

import collections.abc
import functools
import operator
import typing

from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.duties import messages as duties_messages
from fulmarbarrow.journal import messages as journal_messages
from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message as messages
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.scaling import messages as scaling_messages
from fulmarbarrow.usage import messages as usage_messages
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.zones import messages as zones_messages

SLICES = (
    consensus_messages,
    delivery_messages,
    duties_messages,
    journal_messages,
    limits_messages,
    membership_messages,
    placement_messages,
    publishing_messages,
    scaling_messages,
    usage_messages,
    versions_messages,
    zones_messages,
)


def classes() -> dict[str, type[messages.Message]]:
    """Return every message class by its tag.

    ``Send`` holds another message and is only ever an effect.
    """
    return {
        messages.tag(kind): kind
        for kind in _below(messages.Message)
        if kind is not messages.Send
    }


def union() -> typing.Any:
    """Return the union of all message classes, for a decoder."""
    return functools.reduce(operator.or_, classes().values())


def _below(
    kind: type[messages.Message],
) -> collections.abc.Iterator[type[messages.Message]]:
    for child in kind.__subclasses__():
        if child.__module__.startswith("fulmarbarrow."):
            yield child
            yield from _below(child)
