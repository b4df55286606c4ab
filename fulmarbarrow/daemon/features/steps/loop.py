"""Steps on the event loop and on the timer of placement."""

from __future__ import annotations

import datetime
import socket
import threading
import time

import behave
from twisted.internet import protocol
from twisted.internet import task

from fulmarbarrow.daemon import reactor as reactors
from fulmarbarrow import message
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import shell

TIMEOUT_SECONDS = 10.0
MEGABYTE = 1 << 20
STEP_SECONDS = 1 / 1024  # exact as a float


class CountingReactor(reactors.SteadyReactor):
    """Counts how often a connection is watched for room."""

    def __init__(self):
        self.watched = 0
        super().__init__()

    def _add(self, xer, primary, *rest):
        if primary is self._writes:
            self.watched += 1
        super()._add(xer, primary, *rest)


class Server(protocol.Protocol):
    """Does what a scenario asks for when a line comes."""

    def dataReceived(self, data):  # noqa: N802
        self.factory.asked(self.transport, data)


def serve(context, asked, client):
    """Run a reactor until a client over a socket has ended."""
    context.reactor = reactor = CountingReactor()
    factory = protocol.ServerFactory.forProtocol(Server)
    factory.asked = asked
    factory.noisy = False
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    result = {}

    def run():
        address = ("127.0.0.1", port.getHost().port)
        with socket.create_connection(address, TIMEOUT_SECONDS) as connection:
            result["received"] = client(connection)
        reactor.callFromThread(reactor.stop)

    thread = threading.Thread(target=run)
    reactor.callWhenRunning(thread.start)
    reactor.callLater(2 * TIMEOUT_SECONDS, reactor.stop)
    reactor.run(installSignalHandlers=False)
    thread.join()
    context.received = result["received"]


def read_all(connection):
    parts = []
    while data := connection.recv(1 << 16):
        parts.append(data)
    return b"".join(parts)


@behave.given("a connection over the daemon's reactor")
def step_connection(context):
    context.received = b""


@behave.when(
    "{count:d} requests are sent, each after the answer to the one before"
)
def step_requests(context, count):
    def asked(transport, data):
        transport.write(data[:1])
        transport.write(data[1:])

    def client(connection):
        received = b""
        for number in range(count):
            connection.sendall(b"%04d" % number)
            expected = len(received) + 4
            while len(received) < expected:
                received += connection.recv(4)
        return received

    context.expected = b"".join(b"%04d" % number for number in range(count))
    serve(context, asked, client)


@behave.when(
    "{size:d} MB are written at once to a reader that waits for {wait:d} ms"
)
def step_large(context, size, wait):
    context.expected = bytes(range(256)) * (size * MEGABYTE // 256)

    def asked(transport, data):
        transport.write(context.expected)
        transport.loseConnection()

    def client(connection):
        connection.sendall(b"x")
        time.sleep(wait / 1000)
        return read_all(connection)

    serve(context, asked, client)


@behave.when("{size:d} MB are written and the connection is closed at once")
def step_close(context, size):
    step_large(context, size, 0)


@behave.then("every byte came in order")
def step_in_order(context):
    assert context.received == context.expected, len(context.received)


@behave.then("no connection was watched for room")
def step_not_watched(context):
    assert context.reactor.watched == 0, context.reactor.watched


@behave.then("a connection was watched for room")
def step_watched(context):
    assert context.reactor.watched > 0


class Bus:
    """Counts ticks; a subscriber is called by ``come``."""

    def __init__(self):
        self.ticks = 0
        self.fails = False
        self._handlers = {}

    def subscribe(self, kind, handler):
        self._handlers[kind] = handler

    def post(self, event: message.Message):
        self.ticks += 1
        if self.fails:
            raise ValueError("a tick that fails")

    def come(self, kind):
        self._handlers[kind](None, None)


class Core:
    active = False


@behave.given(
    "placement ticks of {busy:d} ms with work and {idle:d} ms without"
)
def step_scheduler(context, busy, idle):
    milliseconds = datetime.timedelta(milliseconds=1)
    context.clock = task.Clock()
    context.bus = Bus()
    context.core = Core()
    context.scheduler = shell.TickScheduler(
        reactor=context.clock,
        bus=context.bus,
        core=context.core,
        busy_interval=busy * milliseconds,
        idle_interval=idle * milliseconds,
    )
    context.scheduler.start()


@behave.given("each tick fails")
def step_failing(context):
    context.bus.fails = True


def advance(context, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        try:
            context.clock.advance(STEP_SECONDS)
        except ValueError:
            assert context.bus.fails


@behave.when("{seconds:d} seconds pass without work")
def step_idle(context, seconds):
    context.bus.ticks = 0
    advance(context, seconds)


@behave.then("there were between {least:d} and {most:d} ticks")
def step_ticks(context, least, most):
    assert least <= context.bus.ticks <= most, context.bus.ticks


@behave.when("a request arrives that waits for 1 second")
def step_work(context):
    context.bus.ticks = 0
    context.core.active = True
    context.bus.come(messages.PlaceRequest)


@behave.then("the next tick comes within {limit:d} ms")
def step_soon(context, limit):
    advance(context, limit / 1000)
    assert context.bus.ticks == 1, context.bus.ticks


@behave.then("there are between {least:d} and {most:d} ticks while it waits")
def step_busy_ticks(context, least, most):
    advance(context, 0.95)
    assert least <= context.bus.ticks <= most, context.bus.ticks
