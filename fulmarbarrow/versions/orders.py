"""Load orders to engines, one at a time, with fencing numbers."""

from __future__ import annotations

import datetime
import typing

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import plain
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import schedule
from fulmarbarrow.versions import state

LEASE_WAIT = datetime.timedelta(seconds=4)
LOAD_TIMEOUT_FACTOR = 4

_ORDER_KINDS = {
    bundles.MoveKind.MODEL: messages.OrderKind.LOAD_MODEL,
    bundles.MoveKind.ADAPTER: messages.OrderKind.LOAD_ADAPTER,
    bundles.MoveKind.ROLE: messages.OrderKind.CHANGE_ROLE,
}


class Orders:
    """Sends load orders to engines and tracks them until they complete.

    A load is complete once the engine announces the version. An engine that
    checks fencing numbers rejects orders of a former leader. To other engines
    a new leader sends no order until the former leader's lease has expired.
    """

    def __init__(self) -> None:
        self._fencing_number = 0
        self._leading_since: datetime.datetime | None = None
        self._pending: dict[str, state.PendingOrder] = {}
        self._last_completed_at: dict[str, datetime.datetime] = {}
        self._skipped: set[str] = set()
        self._order_count = 0
        self._load_time = schedule.DEFAULT_LOAD_TIME
        self._has_measured_load = False

    @property
    def load_time(self) -> datetime.timedelta:
        """The longest load so far, or a default before the first one."""
        return self._load_time

    def dump(self) -> dict[str, typing.Any]:
        """Return the pending orders for debugging."""
        return {
            "fencing_number": self._fencing_number,
            "pending": plain.plain(list(self._pending.values())),
            "load_time": self._load_time.total_seconds(),
        }

    def start_term(
        self, *, fencing_number: int, now: datetime.datetime
    ) -> None:
        """Start a new leadership term with a new fencing number."""
        self._fencing_number = fencing_number
        self._leading_since = now
        self._pending.clear()
        self._skipped.clear()

    def is_loading(self, move_id: str) -> bool:
        """Whether an engine is loading a version for the move."""
        return any(
            order.move_id == move_id for order in self._pending.values()
        )

    def idle_time(
        self, move_id: str, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the time since the move's last load completed."""
        if self.is_loading(move_id):
            return datetime.timedelta()
        last = self._last_completed_at.get(move_id)
        return now - last if last else datetime.timedelta.max

    def load(
        self,
        move: bundles.VersionMove,
        version: str,
        engines: tuple[membership_messages.Upstream, ...],
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Order one engine to load a version, unless a load is pending."""
        self._expire(now)
        if self._pending:
            return []
        for engine in engines:
            if engine.upstream_id in self._skipped:
                continue
            if engine.checks_fencing or self._old_lease_expired(now):
                return [self._create_order(move, version, engine, now)]
        # Every engine was tried or has to wait; start over at the next call.
        self._skipped.clear()
        return []

    def on_announced(
        self, upstream: membership_messages.Upstream, now: datetime.datetime
    ) -> None:
        """Complete an engine's load once it offers the ordered version."""
        order = self._pending.get(upstream.upstream_id)
        serving = membership_messages.UpstreamState.SERVING
        if order is None or upstream.state is not serving:
            return
        if all(offer.version != order.version for offer in upstream.offers):
            return
        del self._pending[upstream.upstream_id]
        self._last_completed_at[order.move_id] = now
        duration = now - order.given_at
        longest = self._load_time if self._has_measured_load else duration
        self._load_time = max(longest, duration)
        self._has_measured_load = True

    def on_result(self, event: messages.OrderResult) -> None:
        """Handle an engine's answer; try another engine if it refused."""
        order = self._pending.get(event.upstream_id)
        if order is None or order.order_id != event.order_id or not event.code:
            return
        del self._pending[event.upstream_id]
        self._skipped.add(event.upstream_id)

    def _old_lease_expired(self, now: datetime.datetime) -> bool:
        since = self._leading_since
        return since is not None and now >= since + LEASE_WAIT

    def _expire(self, now: datetime.datetime) -> None:
        """Drop orders that timed out, and skip their engines."""
        limit = LOAD_TIMEOUT_FACTOR * self._load_time
        for upstream_id, order in list(self._pending.items()):
            if now >= order.given_at + limit:
                del self._pending[upstream_id]
                self._skipped.add(upstream_id)

    def _create_order(
        self,
        move: bundles.VersionMove,
        version: str,
        engine: membership_messages.Upstream,
        now: datetime.datetime,
    ) -> message.Message:
        self._order_count += 1
        order_id = f"{move.id}/{self._fencing_number}/{self._order_count}"
        self._pending[engine.upstream_id] = state.PendingOrder(
            order_id=order_id,
            move_id=move.id,
            upstream_id=engine.upstream_id,
            version=version,
            given_at=now,
        )
        return messages.Order(
            order_id=order_id,
            upstream_id=engine.upstream_id,
            url=engine.url,
            kind=_ORDER_KINDS[move.kind],
            subject=move.model,
            version=version,
            fencing_number=self._fencing_number,
        )
