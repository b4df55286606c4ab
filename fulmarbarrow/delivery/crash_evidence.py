"""Finds what crashes the upstreams that it runs on.

A request that crashes its upstream fails all others there, so one crash
implicates all of them, and every part of their prompts. What crashes
upstreams is in each of the crashes and no run with it completes, whereas what
is sound completes between crashes, or did before. Routers exchange the crashes
that they see and the keys that they have seen complete; each decides on the
same evidence. A key stands for a request or for a part of prompts.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import datetime
import random
import typing

from fulmarbarrow.delivery import messages

CRASHES_TO_QUARANTINE = 3
# Crashes closer together may have one cause outside of the requests, such as
# a host that fails.
SAME_FAULT = datetime.timedelta(milliseconds=100)
# Until the other routers' reports about a crash are in.
SETTLE_TIME = datetime.timedelta(milliseconds=500)
# Failures at one incarnation within this time belong to one crash. An
# upstream that crashed takes longer to come back.
SAME_CRASH = datetime.timedelta(milliseconds=1_500)
# A key that completed so shortly before a crash is not reported for it.
RECENTLY_SERVED = datetime.timedelta(seconds=5)
MEMORY = datetime.timedelta(minutes=10)
REPORT_DELAY = datetime.timedelta(milliseconds=20)  # gathers one crash
MAX_ANNOUNCE_DELAY = datetime.timedelta(milliseconds=200)
EVALUATION_INTERVAL = datetime.timedelta(milliseconds=200)
# When other routers are told again of a key that completed, if one of them
# still reports its crashes.
TELL_AGAIN = datetime.timedelta(seconds=2)
# Between checks whether upstreams that seemed to crash are still registered.
REVIEW_INTERVAL = datetime.timedelta(seconds=5)
SYNC_INTERVAL = datetime.timedelta(seconds=1)
MAX_CRASHES = 128
MAX_KEYS_PER_CRASH = 64
MAX_REPORTED_KEYS = 16  # of one crash, in one message
MAX_REPORTED_CRASHES = 8  # in one message
MAX_SYNCED_KEYS = 8
MAX_SERVED_KEYS = 4_096
KEY_BYTES = 8
_NEVER = datetime.datetime.min.replace(tzinfo=datetime.UTC)

_Incarnation = tuple[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantineChanges:
    """The keys that are quarantined, or released, from now on."""

    quarantined: tuple[int, ...] = ()
    released: tuple[int, ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class _Crash:
    """A suspected crash and the keys of what ran then.

    ``learned_at`` is when this router first heard of it. ``disproved`` is set
    once the incarnation is known to have lived on.
    """

    at: datetime.datetime
    learned_at: datetime.datetime
    keys: set[int] = dataclasses.field(default_factory=set)
    disproved: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Told:
    """When all routers were told of a key, and of which completed run."""

    served_at: datetime.datetime
    at: datetime.datetime


@dataclasses.dataclass(frozen=True, kw_only=True)
class News:
    """What the other routers have to know.

    ``served`` holds pairs of a key and how long ago a run with it completed.
    """

    crashes: tuple[messages.CrashReport, ...] = ()
    served: tuple[tuple[int, datetime.timedelta], ...] = ()


class CrashEvidence:
    """Crashes by key, and the keys that are quarantined for them.

    A key is quarantined after ``crash_limit`` crashes. At most ``max_crashes``
    are kept, and ``max_keys`` of each. Other routers are told of a key that
    completed once it is in ``announced_from`` crashes. Crashes within
    ``same_fault`` of each other count as one. ``due`` is when ``evaluate`` or
    ``collect`` has something to do, None if nothing.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        crash_limit: int = CRASHES_TO_QUARANTINE,
        max_crashes: int = MAX_CRASHES,
        max_keys: int = MAX_KEYS_PER_CRASH,
        announced_from: int = 1,
        same_fault: datetime.timedelta = SAME_FAULT,
    ) -> None:
        self._rng = rng
        self._crash_limit = crash_limit
        self._max_crashes = max_crashes
        self._max_keys = max_keys
        self._announced_from = announced_from
        self._same_fault = same_fault
        self._crashes: dict[_Incarnation, _Crash] = {}
        self._served: collections.OrderedDict[int, datetime.datetime] = (
            collections.OrderedDict()
        )
        self._told: dict[int, _Told] = {}
        self._unreported: dict[_Incarnation, set[int]] = {}
        self._announcements: dict[int, datetime.datetime] = {}
        self._newest_crashes: dict[int, datetime.datetime] = {}
        # May count a crash that is forgotten or disproved until the next look.
        self._crash_counts: collections.Counter[int] = collections.Counter()
        self._counts_outdated = False
        self._quarantined: frozenset[int] = frozenset()
        self._evaluate_at: datetime.datetime | None = None
        self._evaluated_at = _NEVER
        self.due: datetime.datetime | None = None

    @property
    def quarantined(self) -> frozenset[int]:
        """The keys that are quarantined."""
        return self._quarantined

    def record_failure(
        self,
        upstream: _Incarnation,
        keys: collections.abc.Iterable[int],
        now: datetime.datetime,
    ) -> None:
        """Record that a request of this router failed as in a crash."""
        implicated = {
            key for key in keys if not self.was_served_recently(key, now)
        }
        added = self._add_crash(upstream, implicated, now, now)
        if added:
            self._unreported.setdefault(upstream, set()).update(added)
            self._plan(now + REPORT_DELAY)

    def was_served_recently(self, key: int, now: datetime.datetime) -> bool:
        """Return whether a run completed here so shortly before a failure."""
        return now - self._served.get(key, _NEVER) <= RECENTLY_SERVED

    def record_life(
        self,
        upstream: _Incarnation,
        sent_at: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Record an answer of an incarnation to a request sent at a time."""
        crash = self._crashes.get(upstream)
        if crash is not None and crash.at < sent_at <= crash.at + SAME_CRASH:
            crash.disproved = True
            self._counts_outdated = True
            self._plan_evaluation(now)

    def disprove(
        self,
        upstream: _Incarnation,
        crashed_before: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        """Record that an incarnation has not crashed before that time."""
        crash = self._crashes.get(upstream)
        if crash is None or crash.disproved:
            return
        if crash.at < crashed_before:
            crash.disproved = True
            self._counts_outdated = True
            self._plan_evaluation(now)

    def crashed_before(self, at: datetime.datetime) -> list[_Incarnation]:
        """Return the incarnations whose crashes lie before a time."""
        return [
            upstream
            for upstream, crash in self._crashes.items()
            if crash.at < at and not crash.disproved
        ]

    def record_served(
        self, keys: collections.abc.Iterable[int], now: datetime.datetime
    ) -> None:
        """Record that a run with these keys completed at this router."""
        for key in keys:
            self._add_served(key, now, now)
            if key in self._newest_crashes:
                self._announce_if_news(key, now)

    def merge_crashes(
        self,
        reports: collections.abc.Iterable[messages.CrashReport],
        now: datetime.datetime,
    ) -> None:
        """Add the crashes that another router reports."""
        for report in reports:
            upstream = (report.upstream_id, report.incarnation)
            keys = set(report.keys)
            self._add_crash(upstream, keys, now - report.age, now)
            for key in keys:
                self._announce_if_news(key, now)

    def merge_served(
        self,
        served: collections.abc.Iterable[tuple[int, datetime.timedelta]],
        now: datetime.datetime,
    ) -> None:
        """Add the completed runs that another router tells of."""
        for key, age in served:
            at = now - age
            self._add_served(key, at, now)
            if key in self._newest_crashes:
                self._note_told(key, at, now)

    def is_quarantined(self, keys: collections.abc.Iterable[int]) -> bool:
        """Return whether a request with these keys must not run."""
        return not self._quarantined.isdisjoint(keys)

    def collect(self, now: datetime.datetime) -> News:
        """Return what the other routers have to know now."""
        self.due = None
        news = News(
            crashes=self._take_reports(now),
            served=self._take_announcements(now),
        )
        if self._announcements:
            self._plan(min(self._announcements.values()))
        if self._evaluate_at is not None:
            self._plan(self._evaluate_at)
        return news

    def evaluate(self, now: datetime.datetime) -> QuarantineChanges:
        """Decide again which keys are quarantined, if it is time."""
        if self._evaluate_at is None or now < self._evaluate_at:
            return QuarantineChanges()
        self._evaluate_at = None
        self._forget_old(now)
        before, self._quarantined = (
            self._quarantined,
            self._attribute_crashes(now),
        )
        self._evaluated_at = now
        if self._crashes:
            self._plan_evaluation(self._next_change(now))
        if self._quarantined:
            self._plan_evaluation(now + REVIEW_INTERVAL)
        return QuarantineChanges(
            quarantined=tuple(sorted(self._quarantined - before)),
            released=tuple(sorted(before - self._quarantined)),
        )

    def evidence(
        self, now: datetime.datetime
    ) -> tuple[messages.CrashReport, ...]:
        """Return what a router needs to quarantine the same keys."""
        evidence = self._evidence_by_key(now)
        crashes = []
        quarantined = sorted(self._quarantined)
        if len(quarantined) > MAX_SYNCED_KEYS:
            quarantined = self._rng.sample(quarantined, MAX_SYNCED_KEYS)
        for key in quarantined:
            spaced = self._independent(evidence.get(key, ()))[
                -self._crash_limit :
            ]
            crashes.extend(
                _report(upstream, crash.at, (key,), now)
                for upstream, crash in spaced
            )
        return tuple(crashes)

    def crashed_upstreams(
        self, key: int, now: datetime.datetime
    ) -> tuple[str, ...]:
        """Return the upstreams that crashed under a key."""
        evidence = self._evidence_by_key(now).get(key, ())
        return tuple(upstream_id for (upstream_id, _), _ in evidence)

    def dump(self, kind: str) -> dict[str, typing.Any]:
        """Return the crashes and quarantined keys as plain data.

        ``kind`` is what the keys stand for.
        """
        return {
            "quarantined": [key_name(key) for key in sorted(self.quarantined)],
            "crashes": [
                {
                    "upstream": upstream,
                    "incarnation": incarnation,
                    "at": crash.at.isoformat(),
                    "disproved": crash.disproved,
                    kind: [key_name(key) for key in sorted(crash.keys)],
                }
                for (upstream, incarnation), crash in self._crashes.items()
            ],
        }

    def _add_crash(
        self,
        upstream: _Incarnation,
        keys: set[int],
        at: datetime.datetime,
        now: datetime.datetime,
    ) -> set[int]:
        """Add keys to a crash and return those that are new to it."""
        if not keys:
            return set()
        crash = self._crashes.get(upstream)
        if crash is None or at - crash.at > SAME_CRASH:
            if self._crashes.pop(upstream, None) is not None:
                self._counts_outdated = True
            if len(self._crashes) >= self._max_crashes:
                del self._crashes[next(iter(self._crashes))]
                self._counts_outdated = True
            crash = _Crash(at=at, learned_at=now)
            self._crashes[upstream] = crash
        room = self._max_keys - len(crash.keys)
        added = set(self._longest_unserved(keys - crash.keys)[:room])
        crash.keys |= added
        for key in added:
            self._count_crash(key, crash)
        if added:
            self._plan_evaluation(now + SETTLE_TIME)
        return added

    def _count_crash(self, key: int, crash: _Crash) -> None:
        newest = self._newest_crashes.get(key, _NEVER)
        self._newest_crashes[key] = max(newest, crash.at)
        self._crash_counts[key] += 1

    def _add_served(
        self, key: int, at: datetime.datetime, now: datetime.datetime
    ) -> None:
        before = self._served.get(key, _NEVER)
        self._served[key] = max(at, before)
        self._served.move_to_end(key)
        if len(self._served) > MAX_SERVED_KEYS:
            self._served.popitem(last=False)
        if before < self._newest_crashes.get(key, _NEVER) <= at:
            self._plan_evaluation(now)

    def _longest_unserved(
        self, keys: collections.abc.Iterable[int]
    ) -> list[int]:
        """Return keys in the order in which they were last served.

        Of those that never were, the ones in earlier crashes come first.
        """
        return sorted(
            keys,
            key=lambda key: (
                self._served.get(key, _NEVER),
                key not in self._newest_crashes,
                key,
            ),
        )

    def _plan_evaluation(self, at: datetime.datetime) -> None:
        """Plan to evaluate, not more often than the interval allows."""
        at = max(at, self._evaluated_at + EVALUATION_INTERVAL)
        if self._evaluate_at is None or at < self._evaluate_at:
            self._evaluate_at = at
            self._plan(at)

    def _next_change(self, now: datetime.datetime) -> datetime.datetime:
        """Return when a crash settles or is forgotten next."""
        settling = [
            crash.learned_at + SETTLE_TIME
            for crash in self._crashes.values()
            if now - crash.learned_at < SETTLE_TIME
        ]
        oldest = min(crash.at for crash in self._crashes.values())
        return min([*settling, oldest + MEMORY])

    def _announce_if_news(self, key: int, now: datetime.datetime) -> None:
        """Plan to tell of a key that completed, after a random delay.

        Most routers then hear of it from another one first.
        """
        if self._crash_counts[key] < self._announced_from:
            return
        if key not in self._announcements and self._is_news(key, now):
            delay = MAX_ANNOUNCE_DELAY * self._rng.random()
            self._announcements[key] = now + delay
            self._plan(now + delay)

    def _is_news(self, key: int, now: datetime.datetime) -> bool:
        """Return whether routers may not know when a key completed.

        One that reports an older crash again has not heard of it.
        """
        served, told = self._served.get(key), self._told.get(key)
        if served is None:
            return False
        if told is None:
            return True
        crashed = self._newest_crashes.get(key, _NEVER)
        if crashed > served:
            return False
        return told.served_at < crashed or now >= told.at + TELL_AGAIN

    def _note_told(
        self, key: int, served_at: datetime.datetime, now: datetime.datetime
    ) -> None:
        told = self._told.get(key)
        if told is not None:
            served_at = max(served_at, told.served_at)
        self._told[key] = _Told(served_at=served_at, at=now)

    def _take_reports(
        self, now: datetime.datetime
    ) -> tuple[messages.CrashReport, ...]:
        reports = []
        for upstream in list(self._unreported)[:MAX_REPORTED_CRASHES]:
            keys = self._unreported[upstream]
            crash = self._crashes.get(upstream)
            chosen = self._longest_unserved(keys)[:MAX_REPORTED_KEYS]
            keys.difference_update(chosen)
            if not keys or crash is None:
                del self._unreported[upstream]
            if crash is not None:
                reports.append(_report(upstream, crash.at, chosen, now))
        if self._unreported:
            self._plan(now + REPORT_DELAY)
        return tuple(reports)

    def _take_announcements(
        self, now: datetime.datetime
    ) -> tuple[tuple[int, datetime.timedelta], ...]:
        served = []
        for key, at in list(self._announcements.items()):
            if at > now or len(served) >= MAX_REPORTED_KEYS:
                continue
            del self._announcements[key]
            if self._is_news(key, now):
                self._note_told(key, self._served[key], now)
                served.append((key, now - self._served[key]))
        return tuple(served)

    def _plan(self, at: datetime.datetime) -> None:
        if self.due is None or at < self.due:
            self.due = at

    def _forget_old(self, now: datetime.datetime) -> None:
        for upstream, crash in list(self._crashes.items()):
            if now - crash.at > MEMORY:
                del self._crashes[upstream]
                self._counts_outdated = True
        if not self._counts_outdated:
            return
        self._counts_outdated = False
        self._newest_crashes = {}
        self._crash_counts.clear()
        for crash in self._crashes.values():
            for key in crash.keys if not crash.disproved else ():
                self._count_crash(key, crash)
        self._told = {
            key: told
            for key, told in self._told.items()
            if key in self._newest_crashes
        }

    def _attribute_crashes(self, now: datetime.datetime) -> frozenset[int]:
        """Return the keys to which crashes are attributed.

        Of the keys in enough crashes, the one that has not completed for
        the longest time comes first, then the one with the most crashes. A
        crash that is attributed to one key does not count for another.
        """
        evidence = {
            key: crashes
            for key, crashes in self._evidence_by_key(now).items()
            if len(crashes) >= self._crash_limit
        }
        causes: set[int] = set()
        attributed: set[_Incarnation] = set()
        while True:
            candidates = []
            for key, crashes in evidence.items():
                left = [item for item in crashes if item[0] not in attributed]
                count = len(self._independent(left))
                if count >= self._crash_limit:
                    served = self._served.get(key, _NEVER)
                    candidates.append((served, -count, key))
            if not candidates:
                return frozenset(causes)
            key = min(candidates)[-1]
            causes.add(key)
            attributed.update(upstream for upstream, _ in evidence[key])

    def _evidence_by_key(
        self, now: datetime.datetime
    ) -> dict[int, list[tuple[_Incarnation, _Crash]]]:
        """Return the settled crashes with each key since it was served.

        Only keys in enough crashes are looked at.
        """
        evidence: dict[int, list[tuple[_Incarnation, _Crash]]] = {}
        for upstream, crash in self._crashes.items():
            if crash.disproved or now - crash.learned_at < SETTLE_TIME:
                continue
            for key in crash.keys:
                if self._crash_counts[key] < self._crash_limit:
                    continue
                if crash.at > self._served.get(key, _NEVER):
                    evidence.setdefault(key, []).append((upstream, crash))
        return evidence

    def _independent(
        self,
        crashes: collections.abc.Iterable[tuple[_Incarnation, _Crash]],
    ) -> list[tuple[_Incarnation, _Crash]]:
        """Return crashes that are too far apart to have one outer cause."""
        ordered = sorted(crashes, key=lambda item: item[1].at)
        if not self._same_fault:
            return ordered
        spaced: list[tuple[_Incarnation, _Crash]] = []
        for item in ordered:
            if not spaced or item[1].at - spaced[-1][1].at > self._same_fault:
                spaced.append(item)
        return spaced


def key_name(key: int) -> str:
    """Return a key as logs and dumps show it."""
    return f"{key:0{2 * KEY_BYTES}x}"


def _report(
    upstream: _Incarnation,
    at: datetime.datetime,
    keys: collections.abc.Iterable[int],
    now: datetime.datetime,
) -> messages.CrashReport:
    upstream_id, incarnation = upstream
    return messages.CrashReport(
        upstream_id=upstream_id,
        incarnation=incarnation,
        age=now - at,
        keys=tuple(keys),
    )
