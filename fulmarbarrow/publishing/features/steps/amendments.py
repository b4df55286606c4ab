"""Steps for amendments."""

from __future__ import annotations

import dataclasses
import datetime
import json
import random

import behave
import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import edits
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing
from fulmarbarrow.publishing import state


def account(name):
    return bundles.Account(name=name, key_salt=name, key_digest="00")


def amend(context, amendment):
    command = amendments.AmendCommand(amend_id="a", amendment=amendment)
    context.results.append(context.state.amend(command))


def document(number, name):
    bundle = bundles.Bundle(account=(account(name),))
    return amendments.ReplaceServices(
        number=number,
        bundle=packing.pack(bundles.encode(bundle)),
        document=packing.pack(f"document {number} {name}".encode()),
    )


@behave.given("an empty state")
def step_empty_state(context):
    context.state = state.PublishedState()
    context.results = []


def services(name):
    kind = bundles.ServiceKind.PLAIN
    return bundles.Bundle(service=(bundles.Service(name=name, kind=kind),))


def publish(context, bundle, *, host, base):
    context.publishes = getattr(context, "publishes", 0) + 1
    request = messages.PublishRequested(
        publish_id=str(context.publishes),
        publisher="p",
        base_revision=base,
        digest="",
        bundle=bundles.encode(bundle),
    )
    result = context.state.apply(host.to_publish_command(request, bundle))
    assert not result.code, result


@behave.given('a rollout of service "{service}" to "{target}" is in force')
def step_rollout(context, service, target):
    publish(context, services(service), host=context.state, base=0)
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    order = amendments.StartRollout(
        service=service,
        target=target,
        old="v1",
        ordered_at=start,
        deadline=start + datetime.timedelta(seconds=12),
        share=0.1,
    )
    amend(context, order)


@behave.when('a file with service "{service}" is published at {host} host')
def step_file(context, service, host):
    outdated = host == "an outdated"
    origin = state.PublishedState() if outdated else context.state
    # An account makes the content differ from that of the current revision.
    bundle = dataclasses.replace(
        services(service), account=(account(service),)
    )
    publish(context, bundle, host=origin, base=context.state.revision)


@behave.then('the rollout to "{target}" is in force')
def step_in_force(context, target):
    moves = context.state.content.bundle().version_move
    assert [move.new for move in moves] == [target], moves


@behave.then("no rollout is in force")
def step_none_in_force(context):
    assert not context.state.content.bundle().version_move


@behave.when(
    'documents with the numbers "{numbers}" and {kind} accounts are sent'
)
def step_documents(context, numbers, kind):
    for index, number in enumerate(map(int, numbers.split())):
        name = f"account-{index}" if kind == "different" else "same"
        amend(context, document(number, name))


@behave.then(
    "document {number:d} is stored with its first content, after {count:d} "
    "revisions"
)
def step_stored(context, number, count):
    stored = packing.unpack(context.state.document).decode()
    assert stored.startswith(f"document {number} "), stored
    assert (context.state.number, context.state.revision) == (number, count)
    name = stored.rpartition(" ")[2]
    (found,) = context.state.content.bundle().account
    assert found == account(name), found


@behave.then("every document is acknowledged")
def step_acknowledged(context):
    assert all(not result.code for result in context.results)


@behave.when(
    'zone "{zone}" is disabled, document {number:d} is sent, and zone '
    '"{same_zone}" is disabled again'
)
def step_zone(context, zone, number, same_zone):
    amend(context, amendments.SetZone(zone=zone, out=True))
    amend(context, document(number, "a"))
    amend(context, amendments.SetZone(zone=same_zone, out=True))


@behave.when('zone "{zone}" is enabled')
def step_zone_in(context, zone):
    amend(context, amendments.SetZone(zone=zone, out=False))


@behave.then('zone "{zone}" is {zone_state} after {count:d} revisions')
def step_zone_state(context, zone, zone_state, count):
    (found,) = context.state.content.bundle().zone
    assert (found.name, found.state.value) == (zone, zone_state), found
    assert context.state.revision == count, context.state.revision


@behave.when("the state is restored from a snapshot")
def step_restore(context):
    data = context.state.encode()
    context.state = state.PublishedState()
    context.state.restore(data)


@behave.then("the deltas produce the content and digest of the last revision")
def step_deltas(context):
    content = deltas.Content(bundle=bundles.Bundle())
    for delta in context.state.history.deltas:
        content.apply(delta)
    assert content.encode() == context.state.content.encode()
    assert deltas.digest(content.encode()) == context.state.digest


def routes_document(number, count, deadline_ms):
    """Return a document; ``deadline_ms`` is the deadline of one route."""
    rng = random.Random(7)
    routes = [
        {"host": f"h{rng.random()}", "prefix": f"/p{rng.random()}/", "ms": 900}
        for _ in range(count)
    ]
    routes[10]["ms"] = deadline_ms
    bundle = bundles.Bundle(
        host_route=tuple(
            bundles.HostRoute(
                name=route["host"] + route["prefix"],
                host=route["host"],
                prefix=route["prefix"],
                targets=(),
                deadline=datetime.timedelta(milliseconds=route["ms"]),
            )
            for route in routes
        )
    )
    text = json.dumps(
        {"Number": number, "Routes": routes}, separators=(",", ":")
    )
    return amendments.ReplaceServices(
        number=number,
        bundle=packing.pack(bundles.encode(bundle)),
        document=packing.pack(text.encode()),
    )


@behave.given("a state with document {number:d} of {count:d} routes")
def step_stored_document(context, number, count):
    context.states = [state.PublishedState() for _ in range(2)]
    context.route_count = count
    command = amendments.AmendCommand(
        amend_id="a", amendment=routes_document(number, count, 900)
    )
    for item in context.states:
        item.amend(command)


@behave.when(
    "document {number:d} with a different deadline for one route is encoded "
    "as a diff"
)
def step_other_deadline(context, number):
    context.full_command = amendments.AmendCommand(
        amend_id="b",
        amendment=routes_document(number, context.route_count, 1200),
    )
    command = context.states[0].to_delta_command(context.full_command)
    context.replicated = msgspec.msgpack.encode(command)


@behave.then("less than {count:d} bytes are replicated")
def step_bytes(context, count):
    assert len(context.replicated) < count, len(context.replicated)


@behave.then(
    "another host that applies them has document {number:d} as it was sent"
)
def step_as_sent(context, number):
    command = msgspec.msgpack.decode(
        context.replicated, type=state.ReviseCommand
    )
    for item in context.states:
        assert item.revise(command).number == number
        sent = packing.unpack(context.full_command.amendment.document)
        assert packing.unpack(item.document) == sent


@behave.then("the hosts agree on the revision's digest")
def step_digests(context):
    for item in context.states:
        assert item.revision == 2
        assert deltas.digest(item.content.encode()) == item.digest
    full = state.PublishedState()
    full.amend(context.full_command)
    assert full.digest == context.states[0].digest


@behave.when('zone "{zone}" is disabled meanwhile')
def step_meanwhile(context, zone):
    command = amendments.AmendCommand(
        amend_id="c", amendment=amendments.SetZone(zone=zone, out=True)
    )
    for item in context.states:
        item.amend(command)


@behave.then("the diff is not applied, but the full document is")
def step_outdated(context):
    command = msgspec.msgpack.decode(
        context.replicated, type=state.ReviseCommand
    )
    for item in context.states:
        assert item.revise(command) is None
        assert item.number == 3
        assert item.amend(context.full_command).number == 4


class CountedBytes(bytes):
    """Bytes that count comparisons."""

    compared = 0

    def __eq__(self, other):
        CountedBytes.compared += 1
        return bytes.__eq__(self, other)

    __hash__ = bytes.__hash__


class CountedDocument(bytes):
    """A document whose records count comparisons."""

    def split(self, separator):
        return [CountedBytes(part) for part in bytes.split(self, separator)]


def records(parts):
    return CountedDocument(edits.SEPARATOR.join(parts))


@behave.given(
    "two documents of {count:d} records, half of them equal, with one change "
    "each"
)
def step_similar_documents(context, count):
    def parts(changed):
        found = [
            b"alike" if i % 2 else f"record {i}".encode() for i in range(count)
        ]
        found[changed] = f"changed {changed}".encode()
        return found

    CountedBytes.compared = 0
    context.base, context.data = records(parts(10)), records(parts(700))
    context.diff = edits.diff(context.base, context.data)


@behave.then("the diff between them copies all but the changed records")
def step_copies(context):
    inserted = [
        record
        for operation in context.diff
        if isinstance(operation, edits.Insert)
        for record in operation.records
    ]
    assert len(inserted) <= 2, inserted
    packed_diff = edits.encode_diff(bytes(context.base), bytes(context.data))
    assert edits.apply_diff(context.base, packed_diff) == context.data


@behave.then("less than {count:d} records are compared")
def step_compared(context, count):
    assert CountedBytes.compared < count, CountedBytes.compared


@behave.given('a document of records "{names}"')
def step_records(context, names):
    context.base = records(name.encode() for name in names.split())


@behave.when('the records change to "{names}"')
def step_change(context, names):
    context.data = records(name.encode() for name in names.split())


@behave.then("the diff reproduces them")
def step_reproduced(context):
    packed_diff = edits.encode_diff(bytes(context.base), bytes(context.data))
    assert edits.apply_diff(context.base, packed_diff) == context.data, (
        packed_diff
    )


@behave.when(
    "document {number:d} with {more:d} more routes is encoded as a diff"
)
def step_many_more(context, number, more):
    context.full_command = amendments.AmendCommand(
        amend_id="b",
        amendment=routes_document(number, context.route_count + more, 900),
    )
    command = context.states[0].to_delta_command(context.full_command)
    context.replicated = msgspec.msgpack.encode(command)


@behave.then("no more bytes are replicated than for the full document")
def step_no_more_bytes(context):
    full_size = len(msgspec.msgpack.encode(context.full_command))
    assert len(context.replicated) <= full_size, (
        len(context.replicated),
        full_size,
    )
