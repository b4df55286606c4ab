"""An accepted configuration is in force everywhere and never reverts."""

from __future__ import annotations

import datetime

from faultmatrix.checks import base
from faultmatrix import host as hosts
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.publishing import confirmation
from fulmarbarrow.publishing import messages

LIMIT = datetime.timedelta(seconds=2)


class Configuration(base.Check):
    """Follows the revision in force on each host, and what was accepted."""

    name = "configuration"

    def __init__(self) -> None:
        super().__init__()
        self.results: dict[str, messages.PublishResult] = {}
        self._in_force: dict[str, int] = {}
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

        The first one must be as new as what was accepted before the start, as
        long as the host may still find a leader or is connected to one.
        """
        key = f"{host.plan.daemon_id}.{host.record.incarnation}"
        floor = max(
            (
                number
                for number, at in self._accepted_at.items()
                if at <= host.started_at
            ),
            default=0,
        )
        if revision < floor and not self._may_be_cut_off(host):
            self.breach(
                f"{key} enforces revision {revision}, {floor} was accepted"
                f" before it started"
            )
        if revision < self._in_force.get(key, 0):
            self.breach(f"{key} went back to revision {revision}")
        self._in_force[key] = revision

    def _may_be_cut_off(self, host: hosts.Host) -> bool:
        """Whether a host has waited and is connected to no leader."""
        age = self.fleet.timeline.now - host.started_at
        if age < confirmation.CUT_OFF_AFTER:
            return False
        leader = self.fleet.leader()
        return leader is None or not self.fleet.network.connected(host, leader)

    def finish(self) -> None:
        """Compare each live host with the highest accepted revision."""
        highest = max(self._accepted, default=0)
        now = self.fleet.timeline.now
        for host in self.fleet.hosts.values():
            if not host.alive or now - host.started_at < LIMIT:
                continue
            key = f"{host.plan.daemon_id}.{host.record.incarnation}"
            present = self._in_force.get(key, 0)
            if present < highest:
                self.breach(
                    f"{key} has revision {present}, accepted was {highest}"
                )
