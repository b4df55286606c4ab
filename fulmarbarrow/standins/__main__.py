"""The stand-in program: one upstream for demo, tests and measurements."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import typing

import fire
from twisted.internet import asyncioreactor

from fulmarbarrow import clock as clocks
from fulmarbarrow.standins import options as options_module

_LISTS = ("offers", "entries")


def run(kind: str, **settings: typing.Any) -> None:
    """Run a stand-in of ``kind`` "engine", "plain" or "cloud".

    "cloud" is the platform's API and has only ``host`` and ``port``. The
    settings are the fields of ``StandinOptions``; ``offers`` and
    ``entries`` are lists separated by commas.
    """
    if kind == "cloud":
        _serve_cloud(**settings)
        return
    known = {field.name for field in dataclasses.fields(_OPTIONS)}
    unknown = sorted(set(settings) - known)
    if unknown:
        raise SystemExit(f"unknown settings: {', '.join(unknown)}")
    for name in _LISTS:
        settings[name] = _split(settings[name])
    logging.basicConfig(level=logging.INFO)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    _serve(kind, _OPTIONS(**settings))


_OPTIONS = options_module.StandinOptions


def _serve_cloud(*, port: int, host: str = "127.0.0.1") -> None:
    from twisted.internet import reactor
    from twisted.web import server

    from fulmarbarrow.standins import cloud

    site = server.Site(cloud.Cloud(reactor=reactor))
    reactor.listenTCP(port, site, interface=host)
    reactor.run()


def _serve(kind: str, options: options_module.StandinOptions) -> None:
    # These import the reactor, so they wait until it is installed.
    from twisted.internet import reactor
    from twisted.web import server

    from fulmarbarrow.standins import admin
    from fulmarbarrow.standins import announcer
    from fulmarbarrow.standins import engine
    from fulmarbarrow.standins import faults as faults_module
    from fulmarbarrow.standins import identity as identities
    from fulmarbarrow.standins import plain
    from fulmarbarrow.standins import presence

    clock = clocks.SystemClock()
    faults = faults_module.Faults()
    identity = identities.Identity(clock=clock)
    standin: engine.Engine | plain.PlainService
    if kind == "engine":
        standin = engine.Engine(
            options=options,
            reactor=reactor,
            clock=clock,
            faults=faults,
            identity=identity,
        )
    else:
        standin = plain.PlainService(
            options=options,
            reactor=reactor,
            faults=faults,
            identity=identity,
        )
    admin.StandinAdmin(app=standin.app, faults=faults, state=standin.state)
    if isinstance(standin, plain.PlainService):
        standin.add_catch_all()
    announcements = announcer.Announcer(
        options=options,
        identity=identity,
        load=standin.load,
        offers=standin.offers,
    )
    presence.Presence(
        announcer=announcements, faults=faults, identity=identity
    )
    reactor.listenTCP(
        options.port,
        server.Site(standin.app.resource()),
        interface=options.host,
    )
    reactor.callWhenRunning(announcements.start)
    reactor.run()


def _split(text: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return the parts of a list; fire may have split it already."""
    if isinstance(text, str):
        return tuple(text.split(","))
    return tuple(text)


def main() -> None:
    """Run the program."""
    fire.Fire(run, name="fulmarbarrow-standin")


if __name__ == "__main__":
    main()
