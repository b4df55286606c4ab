"""An accepted configuration is in force everywhere and never reverts."""

from __future__ import annotations

import datetime

from faultmatrix.checks import base
from faultmatrix import host as hosts
from faultmatrix import upstream as upstreams
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import authority
from fulmarbarrow.publishing import messages

LIMIT = datetime.timedelta(seconds=2)


class Configuration(base.Check):
    """Follows the revision in force on each host, and what was accepted."""

    name = "configuration"

    def __init__(self) -> None:
        super().__init__()
        self.results: dict[str, messages.PublishResult] = {}
        self._in_force: dict[str, int] = {}
        self._activated_at: dict[str, dict[int, datetime.datetime]] = {}
        self._accepted: dict[int, str] = {}
        self._accepted_at: dict[int, datetime.datetime] = {}

    def published(self, result: messages.PublishResult) -> None:
        """Note an accepted revision; it must hold one bundle only.

        The same bundle published twice is one revision.
        """
        if result.code:
            if result.code == "revision_conflict":
                self.results.setdefault(result.publish_id, result)
            return
        digest = self.fleet.operators.published_digests[result.publish_id]
        now = self.fleet.timeline.now
        self._accepted_at.setdefault(result.revision, now)
        known = self._accepted.setdefault(result.revision, digest)
        if known != digest:
            self.breach(f"revision {result.revision} was accepted twice")
        first = self.results.setdefault(result.publish_id, result)
        if not first.code and first.revision != result.revision:
            self.breach(f"{result.publish_id} was accepted twice")

    def in_force(
        self, host: hosts.Host, revision: int, bundle: bundles.Bundle
    ) -> None:
        """Compare with the revision before, within one incarnation.

        The first one must be as new as what was accepted before the start,
        unless the host reaches no other zone.
        """
        key = _key(host)
        floor = max(
            (
                number
                for number, at in self._accepted_at.items()
                if at <= host.started_at
            ),
            default=0,
        )
        if revision < floor and not self._is_cut_off(host):
            self.breach(
                f"{key} enforces revision {revision}, {floor} was accepted"
                f" before it started"
            )
        if revision < self._in_force.get(key, 0):
            self.breach(f"{key} went back to revision {revision}")
        self._in_force[key] = revision
        self._activated_at.setdefault(key, {})[revision] = (
            self.fleet.timeline.now
        )

    def dispatched(
        self, upstream: upstreams.Upstream, run: upstreams.Run
    ) -> None:
        """Compare what a host goes by with what it could know.

        Whether it sends by a replaced revision hangs on no request of the
        difference, and not on whether there is a leader.
        """
        host = run.host
        now = self.fleet.timeline.now
        due = max(
            (
                number
                for number, at in self._accepted_at.items()
                if now - at >= LIMIT
            ),
            default=0,
        )
        present = self._in_force.get(_key(host), 0)
        if present >= due:
            return
        better = [
            other.plan.daemon_id
            for other in self._reached(host)
            if self._known_for_long(other, due)
        ]
        if better:
            self.breach(
                f"{_key(host)} sends by revision {present}, {due} was accepted"
                f" {LIMIT.total_seconds():g} s ago and is in force on"
                f" {better[0]}"
            )

    def _known_for_long(self, host: hosts.Host, revision: int) -> bool:
        """Whether a host has had a revision or a higher one for a while."""
        latest = self.fleet.timeline.now - LIMIT
        return any(
            number >= revision and at <= latest
            for number, at in self._activated_at.get(_key(host), {}).items()
        )

    def _is_cut_off(self, host: hosts.Host) -> bool:
        """Whether a host has asked around and reaches no other zone.

        Hosts that started together have not had the time to ask, and one that
        is connected to the leader is not cut off.
        """
        age = self.fleet.timeline.now - host.started_at
        if age < authority.EVIDENCE_WINDOW:
            return False
        leader = self.fleet.leader()
        if leader is not None and self.fleet.network.connected(host, leader):
            return False
        return all(other.zone == host.zone for other in self._reached(host))

    def _reached(self, host: hosts.Host) -> list[hosts.Host]:
        """Return the hosts with which one has been connected for a while."""
        network = self.fleet.network
        latest = self.fleet.timeline.now - LIMIT
        reached = []
        for other in self.fleet.hosts.values():
            if not other.alive or other is host or other.started_at > latest:
                continue
            since = network.connected_since(host, other)
            healed = since is None or since <= latest
            if healed and network.connected(host, other):
                reached.append(other)
        return reached

    def finish(self) -> None:
        """Compare each live host with the highest accepted revision."""
        highest = max(self._accepted, default=0)
        now = self.fleet.timeline.now
        for host in self.fleet.hosts.values():
            if not host.alive or now - host.started_at < LIMIT:
                continue
            key = _key(host)
            present = self._in_force.get(key, 0)
            if present < highest:
                self.breach(
                    f"{key} has revision {present}, accepted was {highest}"
                )


def _key(host: hosts.Host) -> str:
    """Return the name of one incarnation of a host."""
    return f"{host.plan.daemon_id}.{host.record.incarnation}"
