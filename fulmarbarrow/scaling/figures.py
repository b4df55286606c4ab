"""Turns the reports of routers into samples of each service and zone."""

from __future__ import annotations

import collections
import datetime
import logging
import typing

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.config import defaults
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.scaling import decision
from fulmarbarrow.scaling import messages

log = logging.getLogger(__name__)

MILLISECOND = datetime.timedelta(milliseconds=1)
MAX_ROUTERS = 1024
MAX_ZONES = 64
MAX_SERVICES = 64
# Samples of a history; those of a longer one lie further apart.
MAX_SAMPLES = 256
MIN_SPAN_MS = 100
MAX_SPAN_MS = 120_000
MAX_VALID_MS = 120_000
MAX_COUNT = 1_000_000


class _Report(typing.NamedTuple):
    work: messages.OfferedWork
    valid_until: datetime.datetime


class Figures:
    """The latest report of each router, and samples of the zones."""

    def __init__(self, *, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._zones: dict[str, str] = {}
        self._seen_zones: dict[str, None] = {}
        self._reports: dict[str, _Report] = {}
        self._unreadable: set[str] = set()
        self._samples: dict[
            tuple[str, str], collections.deque[decision.Sample]
        ] = {}

    def dump(self) -> dict[str, typing.Any]:
        """Return the newest sample of each service and zone."""
        return {
            "routers": len(self._zones),
            "reports": len(self._reports),
            "samples": {
                messages.subject(*key): {
                    "rate": samples[-1].rate,
                    "time": samples[-1].time,
                    "waiting": samples[-1].waiting,
                    "refused": samples[-1].refused,
                    "complete": samples[-1].complete,
                    "count": len(samples),
                }
                for key, samples in self._samples.items()
                if samples
            },
        }

    def learn_daemon(self, daemon: membership_messages.Daemon) -> None:
        """Note a live daemon; only routers have figures."""
        if defaults.Role.ROUTER not in daemon.roles:
            return
        full = len(self._zones) >= MAX_ROUTERS
        if full and daemon.daemon_id not in self._zones:
            return
        self._zones[daemon.daemon_id] = daemon.zone
        if len(self._seen_zones) < MAX_ZONES:
            self._seen_zones[daemon.zone] = None

    def forget_daemon(self, daemon_id: str) -> None:
        """Drop a daemon that is gone."""
        self._zones.pop(daemon_id, None)
        self._reports.pop(daemon_id, None)
        self._unreadable.discard(daemon_id)

    def has_routers(self, zone: str) -> bool:
        """Whether the zone has or had routers."""
        return zone in self._seen_zones

    def is_lost(self, zone: str) -> bool:
        """Whether the zone had routers and none of them is reachable."""
        return zone in self._seen_zones and zone not in self._zones.values()

    def take(self, work: messages.OfferedWork, now: datetime.datetime) -> None:
        """Keep a router's report; one with impossible figures is discarded."""
        if work.daemon_id not in self._zones:
            return
        fault = _fault(work)
        if fault:
            self._metrics.count("scaling_reports_discarded", reason=fault)
            if work.daemon_id not in self._unreadable:
                self._unreadable.add(work.daemon_id)
                log.warning(
                    "offered work discarded",
                    extra={"daemon": work.daemon_id, "reason": fault},
                )
            return
        self._unreadable.discard(work.daemon_id)
        before = self._reports.get(work.daemon_id)
        order = (work.incarnation, work.sequence)
        if before and order <= (before.work.incarnation, before.work.sequence):
            return
        self._reports[work.daemon_id] = _Report(
            work, now + work.valid_ms * MILLISECOND
        )

    def sample(
        self,
        services: dict[str, bundles.Scaling],
        now: datetime.datetime,
    ) -> None:
        """Add a sample of each service in each zone that has routers."""
        for key in [key for key in self._samples if key[0] not in services]:
            del self._samples[key]
        for name, report in list(self._reports.items()):
            if now >= report.valid_until:
                del self._reports[name]
        members: dict[str, list[str]] = {}
        for daemon_id, zone in self._zones.items():
            members.setdefault(zone, []).append(daemon_id)
        for zone, daemons in members.items():
            reports = [
                self._reports[daemon_id].work
                for daemon_id in daemons
                if daemon_id in self._reports
            ]
            if not reports:
                continue
            complete = len(reports) == len(daemons)
            for service, scaling in services.items():
                sample = _sum(service, reports, now, complete)
                self._add((service, zone), sample, scaling)

    def samples(self, service: str, zone: str) -> tuple[decision.Sample, ...]:
        """Return the samples of a service in a zone, the oldest first."""
        return tuple(self._samples.get((service, zone), ()))

    def _add(
        self,
        key: tuple[str, str],
        sample: decision.Sample,
        scaling: bundles.Scaling,
    ) -> None:
        samples = self._samples.setdefault(key, collections.deque())
        history = decision.history(scaling)
        # One more than the history, so that the oldest one lies before it.
        oldest = sample.at - history - decision.MAX_SAMPLE_AGE
        while samples and samples[0].at < oldest:
            samples.popleft()
        spacing = history / MAX_SAMPLES
        if len(samples) > 1 and sample.at - samples[-2].at < spacing:
            samples.pop()
        samples.append(sample)


def _sum(
    service: str,
    reports: list[messages.OfferedWork],
    now: datetime.datetime,
    complete: bool,
) -> decision.Sample:
    rate = refused = 0.0
    running = waiting = served = busy_ms = 0
    for report in reports:
        for item in report.services:
            if item.service != service:
                continue
            seconds = report.span_ms / 1000
            rate += item.arrived / seconds
            refused += item.refused / seconds
            running += item.running
            waiting += item.waiting
            served += item.served
            busy_ms += item.busy_ms
    return decision.Sample(
        at=now,
        rate=rate,
        time=busy_ms / served / 1000 if served else 0.0,
        running=running,
        waiting=waiting,
        refused=refused,
        complete=complete,
    )


def _fault(work: messages.OfferedWork) -> str:
    """Return what is impossible in a report, "" if nothing is."""
    if not MIN_SPAN_MS <= work.span_ms <= MAX_SPAN_MS:
        return "span"
    if not 0 < work.valid_ms <= MAX_VALID_MS:
        return "validity"
    if len(work.services) > MAX_SERVICES:
        return "services"
    for item in work.services:
        counts = (
            item.arrived,
            item.running,
            item.waiting,
            item.refused,
            item.served,
        )
        if not all(0 <= count <= MAX_COUNT for count in counts):
            return "count"
        longest = decision.MAX_TIME * 1000 * max(1, item.served)
        if not 0 <= item.busy_ms <= longest:
            return "time"
    return ""
