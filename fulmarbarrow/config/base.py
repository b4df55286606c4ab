"""Loads a daemon's settings and checks them as a whole."""

from __future__ import annotations

import logging
import pathlib

from fulmarbarrow.config import defaults
from fulmarbarrow.config import findings
from fulmarbarrow.config import options


def load_settings(
    path: pathlib.Path,
) -> tuple[defaults.Settings | None, list[findings.Finding]]:
    """Return the settings in a file, and every finding about them."""
    try:
        text = path.read_text()
    except OSError as error:
        finding = findings.Finding(
            file=str(path), key="", line=0, text=error.strerror or str(error)
        )
        return None, [finding]
    source = findings.Source(path=path, text=text)
    settings, found = options.load(source, defaults.Settings)
    if settings is None:
        return None, found
    found = _check(settings, source)
    if findings.errors(found):
        return None, found
    return settings, found


def _check(
    settings: defaults.Settings, source: findings.Source
) -> list[findings.Finding]:
    """Return findings about settings that only make sense together."""
    found = []
    roles = settings.daemon.roles
    if not roles:
        found.append(source.finding("daemon.roles", "names no role"))
    if defaults.Role.ROUTER in roles:
        for name in ("callers", "upstreams"):
            if getattr(settings.listen, name) is None:
                text = "required for the role 'router'"
                found.append(source.finding(f"listen.{name}", text))
    if defaults.Role.CONTROL in roles:
        found.extend(_check_control(settings, source))
    if len(settings.daemon.fleet_key) < 16:
        text = "must have at least 16 characters"
        found.append(source.finding("daemon.fleet_key", text))
    if settings.log.level not in logging.getLevelNamesMapping():
        text = f"{settings.log.level!r} is not a log level"
        found.append(source.finding("log.level", text))
    return found


def _check_control(
    settings: defaults.Settings, source: findings.Source
) -> list[findings.Finding]:
    found = []
    if not settings.daemon.data_dir:
        text = "required for the role 'control'"
        found.append(source.finding("daemon.data_dir", text))
    members = [member.id for member in settings.control.members]
    if members and settings.daemon.id not in members:
        text = f"do not name this daemon, {settings.daemon.id!r}"
        found.append(source.finding("control.members", text))
    if len(set(members)) != len(members):
        text = "name a daemon twice"
        found.append(source.finding("control.members", text))
    return found
