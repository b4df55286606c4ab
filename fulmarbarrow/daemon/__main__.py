"""The daemon's program."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

import fire
from twisted.internet import asyncioreactor

from fulmarbarrow import clock as clocks
from fulmarbarrow.config import base
from fulmarbarrow.config import findings as findings_module
from fulmarbarrow.observe import logs

EXIT_SETTINGS = 2


def run(settings: str) -> None:
    """Run a daemon with the settings in a TOML file."""
    loaded, found = base.load_settings(pathlib.Path(settings))
    for finding in found:
        print(finding, file=sys.stderr)
    if loaded is None or findings_module.errors(found):
        raise SystemExit(EXIT_SETTINGS)
    logs.set_up(loaded.log)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    # These import the reactor, so they wait until it is installed.
    from twisted.internet import reactor

    from fulmarbarrow.daemon import assembly

    daemon = assembly.Daemon(
        settings=loaded, reactor=reactor, clock=clocks.SystemClock()
    )

    def on_signal(*_: object) -> None:
        reactor.callFromThread(daemon.stop)

    reactor.callWhenRunning(daemon.start)
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, on_signal)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, on_signal)
    reactor.run()


def main() -> None:
    """Run the program."""
    fire.Fire(run, name="fulmarbarrowd")


if __name__ == "__main__":
    main()
