"""Steps on operators' documents."""

from __future__ import annotations

import copy
import datetime
import json
import random

import behave
import msgspec

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow import decoding
from fulmarbarrow.edge import client
from fulmarbarrow.platform import documents
from fulmarbarrow.platform import registrations

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MUTATION_SEED = 5
INSERTED = (
    b"9" * 30,
    b"e308",
    b"-",
    b"null",
    b"[]",
    b"{}",
    b'"\\ud800"',
    b"1e999",
)
HEARTBEAT = {
    "Service": "s",
    "Address": "10.128.0.9:8080",
    "Zone": "z",
    "Version": "v1",
    "Slots": 128,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Models": [{"Name": "m", "Version": 1}],
    "Sequence": 4,
    "born": 1_700_000_000_000,
}

ROUTE = {
    "Name": "a",
    "Host": "x.example",
    "PathPrefix": "/lo/",
    "RouteType": "idempotent",
    "TimeoutMs": 2000,
    "Service": "n",
}
DOCUMENT = {
    "Version": 3,
    "Routes": [ROUTE, {**ROUTE, "Name": "b", "PathPrefix": "/hi/"}],
    "Services": [{"Name": "n"}],
    "Tenants": [
        {"Name": "t1", "ApiKeys": ["k1"]},
        {"Name": "t2", "ApiKeys": ["k2"]},
    ],
}


SCALING = {"MinReplicas": 13, "MaxReplicas": 30, "BootS": 8.0}
SCALING_CHANGES = {
    "bounds on replicas": {},
    "least replicas above most": {"MinReplicas": 31},
    "replicas below 0": {"MinReplicas": -1},
    "a start time below 0": {"BootS": -0.5},
    "a start time of 10^30 s": {"BootS": 1e30},
    "an infinite start time": {"BootS": float("inf")},
    "replicas in words": {"MaxReplicas": "many"},
}


def change(document, name):
    first, second = document["Routes"]
    if name in SCALING_CHANGES:
        scaling = SCALING | SCALING_CHANGES[name]
        document["Services"][0]["Scaling"] = scaling
    match name:
        case "a field that nobody knows":
            first["Colour"] = {"of": "the route"}
        case "an unknown service":
            first["Service"] = "z"
        case "the same place twice":
            second["PathPrefix"] = first["PathPrefix"]
        case "weights that add up to 0":
            first["TrafficSplit"] = [{"Service": "n", "Weight": 0}]
        case "a timeout of 0":
            first["TimeoutMs"] = 0
        case "two tenants with one key":
            document["Tenants"][1]["ApiKeys"].append("k1")
        case "a cold start of 10^30 s":
            document["Services"][0]["ColdStartS"] = 1e30
        case "a version of 80 bits":
            document["Version"] = 1 << 80
        case "10^30 slots":
            document["Services"][0]["Engine"] = {"Slots": 10**30}
        case "a version in words":
            document["Version"] = "three"
        case "no routes field":
            del document["Routes"]


@behave.when("the document is read with {name}")
def step_read(context, name):
    document = copy.deepcopy(DOCUMENT)
    change(document, name)
    data = json.dumps(document).encode()
    if name == "its second half missing":
        data = data[: len(data) // 2]
    context.document = None
    try:
        context.document = documents.decode(data)
    except msgspec.DecodeError:
        return
    context.found = documents.check(context.document)[1]


@behave.then("it is valid")
def step_valid(context):
    assert context.document is not None
    assert context.found == [], context.found


@behave.then('it is invalid at "{text}"')
def step_invalid(context, text):
    assert any(item.startswith(text) for item in context.found), context.found


@behave.then(
    "its service has {least:d} to {most:d} upstreams in a zone and starts"
    " them in {seconds:d} s"
)
def step_scaling(context, least, most, seconds):
    (service,) = documents.bundle(context.document).service
    assert service.scaling == bundles.Scaling(
        least=least,
        most=most,
        start_time=datetime.timedelta(seconds=seconds),
    )


@behave.then("its encoded configuration does not mention scaling")
def step_no_scaling(context):
    encoded = bundles.encode(documents.bundle(context.document))
    assert b"scaling" not in encoded


@behave.then("it is unreadable")
def step_unreadable(context):
    assert context.document is None


def mutate(rng, data):
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        place = rng.randrange(len(changed))
        kind = rng.random()
        if kind < 0.5:
            changed[place] = rng.choice(b'0123456789"{}[],:-e.\x00\xff')
        elif kind < 0.8:
            changed[place:place] = rng.choice(INSERTED)
        else:
            del changed[place : place + rng.randint(1, 9)]
    return bytes(changed)


def take_document(data):
    """Return whether a document can be put in force."""
    try:
        document = documents.decode(data)
    except msgspec.DecodeError:
        return False
    bundle, _ = documents.check(document)
    if bundle is None:
        return False
    bundles.decode(bundles.encode(bundle))
    return True


def take_heartbeat(data):
    """Return whether a heartbeat names a worker."""
    try:
        heartbeat = decoding.decode_json(data, registrations.Heartbeat)
        announced = heartbeat.announced("i-1", NOW)
    except registrations.UNREADABLE:
        return False
    client.place(announced.upstream.url)
    msgspec.msgpack.encode(announced)
    return True


@behave.when(
    "{count:d} altered documents and {again:d} altered heartbeats come"
)
def step_mutated(context, count, again):
    rng = random.Random(MUTATION_SEED)
    document = json.dumps(
        {
            **DOCUMENT,
            "Services": [
                {
                    "Name": "n",
                    "ColdStartS": 3.0,
                    "ColdPerS": 24.0,
                    "Engine": {"Slots": 128, "KvCapacityTokens": 862096},
                }
            ],
        }
    ).encode()
    heartbeat = json.dumps(HEARTBEAT).encode()
    context.verdicts = [
        {take_document(mutate(rng, document)) for _ in range(count)},
        {take_heartbeat(mutate(rng, heartbeat)) for _ in range(again)},
    ]


@behave.then(
    "each is refused, or can be put in force and sent to other daemons"
)
def step_mutated_handled(context):
    assert context.verdicts == [{True, False}, {True, False}]
