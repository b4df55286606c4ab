"""The HTTP edge on which upstreams announce themselves."""

from __future__ import annotations

import datetime
import hmac
import typing
import urllib.parse

import klein
import msgspec
from twisted.internet import defer
from twisted.web import http

from fulmarbarrow import bus as buses
from fulmarbarrow import decoding
from fulmarbarrow.edge import announce_calls
from fulmarbarrow.edge import headers
from fulmarbarrow.edge import requests
from fulmarbarrow.membership import messages

# Messages between daemons carry numbers of 64 bits.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class OfferBody(msgspec.Struct, frozen=True, kw_only=True):
    """A service, with its model and version, that an upstream runs."""

    service: str
    model: str = ""
    version: str = ""


class LoadBody(msgspec.Struct, frozen=True, kw_only=True):
    """The work that an upstream has, in tokens and in requests."""

    running_tokens: Count = 0
    queued_tokens: Count = 0
    running_requests: Count = 0
    queued_requests: Count = 0
    measured_at: datetime.datetime | None = None


class AnnounceBody(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream sends to ``POST /v1/announce``.

    The fields are those of membership's ``Upstream``. ``owner`` and
    ``owner_epoch`` repeat the last answer whose ``owner_epoch`` was above
    all before it, and are empty and 0 before the first.
    """

    upstream_id: str
    incarnation: Count
    sequence: Count
    zone: str
    url: str
    offers: tuple[OfferBody, ...]
    batch_tokens: Count
    tokens_per_second: Count
    state: messages.UpstreamState
    started_at: datetime.datetime
    checks_fencing: bool = False
    owner: str = ""
    owner_epoch: Count = 0
    load: LoadBody = LoadBody()

    def upstream(self) -> messages.Upstream:
        """Return the record that membership keeps.

        Raises ValueError for a URL without a host or a port that exists.
        """
        parts = urllib.parse.urlsplit(self.url)
        if not parts.hostname or parts.port == 0:
            raise ValueError(f"no place at {self.url!r}")
        fields = msgspec.structs.asdict(self)
        del fields["load"]
        fields["offers"] = tuple(
            messages.Offer(**msgspec.structs.asdict(offer))
            for offer in self.offers
        )
        return messages.Upstream(**fields)

    def reported_load(self) -> messages.Load:
        """Return the load that membership passes on."""
        return messages.Load(**msgspec.structs.asdict(self.load))


class AnnounceAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream gets for an announcement that holds."""

    lease_seconds: float
    owner: str = ""
    owner_epoch: int = 0


class CacheBody(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine sends to ``POST /v1/cache-events``."""

    upstream_id: str
    incarnation: Count
    sequence: Count
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class UpstreamsEdge:
    """Takes announcements, loads and cache events of upstreams."""

    def __init__(self, *, bus: buses.Bus, key: str) -> None:
        self._bus = bus
        self._key = key
        self._calls = announce_calls.AnnounceCalls(bus=bus)
        self.app = klein.Klein()
        self.app.route("/v1/announce", methods=["POST"])(self._announce)
        self.app.route("/v1/cache-events", methods=["POST"])(self._cache)

    def _announce(
        self, request: http.Request
    ) -> bytes | defer.Deferred[bytes]:
        if not self._authentic(request):
            return _error(request, 401, "wrong_upstream_key")
        try:
            body = decoding.decode_json(request.content.read(), AnnounceBody)
            upstream, load = body.upstream(), body.reported_load()
        except (msgspec.DecodeError, ValueError) as error:
            return _error(request, 400, str(error))
        reply = self._calls.post(
            messages.Announced(upstream=upstream, load=load)
        )
        return reply.addCallback(_answer, request)

    def _cache(self, request: http.Request) -> bytes:
        if not self._authentic(request):
            return _error(request, 401, "wrong_upstream_key")
        try:
            body = decoding.decode_json(request.content.read(), CacheBody)
        except msgspec.DecodeError as error:
            return _error(request, 400, str(error))
        self._bus.post(messages.CacheEvents(**msgspec.structs.asdict(body)))
        return b"{}"

    def _authentic(self, request: http.Request) -> bool:
        given = requests.header(request, headers.FLEET_KEY)
        return hmac.compare_digest(given.encode(), self._key.encode())


def _answer(
    reply: announce_calls.Reply | None, request: http.Request
) -> bytes:
    """Return the answer to an announcement."""
    if not isinstance(reply, messages.AnnounceAccepted):
        return _error(request, 409, reply.code if reply else "not_taken")
    return msgspec.json.encode(
        AnnounceAnswer(
            lease_seconds=reply.lease.total_seconds(),
            owner=reply.owner,
            owner_epoch=reply.owner_epoch,
        )
    )


def _error(request: http.Request, status: int, code: str) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    body: dict[str, typing.Any] = {"error": {"code": code}}
    return msgspec.json.encode(body)
