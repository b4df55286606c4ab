"""Loads the configuration files of several folders into one bundle."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import pathlib

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import findings
from fulmarbarrow.config import options

FILE_NAMES = ("fulmarbarrow.toml", "accounts.toml", "zones.toml")


def collect(
    roots: collections.abc.Iterable[pathlib.Path],
) -> tuple[bundles.Bundle, list[findings.Finding]]:
    """Return the merged bundle of all files below ``roots``, and findings."""
    parts = []
    found = []
    for path in _find_files(roots):
        source = _read(path)
        if isinstance(source, findings.Finding):
            found.append(source)
            continue
        part, problems = options.load(source, bundles.Bundle)
        found.extend(problems)
        if part is not None:
            parts.append((source, part))
            found.extend(_check_values(part, source))
    found.extend(_check_unique_names(parts))
    bundle = _merge([part for _, part in parts])
    found.extend(_check_references(parts, bundle))
    return bundle, found


def _read(path: pathlib.Path) -> findings.Source | findings.Finding:
    """Read a file; return a finding if it can't be read."""
    try:
        return findings.Source(path=path, text=path.read_text("utf-8"))
    except OSError as error:
        text = error.strerror or str(error)
    except UnicodeDecodeError as error:
        text = f"is not UTF-8 at byte {error.start}"
    return findings.Finding(file=str(path), key="", line=0, text=text)


def _find_files(
    roots: collections.abc.Iterable[pathlib.Path],
) -> list[pathlib.Path]:
    found = set()
    for root in roots:
        for name in FILE_NAMES:
            found.update(path.resolve() for path in root.rglob(name))
    return sorted(found)


def _merge(parts: list[bundles.Bundle]) -> bundles.Bundle:
    """Merge the bundles of several files into one.

    The entries are sorted, so that the digest of the result does not depend
    on the order or paths of the files.
    """

    def merge_entries(name: str, key: str) -> tuple:
        items = [item for part in parts for item in getattr(part, name)]
        return tuple(sorted(items, key=lambda item: getattr(item, key)))

    return bundles.Bundle(
        service=merge_entries("service", "name"),
        account=merge_entries("account", "name"),
        zone=merge_entries("zone", "name"),
        version_move=merge_entries("version_move", "id"),
        host_route=merge_entries("host_route", "name"),
    )


def _check_values(
    part: bundles.Bundle, source: findings.Source
) -> collections.abc.Iterator[findings.Finding]:
    for index, service in enumerate(part.service):
        key_prefix = f"service[{index}]"
        if service.kind is bundles.ServiceKind.MODEL and not service.models:
            yield source.finding(
                key_prefix, "a model service must have at least one model"
            )
        for route_index, route in enumerate(service.routes):
            key = f"{key_prefix}.routes[{route_index}]"
            if not route.path.startswith("/"):
                yield source.finding(f"{key}.path", "must start with '/'")
            if route.worth < 0:
                yield source.finding(f"{key}.worth", "must not be negative")
            if route.cost_tokens <= 0:
                yield source.finding(f"{key}.cost_tokens", "must be above 0")
        if service.scaling:
            yield from _check_scaling(service.scaling, source, key_prefix)
    for index, account in enumerate(part.account):
        if account.weight <= 0:
            yield source.finding(f"account[{index}].weight", "must be above 0")
        if not 0 <= account.reserved_share < 1:
            yield source.finding(
                f"account[{index}].reserved_share", "must be in [0, 1)"
            )
    for index, move in enumerate(part.version_move):
        if not 0 < move.share_cap <= 1:
            yield source.finding(
                f"version_move[{index}].share_cap", "must be in (0, 1]"
            )
        if move.old == move.new:
            yield source.finding(
                f"version_move[{index}].new", "is the same as old"
            )


def _check_scaling(
    scaling: bundles.Scaling, source: findings.Source, prefix: str
) -> collections.abc.Iterator[findings.Finding]:
    key = f"{prefix}.scaling"
    if scaling.least < 0:
        yield source.finding(f"{key}.least", "must not be negative")
    if scaling.most < scaling.least:
        yield source.finding(f"{key}.most", "must not be below least")
    limit = bundles.MAX_START_TIME
    if not datetime.timedelta() <= scaling.start_time <= limit:
        yield source.finding(f"{key}.start_time", "must be from 0 to 24 hours")


def _check_unique_names(
    parts: list[tuple[findings.Source, bundles.Bundle]],
) -> collections.abc.Iterator[findings.Finding]:
    seen: dict[tuple[str, str], str] = {}
    for source, part in parts:
        for field in dataclasses.fields(part):
            key = "id" if field.name == "version_move" else "name"
            for index, item in enumerate(getattr(part, field.name)):
                name = getattr(item, key)
                first = seen.setdefault((field.name, name), str(source.path))
                if first != str(source.path) or _is_duplicate(
                    part, field.name, key, index
                ):
                    full_key = f"{field.name}[{index}].{key}"
                    text = f"{name!r} is already defined in {first}"
                    yield source.finding(full_key, text)


def _is_duplicate(
    part: bundles.Bundle, name: str, key: str, index: int
) -> bool:
    items = getattr(part, name)
    names = collections.Counter(getattr(item, key) for item in items[:index])
    return names[getattr(items[index], key)] > 0


def _check_references(
    parts: list[tuple[findings.Source, bundles.Bundle]],
    bundle: bundles.Bundle,
) -> collections.abc.Iterator[findings.Finding]:
    services = {service.name: service for service in bundle.service}
    for source, part in parts:
        for index, move in enumerate(part.version_move):
            service = services.get(move.service)
            models = {m.name for m in service.models} if service else set()
            if service is None:
                key = f"version_move[{index}].service"
                text = f"no service is named {move.service!r}"
                yield source.finding(key, text)
            elif move.model not in models:
                key = f"version_move[{index}].model"
                text = f"{move.service!r} has no model {move.model!r}"
                yield source.finding(key, text)
        for index, account in enumerate(part.account):
            for name in account.services:
                if name not in services:
                    key = f"account[{index}].services"
                    yield source.finding(key, f"no service is named {name!r}")
        for index, route in enumerate(part.host_route):
            for target in route.targets:
                if target.service not in services:
                    key = f"host_route[{index}].targets"
                    text = f"no service is named {target.service!r}"
                    yield source.finding(key, text)
