"""Steps for the consistency checks of configuration folders."""

from __future__ import annotations

import json
import pathlib
import shutil
import tempfile

import behave

from fulmarbarrow.commands import check
from fulmarbarrow.config import collect
from fulmarbarrow.config import hosts


@behave.when('the folder "{folder}" is checked')
def step_check_folder(context, folder):
    context.roots = [pathlib.Path(folder)]
    context.report = json.loads(check.check(folder, json=True))


@behave.then("it has no findings")
def step_no_findings(context):
    assert context.report["findings"] == [], context.report


@behave.then(
    "it has {daemons:d} entry hosts in {zones:d} zones and {accounts:d} "
    "accounts"
)
def step_fleet_size(context, daemons, zones, accounts):
    hosts_found, _ = hosts.collect(context.roots)
    bundle, _ = collect.collect(context.roots)
    assert len(hosts_found) == daemons
    assert len({host.settings.daemon.zone for host in hosts_found}) == zones
    assert len(bundle.zone) == zones
    assert len(bundle.account) == accounts
    assert len([a for a in bundle.account if a.priority]) == 1


@behave.given('a copy of "{folder}"')
def step_copy_folder(context, folder):
    context.copy = pathlib.Path(tempfile.mkdtemp())
    shutil.copytree(folder, context.copy, dirs_exist_ok=True)


@behave.given('in "{name}" "{old}" is replaced by "{new}"')
def step_replace_text(context, name, old, new):
    path = context.copy / name
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))


@behave.when("the copy is checked")
def step_check_copy(context):
    daemons, context.found = hosts.collect([context.copy])
    bundle, _ = collect.collect([context.copy])
    context.found.extend(hosts.check(daemons, bundle))
    shutil.rmtree(context.copy)
