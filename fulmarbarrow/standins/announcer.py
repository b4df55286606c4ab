"""Announces a stand-in upstream to the entry hosts."""

from __future__ import annotations

import itertools
import typing

import msgspec
import treq
from twisted.internet import defer
from twisted.internet import task
from twisted.web import http

from fulmarbarrow.edge import headers
from fulmarbarrow.edge import upstreams
from fulmarbarrow.membership import messages
from fulmarbarrow.standins import identity as identities
from fulmarbarrow.standins import options as options_module

RENEW_SECONDS = 1.0
TIMEOUT_SECONDS = 1.0


def parse_offer(text: str) -> upstreams.OfferBody:
    """Return the offer written ``service[/model[/version]]``."""
    parts = [*text.split("/"), "", ""]
    return upstreams.OfferBody(
        service=parts[0], model=parts[1], version=parts[2]
    )


class Announcer:
    """Renews the lease of an upstream through one entry host at a time."""

    def __init__(
        self,
        *,
        options: options_module.StandinOptions,
        identity: identities.Identity,
        load: typing.Callable[[], upstreams.LoadBody],
        offers: typing.Callable[[], tuple[str, ...]] | None = None,
    ) -> None:
        self._options = options
        self._load = load
        self._offers = offers or (lambda: options.offers)
        self._identity = identity
        self._entries = itertools.cycle(options.entries)
        self._sequence = itertools.count(1)
        self._loop = task.LoopingCall(self.announce)
        self._owner = ""
        self._owner_epoch = 0
        self.state = messages.UpstreamState.SERVING
        self.muted = False

    def start(self) -> None:
        """Announce now and then often enough to keep the lease."""
        self._loop.start(RENEW_SECONDS).addErrback(lambda _: None)

    async def _send(self) -> None:
        if self.muted:
            return
        body = self._body()
        for _ in self._options.entries:
            entry = next(self._entries)
            try:
                response = await treq.post(
                    f"http://{entry}/v1/announce",
                    data=msgspec.json.encode(body),
                    headers={headers.FLEET_KEY: self._options.key},
                    timeout=TIMEOUT_SECONDS,
                )
                self._take(response.code, await response.content())
            except Exception:
                continue
            return

    def announce(self) -> defer.Deferred[None]:
        """Announce once, to the first entry host that answers."""
        return defer.ensureDeferred(self._send())

    def _take(self, status: int, content: bytes) -> None:
        """Name the suggested owner from now on if its epoch is higher."""
        if status != http.OK:
            return
        answer = msgspec.json.decode(content, type=upstreams.AnnounceAnswer)
        if answer.owner_epoch > self._owner_epoch:
            self._owner = answer.owner
            self._owner_epoch = answer.owner_epoch

    def _body(self) -> upstreams.AnnounceBody:
        options = self._options
        port = options.announced_port or options.port
        return upstreams.AnnounceBody(
            upstream_id=options.upstream_id,
            incarnation=self._identity.incarnation,
            sequence=next(self._sequence),
            zone=options.zone,
            url=f"http://{options.host}:{port}",
            offers=tuple(parse_offer(text) for text in self._offers()),
            batch_tokens=options.batch_tokens,
            tokens_per_second=options.tokens_per_second,
            state=self.state,
            started_at=self._identity.started_at,
            checks_fencing=options.checks_fencing,
            owner=self._owner,
            owner_epoch=self._owner_epoch,
            load=self._load(),
        )
