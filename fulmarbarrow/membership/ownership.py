"""Assignment of an owner and a lease holder to each upstream."""

from __future__ import annotations

import datetime

from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.membership import ranking
from fulmarbarrow.membership import state

UNKNOWN_OWNER_GRACE = datetime.timedelta(seconds=5)
TAKEOVER_DELAY = datetime.timedelta(seconds=30)
TAKEOVER_SPREAD_SECONDS = 30
JOIN_TIMEOUT = datetime.timedelta(seconds=3)


class Ownership:
    """Suggests owners to upstreams and tracks the owners that they name.

    The upstream is the arbiter: it accepts a suggestion with an epoch above
    its current one and names that owner in its next announcement, so no two
    daemons hold the same epoch. An upstream that names no owner has one only
    while all live routers of its zone report the same view of the zone: the
    router ranked first, with epoch 0.
    """

    def __init__(
        self, *, daemon_table: daemons.DaemonTable, outbox: outboxes.Outbox
    ) -> None:
        self._daemon_table = daemon_table
        self._outbox = outbox
        self._views_agree = False
        self._standalone_from: datetime.datetime | None = None

    def start(self, now: datetime.datetime, *, has_seeds: bool) -> None:
        """Start; if there are seeds, wait for them before acting alone."""
        self._standalone_from = now + JOIN_TIMEOUT if has_seeds else now

    def check_agreement(self, now: datetime.datetime) -> bool:
        """Compare the routers' views; return whether the result changed."""
        before, self._views_agree = self._views_agree, self._compare_views(now)
        return before != self._views_agree

    def suggest_owner(
        self,
        upstream: messages.Upstream,
        received_at: datetime.datetime,
        now: datetime.datetime,
    ) -> tuple[str, int]:
        """Return the owner and epoch to suggest to an upstream.

        ``received_at`` is when this daemon received the current record of
        the upstream.
        """
        candidates = self._daemon_table.owner_candidates(upstream.zone)
        best = ranking.best(upstream.upstream_id, candidates)
        if not best or best == upstream.owner:
            return upstream.owner, upstream.owner_epoch
        can_keep = self._can_keep_owner(
            upstream, candidates, now - received_at
        )
        if can_keep and not self._takeover_due(upstream, best, now):
            return upstream.owner, upstream.owner_epoch
        return best, upstream.owner_epoch + 1

    def lease_holder(self, upstream: messages.Upstream) -> str:
        """Return the daemon that holds the upstream's lease."""
        if upstream.owner and self._daemon_table.address(upstream.owner):
            return upstream.owner
        candidates = self._daemon_table.owner_candidates(upstream.zone)
        return ranking.best(upstream.upstream_id, candidates)

    def update_owner(self, entry: state.UpstreamEntry) -> None:
        """Notify the other cores if an upstream's owner has changed."""
        owner = self._effective_owner(entry.upstream)
        if owner == entry.owner or entry.hidden:
            return
        if entry.owner is None and not owner.daemon_id:
            entry.owner = owner
            return
        entry.owner = owner
        self._outbox.emit(
            messages.OwnerChanged(
                upstream_id=entry.upstream.upstream_id,
                incarnation=entry.upstream.incarnation,
                owner=owner.daemon_id,
                address=owner.address,
                owner_epoch=owner.epoch,
            )
        )

    def _effective_owner(self, upstream: messages.Upstream) -> state.Owner:
        if upstream.owner:
            return self._reachable_owner(upstream.owner, upstream.owner_epoch)
        candidates = self._daemon_table.owner_candidates(upstream.zone)
        own = self._daemon_table.own
        only_candidate = candidates == (own.daemon_id,)
        if not self._views_agree or not (
            only_candidate or upstream.zone == own.zone
        ):
            return state.Owner()
        best = ranking.best(upstream.upstream_id, candidates)
        return self._reachable_owner(best, 0)

    def _reachable_owner(self, daemon_id: str, epoch: int) -> state.Owner:
        address = self._daemon_table.address(daemon_id)
        if not address:
            return state.Owner(epoch=epoch)
        return state.Owner(daemon_id=daemon_id, address=address, epoch=epoch)

    def _can_keep_owner(
        self,
        upstream: messages.Upstream,
        candidates: tuple[str, ...],
        record_age: datetime.timedelta,
    ) -> bool:
        """Return whether the named owner can remain the owner.

        An owner that is not known here yet is kept for a grace period.
        """
        owner = upstream.owner
        if not owner:
            return False
        if owner in candidates:
            return True
        if owner == self._daemon_table.own.daemon_id:
            return False
        known = self._daemon_table.get(owner)
        if known is None:
            return record_age < UNKNOWN_OWNER_GRACE
        return known.is_live_router

    def _takeover_due(
        self,
        upstream: messages.Upstream,
        best: str,
        now: datetime.datetime,
    ) -> bool:
        """Return whether a better owner has been live for long enough.

        The delay differs between upstreams, so that a new router takes over
        its share of them gradually.
        """
        known = self._daemon_table.get(best)
        if known is None:
            return self._own_takeover_due(upstream, now)
        return now - known.live_since >= _takeover_delay(upstream)

    def _own_takeover_due(
        self, upstream: messages.Upstream, now: datetime.datetime
    ) -> bool:
        if self._standalone_from is None:
            return False
        return now - self._standalone_from >= _takeover_delay(upstream)

    def _compare_views(self, now: datetime.datetime) -> bool:
        own = self._daemon_table.own
        others = [
            self._daemon_table.get(daemon_id)
            for daemon_id in self._daemon_table.live_routers(own.zone)
            if daemon_id != own.daemon_id
        ]
        others_known = any(True for _ in self._daemon_table.others)
        if (
            not others_known
            and self._standalone_from
            and now < self._standalone_from
        ):
            return False
        view = self._daemon_table.zone_view()
        return all(known and known.zone_view == view for known in others)


def _takeover_delay(upstream: messages.Upstream) -> datetime.timedelta:
    fraction = ranking.digest((upstream.upstream_id,)) / 2**64
    spread = datetime.timedelta(seconds=TAKEOVER_SPREAD_SECONDS)
    return TAKEOVER_DELAY + fraction * spread
