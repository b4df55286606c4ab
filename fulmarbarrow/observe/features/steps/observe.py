"""Steps about metrics, layout and keys."""

from __future__ import annotations

import datetime
import json
import re
import tomllib

import behave

from fulmarbarrow.commands import key as key_command
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.edge import directory
from fulmarbarrow import exceptions
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.observe import table


@behave.given('metrics of daemon "{daemon}" in zone "{zone}"')
def step_metrics(context, daemon, zone):
    context.metrics = metrics_module.Metrics(
        common={"daemon": daemon, "zone": zone}
    )


@behave.when(
    '{count:d} requests of "{account}" to "{service}" take {millis:d} ms each'
)
def step_requests(context, count, account, service, millis):
    labels = {"account": account, "service": service}
    for _ in range(count):
        context.metrics.count("requests", **labels)
        context.metrics.record(
            "request", datetime.timedelta(milliseconds=millis), **labels
        )


@behave.then("the exposition has the line")
def step_line(context):
    lines = context.metrics.exposition().decode().splitlines()
    assert context.text in lines, lines


@behave.then('a median of "{account}" between {low:d} and {high:d} ms')
def step_median(context, account, low, high):
    text = context.metrics.exposition().decode()
    found = re.search(
        rf'fulmarbarrow_request_seconds{{account="{account}".*'
        r'quantile="0.5".*} (\S+)',
        text,
    )
    assert low / 1000 <= float(found.group(1)) <= high / 1000, found.group(0)


@behave.when("{count:d} accounts take a request each")
def step_accounts(context, count):
    context.count = count
    for number in range(count):
        context.metrics.record(
            "request",
            datetime.timedelta(milliseconds=5),
            account=str(number),
        )


@behave.then(
    "there are at most {most:d} histograms and none of the requests is lost"
)
def step_bounded(context, most):
    shown = context.metrics.dump()["percentiles_microseconds"]
    assert len(shown) <= most, len(shown)
    assert sum(item["count"] for item in shown.values()) == context.count


@behave.when("this state is laid out")
def step_layout(context):
    context.laid_out = table.render(json.loads(context.text))


@behave.then("it reads")
def step_reads(context):
    assert context.laid_out == context.text, context.laid_out


@behave.when('a key is made for account "{name}"')
def step_key(context, name):
    context.printed = key_command.key(name)


@behave.then("the printed account is found by the printed key")
def step_found(context):
    secret = context.printed.splitlines()[1].removeprefix("# ")
    printed = tomllib.loads(context.printed)["account"][0]
    account = bundles.Account(**printed)
    found = directory.Directory(bundle=bundles.Bundle(account=(account,)))
    assert found.account(secret) == account
    assert found.account(secret + "x") is None


@behave.then('no key is made for account "{name}"')
def step_no_key(context, name):
    try:
        key_command.key(name)
    except exceptions.ConfigurationError:
        return
    raise AssertionError("a key was made")
