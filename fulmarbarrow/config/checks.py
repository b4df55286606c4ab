"""Validates the settings of a daemon beyond their types."""

from __future__ import annotations

import collections
import collections.abc
import datetime
import ipaddress
import logging
import math
import re

from fulmarbarrow.config import defaults
from fulmarbarrow.config import findings

MIN_USAGE_WINDOW = datetime.timedelta(seconds=1)
MIN_KEY_CHARACTERS = 16
MIN_ANSWER_BUFFER_BYTES = 192 << 10
MIN_LEASE = datetime.timedelta(seconds=1)  # for four renewals on ticks
# Intervals between calls that are much longer than the leases of their duties
# make no sense, and some have no representation.
MIN_CALLS_PER_SECOND = 0.01
MAX_NAME_CHARACTERS = 128
LISTENERS = (
    "callers",
    "upstreams",
    "admin",
    "peers",
    "metrics",
    "ready",
    "operators",
)

# Visible characters of a header field, without spaces at its ends.
_NAME = re.compile(
    rf"(?:[!-~](?:[ -~]{{0,{MAX_NAME_CHARACTERS - 2}}}[!-~])?)?"
)
_Findings = collections.abc.Iterator[findings.Finding]


def check(settings: defaults.Settings, source: findings.Source) -> _Findings:
    """Yield the errors and warnings about the settings of a daemon."""
    yield from _check_roles(settings, source)
    yield from _check_keys(settings, source)
    yield from _check_addresses(settings, source)
    yield from _check_ranges(settings, source)
    yield from _check_duties(settings, source)
    if settings.log.level not in logging.getLevelNamesMapping():
        text = f"{settings.log.level!r} is not a log level"
        yield source.finding("log.level", text)


def _check_roles(
    settings: defaults.Settings, source: findings.Source
) -> _Findings:
    roles = settings.daemon.roles
    if not roles:
        yield source.finding("daemon.roles", "must list at least one role")
    for role, names in _required_listeners(settings).items():
        for name in names:
            if role in roles and getattr(settings.listen, name) is None:
                text = f"required for the role '{role}'"
                yield source.finding(f"listen.{name}", text)
    if defaults.Role.CONTROL in roles:
        yield from _check_control(settings, source)
    elif not settings.peers.seeds:
        text = "is empty: this daemon does not join a fleet"
        yield _warning(source, "peers.seeds", text)


def _required_listeners(
    settings: defaults.Settings,
) -> dict[defaults.Role, tuple[str, ...]]:
    """Return the listeners that each role requires with this interface."""
    if settings.daemon.interface is defaults.Interface.PLATFORM:
        return {
            defaults.Role.ROUTER: ("callers", "ready"),
            defaults.Role.CONTROL: ("operators",),
        }
    return {
        defaults.Role.ROUTER: ("callers", "upstreams", "admin"),
        defaults.Role.CONTROL: ("admin",),
    }


def _check_control(
    settings: defaults.Settings, source: findings.Source
) -> _Findings:
    if not settings.daemon.data_dir:
        text = "required for the role 'control'"
        yield source.finding("daemon.data_dir", text)
    members = settings.control.members
    own_entries = [item for item in members if item.id == settings.daemon.id]
    if members and not own_entries:
        text = f"does not include this daemon, {settings.daemon.id!r}"
        yield source.finding("control.members", text)
    for member in own_entries:
        if member.address != settings.listen.peers:
            text = f"has {member.address} for this daemon, not listen.peers"
            yield source.finding("control.members", text)
    if _has_duplicates(member.id for member in members):
        yield source.finding(
            "control.members", "contains an id more than once"
        )
    if _has_duplicates(member.address for member in members):
        yield source.finding(
            "control.members", "contains an address more than once"
        )
    if len(members) % 2 == 0 and members:
        text = (
            f"has {len(members)} entries; one fewer tolerates as many failures"
        )
        yield _warning(source, "control.members", text)


def _check_keys(
    settings: defaults.Settings, source: findings.Source
) -> _Findings:
    keys = {
        "daemon.fleet_key": settings.daemon.fleet_key,
        "daemon.admin_key": settings.daemon.admin_key,
    }
    for name, key in keys.items():
        optional = name == "daemon.admin_key" and not key
        if len(key) < MIN_KEY_CHARACTERS and not optional:
            text = f"must have at least {MIN_KEY_CHARACTERS} characters"
            yield source.finding(name, text)
    admin = settings.listen.admin
    if admin is not None and not settings.daemon.admin_key:
        host = ipaddress.ip_address(admin.host)
        if not host.is_loopback:
            text = f"required because listen.admin {host} is not loopback"
            yield source.finding("daemon.admin_key", text)
    has_own_interface = settings.daemon.interface is defaults.Interface.OWN
    is_router = defaults.Role.ROUTER in settings.daemon.roles
    if has_own_interface and is_router and not settings.upstreams.key:
        text = "is empty: any client of the port can become an upstream"
        yield _warning(source, "upstreams.key", text)


def _check_addresses(
    settings: defaults.Settings, source: findings.Source
) -> _Findings:
    seen: dict[object, str] = {}
    for name in LISTENERS:
        address = getattr(settings.listen, name)
        if address is None:
            continue
        first = seen.setdefault(address, name)
        if first != name and address.port:
            text = f"{address} is already the address of listen.{first}"
            yield source.finding(f"listen.{name}", text)
    if ipaddress.ip_address(settings.listen.peers.host).is_unspecified:
        text = "must be an address at which other daemons can reach this one"
        yield source.finding("listen.peers", text)
    if _has_duplicates(settings.peers.seeds):
        yield _warning(
            source, "peers.seeds", "contains an address more than once"
        )
    own_seed = settings.listen.peers in settings.peers.addresses
    if own_seed and not settings.control.from_seeds:
        yield _warning(
            source, "peers.seeds", "contains the address of this daemon"
        )


def _check_ranges(
    settings: defaults.Settings, source: findings.Source
) -> _Findings:
    zero = datetime.timedelta()
    for name, value in (
        ("upstreams.lease", settings.upstreams.lease),
        ("limits.progress_timeout", settings.limits.progress_timeout),
        ("retries.window", settings.retries.window),
    ):
        if value <= zero:
            yield source.finding(name, "must be above 0")
    # Shorter windows would make tables of the last minute without a bound.
    if settings.usage.window and settings.usage.window < MIN_USAGE_WINDOW:
        yield source.finding("usage.window", "must be 0 or at least 1s")
    if settings.usage.report_within <= zero:
        yield source.finding("usage.report_within", "must be above 0")
    if settings.control.snapshot_entries <= 0:
        yield source.finding("control.snapshot_entries", "must be above 0")
    for name in (
        "max_body_bytes",
        "max_answer_buffer_bytes",
        "max_waiting_requests",
    ):
        if getattr(settings.limits, name) <= 0:
            yield source.finding(f"limits.{name}", "must be above 0")
    if settings.scaling.enabled:
        yield from _check_scaling(settings, source)
    if settings.retries.ratio < 0 or settings.retries.slack < 0:
        yield source.finding("retries", "must not be negative")
    if zero < settings.daemon.stop_within <= settings.daemon.grace:
        text = "must be above daemon.grace"
        yield source.finding("daemon.stop_within", text)
    if settings.daemon.grace <= zero:
        text = "is 0: requests that the load balancer still sends are refused"
        yield _warning(source, "daemon.grace", text)
    buffer = settings.limits.max_answer_buffer_bytes
    if 0 < buffer < MIN_ANSWER_BUFFER_BYTES:
        text = f"is below {MIN_ANSWER_BUFFER_BYTES}: slow callers are cut off"
        yield _warning(source, "limits.max_answer_buffer_bytes", text)
    if settings.trace.path and not settings.daemon.data_dir:
        text = "required because trace.path is relative to it"
        yield source.finding("daemon.data_dir", text)


def _check_scaling(
    settings: defaults.Settings, source: findings.Source
) -> _Findings:
    if settings.scaling.interval <= datetime.timedelta():
        yield source.finding("scaling.interval", "must be above 0")
    if settings.duties.address is None:
        text = "has no effect without duties.address"
        yield _warning(source, "scaling.enabled", text)


def _check_duties(
    settings: defaults.Settings, source: findings.Source
) -> _Findings:
    duties = settings.duties
    zero = datetime.timedelta()
    for name in ("lease", "call_timeout"):
        if getattr(duties, name) <= zero:
            yield source.finding(f"duties.{name}", "must be above 0")
    if duties.late_execution < zero:
        yield source.finding("duties.late_execution", "must not be negative")
    if not 0 < duties.calls_per_second < math.inf:
        text = "must be a number above 0"
        yield source.finding("duties.calls_per_second", text)
    elif duties.calls_per_second < MIN_CALLS_PER_SECOND:
        text = f"must be at least {MIN_CALLS_PER_SECOND}"
        yield source.finding("duties.calls_per_second", text)
    named = duties.address is None or duties.name
    if not named and not _NAME.fullmatch(settings.daemon.id):
        text = "required because daemon.id is not fit for a header"
        yield source.finding("duties.name", text)
    if not _NAME.fullmatch(duties.name):
        text = f"must be at most {MAX_NAME_CHARACTERS} characters of a header"
        yield source.finding("duties.name", text)
    if duties.address is not None and not duties.address.port:
        yield source.finding("duties.address", "must have a port above 0")
    if zero < duties.lease < MIN_LEASE:
        text = "is below 1 s: a renewal comes at most every 250 ms"
        yield _warning(source, "duties.lease", text)


def _has_duplicates(items: collections.abc.Iterable[object]) -> bool:
    return any(count > 1 for count in collections.Counter(items).values())


def _warning(source: findings.Source, key: str, text: str) -> findings.Finding:
    return source.finding(key, text, findings.Severity.WARNING)
