"""Selects an upstream for each request and reserves its capacity."""

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
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import ownerless as ownerless_module
from fulmarbarrow.placement import part_sources
from fulmarbarrow.placement import plain_choice
from fulmarbarrow.placement import prefixes
from fulmarbarrow.placement import recent_chats
from fulmarbarrow.placement import running_attempts
from fulmarbarrow.placement import waiting

MILLISECOND = datetime.timedelta(milliseconds=1)
# Time that an owner has to reply, in addition to the time that it may queue
# the attempt.
REPLY_TIMEOUT = datetime.timedelta(milliseconds=150)
# How long no reservation is requested from an owner that did not reply.
OWNER_RETRY_PAUSE = datetime.timedelta(seconds=1)
# Delay before a search in which no upstream had capacity is restarted.
RESTART_PAUSE = datetime.timedelta(milliseconds=50)
NO_WAIT = datetime.timedelta(0)


class SearchStage(enum.Enum):
    """Stage of the search for an upstream.

    ``TRYING`` asks the candidates in order, ``QUEUEING`` waits in the queue
    of one owner, and ``PAUSED`` waits until the search restarts.
    """

    TRYING = "trying"
    QUEUEING = "queueing"
    PAUSED = "paused"


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingRequest:
    """A request that has no upstream yet.

    ``asked_upstream`` is the upstream whose owner has not replied yet.
    ``expected_waits_ms`` holds the waits that owners sent with their
    refusals, by upstream. ``moved_to`` is the upstream that holds the chat's
    cache according to the owner of its home. At ``give_up_at`` the search is
    over.
    """

    request: messages.PlaceRequest
    candidates: list[str]
    give_up_at: datetime.datetime
    version_demanded: bool = False
    chat: int = 0
    prompt: messages.PromptParts | None = None
    moved_to: str = ""
    stage: SearchStage = SearchStage.TRYING
    position: int = 0
    ask_count: int = 0
    asked_upstream: str = ""
    timeout_at: datetime.datetime | None = None
    expected_waits_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    refusal_codes: set[str] = dataclasses.field(default_factory=set)


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
        running: running_attempts.RunningAttempts,
        ownerless: ownerless_module.OwnerlessLimits,
        health: healths.Health,
        sources: part_sources.PartSources,
        choice: plain_choice.PlainChoice,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        timing: defaults.PlacementSection,
    ) -> None:
        self._address = address
        self._zone = zone
        self._directory = directory
        self._running = running
        self._ownerless = ownerless
        self._health = health
        self._metrics = metrics
        self._rng = rng
        self._home_wait = timing.home_wait
        self._cache_worth_ms = timing.cache_worth // MILLISECOND
        self._prefixes = prefixes.Prefixes()
        self._sources = sources
        self._choice = choice
        self._queue_wait = timing.queue_wait
        self._pending: dict[str, PendingRequest] = {}
        self._owner_silent_until: dict[str, datetime.datetime] = {}

    def __len__(self) -> int:
        """Return the number of requests that have no upstream yet."""
        return len(self._pending)

    def place(
        self, request: messages.PlaceRequest, now: datetime.datetime
    ) -> list[message.Message]:
        """Start the search for an upstream."""
        demanded = request.version
        request = self._directory.assign_version(request)
        request = self._with_affinity_key(request, now)
        candidates = self._candidates(request, now)
        if not candidates and not demanded:
            request = self._directory.other_version(request) or request
            candidates = self._candidates(request, now)
        if not candidates:
            return [self._not_placed(request, "no_upstream")]
        pending = PendingRequest(
            request=request,
            version_demanded=bool(demanded),
            candidates=candidates,
            give_up_at=waiting.give_up_at(request, now),
            chat=recent_chats.chat_hash(request.chat) if request.model else 0,
            prompt=self._sources.prompt(request, candidates),
        )
        self._pending[request.attempt_id] = pending
        return self._try_candidates(pending, now)

    def _with_affinity_key(
        self, request: messages.PlaceRequest, now: datetime.datetime
    ) -> messages.PlaceRequest:
        """Return the request with its chat replaced by its affinity key."""
        if not request.parts:
            return request
        pool = self._directory.pool_ring(request.service, request.model)
        key = self._prefixes.affinity_key(request, len(pool), now)
        return msgspec.structs.replace(request, chat=key)

    def cancel(self, attempt_id: str) -> None:
        """Stop the search because the caller disconnected."""
        pending = self._pending.pop(attempt_id, None)
        if pending is not None and pending.asked_upstream:
            self._running.release(pending.asked_upstream, attempt_id)

    def handle_grant(
        self, event: messages.Reserved, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle an owner's grant; release it if it is no longer needed."""
        pending = self._pending.get(event.attempt_id)
        if pending is None or pending.asked_upstream != event.upstream_id:
            self._release_unneeded_grant(event)
            return []
        self._sources.learn(event, now)
        upstream = self._directory.upstreams.get(event.upstream_id)
        if (
            upstream is None
            or upstream.incarnation != event.incarnation
            or not self._directory.serves(event.upstream_id, pending.request)
        ):
            self._running.release(event.upstream_id, event.attempt_id)
            return self._try_next_candidate(pending, now)
        placed = self._finish_placement(pending, upstream, event.priority, now)
        return [placed, *self._notify_home_owner(pending, event.upstream_id)]

    def handle_refusal(
        self, event: messages.ReserveRefused, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle an owner's refusal and try the next upstream."""
        pending = self._pending.get(event.attempt_id)
        if pending is None or pending.asked_upstream != event.upstream_id:
            return []
        pending.refusal_codes.add(event.code)
        self._sources.learn(event, now)
        if event.code == "not_owner":
            return self._place_without_owner(pending, event.upstream_id, now)
        if event.code in ("queue_full", "deadline_exceeded"):
            if pending.stage is SearchStage.QUEUEING:
                return [self._reject_queued(pending, event)]
        elif (
            event.code == "overloaded"
            and pending.stage is SearchStage.QUEUEING
        ):
            return self._restart(pending, now)
        elif event.code == "moved":
            self._try_cached_upstream(pending, event, now)
        elif event.code in ("bound_reached", "overloaded"):
            pending.expected_waits_ms[event.upstream_id] = event.wait_ms
            if event.holders and pending.stage is SearchStage.TRYING:
                pending.candidates = self._sources.prefer_holders(
                    pending.request, pending.candidates, pending.position, now
                )
        return self._try_next_candidate(pending, now)

    def tick(self, now: datetime.datetime) -> list[message.Message]:
        """Handle expired deadlines, reply timeouts and pauses."""
        effects: list[message.Message] = []
        for pending in list(self._pending.values()):
            if pending.request.deadline <= now:
                self._release_asked_upstream(pending)
                effects.append(self._reject(pending, "deadline_exceeded"))
            elif pending.give_up_at <= now:
                self._release_asked_upstream(pending)
                effects.append(self._reject_late(pending))
            elif pending.timeout_at is not None and pending.timeout_at <= now:
                effects.extend(self._handle_timeout(pending, now))
        return effects

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of the pending requests."""
        return {
            attempt_id: {
                "stage": pending.stage.value,
                "asked": pending.asked_upstream,
            }
            for attempt_id, pending in self._pending.items()
        }

    def _candidates(
        self, request: messages.PlaceRequest, now: datetime.datetime
    ) -> list[str]:
        """Return the upstreams to try, best first."""
        if request.model:
            found = self._directory.candidates(request)
            return self._health.healthy(found, now, once=request.once)
        return self._plain_candidates(request, now)

    def _plain_candidates(
        self, request: messages.PlaceRequest, now: datetime.datetime
    ) -> list[str]:
        """Return the upstreams of a plain service, those of this zone first.

        Inside and outside the zone, the less loaded of two randomly chosen
        upstreams comes first. If upstreams report their pace, the order is
        that of the expected times.
        """
        ring = self._directory.pool_ring(request.service, "", request.version)
        members = [
            item for item in ring.members if item not in request.excluded
        ]
        members = self._health.healthy(members, now, once=request.once)
        self._rng.shuffle(members)
        ranked = self._choice.ranked(members, self._zone, now)
        if ranked is not None:
            return ranked[: directories.MAX_CANDIDATES]
        upstreams = self._directory.upstreams
        local = [i for i in members if upstreams[i].zone == self._zone]
        remote = [i for i in members if upstreams[i].zone != self._zone]
        chosen = [
            *self._less_loaded_first(local),
            *self._less_loaded_first(remote),
        ]
        return chosen[: directories.MAX_CANDIDATES]

    def _less_loaded_first(self, members: list[str]) -> list[str]:
        """Put the less loaded of the first two members first."""
        if len(members) < 2:
            return members
        first, second, *rest = members
        if self._relative_load(second) < self._relative_load(first):
            first, second = second, first
        return [first, second, *rest]

    def _relative_load(self, upstream_id: str) -> float:
        upstream = self._directory.upstreams[upstream_id]
        known = self._ownerless.known_work(upstream_id)
        work = max(known, self._running.work(upstream_id))
        return work / max(1, upstream.batch_tokens)

    def _try_candidates(
        self, pending: PendingRequest, now: datetime.datetime
    ) -> list[message.Message]:
        """Try the candidates from the current position on."""
        while pending.position < len(pending.candidates):
            upstream_id = pending.candidates[pending.position]
            upstream = self._directory.upstreams.get(upstream_id)
            if upstream is None or not self._directory.serves(
                upstream_id, pending.request
            ):
                pending.position += 1
                continue
            owner = self._reachable_owner(upstream_id, now)
            if owner is not None:
                wait = NO_WAIT if pending.position else self._home_wait
                if self._choice.active(upstream_id, now):
                    wait = NO_WAIT
                return [
                    self._request_reservation(
                        pending, upstream, owner, wait, now
                    )
                ]
            if self._fits_without_owner(pending, upstream, now):
                return [self._place_unreserved(pending, upstream, now)]
            pending.position += 1
        if not pending.version_demanded and self._directory.on_trial(
            pending.request
        ):
            # No request waits for the few upstreams of a version on trial.
            return self._restart(pending, now)
        return self._queue_at_shortest_wait(pending, now)

    def _try_cached_upstream(
        self,
        pending: PendingRequest,
        event: messages.ReserveRefused,
        now: datetime.datetime,
    ) -> None:
        """Try the upstream with the chat's cache next, then the home again.

        The named upstream is skipped if it is unhealthy or excluded here. The
        owner knows neither the outcomes of this router's attempts nor the
        upstreams that the request has already tried.
        """
        home, cached = pending.candidates[0], event.moved_to
        others = [i for i in pending.candidates if i not in (home, cached)]
        healthy_ids = self._health.healthy(
            [home, cached], now, once=pending.request.once
        )
        if cached in healthy_ids and cached not in pending.request.excluded:
            pending.moved_to = cached
            others = [cached, home, *others]
        else:
            others = [home, *others]
        pending.candidates = [home, *others]

    def _try_next_candidate(
        self, pending: PendingRequest, now: datetime.datetime
    ) -> list[message.Message]:
        pending.asked_upstream = ""
        pending.timeout_at = None
        if pending.stage is SearchStage.QUEUEING:
            return self._pause(pending, now)
        pending.position += 1
        if not pending.request.model:
            pending.candidates = self._choice.rank_rest(
                pending.candidates, pending.position, self._zone, now
            )
        return self._try_candidates(pending, now)

    def _queue_at_shortest_wait(
        self, pending: PendingRequest, now: datetime.datetime
    ) -> list[message.Message]:
        """Queue at the owner with the shortest expected wait, or pause."""
        cached = (
            pending.candidates[0],
            pending.moved_to,
            *self._sources.holders(pending.request),
        )
        options = [
            (
                wait + self._worth_ms(pending, upstream_id, cached, now),
                pending.candidates.index(upstream_id),
                upstream_id,
            )
            for upstream_id, wait in pending.expected_waits_ms.items()
            if upstream_id in self._directory.upstreams
        ]
        if not options:
            return self._pause(pending, now)
        wait_ms, _, upstream_id = min(options)
        if not waiting.starts_in_time(
            pending.request, wait_ms * MILLISECOND, now
        ):
            return [self._reject_late(pending)]
        owner = self._reachable_owner(upstream_id, now)
        if owner is None:
            return self._pause(pending, now)
        pending.stage = SearchStage.QUEUEING
        upstream = self._directory.upstreams[upstream_id]
        wait = min(self._queue_wait, pending.give_up_at - now)
        return [self._request_reservation(pending, upstream, owner, wait, now)]

    def _worth_ms(
        self,
        pending: PendingRequest,
        upstream_id: str,
        cached: tuple[str, ...],
        now: datetime.datetime,
    ) -> float:
        """Return what is added to the expected wait at an upstream."""
        active = self._choice.active(upstream_id, now)
        if active and not pending.request.model:
            return self._choice.latency_ms(upstream_id, self._zone)
        return 0 if upstream_id in cached else self._cache_worth_ms

    def _pause(
        self, pending: PendingRequest, now: datetime.datetime
    ) -> list[message.Message]:
        """Restart the search after a short pause."""
        pending.stage = SearchStage.PAUSED
        pending.asked_upstream = ""
        pending.timeout_at = now + RESTART_PAUSE
        return []

    def _restart(
        self, pending: PendingRequest, now: datetime.datetime
    ) -> list[message.Message]:
        """Restart the search with new candidates, as loads have changed.

        A request does not wait for a version that it need not run at.
        """
        if not pending.version_demanded:
            pending.request = (
                self._directory.other_version(pending.request)
                or pending.request
            )
        pending.candidates = self._candidates(pending.request, now)
        if not pending.candidates:
            return [self._reject(pending, "no_upstream")]
        pending.stage = SearchStage.TRYING
        pending.asked_upstream = ""
        pending.position = 0
        pending.expected_waits_ms.clear()
        return self._try_candidates(pending, now)

    def _handle_timeout(
        self, pending: PendingRequest, now: datetime.datetime
    ) -> list[message.Message]:
        if pending.stage is SearchStage.PAUSED:
            return self._restart(pending, now)
        self._release_asked_upstream(pending)
        owner = self._directory.owners.get(pending.asked_upstream)
        if owner is not None:
            self._owner_silent_until[owner.address] = now + OWNER_RETRY_PAUSE
            self._metrics.count("owners_silent")
        return self._place_without_owner(pending, pending.asked_upstream, now)

    def _place_without_owner(
        self, pending: PendingRequest, upstream_id: str, now: datetime.datetime
    ) -> list[message.Message]:
        """Place without a reservation if the limits of this router allow it.

        Used if the owner did not reply or is no longer the owner.
        """
        upstream = self._directory.upstreams.get(upstream_id)
        if upstream is not None and self._fits_without_owner(
            pending, upstream, now
        ):
            return [self._place_unreserved(pending, upstream, now)]
        return self._try_next_candidate(pending, now)

    def _reachable_owner(
        self, upstream_id: str, now: datetime.datetime
    ) -> directories.Owner | None:
        owner = self._directory.owners.get(upstream_id)
        if owner is None or not owner.address:
            return None
        silent_until = self._owner_silent_until.get(owner.address)
        if silent_until is None:
            return owner
        if silent_until > now:
            return None
        del self._owner_silent_until[owner.address]
        return owner

    def _fits_without_owner(
        self,
        pending: PendingRequest,
        upstream: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> bool:
        if not self._directory.usable(upstream):
            return False
        return self._ownerless.fits(
            upstream,
            self._running.work(upstream.upstream_id),
            pending.request.cost,
            now,
            self._directory.zone_weight(upstream.zone),
            self._directory.pool_config(upstream.upstream_id),
        )

    def _request_reservation(
        self,
        pending: PendingRequest,
        upstream: membership_messages.Upstream,
        owner: directories.Owner,
        wait: datetime.timedelta,
        now: datetime.datetime,
    ) -> message.Message:
        request = pending.request
        stage = messages.ReserveStage.NEXT
        if pending.stage is SearchStage.QUEUEING:
            stage = messages.ReserveStage.LAST
        elif (
            not pending.ask_count
            and upstream.upstream_id == pending.candidates[0]
        ):
            stage = messages.ReserveStage.HOME
        pending.ask_count += 1
        pending.asked_upstream = upstream.upstream_id
        pending.timeout_at = now + wait + REPLY_TIMEOUT
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
                chat=pending.chat,
                stage=stage,
                rank=request.rank,
                prompt=(
                    pending.prompt
                    if pending.ask_count == 1
                    or upstream.upstream_id == pending.candidates[0]
                    else None
                ),
            ),
        )

    def _finish_placement(
        self,
        pending: PendingRequest,
        upstream: membership_messages.Upstream,
        priority: int,
        now: datetime.datetime,
        renewed_at: datetime.datetime | None = None,
        *,
        reserved: bool = True,
    ) -> message.Message:
        """Record the placement and return the message that reports it."""
        request = pending.request
        del self._pending[request.attempt_id]
        self._running.add(
            running_attempts.RunningAttempt(
                request=request,
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                renewed_at=renewed_at or now,
            )
        )
        self._ownerless.record_placement(
            upstream.upstream_id, request.cost, now
        )
        self._health.record_start(upstream.upstream_id, now)
        home = upstream.upstream_id == pending.candidates[0]
        self._metrics.count("requests_placed", home=str(home).lower())
        return messages.Placed(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            upstream_id=upstream.upstream_id,
            incarnation=upstream.incarnation,
            url=upstream.url,
            version=self._directory.served_version(
                upstream.upstream_id, request
            ),
            priority=priority,
            fetch_from=self._sources.select(request, upstream, now),
            reserved=reserved,
        )

    def _notify_home_owner(
        self, pending: PendingRequest, upstream_id: str
    ) -> list[message.Message]:
        """Notify the home's owner that a chat was placed elsewhere."""
        home = pending.candidates[0]
        if upstream_id in (home, pending.moved_to) or not pending.chat:
            return []
        owner = self._directory.owners.get(home)
        if owner is None or not owner.address:
            return []
        return [
            message.Send(
                address=owner.address,
                message=messages.ChatMoved(
                    upstream_id=home, chat=pending.chat, moved_to=upstream_id
                ),
            )
        ]

    def _place_unreserved(
        self,
        pending: PendingRequest,
        upstream: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> message.Message:
        """Place without a reservation.

        The attempt is marked as due for renewal, so the next renewals report
        it to the owner.
        """
        self._metrics.count("requests_placed_alone")
        self._ownerless.record_start(upstream.upstream_id, now)
        due_since = now - running_attempts.RENEWAL_INTERVAL
        return self._finish_placement(
            pending, upstream, 0, now, renewed_at=due_since, reserved=False
        )

    def _release_unneeded_grant(self, event: messages.Reserved) -> None:
        """Release a grant that no attempt is waiting for."""
        attempt = self._running.get(event.attempt_id)
        if attempt is None or attempt.upstream_id != event.upstream_id:
            self._running.release(event.upstream_id, event.attempt_id)

    def _release_asked_upstream(self, pending: PendingRequest) -> None:
        if pending.asked_upstream:
            self._running.release(
                pending.asked_upstream, pending.request.attempt_id
            )

    def _reject(self, pending: PendingRequest, code: str) -> message.Message:
        del self._pending[pending.request.attempt_id]
        return self._not_placed(pending.request, code)

    def _reject_queued(
        self, pending: PendingRequest, event: messages.ReserveRefused
    ) -> message.Message:
        """Reject a request that an owner's queue does not take."""
        if pending.request.start_by is not None:
            pending.expected_waits_ms[event.upstream_id] = event.wait_ms
            return self._reject_late(pending)
        code = "overloaded" if event.code == "queue_full" else event.code
        return self._reject(pending, code)

    def _reject_late(self, pending: PendingRequest) -> message.Message:
        """Reject a request for which upstreams have no room in time."""
        del self._pending[pending.request.attempt_id]
        delay = None
        if pending.expected_waits_ms:
            shortest = min(pending.expected_waits_ms.values()) * MILLISECOND
            delay = waiting.return_delay(shortest, self._rng)
        return self._not_placed(pending.request, "overloaded", delay)

    def _not_placed(
        self,
        request: messages.PlaceRequest,
        code: str,
        retry_after: datetime.timedelta | None = None,
    ) -> message.Message:
        self._metrics.count("placements_refused", code=code)
        return messages.NotPlaced(
            request_id=request.request_id,
            attempt_id=request.attempt_id,
            code=code,
            retry_after=retry_after,
        )
