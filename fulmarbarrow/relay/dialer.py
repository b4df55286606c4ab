"""Opens connections to upstreams, directly or by way of a peer."""

from __future__ import annotations

import dataclasses
import datetime
import typing

from twisted.internet import address as addresses
from twisted.internet import error as internet_errors
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure as failures

from fulmarbarrow import clock as clocks
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.relay import messages
from fulmarbarrow.relay import paths as paths_module
from fulmarbarrow.wire import codec as codecs
from fulmarbarrow.wire import transport as transports

# Of the peer's own time limit for its connection to the upstream, and of the
# way there and back.
ANSWER_MARGIN = datetime.timedelta(milliseconds=200)
MAX_ANSWER_BYTES = 4096
# A sound upstream may be silent for a second.
UNACKNOWLEDGED_MS = 2_000

Place = tuple[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedAddress:
    """The other end of a connection that a peer relays."""

    peer: str


class RelayLostError(Exception):
    """The peer that relays a connection has ended, or the link to it.

    Tells nothing about the upstream.
    """


class Dialer:
    """Opens a connection for a factory, like ``connectTCP``.

    A connection that can't be made directly is asked of peers, one after the
    other; the factory hears of a failure only when none of them reaches the
    upstream. Not a byte of a request is sent before.
    """

    def __init__(
        self,
        *,
        reactor: typing.Any,
        clock: clocks.Clock,
        codec: codecs.Codec,
        paths: paths_module.Paths,
        metrics: metrics_module.Metrics,
        daemon_id: str,
        address: str,
        connect_timeout: datetime.timedelta,
    ) -> None:
        self.reactor = reactor
        self.paths = paths
        self._clock = clock
        self._codec = codec
        self._metrics = metrics
        self._daemon_id = daemon_id
        self._address = address
        self._connect_timeout = connect_timeout
        self._silence_watchers: list[typing.Callable[[Place], None]] = []

    @property
    def connect_seconds(self) -> float:
        """The time limit of a direct connection."""
        return self._connect_timeout.total_seconds()

    @property
    def answer_seconds(self) -> float:
        """The time within which a peer has to answer."""
        return (self._connect_timeout + ANSWER_MARGIN).total_seconds()

    def connect(self, place: Place, factory: protocol.ClientFactory) -> Dial:
        """Open a connection; return what cancels it."""
        dial = Dial(dialer=self, place=place, factory=factory)
        if self.paths.way(place) is paths_module.Way.DIRECT:
            dial.connect_directly()
            return dial
        if self.paths.probe_due(place, self.now()):
            self.reactor.connectTCP(
                place[0],
                place[1],
                _Probe(dialer=self, place=place),
                timeout=self.connect_seconds,
            )
        dial.ask_peers()
        return dial

    def watch_silence(self, watcher: typing.Callable[[Place], None]) -> None:
        """Call ``watcher`` with each upstream that did not answer directly.

        Connections that were made before are as silent, and a request sent
        on one of them would be lost.
        """
        self._silence_watchers.append(watcher)

    def direct_failed(self, place: Place, reason: failures.Failure) -> None:
        """Record that a direct connection could not be made."""
        self.paths.failed(place)
        if reason.check(internet_errors.TimeoutError):
            for watcher in self._silence_watchers:
                watcher(place)

    def now(self) -> datetime.datetime:
        """Return the time."""
        return self._clock.now()

    def request(self, peer: str, place: Place) -> bytes:
        """Return the frame that asks a peer."""
        request = messages.OpenRelay(
            daemon_id=self._daemon_id,
            reply_to=self._address,
            host=place[0],
            port=place[1],
            framed=True,
        )
        return self._codec.encode(peer, (request,))

    def answer(self, frame: bytes) -> messages.RelayOpened | None:
        """Return a peer's answer, None if the frame is none."""
        decoded = self._codec.decode(frame)
        if isinstance(decoded, codecs.DropReason) or len(decoded) != 1:
            return None
        (answer,) = decoded
        if isinstance(answer, messages.RelayOpened):
            return answer
        return None


class Dial(protocol.ClientFactory):
    """The opening of one connection."""

    noisy = False

    def __init__(
        self,
        *,
        dialer: Dialer,
        place: Place,
        factory: protocol.ClientFactory,
    ) -> None:
        self._dialer = dialer
        self._place = place
        self._factory = factory
        self._connector: interfaces.IConnector | None = None
        self._peers: tuple[str, ...] = ()
        self._asked = ""
        self._tried = False
        self._relayed: _Relayed | None = None
        self._reason: failures.Failure | None = None
        self._ended = False

    @property
    def request(self) -> bytes:
        """The frame that asks the peer."""
        return self._dialer.request(self._asked, self._place)

    @property
    def dialer(self) -> Dialer:
        """The dialer that opens the connection."""
        return self._dialer

    def connect_directly(self) -> None:
        """Try the own path."""
        self._connector = self._dialer.reactor.connectTCP(
            *self._place, self, timeout=self._dialer.connect_seconds
        )

    def ask_peers(self) -> None:
        """Ask peers, one after the other."""
        now = self._dialer.now()
        self._peers = self._dialer.paths.candidates(self._place, now)
        if self._peers:
            self._ask_next()
            return
        # The factory has to have what it cancels before it hears of the end.
        self._dialer.reactor.callLater(0, self._fail)

    def disconnect(self) -> None:
        """Give up; the factory hears that it was cancelled."""
        if self._ended:
            return
        self._ended = True
        if self._relayed is not None:
            self._relayed.give_up()
        if self._connector is not None:
            self._connector.disconnect()
        cancelled = failures.Failure(internet_errors.UserError())
        self._factory.clientConnectionFailed(self, cancelled)

    def buildProtocol(  # noqa: N802
        self, addr: addresses.IPv4Address
    ) -> protocol.Protocol | None:
        """Return the protocol of the connection that was made."""
        if self._ended:
            return None
        if self._asked:
            self._relayed = _Relayed(dial=self)
            return self._relayed
        self._ended = True
        self._dialer.paths.connected(self._place, self._dialer.now())
        return self._factory.buildProtocol(addr)

    def clientConnectionFailed(  # noqa: N802
        self, connector: interfaces.IConnector, reason: failures.Failure
    ) -> None:
        """Try the next way."""
        if self._ended:
            return
        self._reason = self._reason or reason
        if self._asked:
            self.refused(None)
            return
        self._dialer.direct_failed(self._place, reason)
        self.ask_peers()

    def watch(self, relayed: _Relayed) -> interfaces.IDelayedCall:
        """Bound the time of a peer's answer."""
        return self._dialer.reactor.callLater(
            self._dialer.answer_seconds, relayed.timed_out
        )

    def answered(
        self, answer: messages.RelayOpened | None
    ) -> protocol.Protocol | None:
        """Take a peer's answer; return the protocol to go on with."""
        if self._ended:
            return None
        code = answer.code if answer is not None else None
        if code is not messages.RelayCode.OPENED:
            self.refused(code)
            return None
        self._ended = True
        self._dialer.paths.relayed(
            self._place, self._asked, self._dialer.now()
        )
        return self._factory.buildProtocol(RelayedAddress(peer=self._asked))

    def refused(self, code: messages.RelayCode | None) -> None:
        """Ask the next peer, unless this one has proved the upstream's fault.

        Peers that don't try, as they are cut off, full or leaving, tell
        nothing about the upstream.
        """
        self._relayed = None
        now = self._dialer.now()
        paths = self._dialer.paths
        paths.refused(self._asked, code, now)
        tried = code in (None, messages.RelayCode.UNREACHABLE)
        self._tried = self._tried or tried
        proved = code is messages.RelayCode.UNREACHABLE and paths.proves_fault(
            self._asked, now
        )
        if self._peers and not proved:
            self._ask_next()
            return
        if self._tried:
            paths.not_relayed(self._place, now)
        self._fail()

    def _ask_next(self) -> None:
        self._asked, *rest = self._peers
        self._peers = tuple(rest)
        host, _, port = self._asked.rpartition(":")
        self._connector = self._dialer.reactor.connectTCP(
            host, int(port), self, timeout=self._dialer.connect_seconds
        )

    def _fail(self) -> None:
        if self._ended:
            return
        self._ended = True
        reason = self._reason or failures.Failure(
            internet_errors.ConnectError(string="no peer reaches the upstream")
        )
        self._factory.clientConnectionFailed(self, reason)


class _Relayed(basic.Int32StringReceiver):
    """A connection to a peer that becomes one to the upstream.

    Only the peer's last frame tells of the end of the upstream's connection.
    Without frames, from a peer of an earlier build, a regular end may be that
    of the peer, and an answer that has no end of its own is not complete.
    """

    MAX_LENGTH = MAX_ANSWER_BYTES

    def __init__(self, *, dial: Dial) -> None:
        self._dial: Dial | None = dial
        self._inner: protocol.Protocol | None = None
        self._framed = False
        self._takes_frames = False
        self._timer: interfaces.IDelayedCall | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Ask the peer."""
        transports.watch_writes(
            self.transport, unacknowledged_ms=UNACKNOWLEDGED_MS
        )
        self._timer = self._dial.watch(self)
        self.sendString(self._dial.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take the answer, then the upstream's bytes."""
        if self._inner is not None and not self._framed:
            self._inner.dataReceived(data)
            return
        super().dataReceived(data)
        self._takes_frames = self._framed

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take the peer's answer or a frame of the upstream's bytes."""
        if self._takes_frames and self._inner is not None:
            self._take_frame(string)
            return
        if self._inner is not None or self._dial is None:
            # Bytes that came with the answer are no upstream's: it speaks
            # only when it is asked.
            self.transport.abortConnection()
            return
        dial, self._dial = self._dial, None
        self._stop_timer()
        answer = dial.dialer.answer(string)
        self._inner = dial.answered(answer)
        if self._inner is None:
            self.transport.abortConnection()
            return
        self._framed = answer.framed
        self.MAX_LENGTH = messages.MAX_FRAME_BYTES + 1
        self._inner.makeConnection(self.transport)

    def _take_frame(self, frame: bytes) -> None:
        """Pass the upstream's bytes on, or its end."""
        kind, data = frame[:1], frame[1:]
        if kind == messages.FrameKind.DATA:
            self._inner.dataReceived(data)
            return
        end = internet_errors.ConnectionLost("the upstream's connection")
        inner, self._inner = self._inner, None
        if kind == messages.FrameKind.END:
            end = internet_errors.ConnectionDone()
            taken = messages.taken_bytes(data)
            if taken is not None:
                inner.untaken_bytes = max(0, inner.written_bytes - taken)
        inner.connectionLost(failures.Failure(end))
        self.transport.abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: failures.Failure = protocol.connectionDone
    ) -> None:
        """Pass on that the peer is lost, which ends no answer."""
        self._stop_timer()
        if self._inner is not None:
            regular = reason.check(internet_errors.ConnectionDone)
            if self._framed or regular:
                lost = RelayLostError(reason.getErrorMessage())
                reason = failures.Failure(lost)
            self._inner.connectionLost(reason)
            return
        dial, self._dial = self._dial, None
        if dial is not None:
            dial.refused(None)

    def timed_out(self) -> None:
        """Give the peer up."""
        self._timer = None
        dial, self._dial = self._dial, None
        self.transport.abortConnection()
        if dial is not None:
            dial.refused(None)

    def give_up(self) -> None:
        """End the connection; nobody waits for it any more."""
        self._dial = None
        self._stop_timer()
        self.transport.abortConnection()

    def _stop_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()


class _Probe(protocol.Protocol, protocol.ClientFactory):
    """A connection that only tells whether the own path works."""

    noisy = False

    def __init__(self, *, dialer: Dialer, place: Place) -> None:
        self._dialer = dialer
        self._place = place

    def buildProtocol(  # noqa: N802
        self, addr: addresses.IPv4Address
    ) -> _Probe:
        """Return the only protocol of this connection."""
        return self

    def connectionMade(self) -> None:  # noqa: N802
        """Record it and close."""
        self._dialer.paths.connected(self._place, self._dialer.now())
        self.transport.loseConnection()

    def clientConnectionFailed(  # noqa: N802
        self, connector: interfaces.IConnector, reason: failures.Failure
    ) -> None:
        """Record that the path is still cut."""
        self._dialer.direct_failed(self._place, reason)
