"""The fleet's evidence on one rollout, collected on each control host."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import math

from fulmarbarrow.versions import messages
from fulmarbarrow.versions import rollout_times
from fulmarbarrow.versions import sequential

# The sequential tests miss rates between the acceptable and the detectable
# one. These compare the totals, so that the 50th bad response is enough.
EXCESS_SIGMAS = 4.0
EXCESS_MINIMUM = 12  # bad responses
# Closer together than those of one router, which has few attempts to compare
# with. Twice the time of widely spread responses makes 0.58 of them slow,
# which a test for 0.8 never finds. Less than 0.2 of good ones count as slow.
ACCEPTABLE_SLOW_RATE = 0.25
DETECTABLE_SLOW_RATE = 0.55
# At 0.17, the rate of good versions on machines of which 15 in 100 are slow,
# this still gives less than one false alarm in a million attempts.
SLOW_THRESHOLD = math.log(1e4)
# One upstream that ends under its requests may have lost its machine. Several
# show a fault if more than this multiple of those of the old version ended.
CRASHES = 3
CRASH_FACTOR = 2
# Routers report an upstream's crash within this time of each other. A later
# report shows that it still runs and that its responses break.
CRASH_SPREAD = datetime.timedelta(seconds=4)
PROOF_ATTEMPTS = 20
PROOF_FRACTION = 0.05  # of the requests, where there are few of them
PROOF_BAD_RATE = 0.04
PROOF_OLD_FACTOR = 1.5  # multiple of the old version's rate of bad responses
PROOF_JUDGED = 10
# A test this close to its threshold may be about to find a late fault.
PROOF_EVIDENCE = 0.6
REQUEST_QUANTILE = 0.95
DEFAULT_REQUEST_TIME = datetime.timedelta(seconds=4)


@dataclasses.dataclass(kw_only=True)
class _Slowness:
    judged: int = 0
    slow: int = 0
    test: sequential.Cusum = dataclasses.field(
        default_factory=lambda: sequential.Cusum(threshold=SLOW_THRESHOLD)
    )

    def add(self, judged: int, slow: int) -> bool:
        """Add attempts and return whether the new version is slower."""
        self.judged += judged
        self.slow += slow
        if self.test.update(
            attempts=judged,
            bad=slow,
            acceptable_rate=ACCEPTABLE_SLOW_RATE,
            detectable_rate=DETECTABLE_SLOW_RATE,
        ):
            return True
        rate = sequential.ACCEPTABLE_SLOW_RATE
        spread = math.sqrt(rate * (1 - rate) * max(1, self.judged))
        excess = self.slow - rate * self.judged
        return self.slow >= EXCESS_MINIMUM and excess > EXCESS_SIGMAS * spread


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterState:
    """The absolute numbers of a router's last report."""

    incarnation: int
    requests: int
    old_running: int
    moving: bool


class RolloutEvidence:
    """Compares both versions of a rollout on each route."""

    def __init__(self) -> None:
        self.new = self.new_bad = self.old = self.old_bad = 0
        self.routers: dict[str, RouterState] = {}
        self._comparisons: dict[str, sequential.Comparison] = (
            collections.defaultdict(sequential.Comparison)
        )
        self._references: dict[tuple[str, int], rollout_times.Reference] = (
            collections.defaultdict(rollout_times.Reference)
        )
        self._slowness: dict[tuple[str, int], _Slowness] = (
            collections.defaultdict(_Slowness)
        )
        self._waiting: dict[tuple[str, int], collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )
        self._whole = rollout_times.Reference()
        self._crashed: dict[tuple[str, int], datetime.datetime] = {}
        self._old_crashed: set[tuple[str, int]] = set()
        self._crash_reports: dict[tuple[str, int], set[str]] = (
            collections.defaultdict(set)
        )

    @property
    def requests(self) -> int:
        """Requests to the service since the order, as far as reported."""
        return sum(state.requests for state in self.routers.values())

    @property
    def request_time(self) -> datetime.timedelta:
        """The 0.95 quantile of the old version's request time."""
        number = self._whole.quantile(REQUEST_QUANTILE)
        if number is None:
            return DEFAULT_REQUEST_TIME
        return rollout_times.class_time(number)

    def add(
        self, event: messages.RolloutEvidence, now: datetime.datetime
    ) -> str:
        """Add a router's report; return the detected fault, if any."""
        known = self.routers.get(event.daemon_id)
        if known is None or event.incarnation >= known.incarnation:
            self.routers[event.daemon_id] = RouterState(
                incarnation=event.incarnation,
                requests=event.requests,
                old_running=event.old_running,
                moving=event.moving,
            )
        self._add_crashes(event, now)
        crashes, old = len(self._crashed), len(self._old_crashed)
        if crashes >= CRASHES and crashes > CRASH_FACTOR * old:
            return f"{crashes} upstreams crashed"
        for counts in event.routes:
            fault = self._add_route(counts)
            if fault:
                return f"{fault} on {counts.route}"
        return self._excess()

    def lacks(self) -> str:
        """Return why the version is not proven, "" if it is."""
        needed = min(PROOF_ATTEMPTS, math.ceil(PROOF_FRACTION * self.requests))
        if self.new < needed:
            return f"only {self.new} of {needed} attempts"
        old_rate = self.old_bad / self.old if self.old else 0.0
        rate = max(PROOF_BAD_RATE, PROOF_OLD_FACTOR * old_rate)
        if self.new_bad > rate * self.new:
            return f"{self.new_bad} of {self.new} attempts bad"
        for (route, metric), item in self._slowness.items():
            if item.test.value > PROOF_EVIDENCE:
                return f"slowness on {route or 'all routes'} not ruled out"
            limit = sequential.ACCEPTABLE_SLOW_RATE * item.judged
            if item.judged >= PROOF_JUDGED and item.slow > limit:
                name = rollout_times.Metric(metric).name.lower()
                place = route or "all routes"
                return f"{item.slow} of {item.judged} slow ({name}) on {place}"
        return ""

    def old_running(self, routers: set[str]) -> int | None:
        """Return the attempts at the old version, None if not all report."""
        states = [self.routers.get(router) for router in routers]
        if any(state is None or not state.moving for state in states):
            return None
        return sum(state.old_running for state in states if state)

    def inputs(self) -> dict[str, int]:
        """Return the numbers that decisions are logged with."""
        return {
            "requests": self.requests,
            "new": self.new,
            "new_bad": self.new_bad,
            "old": self.old,
            "old_bad": self.old_bad,
            "crashed": len(self._crashed),
            "slow": sum(
                item.slow for key, item in self._slowness.items() if key[0]
            ),
            "judged": sum(
                item.judged for key, item in self._slowness.items() if key[0]
            ),
        }

    def _add_crashes(
        self, event: messages.RolloutEvidence, now: datetime.datetime
    ) -> None:
        self._old_crashed.update(event.old_crashed)
        for key in event.crashed:
            reports = self._crash_reports[key]
            if event.daemon_id in reports:
                continue
            reports.add(event.daemon_id)
            first_at = self._crashed.setdefault(key, now)
            if now - first_at > CRASH_SPREAD:
                # Every report stands for at least one broken response.
                self.new += len(reports)
                self.new_bad += len(reports)
                reports.clear()
                reports.add(event.daemon_id)

    def _add_route(self, counts: messages.RolloutCounts) -> str:
        self.new += counts.new
        self.new_bad += counts.new_bad
        self.old += counts.old
        self.old_bad += counts.old_bad
        fault = self._comparisons[counts.route].add(
            sequential.Counts(
                attempts=counts.new,
                errors=counts.new_bad,
                old_attempts=counts.old,
                old_errors=counts.old_bad,
            )
        )
        for times in sorted(counts.times, key=lambda item: item.new):
            key = (counts.route, times.metric)
            if not times.new:
                self._references[key].add(times.counts)
                if times.metric >= rollout_times.Metric.WHOLE:
                    self._whole.add(times.counts)
            elif times.metric != rollout_times.Metric.WHOLE_STREAM:
                waiting = self._waiting[key]
                for number, count in times.counts:
                    waiting[number] += count
        return fault or self._judge_waiting(counts.route)

    def _judge_waiting(self, route: str) -> str:
        """Judge times of the new version once there is a reference.

        The slack is used first, before the old version has answered enough.
        All routes count together besides, each with its own reference.
        """
        for key, waiting in self._waiting.items():
            if key[0] != route or not waiting:
                continue
            judged, slow = self._references[key].judge(tuple(waiting.items()))
            if not judged:
                continue
            waiting.clear()
            together = self._slowness["", key[1]].add(judged, slow)
            if self._slowness[key].add(judged, slow) or together:
                name = rollout_times.Metric(key[1]).name.lower()
                return f"slow ({name})"
        return ""

    def _excess(self) -> str:
        if self.new_bad < EXCESS_MINIMUM or not self.new:
            return ""
        old = max(1, self.old)
        floor = sequential.ACCEPTABLE_ERROR_FLOOR / 2
        expected = max(floor, self.old_bad / old)
        both = (self.new_bad + self.old_bad) / (self.new + old)
        rate = min(1.0, max(expected, both))
        spread = math.sqrt(rate * (1 - rate) * (1 / self.new + 1 / old))
        if self.new_bad / self.new - expected > EXCESS_SIGMAS * spread:
            return f"{self.new_bad} of {self.new} attempts bad"
        return ""
