"""Cross-checks the settings of all daemons of a fleet."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.config import findings
from fulmarbarrow.config import settings_file

FOLDER_NAME = "hosts"

_Findings = collections.abc.Iterator[findings.Finding]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Host:
    """Settings of a daemon and the file that defines them."""

    settings: defaults.Settings
    source: findings.Source


def collect(
    roots: collections.abc.Iterable[pathlib.Path],
) -> tuple[list[Host], list[findings.Finding]]:
    """Load the settings in all ``hosts`` folders below ``roots``."""
    found: list[findings.Finding] = []
    hosts = []
    for path in _find_files(roots):
        settings, problems = settings_file.load_settings(path)
        found.extend(problems)
        if settings is not None:
            source = findings.Source(path=path, text=path.read_text())
            hosts.append(Host(settings=settings, source=source))
    return hosts, found


def check(hosts: list[Host], bundle: bundles.Bundle) -> _Findings:
    """Yield a finding for each inconsistency between the hosts."""
    yield from _check_ids_and_addresses(hosts)
    yield from _check_zones(hosts, bundle)
    yield from _check_keys(hosts)
    yield from _check_seeds_and_members(hosts)


def _find_files(
    roots: collections.abc.Iterable[pathlib.Path],
) -> list[pathlib.Path]:
    return sorted(
        {
            path
            for root in roots
            for path in root.rglob(f"{FOLDER_NAME}/*.toml")
        }
    )


def _check_ids_and_addresses(hosts: list[Host]) -> _Findings:
    paths_by_id: dict[str, pathlib.Path] = {}
    paths_by_address: dict[object, pathlib.Path] = {}
    for host in hosts:
        path = host.source.path
        daemon_id = host.settings.daemon.id
        first = paths_by_id.setdefault(daemon_id, path)
        if first != path:
            text = f"{daemon_id!r} is already the id in {first}"
            yield host.source.finding("daemon.id", text)
        for listener in ("admin", "peers", "callers", "upstreams"):
            address = getattr(host.settings.listen, listener)
            if address is None or address.host == "127.0.0.1":
                continue
            first = paths_by_address.setdefault(address, path)
            if first != path:
                text = f"{address} is already a listen address in {first}"
                yield host.source.finding(f"listen.{listener}", text)


def _check_zones(hosts: list[Host], bundle: bundles.Bundle) -> _Findings:
    regions = {zone.name: zone.region for zone in bundle.zone}
    for host in hosts:
        daemon = host.settings.daemon
        if regions and daemon.zone not in regions:
            text = f"no zone is named {daemon.zone!r}"
            yield host.source.finding("daemon.zone", text)
        elif regions and daemon.region != regions[daemon.zone]:
            text = f"the region of the zone is {regions[daemon.zone]!r}"
            yield host.source.finding("daemon.region", text)


def _check_keys(hosts: list[Host]) -> _Findings:
    for key, section, name in (
        ("daemon.fleet_key", "daemon", "fleet_key"),
        ("upstreams.key", "upstreams", "key"),
    ):
        expected = None
        for host in hosts:
            value = getattr(getattr(host.settings, section), name)
            expected = value if expected is None else expected
            if value != expected:
                text = f"differs from the value in {hosts[0].source.path}"
                yield host.source.finding(key, text)


def _check_seeds_and_members(hosts: list[Host]) -> _Findings:
    peers = {host.settings.listen.peers for host in hosts}
    expected_members = None
    for host in hosts:
        for seed in host.settings.peers.addresses:
            if seed not in peers:
                text = f"{seed} is not the listen.peers address of any host"
                yield host.source.finding("peers.seeds", text)
        if defaults.Role.CONTROL not in host.settings.daemon.roles:
            continue
        own_members = set(host.settings.control.members)
        expected_members = (
            own_members if expected_members is None else expected_members
        )
        if own_members != expected_members:
            text = "differs from the value of another control host"
            yield host.source.finding("control.members", text)
