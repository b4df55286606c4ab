"""Decides how many upstreams a service needs in each availability zone."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import enum
import itertools
import math

from fulmarbarrow.config import bundle as bundles

# Capacity above the offered work. The square root covers the random number
# of requests at a time; the factor covers upstreams that are slow for a while.
SPARE_DEVIATIONS = 2.0
SPARE_FACTOR = 1.15
# Standard deviations by which the last sample must exceed the mean to count
# as a jump.
JUMP_DEVIATIONS = 2.0
# Samples in a mean; one of 2 s has a deviation of 11% at 40 requests a second.
MEAN_SAMPLES = 3
MIN_DOWN_WINDOW = datetime.timedelta(seconds=20)
DOWN_START_TIMES = 3
# An older sample says nothing of the work now.
MAX_SAMPLE_AGE = datetime.timedelta(seconds=10)
# Time in which upstreams that run register with hosts that have started. An
# earlier first order might be below the number that the platform runs.
REGISTRATION_TIME = datetime.timedelta(seconds=6)
# Rates of increase are measured over parts of this length. A jump within a
# part shows as two increases, so that four parts are needed to tell a rise.
TREND_PARTS = 4
MIN_TREND_PART = datetime.timedelta(seconds=4)
MAX_TREND_PART = datetime.timedelta(seconds=10)
# Without this margin a steady load near the capacity of a whole number of
# upstreams causes an order in every window.
DOWN_MARGIN = 1.08
# Extrapolation multiplies the work by this at most.
MAX_GROWTH = 2.0
# Refusals although all ordered upstreams run: the measured times are too low.
REFUSED_STEP = 0.1
MIN_REFUSED_SHARE = 0.01
# Figures above these are implausible for one service in one zone.
MAX_RATE = 1_000_000.0
MAX_TIME = 3_600.0


class ZoneStatus(enum.StrEnum):
    """Whether upstreams of a zone can take work."""

    IN = "in"
    OUT = "out"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """Offered work of a service in a zone at one time.

    ``rate`` is the number of requests that arrive in a second, including
    those that are refused or lost, ``time`` the mean seconds of a request at
    an upstream, 0 if unknown. ``refused`` is a number per second. A sample is
    ``complete`` if it includes all routers of the zone.
    """

    at: datetime.datetime
    rate: float
    time: float = 0.0
    running: int = 0
    waiting: int = 0
    refused: float = 0.0
    complete: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class LastOrder:
    """The last ordered number and the time of the last increase."""

    wanted: int
    at: datetime.datetime
    raised_at: datetime.datetime | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Upstreams:
    """Numbers of upstreams by state."""

    running: int = 0
    starting: int = 0
    leaving: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Zone:
    """A zone with its samples in the order of time.

    A zone without routers has no samples of its own and gets its part of the
    work of the others.
    """

    name: str
    samples: tuple[Sample, ...]
    upstreams: Upstreams
    last: LastOrder | None = None
    status: ZoneStatus = ZoneStatus.IN
    has_routers: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """All that the decision about a service depends on.

    ``slots`` is the number of requests that one upstream runs at a time.
    """

    scaling: bundles.Scaling
    slots: int
    zones: tuple[Zone, ...]
    rollout: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """The number of upstreams for a zone, None to leave it unchanged.

    ``work`` is the expected number of requests in progress at upstreams.
    """

    zone: str
    wanted: int | None
    reason: str
    work: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Load:
    """Requests in progress that a zone's upstreams have to carry.

    ``now`` is the current number, ``expected`` the number after a start time
    and ``peak`` the highest one of the window that a decrease looks at.
    """

    now: float
    expected: float
    peak: float

    def scaled(self, factor: float) -> _Load:
        return _Load(
            now=self.now * factor,
            expected=self.expected * factor,
            peak=self.peak * factor,
        )

    def plus(self, work: float) -> _Load:
        return _Load(
            now=self.now + work,
            expected=self.expected + work,
            peak=self.peak + work,
        )


def down_window(scaling: bundles.Scaling) -> datetime.timedelta:
    """Return the time in which work must have been lower for a decrease."""
    return max(MIN_DOWN_WINDOW, DOWN_START_TIMES * scaling.start_time)


def history(scaling: bundles.Scaling) -> datetime.timedelta:
    """Return how far back the samples of a decision reach."""
    return max(down_window(scaling), TREND_PARTS * MAX_TREND_PART)


def needed(work: float, slots: int) -> int:
    """Return the upstreams that carry a number of requests in progress."""
    spare = max(SPARE_FACTOR * work, work + SPARE_DEVIATIONS * math.sqrt(work))
    return math.ceil(spare / slots)


def decide(service: Service, now: datetime.datetime) -> tuple[Verdict, ...]:
    """Return the wanted number of upstreams in each zone."""
    if service.slots <= 0:
        return tuple(
            Verdict(zone=zone.name, wanted=None, reason="slots unknown")
            for zone in service.zones
        )
    loads = _loads(service, now)
    is_covered = _all_cover_window(service, now)
    return tuple(
        _decide_zone(service, zone, loads.get(zone.name), is_covered, now)
        for zone in service.zones
    )


def _decide_zone(
    service: Service,
    zone: Zone,
    load: _Load | None,
    is_covered: bool,
    now: datetime.datetime,
) -> Verdict:
    if zone.status is not ZoneStatus.IN:
        return _unchanged(zone, f"zone {zone.status}")
    if load is None:
        return _unchanged(zone, "no plausible figures")
    scaling = service.scaling
    base = zone.upstreams.running + zone.upstreams.starting
    if zone.last is not None:
        base = zone.last.wanted
    elif not _upstreams_registered(service, now):
        return _unchanged(zone, "upstreams may not have registered", load)
    if base > scaling.most and (zone.last is not None or not service.rollout):
        return _verdict(zone, scaling.most, "above most", load)
    up = max(needed(load.expected, service.slots), scaling.least)
    reason = "work rises"
    if _refuses_while_full(service, zone, base, now):
        more = base + max(1, math.ceil(REFUSED_STEP * base))
        if more > up:
            up, reason = more, "requests are refused"
    up = min(up, scaling.most)
    if up > base:
        return _verdict(zone, up, reason, load)
    # Without any upstream nothing would be known of its slots and times.
    down = max(up, needed(DOWN_MARGIN * load.peak, service.slots), 1)
    down = min(down, scaling.most)
    if down >= base:
        return _unchanged(zone, "enough", load)
    hindrance = _hindrance(service, zone, load, now)
    if not hindrance and not is_covered:
        hindrance = "figures of the window are incomplete"
    if hindrance:
        return _unchanged(zone, hindrance, load)
    return _verdict(zone, down, "work was lower", load)


def _upstreams_registered(service: Service, now: datetime.datetime) -> bool:
    """Whether there are figures from before upstreams had to register."""
    return any(
        zone.samples and zone.samples[0].at <= now - REGISTRATION_TIME
        for zone in service.zones
    )


def _hindrance(
    service: Service, zone: Zone, load: _Load, now: datetime.datetime
) -> str:
    """Return why the number may not be lowered, "" if it may."""
    if load.expected > DOWN_MARGIN * load.now:
        return "work rises"
    if service.rollout:
        return "rollout in progress"
    if zone.last is not None and zone.last.raised_at is not None:
        raised_for = now - zone.last.raised_at
        if raised_for < service.scaling.start_time:
            return "raised within the start time"
    return ""


def _all_cover_window(service: Service, now: datetime.datetime) -> bool:
    """Whether the figures of all zones in service cover the window."""
    window = down_window(service.scaling)
    return all(
        _covers(zone.samples, now - window, window / 50)
        for zone in service.zones
        if zone.has_routers and zone.status is ZoneStatus.IN
    )


def _covers(
    samples: tuple[Sample, ...],
    since: datetime.datetime,
    spacing: datetime.timedelta,
) -> bool:
    """Whether complete samples without a gap reach back to ``since``."""
    before: datetime.datetime | None = None
    for sample in samples:
        gap = max(MAX_SAMPLE_AGE, spacing)
        if before is not None and sample.at - before > gap:
            return False
        if sample.at >= since and not sample.complete:
            return False
        before = sample.at
    return bool(samples) and samples[0].at <= since


def _refuses_while_full(
    service: Service, zone: Zone, base: int, now: datetime.datetime
) -> bool:
    """Whether requests are refused although all ordered upstreams run."""
    if not zone.samples or zone.upstreams.running < base or not base:
        return False
    if zone.last is not None and zone.last.raised_at is not None:
        settled = zone.last.raised_at + service.scaling.start_time
        if now < settled + MAX_SAMPLE_AGE:
            return False
    recent = zone.samples[-MEAN_SAMPLES:]
    refused = sum(sample.refused for sample in recent)
    arrived = sum(sample.rate for sample in recent)
    return refused > MIN_REFUSED_SHARE * arrived and all(
        sample.refused > 0 for sample in recent
    )


def _loads(service: Service, now: datetime.datetime) -> dict[str, _Load]:
    """Return the load of each zone that is in service and has figures."""
    own: dict[str, _Load] = {}
    moved = 0.0  # work of zones that can't carry it
    for zone in service.zones:
        if not zone.has_routers or not _plausible(zone.samples):
            continue
        fresh = zone.samples[-1].at >= now - MAX_SAMPLE_AGE
        if zone.status is ZoneStatus.IN:
            if fresh:
                own[zone.name] = _load(service, zone, now)
        elif fresh:
            moved += _load(service, zone, now).now
        else:
            moved += _not_yet_moved(service, zone, now)
    return _spread(service, own, moved)


def _spread(
    service: Service, own: dict[str, _Load], moved: float
) -> dict[str, _Load]:
    """Add the work that zones take over from others to their own."""
    takers = [
        zone
        for zone in service.zones
        if zone.status is ZoneStatus.IN
        and (zone.name in own or not zone.has_routers)
    ]
    without = [zone for zone in takers if not zone.has_routers]
    if not own or not takers:
        return {}
    mean = _Load(
        now=sum(load.now for load in own.values()) / len(takers),
        expected=sum(load.expected for load in own.values()) / len(takers),
        peak=sum(load.peak for load in own.values()) / len(takers),
    )
    kept = 1 - len(without) / len(takers)
    loads = {name: load.scaled(kept) for name, load in own.items()}
    loads.update({zone.name: mean for zone in without})
    loads = {
        name: load.plus(moved / len(takers)) for name, load in loads.items()
    }
    # Work above what the highest allowed number carries goes elsewhere.
    limit = service.scaling.most * service.slots / SPARE_FACTOR
    excess = sum(max(0.0, load.expected - limit) for load in loads.values())
    below = [name for name, load in loads.items() if load.expected < limit]
    for name in below:
        loads[name] = loads[name].plus(excess / len(below))
    return loads


def _not_yet_moved(
    service: Service, lost: Zone, now: datetime.datetime
) -> float:
    """Return the work of a lost zone that has not appeared in another one.

    Its callers turn to the routers of other zones, where their requests are
    counted, so the increase there since the loss is subtracted. After the
    window of a decrease nothing more is expected.
    """
    lost_at = lost.samples[-1].at
    if lost_at < now - down_window(service.scaling):
        return 0.0
    before = _load(service, lost, now).peak
    appeared = 0.0
    for zone in service.zones:
        if zone.status is not ZoneStatus.IN or not _plausible(zone.samples):
            continue
        until = tuple(item for item in zone.samples if item.at <= lost_at)
        if until:
            appeared += _load(service, zone, now).now
            work = _work(service, until, _time(zone.samples))
            appeared -= _mean(work[-MEAN_SAMPLES:])
    return max(0.0, before - max(0.0, appeared))


def _load(service: Service, zone: Zone, now: datetime.datetime) -> _Load:
    """Return the load that the samples of a zone show."""
    samples = zone.samples
    time = _time(samples)
    work = _work(service, samples, time)
    current = _mean(work[-MEAN_SAMPLES:])
    current = max(current, _surely(samples, work))
    growth = _slope(service, samples, now) * time
    lead = service.scaling.start_time.total_seconds()
    expected = min(current + growth * lead, MAX_GROWTH * current)
    since = now - down_window(service.scaling)
    peak = current
    for index in range(len(samples) - 1, -1, -1):
        if samples[index].at < since:
            break
        first = max(0, index - MEAN_SAMPLES + 1)
        total = sum(work[first : index + 1])
        peak = max(peak, total / (index + 1 - first))
    return _Load(now=current, expected=max(current, expected), peak=peak)


def _work(
    service: Service, samples: tuple[Sample, ...], time: float
) -> list[float]:
    """Return the requests in progress that each sample asks for.

    ``time`` is the mean time of a request. Waiting requests are to be served
    within a start time.
    """
    if not time:
        return [float(item.running + item.waiting) for item in samples]
    drain = max(1.0, service.scaling.start_time.total_seconds())
    share = min(1.0, time / drain)
    return [item.rate * time + item.waiting * share for item in samples]


def _time(samples: tuple[Sample, ...]) -> float:
    """Return the mean time of a request at upstreams, 0 if unknown."""
    total = rates = 0.0
    for item in samples:
        if item.time > 0:
            total += item.time * item.rate
            rates += item.rate
    return total / rates if rates else 0.0


def _surely(samples: tuple[Sample, ...], work: list[float]) -> float:
    """Return the work that the last sample shows beyond random deviation."""
    rate = samples[-1].rate
    if rate <= 0 or len(samples) < 2:
        return 0.0
    span = (samples[-1].at - samples[-2].at).total_seconds()
    arrived = rate * max(span, 1.0)
    certain = max(0.0, 1 - JUMP_DEVIATIONS / math.sqrt(arrived))
    return work[-1] * certain


def _slope(
    service: Service, samples: tuple[Sample, ...], now: datetime.datetime
) -> float:
    """Return the increase of the rate per second, 0 unless it is lasting.

    It is the lowest of the increases between consecutive parts, so that a
    single jump is not extrapolated.
    """
    part = min(
        max(service.scaling.start_time / 2, MIN_TREND_PART), MAX_TREND_PART
    )
    parts: list[list[float]] = [[] for _ in range(TREND_PARTS)]
    for sample in reversed(samples):
        index = (now - sample.at) // part
        if index >= len(parts):
            break
        if index >= 0:
            if not sample.complete:  # reports that arrive look like a rise
                return 0.0
            parts[index].append(sample.rate)
    if not all(parts):
        return 0.0
    means = list(map(_mean, parts))  # the newest first
    increase = min(
        later - earlier for later, earlier in itertools.pairwise(means)
    )
    return max(0.0, increase) / part.total_seconds()


def _plausible(samples: tuple[Sample, ...]) -> bool:
    """Whether there are samples, and each has possible figures."""
    return bool(samples) and all(
        0 <= item.rate <= MAX_RATE
        and 0 <= item.time <= MAX_TIME
        and 0 <= item.running <= MAX_RATE
        and 0 <= item.waiting <= MAX_RATE
        and 0 <= item.refused <= MAX_RATE
        for item in samples
    )


def _mean(values: collections.abc.Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _unchanged(zone: Zone, reason: str, load: _Load | None = None) -> Verdict:
    work = load.expected if load else 0.0
    return Verdict(zone=zone.name, wanted=None, reason=reason, work=work)


def _verdict(zone: Zone, wanted: int, reason: str, load: _Load) -> Verdict:
    return Verdict(
        zone=zone.name, wanted=wanted, reason=reason, work=load.expected
    )
