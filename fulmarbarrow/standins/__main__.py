"""The stand-in program: one upstream for demo, tests and measurements."""

from __future__ import annotations

import asyncio

import fire
from twisted.internet import asyncioreactor

from fulmarbarrow import clock as clocks
from fulmarbarrow.standins import options as options_module


def run(
    kind: str,
    upstream_id: str,
    zone: str,
    port: int,
    offers: str,
    entries: str,
    key: str,
    token_interval_ms: int = 5,
) -> None:
    """Run a stand-in of ``kind`` "engine" or "plain".

    ``offers`` and ``entries`` are lists separated by commas.
    """
    options = options_module.StandinOptions(
        upstream_id=upstream_id,
        zone=zone,
        port=port,
        offers=_split(offers),
        entries=_split(entries),
        key=key,
        token_interval_ms=token_interval_ms,
    )
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    # These import the reactor, so they wait until it is installed.
    from twisted.internet import reactor
    from twisted.web import server

    from fulmarbarrow.standins import announcer
    from fulmarbarrow.standins import engine
    from fulmarbarrow.standins import plain

    if kind == "engine":
        standin = engine.Engine(options=options, reactor=reactor)
    else:
        standin = plain.PlainService()
    reactor.listenTCP(
        port, server.Site(standin.app.resource()), interface=options.host
    )
    announcements = announcer.Announcer(
        options=options, clock=clocks.SystemClock(), load=standin.load
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
