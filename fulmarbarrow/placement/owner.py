"""Manages the reservations of the upstreams that this daemon owns."""

from __future__ import annotations

import datetime
import random
import typing

import msgspec

from fulmarbarrow.limits import messages as limits_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import bounds as bounds_module
from fulmarbarrow.placement import capacity
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import ledger as ledgers
from fulmarbarrow.placement import load_model
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import plain_choice
from fulmarbarrow.placement import plain_states
from fulmarbarrow.placement import pool_means
from fulmarbarrow.placement import replies
from fulmarbarrow.placement import scheduling

# Queues are served by a timer, so a queued attempt starts this much late.
SERVING_DELAY = datetime.timedelta(milliseconds=100)


class OwnerCore:
    """Grants, queues and refuses reservations at owned upstreams."""

    def __init__(
        self,
        *,
        directory: directories.Directory,
        means: pool_means.PoolMeans,
        policy: scheduling.Policy,
        bounds: bounds_module.Bounds,
        metrics: metrics_module.Metrics,
        address: str,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._means = means
        self._policy = policy
        self._bounds = bounds
        self._metrics = metrics
        self._capacity = capacity.CapacityChecker(
            directory=directory, means=means, policy=policy, bounds=bounds
        )
        self._owned: dict[str, capacity.OwnedUpstream] = {}
        self._turned_cold: list[membership_messages.Upstream] = []
        self.models = load_model.LoadModels(owned=self._owned)
        self.states = plain_states.PlainStates(
            directory=directory,
            models=self.models,
            owned=self._owned,
            own_address=address,
        )
        self.choice = plain_choice.PlainChoice(
            directory=directory, states=self.states, rng=rng
        )

    @property
    def queued(self) -> bool:
        """Whether an attempt waits in the queue of an owned upstream."""
        return any(len(owned.queue) for owned in self._owned.values())

    def owns(self, upstream_id: str) -> bool:
        """Return whether this daemon owns the upstream."""
        return upstream_id in self._owned

    def acquire(
        self,
        upstream: membership_messages.Upstream,
        epoch: int,
        now: datetime.datetime,
        *,
        replaces: bool = False,
        has_peers: bool = True,
    ) -> list[message.Message]:
        """Become the owner of an upstream; idempotent by epoch.

        ``replaces`` is set if another daemon is known to have owned it,
        ``has_peers`` unless this daemon has always been the only router.
        Returns refusals for the attempts that were queued at an earlier run
        of the upstream or under an earlier epoch.
        """
        known = self._owned.get(upstream.upstream_id)
        if known is not None:
            ledger = known.ledger
            if ledger.continues(upstream.incarnation, epoch):
                ledger.continue_as_named(now, has_peers=has_peers)
            if self._is_current(ledger, upstream, epoch):
                ledger.upstream = upstream
                return []
        refusals = self.drop(upstream.upstream_id, "not_serving")
        self._owned[upstream.upstream_id] = capacity.OwnedUpstream(
            ledger=ledgers.Ledger(
                upstream=upstream,
                epoch=epoch,
                owned_since=now,
                placed_window=self._bounds.placed_window,
                replaces=replaces,
            ),
            queue=self._policy.create_queue(),
            reply_addresses={},
        )
        return refusals

    def drop(self, upstream_id: str, code: str) -> list[message.Message]:
        """Stop owning an upstream and refuse the attempts queued there."""
        owned = self._owned.pop(upstream_id, None)
        self.models.forget(upstream_id)
        if owned is None:
            return []
        return [
            replies.refusal(address, upstream_id, attempt_id, code)
            for attempt_id, address in owned.reply_addresses.items()
        ]

    def record_load(
        self, event: membership_messages.LoadReported, now: datetime.datetime
    ) -> None:
        """Record the load that an upstream reports for itself."""
        owned = self._owned.get(event.upstream_id)
        if owned and owned.ledger.upstream.incarnation == event.incarnation:
            owned.ledger.record_load(event.load)

    def record_rate_limit(
        self, event: messages.UpstreamRateLimit, now: datetime.datetime
    ) -> None:
        """Record the requests a second that an upstream named."""
        owned = self._owned.get(event.upstream_id)
        if owned and owned.ledger.upstream.incarnation == event.incarnation:
            owned.ledger.pacer.set_rate(event.rate, now)

    def reserve(
        self, event: messages.Reserve, now: datetime.datetime
    ) -> list[message.Message]:
        """Grant, queue or refuse a reservation for an attempt."""
        owned = self._owned.get(event.upstream_id)
        if owned is None or owned.ledger.epoch != event.owner_epoch:
            return [self._refuse(event, "not_owner")]
        ledger = owned.ledger
        known = ledger.get(event.attempt_id)
        if known is not None:
            return [replies.grant(ledger, known, event.reply_to)]
        if ledger.take_early_release(event.attempt_id):
            return [self._refuse(event, "released")]
        if not self._accepts_work(
            ledger, event.incarnation
        ) or ledger.misdirected(now):
            return [self._refuse(event, "not_serving")]
        if event.attempt_id in owned.reply_addresses:
            owned.reply_addresses[event.attempt_id] = event.reply_to
            return []
        moved_to = self._moved_to(ledger, event)
        if moved_to:
            return [replies.moved(event, moved_to)]
        work = replies.queued_work(
            event, now, self._allowed_part(ledger, event)
        )
        better = self._better_elsewhere(owned, event, now)
        owned.short_reserve = max(
            owned.short_reserve, self._policy.short_work_share(work.service)
        )
        if self._may_bypass_queue(owned, work) and self._capacity.fits(
            owned, work, now
        ):
            if better:
                # A chat that finds no other engine need not wait here. The
                # wait at a plain upstream tells how slow it is.
                wait = datetime.timedelta(0)
                if not event.chat:
                    wait = self._expected_wait(owned, work, now)
                return [self._refuse(event, "bound_reached", wait)]
            owned.queue.charge(work.account, work.cost)
            return [self._grant(owned, work, event.reply_to, now)]
        if event.stage is messages.ReserveStage.HOME and (
            work.part < 1.0
            or not self._capacity.within_placed_bound(ledger, work, now)
        ):
            wait = self._expected_wait(owned, work, now)
            return [self._refuse(event, "bound_reached", wait)]
        if better:
            wait = self._expected_wait(owned, work, now)
            return [self._refuse(event, "bound_reached", wait)]
        return self._queue(owned, work, event, now)

    def release(
        self, event: messages.Release, now: datetime.datetime
    ) -> list[message.Message]:
        """Release the work of ended attempts and serve the queues."""
        upstream_ids = (
            [event.upstream_id] if event.upstream_id else [*self._owned]
        )
        effects: list[message.Message] = []
        for upstream_id in upstream_ids:
            owned = self._owned.get(upstream_id)
            if owned is None:
                continue
            for attempt_id in event.attempt_ids:
                owned.queue.remove(attempt_id)
                owned.reply_addresses.pop(attempt_id, None)
            if owned.ledger.release(event, now):
                self._restart_ramp(owned.ledger, now)
            effects.extend(self._serve_queue(owned, now))
        return effects

    def take_turned_cold(self) -> list[membership_messages.Upstream]:
        """Return the upstreams that turned cold since the last call."""
        turned_cold, self._turned_cold = self._turned_cold, []
        return turned_cold

    def record_chat_move(self, event: messages.ChatMoved) -> None:
        """Record where a chat whose home is an owned upstream was placed."""
        owned = self._owned.get(event.upstream_id)
        if owned is not None:
            owned.ledger.recent_chats.record_move(event.chat, event.moved_to)

    def renew(
        self, event: messages.Renew, now: datetime.datetime
    ) -> list[message.Message]:
        """Renew reservations and add those that are not known."""
        owned = self._owned.get(event.upstream_id)
        if owned is None:
            return []
        ledger = owned.ledger
        if ledger.upstream.incarnation != event.incarnation:
            return []
        for held in event.held:
            known = ledger.get(held.attempt_id)
            priority = (
                known.priority
                if known
                else self._capacity.priority(
                    ledger, held.account, held.cost, held
                )
            )
            ledger.add(
                ledgers.Reservation(
                    attempt_id=held.attempt_id,
                    holder=event.reply_to,
                    account=held.account,
                    cost=held.cost,
                    cost_class=held.cost_class,
                    priority=priority,
                    expires_at=ledgers.lease_end(
                        now, now + held.left_ms * replies.MILLISECOND
                    ),
                ),
                now,
            )
        return []

    def tick(self, now: datetime.datetime) -> list[message.Message]:
        """Expire reservations and queued attempts, and serve the queues."""
        effects: list[message.Message] = []
        for upstream_id, owned in self._owned.items():
            expired = owned.ledger.expire(now)
            if expired:
                self._metrics.count("reservations_expired", len(expired))
            if not len(owned.queue):
                continue
            if not self._directory.usable(owned.ledger.upstream):
                effects.extend(self._refuse_queued(owned))
                continue
            effects.extend(self._serve_queue(owned, now))
            for work in owned.queue.take_expired(now):
                address = owned.reply_addresses.pop(work.attempt_id)
                code = "overloaded"
                effects.append(
                    replies.refusal(
                        address, upstream_id, work.attempt_id, code
                    )
                )
        return effects

    def pools(self, now: datetime.datetime) -> list[messages.PoolWork]:
        """Return the work and capacity by pool, and the requests by service.

        Requests are counted only for upstreams that respond and have named no
        limit. When some engines of a pool crash or take less, the others take
        over their work; counting those engines would lower the mean and with
        it the number of requests that the others may take.
        """
        sums: dict[int, list[int]] = {}
        serving = membership_messages.UpstreamState.SERVING
        for owned in self._owned.values():
            ledger = owned.ledger
            usable = self._directory.usable(ledger.upstream)
            share = self._capacity.ramp_share(ledger, now)
            pools = pool_means.pool_hashes(ledger.upstream)
            services = pool_means.service_hashes(ledger.upstream)
            counted = ledger.responsive and not ledger.pacer.limited
            if ledger.upstream.state is serving and counted:
                # Routers of an earlier build read the requests of the pool.
                for key in pools | services:
                    total = sums.setdefault(key, [0, 0, 0, 0, 0])
                    total[3] += len(ledger)
                    total[4] += 1
            for pool in pools:
                total = sums.setdefault(pool, [0, 0, 0, 0, 0])
                if usable:
                    total[0] += ledger.reserved
                    total[1] += int(share * ledger.upstream.batch_tokens)
                    total[2] += ledger.recent_work(now)
        return [
            messages.PoolWork(
                pool=pool,
                work=total[0],
                capacity=total[1],
                placed=total[2],
                requests=total[3],
                members=total[4],
            )
            for pool, total in sorted(sums.items())
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Return the work and queue length of each owned upstream."""
        return {
            upstream_id: {
                "epoch": owned.ledger.epoch,
                "reservations": len(owned.ledger),
                "reserved_tokens": owned.ledger.reserved,
                "queued": len(owned.queue),
                "recent_chats": len(owned.ledger.recent_chats),
                "cold_since": owned.ledger.cold_since,
                "limited": owned.ledger.pacer.limited,
            }
            for upstream_id, owned in self._owned.items()
        }

    @staticmethod
    def _is_current(
        ledger: ledgers.Ledger,
        upstream: membership_messages.Upstream,
        epoch: int,
    ) -> bool:
        return (
            ledger.epoch == epoch
            and ledger.upstream.incarnation == upstream.incarnation
        )

    def _accepts_work(self, ledger: ledgers.Ledger, incarnation: int) -> bool:
        return (
            ledger.upstream.incarnation == incarnation
            and self._directory.usable(ledger.upstream)
        )

    def _moved_to(
        self, ledger: ledgers.Ledger, event: messages.Reserve
    ) -> str:
        """Return another usable upstream that holds a chat's cache, or ""."""
        if event.stage is not messages.ReserveStage.HOME:
            return ""
        if event.chat in ledger.recent_chats:
            return ""
        upstream_id = ledger.recent_chats.moved_to(event.chat)
        upstream = self._directory.upstreams.get(upstream_id)
        if upstream is None or not self._directory.usable(upstream):
            return ""
        return upstream_id

    def _better_elsewhere(
        self,
        owned: capacity.OwnedUpstream,
        event: messages.Reserve,
        now: datetime.datetime,
    ) -> bool:
        """Return whether an attempt should first try another upstream."""
        if self.choice.redirects(event, now):
            self._metrics.count("plain_requests_redirected")
            return True
        mean_requests = self._means.mean_requests(owned.ledger.upstream)
        if self.models.defers(owned, event, mean_requests, now):
            self._metrics.count("slow_engines_avoided")
            return True
        return False

    def _allowed_part(
        self, ledger: ledgers.Ledger, event: messages.Reserve
    ) -> float:
        """Return the fraction of the bounds that an attempt may use."""
        if not event.chat or event.stage is messages.ReserveStage.LAST:
            return 1.0
        if event.chat in ledger.recent_chats:
            return 1.0
        if event.stage is messages.ReserveStage.HOME:
            return self._bounds.uncached_part
        return self._bounds.stranger_part

    def _restart_ramp(
        self, ledger: ledgers.Ledger, now: datetime.datetime
    ) -> None:
        """Restart the ramp of an upstream that seems to have lost its cache.

        An upstream that is still ramping is left as it is.
        """
        if self._capacity.ramp_share(ledger, now) >= 1.0:
            ledger.cold_since = now
            ledger.recent_chats.clear()
            self._turned_cold.append(ledger.upstream)
            self._metrics.count("upstreams_cold")

    def _may_bypass_queue(
        self, owned: capacity.OwnedUpstream, work: limits_messages.QueuedWork
    ) -> bool:
        """Return whether an attempt may bypass the queue."""
        if not len(owned.queue):
            return True
        if self._capacity.is_guaranteed(owned.ledger, work.account, work.cost):
            return True
        return not owned.queue.cost_ahead(work)

    def _grant(
        self,
        owned: capacity.OwnedUpstream,
        work: limits_messages.QueuedWork,
        address: str,
        now: datetime.datetime,
    ) -> message.Message:
        ledger = owned.ledger
        reservation = ledgers.Reservation(
            attempt_id=work.attempt_id,
            holder=address,
            account=work.account,
            cost=work.cost,
            cost_class=work.cost_class,
            priority=self._capacity.priority(
                ledger, work.account, work.cost, work
            ),
            expires_at=ledgers.lease_end(now, work.deadline),
            chat=work.chat,
            expected_hit=bool(work.chat)
            and ledger.recent_chats.touch(work.chat),
        )
        ledger.recent_chats.forget_move(work.chat)
        ledger.add(reservation, now)
        ledger.pacer.record_start(now)
        return replies.grant(ledger, reservation, address)

    def _queue(
        self,
        owned: capacity.OwnedUpstream,
        work: limits_messages.QueuedWork,
        event: messages.Reserve,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Queue an attempt if it may wait and can start before its deadline.

        Work that a reserved share covers is queued even if it would start
        too late, because it may preempt best-effort work.
        """
        wait = self._expected_wait(owned, work, now)
        if event.wait_ms <= 0:
            return [self._refuse(event, "bound_reached", wait)]
        guaranteed = self._capacity.is_guaranteed(
            owned.ledger, work.account, work.cost
        )
        if now + wait > work.deadline and not guaranteed:
            return [self._refuse(event, "deadline_exceeded", wait)]
        waits_for_home = event.stage is messages.ReserveStage.HOME
        if waits_for_home and now + wait > work.expires and not guaranteed:
            # Other upstreams can be asked instead of waiting in vain.
            return [self._refuse(event, "bound_reached", wait)]
        paced = owned.ledger.pacer.limited and not waits_for_home
        start_at = now + wait + SERVING_DELAY
        if paced and start_at > work.expires and not guaranteed:
            # Nothing but time makes room, so the wait can't turn out shorter.
            return [self._refuse(event, "queue_full", wait)]
        if now < owned.ledger.grants_start_at:
            # The reservations that the former owner granted are not known
            # yet. The attempt leaves the queue when they are, and its router
            # then compares all upstreams again.
            refuse_at = min(work.expires, owned.ledger.grants_start_at)
            work = msgspec.structs.replace(work, expires=refuse_at)
        displaced = owned.queue.add(work)
        if displaced is work:
            return [self._refuse(event, "queue_full", wait)]
        owned.reply_addresses[work.attempt_id] = event.reply_to
        effects: list[message.Message] = []
        if displaced is not None:
            address = owned.reply_addresses.pop(displaced.attempt_id)
            effects.append(
                replies.refusal(
                    address,
                    event.upstream_id,
                    displaced.attempt_id,
                    "queue_full",
                )
            )
        if guaranteed:
            effects.extend(self._preempt(owned, work.cost))
        return effects

    def _expected_wait(
        self,
        owned: capacity.OwnedUpstream,
        work: limits_messages.QueuedWork,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        """Return the expected queueing delay of an attempt.

        The throughput of a ramping upstream is scaled by its ramp share.
        """
        ledger = owned.ledger
        share = self._capacity.ramp_share(ledger, now)
        speed = self.models.tokens_per_second(ledger.upstream, now)
        speed = max(1.0, share * speed)
        work_ahead = owned.queue.cost_ahead(work) if len(owned.queue) else 0.0
        if share < 1.0 or self.models.get(ledger.upstream) is not None:
            work_ahead += work.cost
        start_rate = self._capacity.start_rate_limit(ledger, now)
        seconds = max(work_ahead / speed, len(owned.queue) / start_rate)
        return max(
            datetime.timedelta(seconds=seconds),
            ledger.pacer.wait(now, len(owned.queue)),
        )

    def _serve_queue(
        self, owned: capacity.OwnedUpstream, now: datetime.datetime
    ) -> list[message.Message]:
        """Grant queued reservations while there is capacity."""
        effects: list[message.Message] = []
        if not self._directory.usable(owned.ledger.upstream):
            return self._refuse_queued(owned)
        while len(owned.queue):
            work = self._take_next(owned, now)
            if work is None:
                break
            address = owned.reply_addresses.pop(work.attempt_id)
            effects.append(self._grant(owned, work, address, now))
        return effects

    def _refuse_queued(
        self, owned: capacity.OwnedUpstream
    ) -> list[message.Message]:
        """Refuse all queued attempts of an upstream that gets no new work."""
        upstream_id = owned.ledger.upstream.upstream_id
        queued, owned.reply_addresses = owned.reply_addresses, {}
        for attempt_id in queued:
            owned.queue.remove(attempt_id)
        return [
            replies.refusal(address, upstream_id, attempt_id, "not_serving")
            for attempt_id, address in queued.items()
        ]

    def _take_next(
        self, owned: capacity.OwnedUpstream, now: datetime.datetime
    ) -> limits_messages.QueuedWork | None:
        """Remove and return the next queued attempt that fits.

        Work that a reserved share covers comes first, then short work, then
        the accounts in the order of the fair queue.
        """

        def fits_guaranteed(work: limits_messages.QueuedWork) -> bool:
            covered = self._capacity.is_guaranteed(
                owned.ledger, work.account, work.cost
            )
            return covered and self._capacity.fits(owned, work, now)

        def fits_short(work: limits_messages.QueuedWork) -> bool:
            is_short = work.cost_class is messages.CostClass.SHORT
            return is_short and self._capacity.fits(owned, work, now)

        chosen = None
        if self._policy.reserved_share:
            chosen = owned.queue.take_oldest(fits_guaranteed)
        if chosen is None and owned.short_reserve:
            chosen = owned.queue.take(fits_short)
        if chosen is None:
            chosen = owned.queue.take(
                lambda work: self._capacity.fits(owned, work, now)
            )
        return chosen

    def _preempt(
        self, owned: capacity.OwnedUpstream, cost: int
    ) -> list[message.Message]:
        """Preempt best-effort work, newest first, to free ``cost`` tokens."""
        by_holder: dict[str, list[str]] = {}
        for reservation in reversed(owned.ledger.reservations):
            if cost <= 0:
                break
            if reservation.priority is ledgers.Priority.BEST_EFFORT:
                by_holder.setdefault(reservation.holder, []).append(
                    reservation.attempt_id
                )
                cost -= reservation.cost
        count = sum(len(attempt_ids) for attempt_ids in by_holder.values())
        self._metrics.count("attempts_preempted", count)
        return [
            message.Send(
                address=address,
                message=messages.Preempt(attempt_ids=tuple(attempt_ids)),
                urgent=True,
            )
            for address, attempt_ids in by_holder.items()
        ]

    def _refuse(
        self,
        event: messages.Reserve,
        code: str,
        wait: datetime.timedelta = datetime.timedelta(0),
    ) -> message.Message:
        self._metrics.count("reservations_refused", code=code)
        return replies.refusal(
            event.reply_to,
            event.upstream_id,
            event.attempt_id,
            code,
            wait // replies.MILLISECOND,
        )
