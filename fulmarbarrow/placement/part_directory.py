"""Keeps and replicates the directory of parts as owner of their homes.

The entry of a part is kept by the owners of the first two engines in the
rendezvous order of each affinity key that is used with it. Requests ask the
owner of the first engine, which records grants, is told of placements at
other engines, and names holders in its replies. Changes are copied to the
other owners. When engines, owners or zones change, all entries are checked
in small steps and copied to the owners that now have to keep them.
"""

from __future__ import annotations

import collections
import collections.abc
import datetime
import typing

import msgspec

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import messages
from fulmarbarrow.placement import part_holders
from fulmarbarrow.placement import prefixes

MAX_EXPECTED_REPLIES = 1024
# An entry takes 50 to 100 bytes, so copies take at most 1.6 KB a second for
# each receiver. An entry usually has one receiver, sometimes two.
COPIES_PER_SECOND = 16
COPY_BURST = 64  # entries that are sent at once after a quiet time
CHECKS_PER_SECOND = 200  # entries, each takes about 30 us
# A backup needs times of use that are recent enough to be trusted.
REFRESH_INTERVAL = part_holders.TRUSTED_TIME / 2
MAX_MESSAGE_ENTRIES = COPY_BURST
MAX_RANKED = 6  # engines among which the owners that keep an entry are chosen
MAX_KEY_BYTES = 256  # a longer key is hostile and is not kept
MILLISECOND = datetime.timedelta(milliseconds=1)
MAX_AGE_MS = part_holders.MAX_AGE // MILLISECOND
MAX_BURST = datetime.timedelta(seconds=1)

_REPLIES = (messages.Reserved, messages.ReserveRefused)


class PartDirectory:
    """Directory entries of the parts whose home engines are owned here."""

    def __init__(
        self,
        *,
        address: str,
        directory: directories.Directory,
        engines: part_holders.EngineIndex,
        metrics: metrics_module.Metrics,
        enabled: bool,
    ) -> None:
        self._address = address
        self._directory = directory
        self._metrics = metrics
        self._enabled = enabled
        self._table = part_holders.PartHolders()
        self._engines = engines
        self._cold_until: dict[str, datetime.datetime | None] = {}
        self._expected: collections.OrderedDict[str, messages.Reserve] = (
            collections.OrderedDict()
        )
        self._changed: dict[int, None] = {}
        self._unchecked: collections.deque[int] = collections.deque()
        self._check_wanted = False
        self._ticked_at: datetime.datetime | None = None
        self._copy_credit = float(COPY_BURST)

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of entries and of copies to be sent."""
        if not self._enabled:
            return {}
        return {
            "parts": {
                "entries": len(self._table),
                "changed": len(self._changed),
                "unchecked": len(self._unchecked),
            }
        }

    def expect(self, event: messages.Reserve) -> None:
        """Note a request whose reply is to name the holders of its parts."""
        if not self._enabled or event.prompt is None:
            return
        self._expected[event.attempt_id] = event
        if len(self._expected) > MAX_EXPECTED_REPLIES:
            self._expected.popitem(last=False)

    def complete(
        self, effect: message.Message, now: datetime.datetime
    ) -> message.Message:
        """Add the holders to a reply to a noted request; record its grant."""
        if type(effect) is not message.Send or not self._expected:
            return effect
        reply = effect.message
        if not isinstance(reply, _REPLIES):
            return effect
        event = self._expected.get(reply.attempt_id)
        if event is None or event.upstream_id != reply.upstream_id:
            return effect
        del self._expected[reply.attempt_id]
        granted = isinstance(reply, messages.Reserved)
        engine = part_holders.engine_hash(reply.upstream_id)
        parts = event.prompt.parts[: part_holders.MAX_KEYS]
        holders = self._table.find(
            parts, engine if granted else None, self._usable, now
        )
        self._metrics.count("part_lookups", found=str(bool(holders)).lower())
        if granted:
            self._record(
                event.upstream_id,
                event.service,
                event.prompt,
                engine,
                self._new_holder(event.incarnation, now),
            )
        if not holders:
            return effect
        return msgspec.structs.replace(
            effect, message=msgspec.structs.replace(reply, holders=holders)
        )

    def record_placed(
        self, event: messages.PartsPlaced, now: datetime.datetime
    ) -> None:
        """Record that a router placed a prompt, or that a part is lost."""
        if not self._enabled:
            return
        self._record(
            event.upstream_id,
            event.service,
            event.prompt,
            event.holder,
            self._new_holder(event.incarnation, now, holds=event.holds),
        )

    def merge(
        self, event: messages.PartsCopied, now: datetime.datetime
    ) -> None:
        """Merge entries that another owner copied."""
        if not self._enabled:
            return
        pool = (event.service, event.model, event.version)
        for item in event.entries[:MAX_MESSAGE_ENTRIES]:
            known = self._table.get(item.part)
            has_news = known is not None and bool(known.holders)
            for key in item.keys[: part_holders.MAX_KEYS]:
                if len(key) > MAX_KEY_BYTES:
                    continue
                if self._table.add_key(item.part, pool, key) and has_news:
                    # The owners of this key's homes need what is known here.
                    self._mark_changed(item.part)
            for copied in item.holders[: part_holders.MAX_HOLDERS]:
                if not 0 <= copied.age_ms <= MAX_AGE_MS:
                    continue
                age = copied.age_ms * MILLISECOND
                self._table.record(
                    item.part,
                    copied.holder,
                    part_holders.Holder(
                        incarnation=copied.incarnation,
                        used_at=now - age,
                        ready_at=now - age + part_holders.PREFILL_TIME,
                        holds=copied.holds,
                    ),
                )

    def recheck(
        self, upstream: membership_messages.Upstream | None = None
    ) -> None:
        """Check all entries after a change of engines, owners or zones."""
        if not self._enabled:
            return
        self._check_wanted = True
        if upstream is None:
            return
        engine = part_holders.engine_hash(upstream.upstream_id)
        self._engines.add(upstream.upstream_id)
        known = self._cold_until.get(upstream.upstream_id)
        self._cold_until[upstream.upstream_id] = upstream.cold_until
        if upstream.cold_until is not None and upstream.cold_until != known:
            self._table.forget_engine(engine)

    def forget_engine(self, upstream_id: str, incarnation: int) -> None:
        """Drop an engine from all entries after it lost its cache."""
        upstream = self._directory.upstreams.get(upstream_id)
        if self._enabled and (
            upstream is None or upstream.incarnation <= incarnation
        ):
            self._table.forget_engine(part_holders.engine_hash(upstream_id))

    def lose_cache(
        self,
        upstream: membership_messages.Upstream,
        receivers: collections.abc.Iterable[str],
    ) -> list[message.Message]:
        """Drop an owned engine that turned cold and tell other routers."""
        if not self._enabled:
            return []
        lost = messages.CacheLost(
            upstream_id=upstream.upstream_id, incarnation=upstream.incarnation
        )
        self.forget_engine(lost.upstream_id, lost.incarnation)
        return [
            message.Send(address=address, message=lost)
            for address in receivers
        ]

    def forget_receiver(self, address: str) -> None:
        """Copy entries again to a router that may have lost them."""
        if not self._enabled:
            return
        self._check_wanted = True
        for part in self._table:
            entry = self._table.get(part)
            if entry is not None and address in entry.copied_to:
                entry.copied_to -= {address}

    def tick(self, now: datetime.datetime) -> list[message.Message]:
        """Check some entries and return the copies that are due."""
        if not self._enabled:
            return []
        elapsed = min(MAX_BURST, now - (self._ticked_at or now))
        self._ticked_at = now
        seconds = elapsed.total_seconds()
        self._check(int(seconds * CHECKS_PER_SECOND) + 1, now)
        self._copy_credit = min(
            COPY_BURST, self._copy_credit + seconds * COPIES_PER_SECOND
        )
        count = min(int(self._copy_credit), len(self._changed))
        if not count:
            return []
        self._copy_credit -= count
        return self._copies([*self._changed][:count], now)

    def _new_holder(
        self, incarnation: int, now: datetime.datetime, *, holds: bool = True
    ) -> part_holders.Holder:
        return part_holders.Holder(
            incarnation=incarnation,
            used_at=now,
            ready_at=now + part_holders.PREFILL_TIME,
            holds=holds,
        )

    def _record(
        self,
        home: str,
        service: str,
        prompt: messages.PromptParts,
        engine: int,
        holder: part_holders.Holder,
    ) -> None:
        pool = self._pool(home, service)
        if pool is None or len(prompt.key) > MAX_KEY_BYTES:
            return
        for part in prompt.parts[: part_holders.MAX_KEYS]:
            new_key = self._table.add_key(part, pool, prompt.key)
            changed = self._table.record(part, engine, holder)
            entry = self._table.get(part)
            due = entry is not None and (
                entry.copied_at is None
                or holder.used_at - entry.copied_at >= REFRESH_INTERVAL
            )
            if new_key or changed or due:
                self._mark_changed(part)

    def _mark_changed(self, part: int) -> None:
        """Note that an entry has to be copied."""
        self._changed[part] = None
        if len(self._changed) > part_holders.MAX_ENTRIES:
            # The entry has been evicted or is copied with its next change.
            del self._changed[next(iter(self._changed))]

    def _pool(self, home: str, service: str) -> part_holders.Pool | None:
        """Return the pool of a service at a home engine."""
        upstream = self._directory.upstreams.get(home)
        if upstream is None:
            return None
        for offer in upstream.offers:
            if offer.service == service and offer.model:
                return offer.service, offer.model, offer.version
        return None

    def _usable(self, engine: int, incarnation: int) -> bool:
        """Return whether an engine still runs and its zone is reachable."""
        upstream = self._directory.upstreams.get(self._engines.get(engine))
        return (
            upstream is not None
            and upstream.incarnation == incarnation
            and self._directory.zone_weight(upstream.zone) > 0
        )

    def _check(self, count: int, now: datetime.datetime) -> None:
        """Check whether entries have to be copied to other owners."""
        if not self._unchecked and self._check_wanted:
            self._check_wanted = False
            self._unchecked.extend(reversed([*self._table]))
            self._engines.retain(self._directory.upstreams)
            self._cold_until = {
                upstream_id: cold_until
                for upstream_id, cold_until in self._cold_until.items()
                if upstream_id in self._directory.upstreams
            }
        for _ in range(min(count, len(self._unchecked))):
            part = self._unchecked.popleft()
            if not self._table.expire(part, now):
                self._table.remove(part)
                self._changed.pop(part, None)
                continue
            entry = self._table.get(part)
            if entry is not None and self._replicas(entry) - entry.copied_to:
                self._mark_changed(part)

    def _replicas(self, entry: part_holders.Entry) -> set[str]:
        """Return the addresses of the other owners that keep an entry.

        The homes of a prefix with several homes have keys of their own. Each
        tells the prefix's first home, which then knows all the others.
        """
        service, model, _ = entry.pool
        version = self._directory.home_version(*entry.pool)
        ring = self._directory.pool_ring(service, model, version)
        addresses: set[str] = set()
        for key in entry.keys:
            addresses |= self._key_replicas(ring.best(key, MAX_RANKED))
            prefix = prefixes.prefix_of(key)
            if prefix != key:
                addresses |= self._addresses(ring.best(prefix, 1))
        return addresses - {self._address}

    def _key_replicas(self, ranked: list[str]) -> set[str]:
        """Return the owners of the first two engines, of a third if needed.

        The first two may have one owner or be in one zone. Their loss would
        then lose the entry, so the next engine that differs is added.
        """
        for count in range(2, len(ranked) + 1):
            addresses = self._addresses(ranked[:count])
            zones = {self._directory.zone(item) for item in ranked[:count]}
            if len(addresses) > 1 and len(zones) > 1:
                return addresses
        return self._addresses(ranked[:2])

    def _addresses(self, upstream_ids: list[str]) -> set[str]:
        """Return the addresses of the owners of engines."""
        owners = self._directory.owners
        return {
            owners[upstream_id].address
            for upstream_id in upstream_ids
            if upstream_id in owners and owners[upstream_id].address
        }

    def _copies(
        self, parts: list[int], now: datetime.datetime
    ) -> list[message.Message]:
        batches: dict[
            tuple[str, part_holders.Pool], list[messages.PartEntry]
        ] = collections.defaultdict(list)
        for part in parts:
            del self._changed[part]
            entry = self._table.get(part)
            if entry is None:
                continue
            replicas = self._replicas(entry)
            entry.copied_to = frozenset(replicas)
            entry.copied_at = now
            encoded = messages.PartEntry(
                part=part,
                keys=entry.keys,
                holders=tuple(
                    messages.PartHolder(
                        holder=engine,
                        incarnation=holder.incarnation,
                        age_ms=(now - holder.used_at) // MILLISECOND,
                        holds=holder.holds,
                    )
                    for engine, holder in entry.holders.items()
                ),
            )
            for address in replicas:
                batches[address, entry.pool].append(encoded)
        self._metrics.count("part_entries_copied", len(parts))
        return [
            message.Send(
                address=address,
                message=messages.PartsCopied(
                    service=pool[0],
                    model=pool[1],
                    version=pool[2],
                    entries=tuple(entries),
                ),
            )
            for (address, pool), entries in batches.items()
        ]
