"""Turns typed state into plain data for dumps."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import typing

import msgspec


def plain(value: typing.Any) -> typing.Any:
    """Return ``value`` as maps, lists, text and numbers with field names."""
    if isinstance(value, msgspec.Struct):
        return {
            name: plain(getattr(value, name))
            for name in value.__struct_fields__
        }
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, dict):
        return {str(plain(key)): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [plain(item) for item in value]
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, datetime.timedelta):
        return value.total_seconds()
    if isinstance(value, datetime.datetime):
        return value.isoformat()
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    return value
