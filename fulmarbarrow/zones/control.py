"""Moves the KV cache of busy chats before a zone's traffic returns."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import typing

import msgspec

from fulmarbarrow.consensus import authority
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.versions import messages as versions_messages
from fulmarbarrow.zones import messages

MAX_TOKENS_PER_SECOND = 200_000  # fleet-wide rate of KV cache moves
MAX_MOVES_PER_ENGINE = 2  # concurrent moves, as source or target
ORDER_TIMEOUT = datetime.timedelta(seconds=5)
MAX_QUEUED = 4_000  # moves
MAX_SEEN_REVISIONS = 20_000  # pairs of zone and chat
DEFAULT_MOVE_TOKENS = 2_000  # for chats of unknown size


@dataclasses.dataclass(kw_only=True, slots=True)
class _Move:
    """A queued or running KV cache move of one chat.

    It starts as an export order to the source; if the source refuses, it
    becomes an import order to the target.
    """

    move: messages.KvMove
    requests: int
    zone: str
    revision: int
    until: datetime.datetime
    kind: versions_messages.OrderKind = versions_messages.OrderKind.EXPORT_KV
    ordered_at: datetime.datetime | None = None

    @property
    def tokens(self) -> int:
        """The cost of the move, at most the budget of one second."""
        return min(
            self.move.tokens or DEFAULT_MOVE_TOKENS, MAX_TOKENS_PER_SECOND
        )

    @property
    def order_id(self) -> str:
        """The id of the current order; a repeated order has the same id."""
        return f"{self.kind}/{self.zone}/{self.revision}/{self.move.chat}"


class KvMovesControl:
    """Issues orders for KV moves while this daemon is the leader.

    The leader is that of the configuration log. Chats with the most
    requests are moved first. Moves are limited by a token rate for the
    fleet and by the number of concurrent moves per engine, and none starts
    after the zone's warm-up has ended. The source is ordered to export; if
    it refuses, the target is ordered to import. Orders carry the leader's
    fencing number. A failed move only costs its chat a new prefill, so it
    is not retried.
    """

    handles = (
        consensus_messages.LeaderChanged,
        message.Tick,
        messages.KvMovesRequested,
        versions_messages.OrderResult,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._daemon = daemon
        self._metrics = metrics
        self._leader: consensus_messages.LeaderChanged | None = None
        self._queued: dict[tuple[str, str], _Move] = {}
        self._seen_revisions: dict[tuple[str, str], int] = {}
        self._running: dict[str, _Move] = {}
        self._engine_moves: collections.Counter[str] = collections.Counter()
        self._token_budget = 0.0
        self._refilled_at: datetime.datetime | None = None

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Process one event and return the resulting messages."""
        match event:
            case consensus_messages.LeaderChanged():
                self._handle_leader_changed(event)
            case messages.KvMovesRequested():
                return self._handle_moves_requested(event, now)
            case versions_messages.OrderResult():
                return self._handle_order_result(event, now)
            case message.Tick():
                return self._tick(now)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the number of queued moves and the running orders."""
        return {
            "waiting": len(self._queued),
            "running": sorted(self._running),
            "leads": self._is_leader,
        }

    @property
    def _is_leader(self) -> bool:
        leader = self._leader
        return leader is not None and leader.leader == self._daemon.daemon_id

    def _may_order(self, now: datetime.datetime) -> bool:
        """Whether no other host can lead yet, and give orders."""
        return authority.has_lease(self._leader, self._daemon.daemon_id, now)

    def _handle_leader_changed(
        self, event: consensus_messages.LeaderChanged
    ) -> None:
        if event.group is not consensus_messages.Group.CONFIGURATION:
            return
        self._leader = event
        if not self._is_leader:
            self._queued.clear()
            self._running.clear()
            self._engine_moves.clear()

    def _handle_moves_requested(
        self, event: messages.KvMovesRequested, now: datetime.datetime
    ) -> list[message.Message]:
        if not self._is_leader:
            return self._forward(event)
        if now < event.until:
            for move in event.moves:
                self._enqueue(event, move)
        return self._start_moves(now)

    def _enqueue(
        self, event: messages.KvMovesRequested, move: messages.KvMove
    ) -> None:
        """Queue a move, at most once per chat and zone revision.

        A repeated request for a queued move adds to its request count.
        """
        key = (event.zone, move.chat)
        queued = self._queued.get(key)
        if queued is not None:
            queued.requests += move.requests
            return
        if self._seen_revisions.get(key, 0) >= event.revision:
            return
        if len(self._seen_revisions) >= MAX_SEEN_REVISIONS:
            self._seen_revisions.pop(next(iter(self._seen_revisions)))
        self._seen_revisions[key] = event.revision
        if len(self._queued) < MAX_QUEUED:
            self._queued[key] = _Move(
                move=move,
                requests=move.requests,
                zone=event.zone,
                revision=event.revision,
                until=event.until,
            )

    def _forward(
        self, event: messages.KvMovesRequested
    ) -> list[message.Message]:
        leader = self._leader
        if event.forwarded or leader is None or not leader.address:
            return []
        forwarded_event = msgspec.structs.replace(event, forwarded=True)
        return [message.Send(address=leader.address, message=forwarded_event)]

    def _tick(self, now: datetime.datetime) -> list[message.Message]:
        self._refill_token_budget(now)
        for key, item in list(self._queued.items()):
            if now >= item.until:
                del self._queued[key]
                self._metrics.count("kv_moves", outcome="late")
        for item in list(self._running.values()):
            timed_out = (
                item.ordered_at and now - item.ordered_at > ORDER_TIMEOUT
            )
            if timed_out:
                self._finish_move(item, "timeout")
        return self._start_moves(now)

    def _refill_token_budget(self, now: datetime.datetime) -> None:
        if self._refilled_at is not None:
            elapsed = (now - self._refilled_at).total_seconds()
            tokens = self._token_budget + elapsed * MAX_TOKENS_PER_SECOND
            self._token_budget = min(tokens, MAX_TOKENS_PER_SECOND)
        else:
            self._token_budget = MAX_TOKENS_PER_SECOND
        self._refilled_at = now

    def _start_moves(self, now: datetime.datetime) -> list[message.Message]:
        """Start the busiest chats' moves that the limits allow."""
        if not self._may_order(now):
            return []
        orders: list[message.Message] = []
        busiest = sorted(
            self._queued.items(),
            key=lambda item: item[1].requests,
            reverse=True,
        )
        for key, item in busiest:
            if self._token_budget < item.tokens:
                break
            engines = (item.move.source_id, item.move.target_id)
            if any(
                self._engine_moves[name] >= MAX_MOVES_PER_ENGINE
                for name in engines
            ):
                continue
            del self._queued[key]
            self._token_budget -= item.tokens
            self._engine_moves.update(engines)
            orders.append(self._issue_order(item, now))
        return orders

    def _issue_order(
        self, item: _Move, now: datetime.datetime
    ) -> message.Message:
        item.ordered_at = now
        self._running[item.order_id] = item
        move = item.move
        is_export = item.kind is versions_messages.OrderKind.EXPORT_KV
        receiver = (move.source_id, move.source_url)
        peer = (move.target_id, move.target_url)
        if not is_export:
            receiver, peer = peer, receiver
        leader = typing.cast("consensus_messages.LeaderChanged", self._leader)
        return versions_messages.Order(
            order_id=item.order_id,
            upstream_id=receiver[0],
            url=receiver[1],
            kind=item.kind,
            subject=move.chat,
            version=move.version,
            fencing_number=leader.fencing_number,
            argument=peer[1],
        )

    def _handle_order_result(
        self, event: versions_messages.OrderResult, now: datetime.datetime
    ) -> list[message.Message]:
        item = self._running.pop(event.order_id, None)
        if item is None:
            return []
        is_export = item.kind is versions_messages.OrderKind.EXPORT_KV
        if event.code and is_export and self._may_order(now):
            item.kind = versions_messages.OrderKind.IMPORT_KV
            return [self._issue_order(item, now)]
        self._finish_move(item, event.code or "taken")
        return self._start_moves(now)

    def _finish_move(self, item: _Move, outcome: str) -> None:
        self._running.pop(item.order_id, None)
        self._engine_moves.subtract((item.move.source_id, item.move.target_id))
        self._metrics.count("kv_moves", outcome=outcome)
