"""Steps on the connections to peers, over transports in memory."""

from __future__ import annotations

import datetime
import socket

import behave
from twisted.internet import error as internet_errors
from twisted.internet import testing
from twisted.python import failure as failures

from fulmarbarrow.edge import connections
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import messages
from fulmarbarrow.wire import codec
from fulmarbarrow.wire import transport

PEER = "10.0.0.2:7000"
OTHER_PEER = "10.0.0.3:7000"


class _Handle:
    def __init__(self):
        self.options = {}
        self.probed = None

    def setsockopt(self, level, option, value):
        self.options[option] = value


class _Memory(testing.StringTransport):
    def __init__(self):
        super().__init__()
        self.handle = _Handle()

    def getHandle(self):  # noqa: N802
        return self.handle

    def setTcpNoDelay(self, _):  # noqa: N802
        pass

    def setTcpKeepAlive(self, probed):  # noqa: N802
        self.handle.probed = probed


def make(context):
    context.reactor = testing.MemoryReactorClock()
    context.metrics = metrics_module.Metrics()
    context.transport = transport.Transport(
        reactor=context.reactor,
        address="10.0.0.1:7000",
        codec=codec.Codec(
            fleet_key="a fleet key of tests",
            sender="a",
            address="10.0.0.1:7000",
            incarnation=1,
        ),
        metrics=context.metrics,
        received=lambda _: None,
    )


def send(context, size=10):
    body = messages.Release(attempt_ids=("x" * size,))
    context.transport.send(message.Send(address=PEER, message=body))
    context.reactor.advance(0)


def factory(context):
    return context.reactor.tcpClients[-1][2]


def refuse(context):
    refused = failures.Failure(internet_errors.ConnectionRefusedError())
    factory(context).clientConnectionFailed(None, refused)


@behave.when("a message is sent to a peer")
def step_send(context):
    make(context)
    send(context)


@behave.then("a connection is opened, and nothing is written yet")
def step_opened(context):
    assert len(context.reactor.tcpClients) == 1
    assert context.metrics.value("peer_frames_sent") == 0


@behave.when("the connection is made")
def step_made(context):
    context.protocol = factory(context).buildProtocol(None)
    context.memory = _Memory()
    context.protocol.makeConnection(context.memory)


@behave.then("the frame is written")
def step_written(context):
    written = context.memory.value()
    assert int.from_bytes(written[:4], "big") == len(written) - 4, written


@behave.then("the frame is written and the kernel watches the connection")
def step_watched(context):
    step_written(context)
    options = context.memory.handle.options
    timeout = options[socket.TCP_USER_TIMEOUT]
    assert timeout == transport.UNACKNOWLEDGED_MS, options


@behave.then("it ends after bytes that nobody acknowledges, and is not probed")
def step_writes_watched(context):
    handle = context.memory.handle
    assert handle.options[socket.TCP_USER_TIMEOUT], handle.options
    assert not handle.probed


@behave.then("a connection that a peer opens ends after {count:d} lost probes")
def step_reads_watched(context, count):
    receiver = transport.Receiver(taken=None, encode=None)
    memory = _Memory()
    receiver.makeConnection(memory)
    assert memory.handle.probed
    assert memory.handle.options[socket.TCP_KEEPCNT] == count
    # It would decide instead of the count.
    assert socket.TCP_USER_TIMEOUT not in memory.handle.options


@behave.then(
    "a connection to an upstream outlives a silence of {milliseconds:d} ms"
)
def step_upstream_watched(context, milliseconds):
    pool = connections.Pool(
        reactor=context.reactor, connect_timeout=datetime.timedelta(seconds=1)
    )
    made = connections.Connection(pool=pool, place=("10.9.0.1", 8080))
    memory = _Memory()
    made.makeConnection(memory)
    timeout = memory.handle.options[socket.TCP_USER_TIMEOUT]
    assert timeout > milliseconds and not memory.handle.probed, timeout


@behave.when("the connection is refused, and made {after:d} ms later")
def step_refused(context, after):
    refuse(context)
    context.reactor.advance(after / 1000)
    step_made(context)


@behave.when("connections are refused for {span:d} ms")
def step_refused_long(context, span):
    for _ in range(span // 100 + 1):
        refuse(context)
        context.reactor.advance(0.1)


@behave.then("nothing waits and {count:d} frame is counted as unsent")
def step_unsent(context, count):
    assert context.metrics.value("peer_frames_unsent") == count
    before = len(context.reactor.tcpClients)
    context.reactor.advance(5)
    assert len(context.reactor.tcpClients) == before


@behave.when("the connection is lost and another message is sent")
def step_lost(context):
    lost = failures.Failure(internet_errors.ConnectionLost())
    context.protocol.connectionLost(lost)
    send(context)


@behave.when("the peer has started again and another message is sent")
def step_started_again(context):
    context.transport.peer_started(PEER, 1)
    context.transport.peer_started(PEER, 2)
    send(context)


@behave.when("the peer is announced again and another message is sent")
def step_announced_again(context):
    context.transport.peer_started(PEER, 1)
    context.transport.peer_started(PEER, 1)
    send(context)


@behave.then("what was written on the first one is still sent")
def step_first_is_flushed(context):
    assert context.memory.disconnecting and not context.memory.disconnected


@behave.then("no second connection is opened")
def step_no_second(context):
    assert len(context.reactor.tcpClients) == 1


@behave.then("a second connection is opened")
def step_second(context):
    assert len(context.reactor.tcpClients) == 2


@behave.when(
    "messages of {size:d} MB are sent {count:d} times to a peer that does "
    "not answer"
)
def step_large(context, size, count):
    make(context)
    for _ in range(count):
        send(context, size << 20)
    context.count = count


@behave.then("at most {size:d} MB wait and the others are counted as unsent")
def step_bounded(context, size):
    unsent = context.metrics.value("peer_frames_unsent")
    assert context.count - unsent <= size, unsent


@behave.when(
    "a message with a number of {bits:d} bits is sent among 3 others, to two "
    "peers"
)
def step_unencodable(context, bits):
    make(context)
    bodies = [
        (PEER, messages.Release(attempt_ids=("a",))),
        (PEER, messages.Release(attempt_ids=(1 << bits,))),
        (PEER, messages.Release(attempt_ids=("b",))),
        (OTHER_PEER, messages.Release(attempt_ids=("c",))),
    ]
    for address, body in bodies:
        context.transport.send(message.Send(address=address, message=body))
    context.reactor.advance(0)


@behave.then("the 3 others reach their peers")
def step_others(context):
    found = []
    for host, port, made, *_ in context.reactor.tcpClients:
        receiver = codec.Codec(
            fleet_key="a fleet key of tests",
            sender="b",
            address=f"{host}:{port}",
            incarnation=1,
        )
        sender = made.buildProtocol(None)
        memory = _Memory()
        sender.makeConnection(memory)
        data = memory.value()
        while data:
            size = int.from_bytes(data[:4], "big")
            decoded = receiver.decode(data[4 : 4 + size])
            found.extend(body.attempt_ids[0] for body in decoded)
            data = data[4 + size :]
    assert sorted(found) == ["a", "b", "c"], found


@behave.then("{count:d} message is counted as unencodable")
def step_unencodable_counted(context, count):
    value = context.metrics.value("peer_messages_unencodable")
    assert value == count, value


@behave.when(
    "messages 1, 2 and 3 are sent to a peer in one turn, 2 and 3 urgently"
)
def step_send_urgently(context):
    make(context)
    for number in (1, 2, 3):
        body = messages.Release(attempt_ids=(str(number),))
        context.transport.send(
            message.Send(address=PEER, message=body, urgent=number > 1)
        )
    context.reactor.advance(0)
    step_made(context)


@behave.then("they are written in the order 2, 3, 1")
def step_order(context):
    reader = codec.Codec(
        fleet_key="a fleet key of tests",
        sender="b",
        address=PEER,
        incarnation=1,
    )
    bodies = reader.decode(context.memory.value()[4:])
    found = [body.attempt_ids[0] for body in bodies]
    assert found == ["2", "3", "1"], found
