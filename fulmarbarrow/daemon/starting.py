"""Starts a daemon from its settings file."""

from __future__ import annotations

import signal

from fulmarbarrow import clock as clocks

# Taken before the large imports: what this host promised before a crash
# ends a fixed time after its process began again.
CLOCK = clocks.SystemClock()
STARTED = CLOCK.now()
# Ends a process by default; the settings are only read after this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import pathlib  # noqa: E402
import sys  # noqa: E402

from fulmarbarrow.config import defaults  # noqa: E402
from fulmarbarrow.config import findings  # noqa: E402
from fulmarbarrow.config import settings_file  # noqa: E402
from fulmarbarrow import exceptions  # noqa: E402
from fulmarbarrow.observe import logs  # noqa: E402

EXIT_SETTINGS = 2


def run(path: pathlib.Path) -> None:
    """Run a daemon until it is stopped; raises SystemExit."""
    loaded, found = settings_file.load_settings(path)
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
    from fulmarbarrow.daemon import reactor as reactors

    reactor = reactors.install()

    from fulmarbarrow.daemon import assembly

    try:
        daemon = assembly.Daemon(
            settings=settings,
            reactor=reactor,
            clock=CLOCK,
            started=STARTED,
            settings_text=source.text,
            settings_path=source.path,
        )
        failed = daemon.bind()
    except exceptions.FulmarbarrowError as error:
        print(f"fulmarbarrowd: {error.code}: {error}", file=sys.stderr)
        raise SystemExit(error.exit_code) from error
    for key, text in failed.items():
        print(source.finding(key, text), file=sys.stderr)
    if failed:
        raise SystemExit(EXIT_SETTINGS)

    def stop(*_: object) -> None:
        reactor.callFromThread(daemon.stop)

    def reload(*_: object) -> None:
        reactor.callFromThread(daemon.reload)

    reactor.callWhenRunning(daemon.start)
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, stop)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, stop)
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, reload)
    reactor.run()
    raise SystemExit(daemon.exit_code)
