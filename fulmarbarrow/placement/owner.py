"""Keeps the reservations of the upstreams that this daemon owns."""

from __future__ import annotations

import datetime
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
from fulmarbarrow.placement import means as means_module
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import replies
from fulmarbarrow.placement import scheduling


class OwnerCore:
    """Requests for reservations in, grants and refusals out."""

    def __init__(
        self,
        *,
        directory: directories.Directory,
        means: means_module.PoolMeans,
        policy: scheduling.Policy,
        bounds: bounds_module.Bounds,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._directory = directory
        self._policy = policy
        self._bounds = bounds
        self._metrics = metrics
        self._capacity = capacity.Capacity(
            directory=directory, means=means, policy=policy, bounds=bounds
        )
        self._owned: dict[str, capacity.Owned] = {}

    def owns(self, upstream_id: str) -> bool:
        """Return whether this daemon keeps the upstream's reservations."""
        return upstream_id in self._owned

    def take(
        self,
        upstream: membership_messages.Upstream,
        epoch: int,
        now: datetime.datetime,
        *,
        replaces: bool = False,
    ) -> None:
        """Become the owner of an upstream; idempotent by epoch.

        ``replaces`` says that another daemon is known to have owned it.
        """
        known = self._owned.get(upstream.upstream_id)
        if known is not None and self._same(known.ledger, upstream, epoch):
            known.ledger.upstream = upstream
            return
        self._owned[upstream.upstream_id] = capacity.Owned(
            ledger=ledgers.Ledger(
                upstream=upstream,
                epoch=epoch,
                since=now,
                placed_window=self._bounds.placed_window,
                replaces=replaces,
            ),
            queue=self._policy.queue(),
            waiting={},
        )

    def drop(self, upstream_id: str, code: str) -> list[message.Message]:
        """Stop to own an upstream; whoever waits there is refused."""
        owned = self._owned.pop(upstream_id, None)
        if owned is None:
            return []
        return [
            replies.refusal(address, upstream_id, attempt_id, code)
            for attempt_id, address in owned.waiting.items()
        ]

    def report(
        self, event: membership_messages.LoadReported, now: datetime.datetime
    ) -> None:
        """Take an upstream's own report of its load."""
        owned = self._owned.get(event.upstream_id)
        if owned and owned.ledger.upstream.incarnation == event.incarnation:
            owned.ledger.report(event.load)

    def reserve(
        self, event: messages.Reserve, now: datetime.datetime
    ) -> list[message.Message]:
        """Reserve, queue or refuse an attempt's work."""
        owned = self._owned.get(event.upstream_id)
        if owned is None or owned.ledger.epoch != event.owner_epoch:
            return [self._refuse(event, "not_owner")]
        ledger = owned.ledger
        known = ledger.get(event.attempt_id)
        if known is not None:
            return [replies.grant(ledger, known, event.reply_to)]
        if ledger.crossed(event.attempt_id):
            return [self._refuse(event, "released")]
        if not self._serves(ledger, event.incarnation) or ledger.misdirected(
            now
        ):
            return [self._refuse(event, "not_serving")]
        if event.attempt_id in owned.waiting:
            owned.waiting[event.attempt_id] = event.reply_to
            return []
        moved_to = self._moved_to(ledger, event)
        if moved_to:
            return [replies.moved(event, moved_to)]
        work = replies.queued_work(event, now, self._part(ledger, event))
        owned.mixed = max(owned.mixed, self._policy.short_share(work.service))
        if self._may_pass(owned, work) and self._capacity.fits(
            owned, work, now
        ):
            owned.queue.charge(work.account, work.cost)
            return [self._place(owned, work, event.reply_to, now)]
        if event.stage is messages.ReserveStage.HOME and (
            work.part < 1.0 or not self._capacity.evenly(ledger, work, now)
        ):
            return [self._refuse(event, "bound_reached")]
        return self._queue(owned, work, event, now)

    def release(
        self, event: messages.Release, now: datetime.datetime
    ) -> list[message.Message]:
        """Free the work of ended attempts and serve the queues."""
        chosen = [event.upstream_id] if event.upstream_id else [*self._owned]
        effects: list[message.Message] = []
        for upstream_id in chosen:
            owned = self._owned.get(upstream_id)
            if owned is None:
                continue
            for attempt_id in event.attempt_ids:
                owned.queue.remove(attempt_id)
                owned.waiting.pop(attempt_id, None)
            if owned.ledger.release(event, now):
                self._turned_cold(owned.ledger, now)
            effects.extend(self._serve(owned, now))
        return effects

    def chat_moved(self, event: messages.ChatMoved) -> None:
        """Remember where a chat went whose home is an owned upstream."""
        owned = self._owned.get(event.upstream_id)
        if owned is not None:
            owned.ledger.chats.move(event.chat, event.moved_to)

    def renew(
        self, event: messages.Renew, now: datetime.datetime
    ) -> list[message.Message]:
        """Renew reservations and take in those that are not known."""
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
                    until=ledgers.lease_end(
                        now, now + held.left_ms * replies.MILLISECOND
                    ),
                ),
                now,
            )
        return []

    def tick(self, now: datetime.datetime) -> list[message.Message]:
        """End leases and waits that are over, and serve the queues."""
        effects: list[message.Message] = []
        for upstream_id, owned in self._owned.items():
            over = owned.ledger.expire(now)
            if over:
                self._metrics.count("reservations_expired", len(over))
            if not len(owned.queue):
                continue
            if not self._directory.usable(owned.ledger.upstream):
                effects.extend(self._turn_away(owned))
                continue
            effects.extend(self._serve(owned, now))
            for work in owned.queue.take_expired(now):
                address = owned.waiting.pop(work.attempt_id)
                code = "overloaded"
                effects.append(
                    replies.refusal(
                        address, upstream_id, work.attempt_id, code
                    )
                )
        return effects

    def pools(self, now: datetime.datetime) -> list[messages.PoolWork]:
        """Return the work and capacity of the owned upstreams by pool.

        Load pattern: some engines of a pool crash, and the others take
        their work. The number of requests is that of upstreams that answer:
        the zeros of those that don't would lower what the others may take.
        """
        sums: dict[int, list[int]] = {}
        serving = membership_messages.UpstreamState.SERVING
        for owned in self._owned.values():
            ledger = owned.ledger
            usable = self._directory.usable(ledger.upstream)
            share = self._capacity.ramp_share(ledger, now)
            for pool in means_module.pools_of(ledger.upstream):
                total = sums.setdefault(pool, [0, 0, 0, 0, 0])
                if ledger.upstream.state is serving and ledger.answers:
                    total[3] += len(ledger)
                    total[4] += 1
                if usable:
                    total[0] += ledger.reserved
                    total[1] += int(share * ledger.upstream.batch_tokens)
                    total[2] += ledger.placed(now)
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
        """Return each owned upstream's work and queue."""
        return {
            upstream_id: {
                "epoch": owned.ledger.epoch,
                "reservations": len(owned.ledger),
                "reserved_tokens": owned.ledger.reserved,
                "queued": len(owned.queue),
                "recent_chats": len(owned.ledger.chats),
                "cold_since": owned.ledger.cold_since,
            }
            for upstream_id, owned in self._owned.items()
        }

    @staticmethod
    def _same(
        ledger: ledgers.Ledger,
        upstream: membership_messages.Upstream,
        epoch: int,
    ) -> bool:
        return (
            ledger.epoch == epoch
            and ledger.upstream.incarnation == upstream.incarnation
        )

    def _serves(self, ledger: ledgers.Ledger, incarnation: int) -> bool:
        return (
            ledger.upstream.incarnation == incarnation
            and self._directory.usable(ledger.upstream)
        )

    def _moved_to(
        self, ledger: ledgers.Ledger, event: messages.Reserve
    ) -> str:
        """Return the usable upstream that has a chat's cache, if another."""
        if event.stage is not messages.ReserveStage.HOME:
            return ""
        if event.chat in ledger.chats:
            return ""
        upstream_id = ledger.chats.moved_to(event.chat)
        upstream = self._directory.upstreams.get(upstream_id)
        if upstream is None or not self._directory.usable(upstream):
            return ""
        return upstream_id

    def _part(self, ledger: ledgers.Ledger, event: messages.Reserve) -> float:
        """Return the part of the bounds that an attempt may use."""
        if not event.chat or event.stage is messages.ReserveStage.LAST:
            return 1.0
        if event.chat in ledger.chats:
            return 1.0
        if event.stage is messages.ReserveStage.HOME:
            return self._bounds.uncached_part
        return self._bounds.stranger_part

    def _turned_cold(
        self, ledger: ledgers.Ledger, now: datetime.datetime
    ) -> None:
        """Ramp an upstream again that seems to have lost its cache."""
        if self._capacity.ramp_share(ledger, now) >= 1.0:
            ledger.cold_since = now
            ledger.chats.clear()
            self._metrics.count("upstreams_cold")

    def _may_pass(
        self, owned: capacity.Owned, work: limits_messages.QueuedWork
    ) -> bool:
        """Return whether an attempt need not queue behind others."""
        if not len(owned.queue):
            return True
        if self._capacity.by_right(owned.ledger, work.account, work.cost):
            return True
        return not owned.queue.cost_ahead(work)

    def _place(
        self,
        owned: capacity.Owned,
        work: limits_messages.QueuedWork,
        address: str,
        now: datetime.datetime,
    ) -> message.Message:
        ledger = owned.ledger
        item = ledgers.Reservation(
            attempt_id=work.attempt_id,
            holder=address,
            account=work.account,
            cost=work.cost,
            cost_class=work.cost_class,
            priority=self._capacity.priority(
                ledger, work.account, work.cost, work
            ),
            until=ledgers.lease_end(now, work.deadline),
            chat=work.chat,
            expected=bool(work.chat) and ledger.chats.used(work.chat),
        )
        ledger.chats.returned(work.chat)
        ledger.add(item, now)
        return replies.grant(ledger, item, address)

    def _queue(
        self,
        owned: capacity.Owned,
        work: limits_messages.QueuedWork,
        event: messages.Reserve,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Queue an attempt if it may wait and can be served in time."""
        wait = self._expected_wait(owned, work, now)
        if event.wait_ms <= 0:
            return [self._refuse(event, "bound_reached", wait)]
        by_right = self._capacity.by_right(
            owned.ledger, work.account, work.cost
        )
        if now + wait > work.deadline and not by_right:
            return [self._refuse(event, "deadline_exceeded", wait)]
        if now < owned.ledger.renewed_from:
            # It looks at all upstreams again once this one's work is known.
            until = min(work.expires, owned.ledger.renewed_from)
            work = msgspec.structs.replace(work, expires=until)
        refused = owned.queue.add(work)
        if refused is work:
            return [self._refuse(event, "queue_full", wait)]
        owned.waiting[work.attempt_id] = event.reply_to
        effects: list[message.Message] = []
        if refused is not None:
            address = owned.waiting.pop(refused.attempt_id)
            effects.append(
                replies.refusal(
                    address,
                    event.upstream_id,
                    refused.attempt_id,
                    "queue_full",
                )
            )
        if by_right:
            effects.extend(self._preempt(owned, work.cost))
        return effects

    def _expected_wait(
        self,
        owned: capacity.Owned,
        work: limits_messages.QueuedWork,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        """Return the wait of an attempt; a ramping upstream works slower."""
        ledger = owned.ledger
        share = self._capacity.ramp_share(ledger, now)
        speed = max(1.0, share * ledger.upstream.tokens_per_second)
        ahead = owned.queue.cost_ahead(work) if len(owned.queue) else 0.0
        if share < 1.0:
            ahead += work.cost
        starts = self._capacity.starts(ledger, now)
        seconds = max(ahead / speed, len(owned.queue) / starts)
        return datetime.timedelta(seconds=seconds)

    def _serve(
        self, owned: capacity.Owned, now: datetime.datetime
    ) -> list[message.Message]:
        """Reserve for queued attempts while there is room."""
        effects: list[message.Message] = []
        if not self._directory.usable(owned.ledger.upstream):
            return self._turn_away(owned)
        while len(owned.queue):
            work = self._next(owned, now)
            if work is None:
                break
            address = owned.waiting.pop(work.attempt_id)
            effects.append(self._place(owned, work, address, now))
        return effects

    def _turn_away(self, owned: capacity.Owned) -> list[message.Message]:
        """Refuse all queued attempts of an upstream that takes no more."""
        upstream_id = owned.ledger.upstream.upstream_id
        waiting, owned.waiting = owned.waiting, {}
        for attempt_id in waiting:
            owned.queue.remove(attempt_id)
        return [
            replies.refusal(address, upstream_id, attempt_id, "not_serving")
            for attempt_id, address in waiting.items()
        ]

    def _next(
        self, owned: capacity.Owned, now: datetime.datetime
    ) -> limits_messages.QueuedWork | None:
        """Return the next attempt: by right, then short, then by turn."""

        def by_right(work: limits_messages.QueuedWork) -> bool:
            covered = self._capacity.by_right(
                owned.ledger, work.account, work.cost
            )
            return covered and self._capacity.fits(owned, work, now)

        def short(work: limits_messages.QueuedWork) -> bool:
            is_short = work.cost_class is messages.CostClass.SHORT
            return is_short and self._capacity.fits(owned, work, now)

        chosen = None
        if self._policy.reserved_share:
            chosen = owned.queue.take_oldest(by_right)
        if chosen is None and owned.mixed:
            chosen = owned.queue.take(short)
        if chosen is None:
            chosen = owned.queue.take(
                lambda work: self._capacity.fits(owned, work, now)
            )
        return chosen

    def _preempt(
        self, owned: capacity.Owned, cost: int
    ) -> list[message.Message]:
        """Ask holders of best-effort work to make room for ``cost``."""
        chosen: dict[str, list[str]] = {}
        for item in reversed(owned.ledger.reservations):
            if cost <= 0:
                break
            if item.priority is ledgers.Priority.BEST_EFFORT:
                chosen.setdefault(item.holder, []).append(item.attempt_id)
                cost -= item.cost
        count = sum(len(attempt_ids) for attempt_ids in chosen.values())
        self._metrics.count("attempts_preempted", count)
        return [
            message.Send(
                address=address,
                message=messages.Preempt(attempt_ids=tuple(attempt_ids)),
                urgent=True,
            )
            for address, attempt_ids in chosen.items()
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
