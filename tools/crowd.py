"""Clients that send requests without finishing them, over plain sockets."""

from __future__ import annotations

import collections.abc
import contextlib
import pathlib
import selectors
import socket
import time

SEND_BYTES = 64 << 10
# Without progress on any connection for this long, no more is sent.
STALLED_SECONDS = 3.0
MAX_SECONDS = 60.0
# A process that uses less than this many hundredths of a second of processor
# time in an interval is idle.
IDLE_SECONDS = 0.5
IDLE_TICKS = 5
# On a busy machine a process may get no processor for an interval.
IDLE_INTERVALS = 3

Parts = collections.abc.Iterator[bytes]


class Crowd:
    """Connections to one address that each send an iterator of bytes.

    They stay open after the last byte until ``close``.
    """

    def __init__(self, *, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._sockets: list[socket.socket] = []

    def send(self, payloads: list[Parts]) -> None:
        """Open a connection for each payload and send them side by side.

        Returns when all is sent or refused, or when no connection takes any
        more bytes.
        """
        with selectors.DefaultSelector() as selector:
            for payload in payloads:
                connection = socket.create_connection(self._address, 10)
                connection.setblocking(False)
                self._sockets.append(connection)
                selector.register(
                    connection, selectors.EVENT_WRITE, [payload, b""]
                )
            end = time.monotonic() + MAX_SECONDS
            while selector.get_map() and time.monotonic() < end:
                ready = selector.select(STALLED_SECONDS)
                if not ready:
                    return
                for key, _ in ready:
                    if not _send_part(key.fileobj, key.data):
                        selector.unregister(key.fileobj)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()
        self._sockets.clear()


def _send_part(connection: socket.socket, state: list) -> bool:
    """Send some bytes; return whether there may be more to send."""
    payload, rest = state
    rest = rest or next(payload, b"")
    if not rest:
        return False
    try:
        sent = connection.send(rest[:SEND_BYTES])
    except BlockingIOError:
        sent = 0
    except OSError:  # the other end has refused the rest
        return False
    state[1] = rest[sent:]
    return True


def whole(head: bytes, size: int, sent: int) -> Parts:
    """Announce a body of ``size`` bytes and send ``sent`` of them."""
    yield b"%bContent-Length: %d\r\n\r\n" % (head, size)
    yield bytes(sent)


def pieces(head: bytes, size: int, sent: int, piece: int) -> Parts:
    """Like ``whole``, in pieces of ``piece`` bytes."""
    yield b"%bContent-Length: %d\r\n\r\n" % (head, size)
    for begin in range(0, sent, piece):
        yield bytes(min(piece, sent - begin))


def chunked(head: bytes, size: int, chunk: int) -> Parts:
    """Send ``size`` bytes in chunks of ``chunk``, without the last chunk."""
    yield b"%bTransfer-Encoding: chunked\r\n\r\n" % head
    part = b"%x\r\n%b\r\n" % (chunk, bytes(chunk))
    together = max(1, SEND_BYTES // len(part))
    count = size // chunk
    for begin in range(0, count, together):
        yield part * min(together, count - begin)


def wait_until_idle(pid: int) -> None:
    """Wait until a process has handled what was sent to it.

    Much of it may still be in the buffers of the kernel when the last byte
    is sent. Ends after ``MAX_SECONDS`` at the latest.
    """
    end = time.monotonic() + MAX_SECONDS
    used, idle = _processor_ticks(pid), 0
    while idle < IDLE_INTERVALS and time.monotonic() < end:
        time.sleep(IDLE_SECONDS)
        before, used = used, _processor_ticks(pid)
        idle = idle + 1 if used - before <= IDLE_TICKS else 0


def _processor_ticks(pid: int) -> int:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return int(user) + int(system)


def peak_memory_bytes(pid: int) -> int:
    """Return the highest resident memory of a process so far."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) << 10
    raise ValueError(f"no VmHWM of process {pid}")


def open_descriptors(pid: int) -> int:
    """Return the number of a process's open descriptors."""
    with contextlib.suppress(FileNotFoundError):
        return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
    return 0
