"""Carries frames between daemons over TCP connections."""

from __future__ import annotations

import collections
import fcntl
import logging
import socket
import struct
import termios
import typing

from twisted.internet import address as addresses
from twisted.internet import error as internet_errors
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure as failures

from fulmarbarrow import message as messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.relay import messages as relay_messages
from fulmarbarrow.wire import codec as codecs

log = logging.getLogger(__name__)

MAX_FRAME_BYTES = 16 << 20  # a whole revision with its document
MAX_BATCH_MESSAGES = 64
MAX_WAITING_BYTES = 4 << 20  # for one peer that does not read
CONNECT_TIMEOUT_SECONDS = 1.0
RECONNECT_SECONDS = 0.1
# A frame that could not be sent for longer is of no use to its receiver.
MAX_FRAME_AGE_SECONDS = 1.0
# Unacknowledged bytes for longer than this close a connection: below the
# detector's suspicion, so that a silent connection is no dead daemon.
UNACKNOWLEDGED_MS = 1_500
KEEPALIVE_IDLE_SECONDS = 15
KEEPALIVE_INTERVAL_SECONDS = 5
KEEPALIVE_PROBES = 3


def watch_writes(
    transport: typing.Any, *, unacknowledged_ms: int = UNACKNOWLEDGED_MS
) -> None:
    """Have the kernel close a connection that acknowledges nothing.

    Without keep-alive probes: where TCP_USER_TIMEOUT is set, it decides when
    these give up, so that a single lost one would close a sound connection.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:  # a connection in memory
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(False)
    get_handle().setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms
    )


def reset_when_lost(transport: typing.Any, *, reset: bool) -> None:
    """Choose whether the kernel resets a connection whose process ends.

    Otherwise the end of the process looks like a regular close. Has to be
    taken back before a regular close, which would drop what is unsent.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:  # a connection in memory
        return
    get_handle().setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", int(reset), 0)
    )


def unsent_bytes(transport: typing.Any) -> int:
    """Return how many bytes the other end has not acknowledged.

    Those that wait in this process count, too; those that wait in the kernel
    are left out where it does not tell them.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:  # a connection in memory
        return 0
    buffered = len(transport.dataBuffer) - transport.offset
    try:
        told = fcntl.ioctl(get_handle(), termios.TIOCOUTQ, bytes(4))
    except OSError as error:
        log.info("send queue not told: %s", error)
        return buffered
    return buffered + struct.unpack("i", told)[0]


def watch_reads(transport: typing.Any) -> None:
    """Have the kernel probe a connection on which little is written."""
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:  # a connection in memory
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = get_handle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


class Splice(typing.Protocol):
    """Takes the bytes of a connection that carries no frames any more."""

    def write(self, data: bytes) -> None:
        """Take bytes."""

    def peer_lost(self) -> None:
        """Take note that the connection ended."""


class Receiver(basic.Int32StringReceiver):
    """A connection on which another daemon's frames come."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(
        self,
        *,
        taken: typing.Callable[[bytes, Receiver], None],
        encode: typing.Callable[[str, tuple[messages.Message, ...]], bytes],
    ) -> None:
        self._taken = taken
        self._encode = encode
        self._splice: Splice | None = None

    def splice(self, target: Splice) -> None:
        """Pass on all further bytes instead of reading frames."""
        self._splice = target

    def answer(self, address: str, body: messages.Message) -> None:
        """Send a frame back on this connection."""
        self.sendString(self._encode(address, (body,)))

    def connectionMade(self) -> None:  # noqa: N802
        """Watch the connection."""
        watch_reads(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read frames, or pass bytes on."""
        if self._splice is not None:
            self._splice.write(data)
            return
        super().dataReceived(data)

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Tell who took the connection over."""
        if self._splice is not None:
            self._splice.peer_lost()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take one frame."""
        if self._splice is not None:
            # Sent along with the request, before it was answered.
            self.transport.abortConnection()
            return
        self._taken(string, self)


class ReceiverFactory(protocol.ServerFactory):
    """Makes the protocol of each connection that another daemon opens."""

    noisy = False

    def __init__(
        self,
        *,
        taken: typing.Callable[[bytes, Receiver], None],
        encode: typing.Callable[[str, tuple[messages.Message, ...]], bytes],
    ) -> None:
        self._taken = taken
        self._encode = encode

    def buildProtocol(  # noqa: N802
        self, addr: addresses.IPv4Address
    ) -> Receiver:
        """Return a protocol for a new connection."""
        return Receiver(taken=self._taken, encode=self._encode)


class Sender(basic.Int32StringReceiver):
    """The connection on which this daemon sends to one other."""

    def __init__(self, *, peer: Peer) -> None:
        self._peer = peer

    @property
    def waiting_bytes(self) -> int:
        """Bytes written that the kernel has not taken yet."""
        pending = getattr(self.transport, "_tempDataLen", 0)
        return pending + len(getattr(self.transport, "dataBuffer", b""))

    def connectionMade(self) -> None:  # noqa: N802
        """Send what has waited for the connection."""
        watch_writes(self.transport)
        self._peer.connected(self)

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Have the next frame open another connection."""
        self._peer.lost(self, reason)


class Peer(protocol.ClientFactory):
    """The way to one other daemon; connects when there is a frame."""

    noisy = False

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        host: str,
        port: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._metrics = metrics
        self._sender: Sender | None = None
        self._connector: interfaces.IConnector | None = None
        self._waiting: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._waiting_bytes = 0
        self._retry: interfaces.IDelayedCall | None = None
        self._reachable = True
        self._closed = False

    def send(self, frame: bytes) -> None:
        """Send a frame, or drop it if too many wait already."""
        if self._sender is not None:
            if self._sender.waiting_bytes > MAX_WAITING_BYTES:
                self._metrics.count("peer_frames_unsent")
                return
            self._write(frame)
            return
        if self._waiting_bytes + len(frame) > MAX_WAITING_BYTES:
            self._metrics.count("peer_frames_unsent")
            return
        if self._closed:
            self._metrics.count("peer_frames_unsent")
            return
        self._waiting.append((self._reactor.seconds(), frame))
        self._waiting_bytes += len(frame)
        if self._connector is None and self._retry is None:
            self._connect()

    def reconnect(self) -> None:
        """Open a new connection for the next frame.

        What was written is still sent, in case the connection is sound.
        """
        if self._sender is not None:
            sender, self._sender, self._connector = self._sender, None, None
            sender.transport.loseConnection()

    def close(self) -> None:
        """Close the connection once all that was written is sent."""
        self._closed = True
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self._sender is not None:
            self._sender.transport.loseConnection()
        elif self._connector is not None:
            self._connector.stopConnecting()

    def buildProtocol(  # noqa: N802
        self, addr: addresses.IPv4Address
    ) -> Sender:
        """Return the protocol of the connection that was made."""
        return Sender(peer=self)

    def connected(self, sender: Sender) -> None:
        """Take up the connection."""
        self._sender = sender
        if not self._reachable:
            self._reachable = True
            log.info("peer %s:%d reached again", self._host, self._port)
        waiting, self._waiting = self._waiting, collections.deque()
        self._waiting_bytes = 0
        for _, frame in waiting:
            self._write(frame)

    def lost(self, sender: Sender, reason: failures.Failure) -> None:
        """Forget a connection that ended."""
        if self._sender is not sender:
            return
        self._sender = self._connector = None
        if not self._closed:
            self._unreachable(reason)

    def clientConnectionFailed(  # noqa: N802
        self, connector: interfaces.IConnector, reason: failures.Failure
    ) -> None:
        """Try again while a frame waits that is not too old.

        A daemon that restarts refuses connections for a moment.
        """
        self._connector = None
        oldest = self._reactor.seconds() - MAX_FRAME_AGE_SECONDS
        while self._waiting and self._waiting[0][0] < oldest:
            _, frame = self._waiting.popleft()
            self._waiting_bytes -= len(frame)
            self._metrics.count("peer_frames_unsent")
        if self._closed:
            return
        self._unreachable(reason)
        if self._waiting:
            self._retry = self._reactor.callLater(
                RECONNECT_SECONDS, self._reconnect
            )

    def _reconnect(self) -> None:
        self._retry = None
        self._connect()

    def _unreachable(self, reason: failures.Failure) -> None:
        if self._reachable:
            self._reachable = False
            log.warning(
                "peer %s:%d lost: %s",
                self._host,
                self._port,
                reason.getErrorMessage(),
            )

    def _connect(self) -> None:
        self._connector = self._reactor.connectTCP(
            self._host, self._port, self, timeout=CONNECT_TIMEOUT_SECONDS
        )

    def _write(self, frame: bytes) -> None:
        self._sender.sendString(frame)
        self._metrics.count("peer_frames_sent")
        self._metrics.count("peer_bytes_sent", len(frame))


OpenRelay = typing.Callable[[Receiver, relay_messages.OpenRelay], None]


class Transport:
    """Sends messages to daemons by address and receives theirs.

    A message to a daemon that can't be reached is dropped and counted;
    whoever needs an answer has a timeout.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        address: str,
        codec: codecs.Codec,
        metrics: metrics_module.Metrics,
        received: typing.Callable[[messages.Message], None],
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._codec = codec
        self._metrics = metrics
        self._received = received
        self._peers: dict[str, Peer] = {}
        self._incarnations: dict[str, int] = {}
        self._waiting: dict[str, list[messages.Send]] = {}
        self._flush_planned = False
        self._port: interfaces.IListeningPort | None = None
        self._open_relay: OpenRelay | None = None

    def relay_with(self, open_relay: OpenRelay) -> None:
        """Have connections relayed where a peer asks for it."""
        self._open_relay = open_relay

    def start(self) -> str:
        """Listen for the other daemons' messages; return what failed."""
        host, _, port = self._address.rpartition(":")
        try:
            self._port = self._reactor.listenTCP(
                int(port),
                ReceiverFactory(taken=self._take, encode=self._codec.encode),
                interface=host,
            )
        except internet_errors.CannotListenError as error:
            return f"{self._address}: {error.socketError}"
        return ""

    def stop(self) -> None:
        """Send what waits, then close every connection."""
        self._flush()
        for peer in self._peers.values():
            peer.close()
        if self._port is not None:
            self._port.stopListening()

    def peer_started(self, address: str, incarnation: int) -> None:
        """Use no connection to an earlier process at an address.

        A host that lost its power closed none of its connections, and the
        first frame on each of them would be lost.
        """
        known = self._incarnations.get(address, 0)
        if incarnation <= known:
            return
        self._incarnations[address] = incarnation
        if known and address in self._peers:
            self._peers[address].reconnect()

    def send(self, send: messages.Send) -> None:
        """Send a message; those of one loop turn share a frame.

        Urgent ones come first in it, in their own order.
        """
        if send.fresh and send.address in self._peers:
            self._peers[send.address].reconnect()
        self._waiting.setdefault(send.address, []).append(send)
        if not self._flush_planned:
            self._flush_planned = True
            self._reactor.callLater(0, self._flush)

    def _flush(self) -> None:
        self._flush_planned = False
        waiting, self._waiting = self._waiting, {}
        for address, sends in waiting.items():
            ordered = sorted(sends, key=lambda send: not send.urgent)
            bodies = tuple(send.message for send in ordered)
            for first in range(0, len(bodies), MAX_BATCH_MESSAGES):
                batch = bodies[first : first + MAX_BATCH_MESSAGES]
                self._send_batch(address, batch)

    def _send_batch(
        self, address: str, batch: tuple[messages.Message, ...]
    ) -> None:
        """Send messages in one frame, those that can be encoded.

        One that can't, such as one with a number of more than 64 bits, must
        not take the others of its loop turn with it.
        """
        try:
            frame = self._codec.encode(address, batch)
        except (TypeError, ValueError, OverflowError) as error:
            if len(batch) > 1:
                for body in batch:
                    self._send_batch(address, (body,))
                return
            self._metrics.count("peer_messages_unencodable")
            log.error(
                "message not sent",
                extra={
                    "peer": address,
                    "kind": messages.tag(batch[0]),
                    "reason": str(error),
                },
            )
            return
        self._peer(address).send(frame)

    def _peer(self, address: str) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            host, _, port = address.rpartition(":")
            peer = Peer(
                reactor=self._reactor,
                host=host,
                port=int(port),
                metrics=self._metrics,
            )
            self._peers[address] = peer
        return peer

    def _take(self, frame: bytes, receiver: Receiver) -> None:
        self._metrics.count("peer_bytes_received", len(frame))
        decoded = self._codec.decode(frame)
        if isinstance(decoded, codecs.DropReason):
            self._metrics.count("peer_frames_dropped", reason=decoded.value)
            return
        for message in decoded:
            if isinstance(message, relay_messages.OpenRelay):
                self._relay(receiver, message)
            else:
                self._received(message)

    def _relay(
        self, receiver: Receiver, event: relay_messages.OpenRelay
    ) -> None:
        if self._open_relay is not None:
            self._open_relay(receiver, event)
            return
        code = relay_messages.RelayCode.UNKNOWN_UPSTREAM
        receiver.answer(event.reply_to, relay_messages.RelayOpened(code=code))
        receiver.transport.loseConnection()
