"""Keeps the lists of live upstreams and daemons."""

from __future__ import annotations

import datetime
import typing

import msgspec

from fulmarbarrow.membership import messages
from fulmarbarrow.membership import state
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.observe import plain

DAEMON_TIMEOUT = datetime.timedelta(seconds=5)


class MembershipCore:
    """Announcements and gossip in, changes of membership out."""

    handles = (
        messages.Announced,
        messages.Gossip,
        messages.LeaveStarted,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: messages.Daemon,
        seeds: tuple[str, ...],
        lease: datetime.timedelta,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._daemon = daemon
        self._seeds = seeds
        self._lease = lease
        self._metrics = metrics
        self._upstreams: dict[str, state.Lease] = {}
        self._daemons: dict[str, state.Heard] = {}

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Take one event and return its effects."""
        match event:
            case messages.Announced():
                return self._announced(event, now)
            case messages.Gossip():
                return self._gossip(event, now)
            case messages.LeaveStarted():
                return self._leave()
            case message.Tick():
                return [*self._expire(now), *self._spread()]
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the members as plain data."""
        return {
            "self": plain.plain(self._daemon),
            "upstreams": [
                plain.plain(lease.upstream)
                for lease in self._upstreams.values()
            ],
            "daemons": [
                plain.plain(heard.daemon) for heard in self._daemons.values()
            ],
        }

    def _announced(
        self, event: messages.Announced, now: datetime.datetime
    ) -> list[message.Message]:
        upstream = event.upstream
        effects = self._learn(upstream, now + self._lease)
        effects.append(
            messages.LoadReported(
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                load=event.load,
            )
        )
        effects.append(
            messages.AnnounceAccepted(
                upstream_id=upstream.upstream_id,
                incarnation=upstream.incarnation,
                lease=self._lease,
            )
        )
        return effects

    def _learn(
        self, upstream: messages.Upstream, until: datetime.datetime
    ) -> list[message.Message]:
        known = self._upstreams.get(upstream.upstream_id)
        if known is not None and not known.older_than(upstream):
            return []
        self._upstreams[upstream.upstream_id] = state.Lease(
            upstream=upstream, until=until
        )
        if known is not None and known.same_as(upstream):
            return []
        return [messages.UpstreamChanged(upstream=upstream)]

    def _gossip(
        self, event: messages.Gossip, now: datetime.datetime
    ) -> list[message.Message]:
        effects: list[message.Message] = []
        for daemon in (event.sender, *event.daemons):
            effects.extend(self._hear(daemon, now))
        for upstream in event.upstreams:
            effects.extend(self._learn(upstream, now + self._lease))
        return effects

    def _hear(
        self, daemon: messages.Daemon, now: datetime.datetime
    ) -> list[message.Message]:
        if daemon.daemon_id == self._daemon.daemon_id:
            return []
        known = self._daemons.get(daemon.daemon_id)
        if known is not None and daemon.incarnation < known.daemon.incarnation:
            return []
        self._daemons[daemon.daemon_id] = state.Heard(daemon=daemon, at=now)
        if known is not None and known.daemon == daemon:
            return []
        return [messages.DaemonChanged(daemon=daemon)]

    def _leave(self) -> list[message.Message]:
        self._daemon = msgspec.structs.replace(
            self._daemon, state=messages.DaemonState.LEAVING
        )
        return self._spread()

    def _expire(self, now: datetime.datetime) -> list[message.Message]:
        effects: list[message.Message] = []
        for lease in list(self._upstreams.values()):
            if lease.until <= now:
                del self._upstreams[lease.upstream.upstream_id]
                effects.append(
                    messages.UpstreamGone(
                        upstream_id=lease.upstream.upstream_id,
                        incarnation=lease.upstream.incarnation,
                        reason="lease ended",
                    )
                )
        for heard in list(self._daemons.values()):
            if heard.at + DAEMON_TIMEOUT <= now:
                del self._daemons[heard.daemon.daemon_id]
                effects.append(
                    messages.DaemonGone(
                        daemon_id=heard.daemon.daemon_id,
                        incarnation=heard.daemon.incarnation,
                    )
                )
        return effects

    def _spread(self) -> list[message.Message]:
        gossip = messages.Gossip(
            sender=self._daemon,
            upstreams=tuple(
                lease.upstream for lease in self._upstreams.values()
            ),
        )
        addresses = {heard.daemon.address for heard in self._daemons.values()}
        addresses.update(self._seeds)
        addresses.discard(self._daemon.address)
        return [
            message.Send(address=address, message=gossip)
            for address in sorted(addresses)
        ]
