"""Steps on connections by way of peers."""

from __future__ import annotations

import importlib.util
import pathlib

import behave

# Behave loads step files by path, so they can't import each other.
_SPEC = importlib.util.spec_from_file_location(
    "relay_network", pathlib.Path(__file__).with_name("network.py")
)
networks = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(networks)


@behave.given('routers "a", "b" and "c" and an upstream that all of them know')
def step_network(context):
    context.network = networks.Network(("a", "b", "c"))


def cut(context, name, place=networks.UPSTREAM):
    host = context.network.routers[name].host
    context.network.cut.add((host, place[0]))


@behave.given('"{name}" is cut off from the upstream')
def step_cut(context, name):
    cut(context, name)


@behave.given('connections of "{name}" to the upstream are refused')
def step_refused(context, name):
    host = context.network.routers[name].host
    context.network.refused.add((host, networks.UPSTREAM[0]))


def send(context, name, **options):
    context.network.connects.clear()
    context.network.upstream.requests = 0
    context.host = context.network.routers[name].host
    context.request = context.network.send(name, **options)


@behave.when('"{name}" sends a request')
def step_send(context, name):
    context.network.routers[name].pool.suspect(networks.UPSTREAM)
    send(context, name)


@behave.then("it is answered within {milliseconds:d} ms")
def step_answered(context, milliseconds):
    context.network.run(milliseconds / 1000)
    assert context.request.outcome == "answered", context.request.outcome


@behave.then("the upstream got {count:d} request")
def step_requests(context, count):
    assert context.network.upstream.requests == count
