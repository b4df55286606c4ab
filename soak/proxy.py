"""A proxy on loopback that disturbs what passes, as told on its input.

It reads one word a line: ``open``, ``delay``, ``reset``, ``silence``,
``cut_up`` or ``cut_down``.
"""

from __future__ import annotations

import sys

import fire
from twisted.internet import reactor
from twisted.internet import stdio
from twisted.protocols import basic
from twisted.protocols import portforward

DELAY_SECONDS = 0.3


class Link:
    """The proxy's state and its open connections."""

    def __init__(self) -> None:
        self.state = "open"
        self.sides: set[portforward.Proxy] = set()

    def switch(self, state: str) -> None:
        """Disturb from now on; open connections are reset or go on."""
        self.state = state
        for side in list(self.sides):
            if state == "reset":
                side.transport.abortConnection()
            else:
                side.pass_held()

    def passes(self, side: portforward.Proxy) -> bool:
        """Return whether what a side received is passed on."""
        up = isinstance(side, _Server)
        lost = {"cut_up"} if up else {"cut_down"}
        return self.state not in {"silence", *lost}


class _Side(portforward.Proxy):
    """One end of a proxied connection."""

    link: Link

    def __init__(self) -> None:
        self._held: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.link.sides.add(self)
        super().connectionMade()

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        self.link.sides.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._held.append(data)
        if self.link.state == "delay":
            reactor.callLater(DELAY_SECONDS, self.pass_held)
        else:
            self.pass_held()

    def pass_held(self) -> None:
        """Pass on all that came, in order, unless the link is cut.

        A network loses no byte out of a connection: it comes late.
        """
        if not self.link.passes(self):
            return
        held, self._held = self._held, []
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.writeSequence(held)


class _Client(_Side, portforward.ProxyClient):
    """The end at the upstream."""


class _ClientFactory(portforward.ProxyClientFactory):
    protocol = _Client
    noisy = False


class _Server(_Side, portforward.ProxyServer):
    """The end at the router; a reset link takes no connection."""

    clientProtocolFactory = _ClientFactory  # noqa: N815

    def connectionMade(self) -> None:  # noqa: N802
        if self.link.state == "reset":
            self.transport.abortConnection()
            return
        super().connectionMade()


class _Orders(basic.LineOnlyReceiver):
    delimiter = b"\n"

    def __init__(self, link: Link) -> None:
        self._link = link

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        self._link.switch(line.decode().strip())

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        reactor.stop()


def run(port: int, target: int) -> None:
    """Pass connections to ``port`` on to ``target``, both of loopback."""
    link = Link()
    _Side.link = link
    factory = portforward.ProxyFactory("127.0.0.1", target)
    factory.protocol = _Server
    factory.noisy = False
    reactor.listenTCP(port, factory, interface="127.0.0.1")
    stdio.StandardIO(_Orders(link))
    reactor.run()


if __name__ == "__main__":
    sys.exit(fire.Fire(run))
