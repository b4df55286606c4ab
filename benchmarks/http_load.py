"""A small HTTP load generator on one asyncio loop."""

from __future__ import annotations

import asyncio
import dataclasses
import time

TIMEOUT_SECONDS = 30


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Seconds until the first byte of a body and until its end."""

    first: float
    whole: float
    status: int


class Connection:
    """One keep-alive connection."""

    def __init__(self, *, address: str) -> None:
        self._host, _, self._port = address.partition(":")
        self._reader = None

    async def ask(self, request: bytes) -> Timing:
        """Send a request and read its answer; raises TimeoutError."""
        return await asyncio.wait_for(self._ask(request), TIMEOUT_SECONDS)

    async def _ask(self, request: bytes) -> Timing:
        if self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
        started = time.perf_counter()
        self._writer.write(request)
        head = await self._reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1)
            for line in head.split(b"\r\n")[1:]
            if b": " in line
        )
        first = None
        if b"content-length" in fields:
            await self._reader.readexactly(int(fields[b"content-length"]))
            first = time.perf_counter()
        else:
            while size := int(await self._reader.readline(), 16):
                await self._reader.readexactly(size + 2)
                first = first or time.perf_counter()
            await self._reader.readexactly(2)
        whole = time.perf_counter()
        return Timing(
            first=(first or whole) - started,
            whole=whole - started,
            status=int(head.split()[1]),
        )

    def close(self) -> None:
        """Close the connection."""
        if self._reader is not None:
            self._writer.close()
            self._reader = None


def build(
    method: str, path: str, key: str, body: bytes = b"", chat: str = ""
) -> bytes:
    """Return the bytes of a request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {key}\r\nX-Chat-Id: {chat}\r\n"
        f"Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def closed_loop(
    address: str, request: bytes, *, connections: int, seconds: float
) -> list[Timing]:
    """Ask again as soon as an answer is there, on each connection."""
    until = time.perf_counter() + seconds
    timings: list[Timing] = []

    async def work() -> None:
        connection = Connection(address=address)
        while time.perf_counter() < until:
            timings.append(await connection.ask(request))
        connection.close()

    await asyncio.gather(*(work() for _ in range(connections)))
    return timings


async def open_loop(
    address: str, requests: list[bytes], *, per_second: float
) -> list[Timing]:
    """Send requests at a steady rate, whatever the answers take."""
    idle: list[Connection] = []
    timings: list[Timing] = []

    async def work(request: bytes) -> None:
        connection = idle.pop() if idle else Connection(address=address)
        timings.append(await connection.ask(request))
        idle.append(connection)

    started = time.perf_counter()
    tasks = []
    for number, request in enumerate(requests):
        wait = started + number / per_second - time.perf_counter()
        await asyncio.sleep(max(0.0, wait))
        tasks.append(asyncio.create_task(work(request)))
    await asyncio.gather(*tasks)
    for connection in idle:
        connection.close()
    return timings
