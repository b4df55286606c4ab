"""Parsing and type checking of settings and configuration files."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import difflib
import enum
import ipaddress
import re
import tomllib
import typing

import cattrs
import cattrs.errors
import msgspec

from fulmarbarrow.config import findings

T = typing.TypeVar("T")

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h|d|w)$")
_UNIT_SECONDS = {
    "ms": 0.001,
    "s": 1,
    "m": 60,
    "h": 3600,
    "d": 86400,
    "w": 604800,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address in the format of the settings."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(value: object) -> Address:
    """Parse an address ``"IP:PORT"``; raises ValueError if it is invalid."""
    host, separator, port = str(value).rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{value!r} is not an address like '127.0.0.1:8080'")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    return Address(host=host, port=int(port))


def parse_duration(value: object) -> datetime.timedelta:
    """Parse a duration, given as seconds or text such as ``"250ms"``."""
    if isinstance(value, datetime.timedelta):
        return value
    if isinstance(value, int | float) and not isinstance(value, bool):
        return datetime.timedelta(seconds=value)
    match = _DURATION.match(str(value))
    if not match:
        raise ValueError(f"{value!r} is not a duration like '250ms' or '2s'")
    seconds = float(match.group(1)) * _UNIT_SECONDS[match.group(2)]
    return datetime.timedelta(seconds=seconds)


def _structure_strict(value: object, kind: type) -> object:
    """Return ``value`` if it has the type ``kind``; never convert it.

    cattrs also calls the hook of ``str`` for enumerations that derive from it;
    ``_structure_enum`` handles these.
    """
    if issubclass(kind, enum.Enum):
        return _structure_enum(value, kind)
    if type(value) is not kind:
        raise ValueError(f"{value!r} is not of type {kind.__name__}")
    return value


def _structure_float(value: object, _: type) -> float:
    if type(value) not in (int, float):
        raise ValueError(f"{value!r} is not a number")
    return float(typing.cast("float", value))


def _structure_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    try:
        return kind(value)
    except ValueError:
        allowed = ", ".join(str(item.value) for item in kind)
        raise ValueError(f"{value!r} is not one of {allowed}") from None


def _structure_datetime(value: object, _: type) -> datetime.datetime:
    if not isinstance(value, datetime.datetime) or value.tzinfo is None:
        raise ValueError(f"{value!r} is not a date and time with a UTC offset")
    return value


def _is_unsettable(kind: object) -> bool:
    return msgspec.UnsetType in typing.get_args(kind)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for kind in (str, int, bool):
        converter.register_structure_hook(kind, _structure_strict)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(
        Address, lambda value, _: parse_address(value)
    )
    converter.register_structure_hook(
        datetime.timedelta, lambda value, _: parse_duration(value)
    )
    converter.register_structure_hook(datetime.datetime, _structure_datetime)
    converter.register_structure_hook_func(
        _is_unsettable,
        lambda value, kind: converter.structure(
            value, typing.get_args(kind)[0]
        ),
    )
    return converter


_CONVERTER = _make_converter()


def load(
    source: findings.Source, kind: type[T]
) -> tuple[T | None, list[findings.Finding]]:
    """Parse a TOML source into the data class ``kind``.

    Returns None and the findings if the source is invalid.
    """
    try:
        data = tomllib.loads(source.text)
    except tomllib.TOMLDecodeError as error:
        line = re.search(r"line (\d+)", str(error))
        finding = findings.Finding(
            file=str(source.path),
            key="",
            line=int(line.group(1)) if line else 0,
            text=str(error),
        )
        return None, [finding]
    try:
        return _CONVERTER.structure(data, kind), []
    except cattrs.errors.BaseValidationError as error:
        messages = _flatten_errors(error, "")
        return None, [source.finding(key, text) for key, text in messages]


def _flatten_errors(
    error: BaseException, path: str
) -> collections.abc.Iterator[tuple[str, str]]:
    """Yield the dotted key and the message of each error in ``error``."""
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        yield from _unknown_key_errors(error, path)
        return
    if not isinstance(error, cattrs.errors.BaseValidationError):
        yield path, _error_message(error)
        return
    for inner in error.exceptions:
        yield from _flatten_errors(
            inner, path + _path_segment(inner, bool(path))
        )


def _path_segment(error: BaseException, nested: bool) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, cattrs.errors.AttributeValidationNote):
            return f".{note.name}" if nested else str(note.name)
        if isinstance(note, cattrs.errors.IterableValidationNote):
            return f"[{note.index}]"
    return ""


def _unknown_key_errors(
    error: cattrs.errors.ForbiddenExtraKeysError, path: str
) -> collections.abc.Iterator[tuple[str, str]]:
    known = [field.name for field in dataclasses.fields(error.cl)]
    for key in sorted(error.extra_fields):
        matches = difflib.get_close_matches(key, known, n=1)
        hint = f"; did you mean {matches[0]!r}?" if matches else ""
        yield (
            f"{path}.{key}" if path else key,
            f"unknown key{hint}",
        )


def _error_message(error: BaseException) -> str:
    if isinstance(error, KeyError):
        return "required key is missing"
    return str(error)
