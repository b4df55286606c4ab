"""Decodes JSON that comes from outside the system."""

from __future__ import annotations

import typing

import msgspec

T = typing.TypeVar("T")


def decode_json(data: bytes | str, kind: type[T]) -> T:
    """Return the decoded value; raises msgspec.DecodeError.

    JSON that is nested too deeply is an error of its writer like any other.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
