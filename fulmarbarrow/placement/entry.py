"""Searches an upstream for each request and reserves its capacity."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import random
import typing

import msgspec

from fulmarbarrow.config import defaults
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import health as healths
from fulmarbarrow.placement import holdings as holdings_module
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import prefixes
from fulmarbarrow.placement import recent
from fulmarbarrow.placement import sliver as slivers
from fulmarbarrow.placement import sources as sources_module

MILLISECOND = datetime.timedelta(milliseconds=1)
REPLY_TIMEOUT = datetime.timedelta(milliseconds=150)
OWNER_RETRY = datetime.timedelta(seconds=1)
WALK_PAUSE = datetime.timedelta(milliseconds=50)
NO_WAIT = datetime.timedelta(0)


class Stage(enum.Enum):
    """State of the search for an upstream."""

    TRYING = "trying"
    QUEUEING = "queueing"
    PAUSED = "paused"


@dataclasses.dataclass(kw_only=True, slots=True)
class Walk:
    """A request for which an upstream is being searched.

    ``asked`` is the upstream whose owner has not replied yet. ``offers``
    holds the expected waits in milliseconds that owners sent with their
    refusals, by upstream. ``moved_to`` is the upstream that holds the chat's
    cache according to the owner of its home.
    """

    request: messages.PlaceRequest
    candidates: list[str]
    chat: int = 0
    moved_to: str = ""
    stage: Stage = Stage.TRYING
    position: int = 0
    asks: int = 0
    asked: str = ""
    until: datetime.datetime | None = None
    offers: dict[str, int] = dataclasses.field(default_factory=dict)
    refusals: set[str] = dataclasses.field(default_factory=set)


class EntryCore:
    """Finds an upstream for each request of this entry host.

    The candidates are tried in order. Each owner is asked for a reservation;
    an upstream whose owner does not reply is used within this router's own
    limits. If no candidate has capacity, the request queues at the owner
    with the shortest expected wait.
    """

    def __init__(
        self,
        *,
        address: str,
        zone: str,
        directory: directories.Directory,
        holdings: holdings_module.Holdings,
        sliver: slivers.SliverRules,
        health: healths.Health,
        sources: sources_module.Sources,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        timing: defaults.PlacementSection,
    ) -> None:
        self._address = address
        self._zone = zone
        self._directory = directory
        self._holdings = holdings
        self._sliver = sliver
        self._health = health
        self._metrics = metrics
        self._rng = rng
        self._home_wait = timing.home_wait
        self._cache_worth_ms = timing.cache_worth // MILLISECOND
        self._prefixes = prefixes.Prefixes()
        self._sources = sources
        self._fetches = timing.fetches
        self._queue_wait = timing.queue_wait
        self._walks: dict[str, Walk] = {}
        self._silent: dict[str, datetime.datetime] = {}

    def __len__(self) -> int:
        """Return the number of requests that are waiting for an upstream."""
        return len(self._walks)

    def place(
        self, request: messages.PlaceRequest, now: datetime.datetime
    ) -> list[message.Message]:
        """Start searching an upstream for a request."""
        request = self._keyed(request, now)
        candidates = self._candidates(request, now)
        if not candidates:
            return [self._refuse(request, "no_upstream")]
        walk = Walk(
            request=request,
            candidates=candidates,
            chat=recent.chat_hash(request.chat) if request.model else 0,
        )
        self._walks[request.attempt_id] = walk
        return self._advance(walk, now)

    def _keyed(
        self, request: messages.PlaceRequest, now: datetime.datetime
    ) -> messages.PlaceRequest:
        """Return the request with its affinity key as its chat."""
        if not request.parts:
            return request
        pool = self._directory.pool(request.service, request.model)
        key = self._prefixes.key(request, len(pool), now)
        return msgspec.structs.replace(request, chat=key)

    def cancel(self, attempt_id: str) -> None:
        """Stop the search because the caller disconnected."""
        walk = self._walks.pop(attempt_id, None)
        if walk is not None and walk.asked:
            self._holdings.release(walk.asked, attempt_id)

    def reserved(
        self, event: messages.Reserved, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle an owner's grant; release it if it is no longer needed."""
        walk = self._walks.get(event.attempt_id)
        if walk is None or walk.asked != event.upstream_id:
            self._give_back(event)
            return []
        upstream = self._directory.upstreams.get(event.upstream_id)
        if (
            upstream is None
            or upstream.incarnation != event.incarnation
            or not self._directory.serves(event.upstream_id, walk.request)
        ):
            self._holdings.release(event.upstream_id, event.attempt_id)
            return self._next(walk, now)
        placed = self._placed(walk, upstream, event.priority, now)
        return [placed, *self._tell_home(walk, event.upstream_id)]

    def refused(
        self, event: messages.ReserveRefused, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle an owner's refusal and try the next upstream."""
        walk = self._walks.get(event.attempt_id)
        if walk is None or walk.asked != event.upstream_id:
            return []
        walk.refusals.add(event.code)
        if event.code == "not_owner":
            return self._alone(walk, event.upstream_id, now)
        if event.code in ("queue_full", "deadline_exceeded"):
            if walk.stage is Stage.QUEUEING:
                return [self._give_up(walk, event.code)]
        elif event.code == "overloaded" and walk.stage is Stage.QUEUEING:
            return self._again(walk, now)
        elif event.code == "moved":
            self._follow(walk, event, now)
        elif event.code in ("bound_reached", "overloaded"):
            walk.offers[event.upstream_id] = event.wait_ms
        return self._next(walk, now)

    def tick(self, now: datetime.datetime) -> list[message.Message]:
        """Handle expired deadlines, reply timeouts and pauses."""
        effects: list[message.Message] = []
        for walk in list(self._walks.values()):
            if walk.request.deadline <= now:
                self._release_asked(walk)
                effects.append(self._give_up(walk, "deadline_exceeded"))
            elif walk.until is not None and walk.until <= now:
                effects.extend(self._timed_out(walk, now))
        return effects

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of the pending requests."""
        return {
            attempt_id: {"stage": walk.stage.value, "asked": walk.asked}
            for attempt_id, walk in self._walks.items()
        }

    def _candidates(
        self, request: messages.PlaceRequest, now: datetime.datetime
    ) -> list[str]:
        """Return the upstreams to try, best first."""
        if request.model:
            found = self._directory.candidates(request)
            return self._health.fit(found, now, once=request.once)
        return self._plain_candidates(request, now)

    def _plain_candidates(
        self, request: messages.PlaceRequest, now: datetime.datetime
    ) -> list[str]:
        """Return the upstreams of a plain service, those of this zone first.

        Within the zone and outside of it, the less loaded one of two random
        upstreams comes first.
        """
        ring = self._directory.pool(request.service, "")
        members = [
            item for item in ring.members if item not in request.excluded
        ]
        members = self._health.fit(members, now, once=request.once)
        self._rng.shuffle(members)
        upstreams = self._directory.upstreams
        local = [i for i in members if upstreams[i].zone == self._zone]
        remote = [i for i in members if upstreams[i].zone != self._zone]
        chosen = [*self._by_two(local), *self._by_two(remote)]
        return chosen[: directories.MAX_CANDIDATES]

    def _by_two(self, members: list[str]) -> list[str]:
        """Move the less loaded one of the first two to the front."""
        if len(members) < 2:
            return members
        first, second, *rest = members
        if self._load(second) < self._load(first):
            first, second = second, first
        return [first, second, *rest]

    def _load(self, upstream_id: str) -> float:
        upstream = self._directory.upstreams[upstream_id]
        known = self._sliver.known_work(upstream_id)
        work = max(known, self._holdings.work(upstream_id))
        return work / max(1, upstream.batch_tokens)

    def _advance(
        self, walk: Walk, now: datetime.datetime
    ) -> list[message.Message]:
        """Try the candidates from the current position on."""
        while walk.position < len(walk.candidates):
            upstream_id = walk.candidates[walk.position]
            upstream = self._directory.upstreams.get(upstream_id)
            if upstream is None or not self._directory.serves(
                upstream_id, walk.request
            ):
                walk.position += 1
                continue
            owner = self._reachable_owner(upstream_id, now)
            if owner is not None:
                wait = NO_WAIT if walk.position else self._home_wait
                return [self._ask(walk, upstream, owner, wait, now)]
            if self._fits_alone(walk, upstream, now):
                return [self._placed_alone(walk, upstream, now)]
            walk.position += 1
        return self._wait(walk, now)

    def _follow(
        self,
        walk: Walk,
        event: messages.ReserveRefused,
        now: datetime.datetime,
    ) -> None:
        """Try the upstream with the chat's cache next, then the home again.

        The named upstream is skipped if it is unhealthy or excluded here. The
        owner knows neither the outcomes of this router's attempts nor the
        upstreams that the request has already tried.
        """
        home, cached = walk.candidates[0], event.moved_to
        others = [i for i in walk.candidates if i not in (home, cached)]
        fit = self._health.fit([home, cached], now, once=walk.request.once)
        if cached in fit and cached not in walk.request.excluded:
            walk.moved_to = cached
            others = [cached, home, *others]
        else:
            others = [home, *others]
        walk.candidates = [home, *others]

    def _next(
        self, walk: Walk, now: datetime.datetime
    ) -> list[message.Message]:
        walk.asked = ""
        walk.until = None
        if walk.stage is Stage.QUEUEING:
            return self._pause(walk, now)
        walk.position += 1
        return self._advance(walk, now)

    def _wait(
        self, walk: Walk, now: datetime.datetime
    ) -> list[message.Message]:
        """Queue at the owner with the shortest expected wait, or pause."""
        cached = (walk.candidates[0], walk.moved_to)
        offers = [
            (
                wait + (0 if upstream_id in cached else self._cache_worth_ms),
                walk.candidates.index(upstream_id),
                upstream_id,
            )
            for upstream_id, wait in walk.offers.items()
            if upstream_id in self._directory.upstreams
        ]
        if not offers:
            return self._pause(walk, now)
        upstream_id = min(offers)[2]
        owner = self._reachable_owner(upstream_id, now)
        if owner is None:
            return self._pause(walk, now)
        walk.stage = Stage.QUEUEING
        upstream = self._directory.upstreams[upstream_id]
        wait = min(self._queue_wait, walk.request.deadline - now)
        return [self._ask(walk, upstream, owner, wait, now)]

    def _pause(
        self, walk: Walk, now: datetime.datetime
    ) -> list[message.Message]:
        """Restart the search after a short pause."""
        walk.stage = Stage.PAUSED
        walk.asked = ""
        walk.until = now + WALK_PAUSE
        return []

    def _again(
        self, walk: Walk, now: datetime.datetime
    ) -> list[message.Message]:
        """Restart the search with new candidates, as loads have changed."""
        walk.candidates = self._candidates(walk.request, now)
        if not walk.candidates:
            return [self._give_up(walk, "no_upstream")]
        walk.stage = Stage.TRYING
        walk.asked = ""
        walk.position = 0
        walk.offers.clear()
        return self._advance(walk, now)

    def _timed_out(
        self, walk: Walk, now: datetime.datetime
    ) -> list[message.Message]:
        if walk.stage is Stage.PAUSED:
            return self._again(walk, now)
        self._release_asked(walk)
        owner = self._directory.owners.get(walk.asked)
        if owner is not None:
            self._silent[owner.address] = now + OWNER_RETRY
            self._metrics.count("owners_silent")
        return self._alone(walk, walk.asked, now)

    def _alone(
        self, walk: Walk, upstream_id: str, now: datetime.datetime
    ) -> list[message.Message]:
        """Place without a reservation if the limits of this router allow it.

        Used if the owner did not reply or is no longer the owner.
        """
        upstream = self._directory.upstreams.get(upstream_id)
        if upstream is not None and self._fits_alone(walk, upstream, now):
            return [self._placed_alone(walk, upstream, now)]
        return self._next(walk, now)

    def _reachable_owner(
        self, upstream_id: str, now: datetime.datetime
    ) -> directories.Owner | None:
        owner = self._directory.owners.get(upstream_id)
        if owner is None or not owner.address:
            return None
        silent_until = self._silent.get(owner.address)
        if silent_until is None:
            return owner
        if silent_until > now:
            return None
        del self._silent[owner.address]
        return owner

    def _fits_alone(
        self,
        walk: Walk,
        upstream: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> bool:
        if not self._directory.usable(upstream):
            return False
        return self._sliver.fits(
            upstream,
            self._holdings.work(upstream.upstream_id),
            walk.request.cost,
            now,
            self._directory.zone_weight(upstream.zone),
            self._directory.pool_of(upstream.upstream_id),
        )

    def _ask(
        self,
        walk: Walk,
        upstream: membership_messages.Upstream,
        owner: directories.Owner,
        wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> message.Message:
        request = walk.request
        stage = messages.ReserveStage.NEXT
        if walk.stage is Stage.QUEUEING:
            stage = messages.ReserveStage.LAST
        elif not walk.asks and upstream.upstream_id == walk.candidates[0]:
            stage = messages.ReserveStage.HOME
        walk.asks += 1
        walk.asked = upstream.upstream_id
        walk.until = now + wait + REPLY_TIMEOUT
        return message.Send(
            address=owner.address,
            message=messages.Reserve(
                reply_to=self._address,
                attempt_id=request.attempt_id,
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                owner_epoch=owner.epoch,
                account=request.account,
                service=request.service,
                cost=request.cost,
                cost_class=request.cost_class,
                worth=request.worth,
                wait_ms=wait // MILLISECOND,
                deadline_ms=(request.deadline - now) // MILLISECOND,
                best_effort=request.best_effort,
                chat=walk.chat,
                stage=stage,
                rank=request.rank,
            ),
        )

    def _placed(
        self,
        walk: Walk,
        upstream: membership_messages.Upstream,
        priority: int,
        now: datetime.datetime,
        renewed_at: datetime.datetime | None = None,
    ) -> message.Message:
        request = walk.request
        del self._walks[request.attempt_id]
        self._holdings.add(
            holdings_module.Holding(
                request=request,
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                renewed_at=renewed_at or now,
            )
        )
        self._sliver.placed(upstream.upstream_id, request.cost, now)
        self._health.started(upstream.upstream_id, now)
        home = upstream.upstream_id == walk.candidates[0]
        self._metrics.count("requests_placed", home=str(home).lower())
        return messages.Placed(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            upstream_id=upstream.upstream_id,
            incarnation=upstream.incarnation,
            url=upstream.url,
            version=self._directory.version_of(upstream.upstream_id, request),
            priority=priority,
            fetch_from=(
                self._sources.source(request, upstream, now)
                if self._fetches
                else ""
            ),
        )

    def _tell_home(
        self, walk: Walk, upstream_id: str
    ) -> list[message.Message]:
        """Notify the home's owner that a chat was placed elsewhere."""
        home = walk.candidates[0]
        if upstream_id in (home, walk.moved_to) or not walk.chat:
            return []
        owner = self._directory.owners.get(home)
        if owner is None or not owner.address:
            return []
        return [
            message.Send(
                address=owner.address,
                message=messages.ChatMoved(
                    upstream_id=home, chat=walk.chat, moved_to=upstream_id
                ),
            )
        ]

    def _placed_alone(
        self,
        walk: Walk,
        upstream: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> message.Message:
        """Place without a reservation.

        The next renewals report the attempt to the owner, because it is
        marked as due for renewal.
        """
        self._metrics.count("requests_placed_alone")
        never = now - holdings_module.RENEW_AFTER
        return self._placed(walk, upstream, 0, now, renewed_at=never)

    def _give_back(self, event: messages.Reserved) -> None:
        """Release a grant that no attempt is waiting for."""
        holding = self._holdings.get(event.attempt_id)
        if holding is None or holding.upstream_id != event.upstream_id:
            self._holdings.release(event.upstream_id, event.attempt_id)

    def _release_asked(self, walk: Walk) -> None:
        if walk.asked:
            self._holdings.release(walk.asked, walk.request.attempt_id)

    def _give_up(self, walk: Walk, code: str) -> message.Message:
        del self._walks[walk.request.attempt_id]
        public = "overloaded" if code == "queue_full" else code
        return self._refuse(walk.request, public)

    def _refuse(
        self, request: messages.PlaceRequest, code: str
    ) -> message.Message:
        self._metrics.count("placements_refused", code=code)
        return messages.NotPlaced(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            code=code,
        )
