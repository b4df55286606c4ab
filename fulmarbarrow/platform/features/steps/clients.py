"""Steps on clients' requests."""

from __future__ import annotations

import datetime

import behave
import msgspec
from twisted.web.test import requesthelper

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import refusals
from fulmarbarrow.edge import dialect
from fulmarbarrow.edge import directory as directories
from fulmarbarrow.platform import clients
from fulmarbarrow.platform import documents

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)


@behave.given("the document")
def step_document(context):
    document = documents.decode(context.text.encode())
    assert documents.findings(document) == []
    bundle = documents.bundle(document)
    # What is replicated is what is put in force.
    bundle = bundles.decode(bundles.encode(bundle))
    context.directory = directories.Directory(bundle=bundle)


@behave.given("no document")
def step_no_document(context):
    context.directory = directories.Directory(bundle=bundles.Bundle())


def ask(context, path, key, left=None, fields=(), number=1):
    request = requesthelper.DummyRequest([b""])
    request.method = b"POST"
    request.uri = path.encode()
    request.getHeader = lambda name: (
        request.requestHeaders.getRawHeaders(name) or [None]
    )[0]
    given = [("Host", "x.example:80"), ("X-Request-Id", "9c41")]
    if key != "none":
        given.append(("X-Api-Key", key))
    if left is not None:
        given.append(("X-Request-Deadline", str(left)))
    for name, value in (*given, *fields):
        request.requestHeaders.addRawHeader(name.encode(), value.encode())
    context.taken = clients.Clients().parse(
        request,
        request_id=f"edge-1-{number}",
        body=b"body",
        directory=context.directory,
        now=NOW,
    )
    return context.taken


@behave.when('a client asks for "{path}" with the key "{key}"')
def step_ask(context, path, key):
    ask(context, path, key)


@behave.when(
    'a client asks for "{path}" with the key "{key}" and {left:d} ms left'
)
def step_ask_left(context, path, key, left):
    ask(context, path, key, left=left)


@behave.when('a client asks for "{path}" with the key "{key}" and the fields')
def step_ask_fields(context, path, key):
    fields = [(row["name"], row["value"]) for row in context.table]
    ask(context, path, key, fields=fields)


@behave.when('{count:d} clients ask for "{path}" with the key "{key}"')
def step_many(context, count, path, key):
    context.services = [
        ask(context, path, key, number=number).arrived.service
        for number in range(count)
    ]
    again = ask(context, path, key, number=1).arrived.service
    assert again == context.services[1]


@behave.then(
    'it is taken for route "{route}", {repeat}, with {attempts:d} attempts'
)
def step_taken(context, route, repeat, attempts):
    arrived = context.taken.arrived
    assert arrived.route == route, arrived
    assert arrived.idempotent is (repeat == "repeatable"), arrived
    assert arrived.attempts == attempts, arrived


@behave.then('it is of account "{account}" with rank {rank:d}')
@behave.then('it is of account "" with rank {rank:d}')
def step_account(context, rank, account=""):
    arrived = context.taken.arrived
    assert (arrived.account, arrived.rank) == (account, rank), arrived


@behave.then("it is refused as {code} with status {status:d}")
def step_refused(context, code, status):
    assert isinstance(context.taken, dialect.Rejected), context.taken
    assert context.taken.code == code, context.taken
    refused = clients.Clients().refuse(code)
    assert refused.status == status, refused


@behave.then("it is told to return within {most:d} ms")
def step_return(context, most):
    returns = refusals.REFUSALS[context.taken.code].retry_delay_ms
    assert returns is not None
    assert returns[1] <= most, returns


@behave.then("it has {left:d} ms")
def step_left(context, left):
    assert context.taken.arrived.deadline == NOW + left * MILLISECOND


@behave.then('only the fields "{names}" go on')
def step_fields(context, names):
    passed = [name.decode().lower() for name, _ in context.taken.fields]
    wanted = [name.strip().lower() for name in names.split(",")]
    assert sorted(passed) == sorted(wanted), passed


@behave.then('its prompt has the parts "{names}" and it costs {cost:d}')
def step_parts(context, names, cost):
    arrived = context.taken.arrived
    found = ", ".join(name for name, _ in arrived.parts)
    assert (found, arrived.cost) == (names, cost), arrived


@behave.then('service "{name}" gets between {least:d} and {most:d} of them')
def step_share(context, name, least, most):
    assert least <= context.services.count(name) <= most


@behave.when("a request is refused as {code} that has run {ran}")
def step_refuse(context, code, ran):
    context.refused = clients.Clients().refuse(code, ran=messages.Ran(ran))


@behave.then("the status is {status:d}")
def step_status(context, status):
    assert context.refused.status == status, context.refused


@behave.when(
    'a client asks for "{path}" with the key "{key}" and a field {name} of '
    "{value}"
)
def step_ask_field(context, path, key, name, value):
    count, _, unit = value.partition(" ")
    if unit == "nines":
        value = "9" * int(count)
    elif value.startswith("many parts"):
        value = ",".join(f"{number:x}:{'9' * 30}" for number in range(400))
    fields = [(name, value)]
    if name == "X-Prompt-Prefix" or name == "Last-Event-Id":
        fields.append(("X-Token-Count", "1460,80"))
    left = None
    if name == "X-Request-Deadline":
        left = value
        fields = []
    ask(context, path, key, left=left, fields=fields)


@behave.then("every number of the request fits into 64 bits")
def step_bounded_numbers(context):
    arrived = context.taken.arrived
    total = sum(tokens for _, tokens in arrived.parts)
    for number in (arrived.cost, arrived.resumed_from, total):
        assert 0 <= number < 2**63, arrived
    assert msgspec.msgpack.encode(arrived.parts)
