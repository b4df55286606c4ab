"""Steps on the amended state."""

from __future__ import annotations

import behave

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.publishing import amendments
from fulmarbarrow.publishing import delta as deltas
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


@behave.given("an accepted state")
def step_state(context):
    context.state = state.PublishedState()
    context.results = []


@behave.when('documents come with the numbers "{numbers}" and {kind} accounts')
@behave.when(
    'documents come with the numbers "{numbers}" and {kind} accounts each'
)
def step_documents(context, numbers, kind):
    for place, number in enumerate(map(int, numbers.split())):
        name = f"account-{place}" if kind == "other" else "same"
        amend(context, document(number, name))


@behave.then(
    "number {number:d} holds with its first content, after {count:d} revisions"
)
def step_holds(context, number, count):
    held = packing.unpack(context.state.document).decode()
    assert held.startswith(f"document {number} "), held
    assert (context.state.number, context.state.revision) == (number, count)
    name = held.rpartition(" ")[2]
    (found,) = context.state.content.bundle().account
    assert found == account(name), found


@behave.then("every one of them is acknowledged")
def step_acknowledged(context):
    assert all(not result.code for result in context.results)


@behave.when(
    'zone "{zone}" is taken out, a document {number:d} comes, and zone '
    '"{again}" is taken out again'
)
def step_zone(context, zone, number, again):
    amend(context, amendments.SetZone(zone=zone, out=True))
    amend(context, document(number, "a"))
    amend(context, amendments.SetZone(zone=again, out=True))


@behave.when('zone "{zone}" is taken back in')
def step_zone_in(context, zone):
    amend(context, amendments.SetZone(zone=zone, out=False))


@behave.then('zone "{zone}" is {standing} after {count:d} revisions')
def step_zone_is(context, zone, standing, count):
    (found,) = context.state.content.bundle().zone
    assert (found.name, found.state.value) == (zone, standing), found
    assert context.state.revision == count, context.state.revision


@behave.when("the state is restored from a snapshot")
def step_restore(context):
    data = context.state.encode()
    context.state = state.PublishedState()
    context.state.restore(data)


@behave.then("the steps give the content of the last revision and its digest")
def step_steps(context):
    content = deltas.Content(bundle=bundles.Bundle())
    for step in context.state.history.deltas:
        content.apply(step)
    assert content.encode() == context.state.content.encode()
    assert deltas.digest(content.encode()) == context.state.digest
