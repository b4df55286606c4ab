"""The daemon's program."""

from __future__ import annotations

import pathlib
import signal
import sys

import fire

from fulmarbarrow import clock as clocks
from fulmarbarrow.config import base
from fulmarbarrow.config import defaults
from fulmarbarrow.config import findings
from fulmarbarrow import exceptions
from fulmarbarrow.observe import logs

EXIT_SETTINGS = 2


def run(settings: str) -> None:
    """Run a daemon.

    Args:
        settings: the path of its settings, a TOML file
    """
    path = pathlib.Path(str(settings))
    loaded, found = base.load_settings(path)
    for finding in found:
        print(finding, file=sys.stderr)
    if loaded is None:
        raise SystemExit(EXIT_SETTINGS)
    logs.set_up(loaded.log)
    _forgo_tls()
    _serve(loaded, findings.Source(path=path, text=path.read_text()))


def _forgo_tls() -> None:
    """Keep Twisted from loading OpenSSL, 13 MB that no connection uses."""
    sys.modules.setdefault("OpenSSL", None)


def _serve(settings: defaults.Settings, source: findings.Source) -> None:
    # These import the reactor, so they wait until OpenSSL is forgone.
    from twisted.internet import reactor

    from fulmarbarrow.daemon import assembly

    try:
        daemon = assembly.Daemon(
            settings=settings,
            reactor=reactor,
            clock=clocks.SystemClock(),
            settings_text=source.text,
        )
        failed = daemon.bind()
    except exceptions.FulmarbarrowError as error:
        print(f"fulmarbarrowd: {error.code}: {error}", file=sys.stderr)
        raise SystemExit(error.exit_code) from error
    for key, text in failed.items():
        print(source.finding(key, text), file=sys.stderr)
    if failed:
        raise SystemExit(EXIT_SETTINGS)

    def on_signal(*_: object) -> None:
        reactor.callFromThread(daemon.stop)

    reactor.callWhenRunning(daemon.start)
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, on_signal)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, on_signal)
    reactor.run()
    raise SystemExit(daemon.exit_code)


def main() -> None:
    """Run the program."""
    fire.Fire(run, name="fulmarbarrowd")


if __name__ == "__main__":
    main()
