"""Carries frames between daemons over pynng sockets."""

from __future__ import annotations

import asyncio
import collections
import typing

import pynng

from fulmarbarrow import message as messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.wire import codec as codecs

TASK_THREADS = 2
SEND_BUFFER_MESSAGES = 128
MAX_FRAME_BYTES = 16 << 20
MAX_BATCH_MESSAGES = 64


def limit_threads() -> None:
    """Keep nng to a few native threads; call before the first socket."""
    library = pynng.lib
    for parameter in (
        library.NNG_INIT_NUM_TASK_THREADS,
        library.NNG_INIT_MAX_TASK_THREADS,
        library.NNG_INIT_NUM_EXPIRE_THREADS,
        library.NNG_INIT_MAX_EXPIRE_THREADS,
        library.NNG_INIT_NUM_POLLER_THREADS,
        library.NNG_INIT_MAX_POLLER_THREADS,
        library.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        library.nng_init_set_parameter(parameter, TASK_THREADS)


class Transport:
    """Sends messages to daemons by address and receives theirs.

    A message to a daemon that can't be reached is dropped and counted;
    whoever needs an answer has a timeout.
    """

    def __init__(
        self,
        *,
        address: str,
        codec: codecs.Codec,
        metrics: metrics_module.Metrics,
        received: typing.Callable[[messages.Message], None],
    ) -> None:
        self._address = address
        self._codec = codec
        self._metrics = metrics
        self._received = received
        self._peers: dict[str, pynng.Push0] = {}
        self._waiting: dict[str, collections.deque[messages.Message]] = {}
        self._flush_planned = False
        self._socket: pynng.Pull0 | None = None
        self._reader: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen for the other daemons' messages."""
        limit_threads()
        self._socket = pynng.Pull0(
            listen=f"tcp://{self._address}", recv_max_size=MAX_FRAME_BYTES
        )
        self._reader = asyncio.get_event_loop().create_task(self._read())

    def stop(self) -> None:
        """Send what waits, then close every socket."""
        self._flush()
        if self._reader is not None:
            self._reader.cancel()
        for peer in self._peers.values():
            peer.close()
        if self._socket is not None:
            self._socket.close()

    def send(self, send: messages.Send) -> None:
        """Send a message; those of one loop turn share a frame."""
        queue = self._waiting.setdefault(send.address, collections.deque())
        if send.urgent:
            queue.appendleft(send.message)
        else:
            queue.append(send.message)
        if not self._flush_planned:
            self._flush_planned = True
            asyncio.get_event_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_planned = False
        waiting, self._waiting = self._waiting, {}
        for address, queue in waiting.items():
            while queue:
                count = min(len(queue), MAX_BATCH_MESSAGES)
                batch = tuple(queue.popleft() for _ in range(count))
                self._send_frame(address, batch)

    def _send_frame(
        self, address: str, batch: tuple[messages.Message, ...]
    ) -> None:
        frame = self._codec.encode(address, batch)
        try:
            self._peer(address).send(frame, block=False)
        except pynng.NNGException:
            self._metrics.count("peer_frames_unsent")
            return
        self._metrics.count("peer_frames_sent")
        self._metrics.count("peer_bytes_sent", len(frame))

    def _peer(self, address: str) -> pynng.Push0:
        peer = self._peers.get(address)
        if peer is None:
            peer = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
            peer.dial(f"tcp://{address}", block=False)
            self._peers[address] = peer
        return peer

    async def _read(self) -> None:
        while self._socket is not None:
            try:
                frame = await self._socket.arecv()
            except pynng.Closed:
                return
            self._metrics.count("peer_bytes_received", len(frame))
            self._take(frame)

    def _take(self, frame: bytes) -> None:
        decoded = self._codec.decode(frame)
        if isinstance(decoded, codecs.DropReason):
            self._metrics.count("peer_frames_dropped", reason=decoded.value)
            return
        for message in decoded:
            self._received(message)
