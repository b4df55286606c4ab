"""Steps on operators' documents."""

from __future__ import annotations

import copy
import json

import behave
import msgspec

from fulmarbarrow.platform import documents

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


def change(document, name):
    first, second = document["Routes"]
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
    context.found = documents.findings(context.document)


@behave.then("it is valid")
def step_valid(context):
    assert context.document is not None
    assert context.found == [], context.found


@behave.then('it is invalid at "{text}"')
def step_invalid(context, text):
    assert any(item.startswith(text) for item in context.found), context.found


@behave.then("it is unreadable")
def step_unreadable(context):
    assert context.document is None
