"""Processing and forwarding of daemon records."""

from __future__ import annotations

import datetime
import logging

from fulmarbarrow.membership import broadcast as broadcasts
from fulmarbarrow.membership import daemons
from fulmarbarrow.membership import messages
from fulmarbarrow.membership import outbox as outboxes
from fulmarbarrow.observe import metrics as metrics_module

log = logging.getLogger(__name__)

SUSPICIONS_PER_TICK = 2


class Roster:
    """Applies daemon records and notifies the other cores of changes.

    If a daemon that is alive here is reported dead, it is only suspected, so
    that it can refute the report. After a partition heals, each side reports
    the other's daemons dead; accepting that would take their upstreams away.
    """

    def __init__(
        self,
        *,
        daemon_table: daemons.DaemonTable,
        broadcast: broadcasts.Broadcast,
        outbox: outboxes.Outbox,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._daemon_table = daemon_table
        self._broadcast = broadcast
        self._outbox = outbox
        self._metrics = metrics
        self._reported_dead: dict[str, messages.Daemon] = {}
        self._sent_view = 0

    def apply_remote(
        self,
        daemon: messages.Daemon,
        now: datetime.datetime,
        span: broadcasts.Span | None,
        *,
        forwards: bool = False,
    ) -> bool:
        """Apply a record from another daemon; return whether it was refuted.

        Only a record that reports this daemon itself as failed is refuted.
        With ``forwards`` a record is forwarded even if it is known here.
        """
        if daemon.daemon_id == self._daemon_table.own.daemon_id:
            return self._apply_own(daemon, now)
        known = self._daemon_table.get(daemon.daemon_id)
        if known is not None and _is_unconfirmed_death(known.daemon, daemon):
            self._reported_dead[daemon.daemon_id] = daemons.as_suspect(daemon)
        else:
            self._apply(daemon, now, span, forwards=forwards)
        return False

    def apply_local(
        self, daemon: messages.Daemon, now: datetime.datetime
    ) -> None:
        """Apply and broadcast a state that the failure detector found."""
        self._apply(daemon, now, broadcasts.WHOLE_RING)
        self._notify_suspect(daemon)

    def leave(self, now: datetime.datetime) -> None:
        """Broadcast that this daemon is leaving."""
        own = self._daemon_table.set_own(
            state=messages.DaemonState.LEAVING,
            refutation=self._daemon_table.own.refutation,
        )
        self._broadcast.enqueue(own, now, urgent=True)

    def set_zone_view(self, daemon_id: str, view: int) -> None:
        """Store a daemon's digest of the live routers of its zone."""
        known = self._daemon_table.get(daemon_id)
        if known is not None:
            known.zone_view = view

    def tick(self, now: datetime.datetime) -> None:
        """Suspect daemons reported dead and send a changed zone view."""
        self._suspect_reported_dead(now)
        view = self._daemon_table.zone_view()
        if view != self._sent_view:
            self._sent_view = view
            self._send_zone_view()

    def _apply(
        self,
        daemon: messages.Daemon,
        now: datetime.datetime,
        span: broadcasts.Span | None,
        *,
        forwards: bool = False,
    ) -> None:
        """Apply a daemon's record and forward it if it is newer."""
        leaving = daemon.state is messages.DaemonState.LEAVING
        newer = self._daemon_table.apply(daemon, now)
        if newer or forwards:
            self._broadcast.forward(
                daemon, now, span, urgent=leaving or forwards
            )
        if not newer:
            return
        self._metrics.count("daemon_changes", state=daemon.state.value)
        if daemon.state is messages.DaemonState.DEAD:
            log.info("daemon %s is dead", daemon.daemon_id)
            self._outbox.emit(
                messages.DaemonGone(
                    daemon_id=daemon.daemon_id,
                    incarnation=daemon.incarnation,
                )
            )
        else:
            self._outbox.emit(messages.DaemonChanged(daemon=daemon))

    def _apply_own(
        self, daemon: messages.Daemon, now: datetime.datetime
    ) -> bool:
        own = self._daemon_table.own
        if daemon.incarnation > own.incarnation:
            self._metrics.count("daemon_incarnation_behind")
        if not self._daemon_table.refute(daemon):
            return False
        self._metrics.count("suspicions_refuted")
        self._broadcast.enqueue(self._daemon_table.own, now, exempt=True)
        return True

    def _suspect_reported_dead(self, now: datetime.datetime) -> None:
        """Suspect some of the daemons that others reported dead.

        The number per tick is limited, because most of them have refuted the
        report to another daemon by the time they are processed.
        """
        for _ in range(SUSPICIONS_PER_TICK):
            if not self._reported_dead or self._outbox.available_bytes <= 0:
                return
            _, daemon = self._reported_dead.popitem()
            known = self._daemon_table.get(daemon.daemon_id)
            if known is None or not _is_newer(daemon, known.daemon):
                continue
            self._apply(daemon, now, None)
            self._notify_suspect(daemon)

    def _notify_suspect(self, daemon: messages.Daemon) -> None:
        """Notify a daemon that it is suspected, so that it can refute it."""
        if daemon.state is messages.DaemonState.SUSPECT:
            self._outbox.send(
                daemon.address, broadcasts.build_gossip([daemon])
            )

    def _send_zone_view(self) -> None:
        own = self._daemon_table.own
        zone_view = messages.ZoneView(
            daemon_id=own.daemon_id, view=self._sent_view
        )
        for daemon_id in self._daemon_table.live_routers(own.zone):
            if daemon_id != own.daemon_id:
                self._outbox.send(
                    self._daemon_table.address(daemon_id), zone_view
                )


def _is_unconfirmed_death(
    known: messages.Daemon, received: messages.Daemon
) -> bool:
    return (
        received.state is messages.DaemonState.DEAD
        and known.state is messages.DaemonState.ALIVE
        and received.incarnation == known.incarnation
    )


def _is_newer(left: messages.Daemon, right: messages.Daemon) -> bool:
    return daemons.daemon_version(left) > daemons.daemon_version(right)
