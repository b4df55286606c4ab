"""Routers and upstreams on a network in memory whose paths can be cut."""

from __future__ import annotations

import datetime
import random

from twisted.internet import error as internet_errors
from twisted.internet import protocol
from twisted.internet import task
from twisted.python import failure as failures
from twisted.test import iosim

from fulmarbarrow import clock as clocks
from fulmarbarrow.edge import connections
from fulmarbarrow.edge import dialect
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.relay import dialer
from fulmarbarrow.relay import paths
from fulmarbarrow.relay import server
from fulmarbarrow.wire import codec
from fulmarbarrow.wire import transport

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=200)
PEER_PORT = 7000
UPSTREAM = ("10.255.0.1", 8080)
STEP_SECONDS = 0.01
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PART = b"HTTP/1.1 200 OK\r\n\r\npart"


class Transport(iosim.FakeTransport):
    """A transport that resets its other end when it is aborted."""

    other = None

    def abortConnection(self):  # noqa: N802
        super().abortConnection()
        if self.other is not None:
            self.other.reset = True

    def reportDisconnect(self):  # noqa: N802
        if getattr(self, "reset", False):
            lost = failures.Failure(internet_errors.ConnectionLost())
            self.protocol.connectionLost(lost)
            return
        super().reportDisconnect()


class Connector:
    def __init__(self, factory):
        self.factory = factory
        self.cancelled = False
        self.client = None

    def disconnect(self):
        if self.client is not None:
            self.client.transport.loseConnection()
            return
        self.cancelled = True
        cancelled = failures.Failure(internet_errors.UserError())
        self.factory.clientConnectionFailed(self, cancelled)


class Reactor:
    """One host's view of the network."""

    def __init__(self, network, host):
        self.network = network
        self.host = host
        self.callLater = network.clock.callLater
        self.seconds = network.clock.seconds

    def listenTCP(self, port, factory, interface=""):  # noqa: N802
        self.network.listening[self.host, port] = factory

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        connector = Connector(factory)
        self.network.connects.append((self.host, host))
        ways = {(self.host, host), (self.host, "*")}
        if ways & self.network.cut:
            error = internet_errors.TimeoutError()
            self.callLater(timeout, self.fail, connector, error)
        elif ways & self.network.refused or (
            (host, port) not in self.network.listening
        ):
            error = internet_errors.ConnectionRefusedError()
            self.callLater(0, self.fail, connector, error)
        else:
            self.callLater(0, self.establish, connector, host, port)
        return connector

    def fail(self, connector, error):
        if not connector.cancelled:
            connector.factory.clientConnectionFailed(
                connector, failures.Failure(error)
            )

    def establish(self, connector, host, port):
        if connector.cancelled:
            return
        client = connector.factory.buildProtocol(None)
        if client is None:
            return
        listening = self.network.listening[host, port]
        accepted = listening.buildProtocol(None)
        near = Transport(client, isServer=False)
        far = Transport(accepted, isServer=True)
        near.other, far.other = far, near
        connector.client = client
        self.network.ends.append((host, far))
        pump = iosim.connect(accepted, far, client, near)
        self.network.pumps.append((self.host, host, pump))


class Upstream(protocol.ServerFactory):
    """Answers each request with ``answer``; empty for none."""

    noisy = False

    def __init__(self):
        self.answer = ANSWER
        self.requests = 0
        self.made = []
        self.lost = 0

    def buildProtocol(self, _):  # noqa: N802
        made = UpstreamConnection(self)
        self.made.append(made)
        return made


class UpstreamConnection(protocol.Protocol):
    def __init__(self, upstream):
        self.upstream = upstream

    def dataReceived(self, data):  # noqa: N802
        self.upstream.requests += data.count(b"\r\n\r\n")
        if self.upstream.answer:
            self.transport.write(self.upstream.answer)

    def connectionLost(self, _):  # noqa: N802
        self.upstream.lost += 1


class Request:
    """The receiver of one request's answer."""

    def __init__(self, network):
        self.network = network
        self.started = network.clock.seconds()
        self.sent = False
        self.connection = None
        self.body = b""
        self.outcome = ""
        self.took = None

    def writing(self):
        self.sent = True

    def opened(self, connection):
        self.connection = connection

    def head(self, status, fields):
        pass

    def data(self, data):
        self.body += data

    def ended(self):
        self.end("answered")

    def failed(self, error):
        self.error = error
        self.end("failed")

    def end(self, outcome):
        self.outcome = outcome
        self.took = self.network.clock.seconds() - self.started


class Router:
    def __init__(self, network, name, number, zone):
        self.name = name
        self.host = f"10.{number}.0.1"
        self.record = membership_messages.Daemon(
            daemon_id=name,
            incarnation=1,
            zone=zone,
            region="attica",
            address=f"{self.host}:{PEER_PORT}",
            roles=("router",),
        )
        self.reactor = Reactor(network, self.host)
        self.metrics = metrics_module.Metrics()
        made = codec.Codec(
            fleet_key="a fleet key of tests",
            sender=name,
            address=self.record.address,
            incarnation=1,
        )
        self.transport = transport.Transport(
            reactor=self.reactor,
            address=self.record.address,
            codec=made,
            metrics=self.metrics,
            received=lambda _: None,
        )
        self.transport.start()
        self.paths = paths.Paths(
            daemon=self.record,
            rng=random.Random(number),
            metrics=self.metrics,
        )
        self.relays = server.RelayServer(
            reactor=self.reactor,
            clock=network.wall,
            paths=self.paths,
            metrics=self.metrics,
            connect_timeout=CONNECT_TIMEOUT,
        )
        self.transport.relay_with(self.relays.open)
        self.pool = connections.Pool(
            reactor=self.reactor,
            connect_timeout=CONNECT_TIMEOUT,
            dialer=dialer.Dialer(
                reactor=self.reactor,
                clock=network.wall,
                codec=made,
                paths=self.paths,
                metrics=self.metrics,
                daemon_id=name,
                address=self.record.address,
                connect_timeout=CONNECT_TIMEOUT,
            ),
        )


class Network:
    """All hosts, the time and the paths between them."""

    def __init__(self, names, zones=1):
        self.clock = task.Clock()
        self.wall = clocks.ManualClock()
        self.listening = {}
        self.connects = []
        self.pumps = []
        self.ends = []  # pairs of the host that accepted and its transport
        self.cut = set()
        self.refused = set()
        self.upstream = Upstream()
        self.listening[UPSTREAM] = self.upstream
        self.routers = {
            name: Router(self, name, number, f"zone-{number % zones}")
            for number, name in enumerate(names, 1)
        }
        for router in self.routers.values():
            for other in self.routers.values():
                self.tell(router, other.record)
            self.tell_upstream(router)

    def tell(self, router, record):
        changed = membership_messages.DaemonChanged(daemon=record)
        router.paths.handle(changed, self.wall.now())

    def tell_upstream(self, router):
        record = membership_messages.Upstream(
            upstream_id="engine-1",
            incarnation=1,
            sequence=1,
            zone="zone-1",
            url=f"http://{UPSTREAM[0]}:{UPSTREAM[1]}",
            offers=(),
            batch_tokens=1,
            tokens_per_second=1,
            state=membership_messages.UpstreamState.SERVING,
            started_at=self.wall.now(),
        )
        changed = membership_messages.UpstreamChanged(upstream=record)
        router.paths.handle(changed, self.wall.now())

    def send(self, name, place=UPSTREAM, *, fresh=False):
        request = Request(self)
        head = dialect.RequestHead(
            method="GET", target="/", fields=(), body=b""
        )
        request.cancel = self.routers[name].pool.request(
            place, lambda: head, request, fresh=fresh
        )
        return request

    def run(self, seconds):
        """Let time pass; bytes of paths that are cut stay on their way."""
        steps = max(1, round(seconds / STEP_SECONDS))
        for step in range(steps + 1):
            elapsed = STEP_SECONDS if step else 0.0
            self.wall.advance(datetime.timedelta(seconds=elapsed))
            self.clock.advance(elapsed)
            self.settle()

    def end_process(self, host):
        """Close what a host accepted, as its kernel does, and let it not know.

        Bytes that the process writes from now on go nowhere.
        """
        for accepting, end in self.ends:
            if accepting == host:
                end.loseConnection()

    def settle(self):
        busy = True
        while busy:
            busy = False
            for near, far, pump in list(self.pumps):
                if (near, far) not in self.cut:
                    busy = bool(pump.pump()) or busy
            self.clock.advance(0)
