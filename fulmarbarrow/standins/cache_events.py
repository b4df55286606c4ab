"""Reports an engine's cache to the fleet, late and with gaps."""

from __future__ import annotations

import itertools
import typing

import msgspec
import treq
from twisted.internet import defer

from fulmarbarrow.edge import headers
from fulmarbarrow.edge import upstreams
from fulmarbarrow.standins import identity as identities
from fulmarbarrow.standins import options as options_module

TIMEOUT_SECONDS = 1.0


class CacheReporter:
    """Gathers cache events and sends them in numbered batches."""

    def __init__(
        self,
        *,
        options: options_module.StandinOptions,
        reactor: typing.Any,
        identity: identities.Identity,
    ) -> None:
        self._options = options
        self._reactor = reactor
        self._identity = identity
        self._entries = itertools.cycle(options.entries)
        self._sequence = itertools.count(1)
        self._stored: list[str] = []
        self._evicted: list[str] = []
        self._planned = False

    def add(self, *, stored: str, evicted: list[str]) -> None:
        """Report a stored chat and the chats that went for it, later."""
        if stored:
            self._stored.append(stored)
        self._evicted.extend(evicted)
        if self._planned:
            return
        self._planned = True
        delay = self._options.cache_event_delay_ms / 1000
        self._reactor.callLater(delay, self._flush)

    def _flush(self) -> None:
        self._planned = False
        sequence = next(self._sequence)
        body = upstreams.CacheBody(
            upstream_id=self._options.upstream_id,
            incarnation=self._identity.incarnation,
            sequence=sequence,
            stored=tuple(self._stored),
            evicted=tuple(self._evicted),
        )
        self._stored.clear()
        self._evicted.clear()
        gap = self._options.cache_event_gap
        if gap and sequence % gap == 0:
            return
        defer.ensureDeferred(self._send(body))

    async def _send(self, body: upstreams.CacheBody) -> None:
        try:
            response = await treq.post(
                f"http://{next(self._entries)}/v1/cache-events",
                data=msgspec.json.encode(body),
                headers={headers.FLEET_KEY: self._options.key},
                timeout=TIMEOUT_SECONDS,
            )
            await response.content()
        except Exception:
            # A lost batch is one more gap in the sequence.
            return
