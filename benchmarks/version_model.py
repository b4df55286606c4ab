"""Version moves on the real cores with fake engines and attempts.

Routers, one control host and engines exchange messages with a delay of one
step; the replicated log commits at once.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import math
import random

import msgspec

from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics
from fulmarbarrow.placement import messages as placement_messages
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.versions import control
from fulmarbarrow.versions import messages
from fulmarbarrow.versions import router

STEP = datetime.timedelta(milliseconds=100)
ROUTES = ("/v1/chat/completions", "/v1/checks")
SERVICE = "consultations"
MODEL = "lacework"
BASE_ERRORS = 0.005
FAULT_ERRORS = 0.5
FAULT_SLOWDOWN = 3.0
LOAD_FAULT_SHARE = 0.3
STOP_LIMIT = datetime.timedelta(seconds=2)


class LoadMode(enum.StrEnum):
    """What an engine does while it loads a version."""

    REPLACE = "replace"
    IN_PLACE = "in place"
    SURGE = "surge"


class Fault(enum.StrEnum):
    """How the new version is bad."""

    NONE = "none"
    FAILS = "fails at once"
    SLOW = "slow at once"
    FAILS_LATER = "fails later"
    SLOW_LATER = "slow later"
    FAILS_UNDER_LOAD = "fails under load"
    SLOW_UNDER_LOAD = "slow under load"
    FAILS_ON_ROUTE = "fails on one route"
    SLOW_ON_ROUTE = "slow on one route"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One version move to play."""

    seed: int
    fault: Fault = Fault.NONE
    routers: int = 4
    engines: int = 6
    attempts_per_second: float = 20.0
    length: datetime.timedelta = datetime.timedelta(seconds=300)
    load_time: datetime.timedelta = datetime.timedelta(seconds=10)
    load_swing: float = 0.5
    refusing_engines: int = 0
    mode: LoadMode = LoadMode.REPLACE
    checks_fencing: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a move ended.

    ``hurt`` counts attempts that the fault spoilt, ``hurt_late`` those more
    than two seconds after it was found. ``lowest_serving`` is the smallest
    number of serving engines over the number that the load needs.
    """

    phase: messages.Phase
    reason: str
    attempts: int
    hurt: int
    hurt_late: int
    shown_at: datetime.datetime | None
    found_at: datetime.datetime | None
    ended_at: datetime.datetime | None
    lowest_serving: float


class FakeEngine:
    """An engine that loads versions when ordered."""

    def __init__(
        self,
        *,
        number: int,
        load_time: datetime.timedelta,
        refuses: bool,
        serves_while_loading: bool,
        checks_fencing: bool,
    ) -> None:
        self.record = membership_messages.Upstream(
            upstream_id=f"engine-{number}",
            incarnation=1,
            sequence=1,
            zone="attica-a",
            url=f"http://127.0.0.1:{9000 + number}",
            offers=(_offer("1"),),
            batch_tokens=4000,
            tokens_per_second=2000,
            state=membership_messages.UpstreamState.SERVING,
            started_at=clocks.ManualClock().now(),
            checks_fencing=checks_fencing,
        )
        self._load_time = load_time
        self._refuses = refuses
        self._serves_while_loading = serves_while_loading
        self._loading: str = ""
        self._ready: datetime.datetime | None = None

    def order(
        self, order: messages.Order, now: datetime.datetime
    ) -> messages.OrderResult:
        """Take an order to load a version."""
        code = "refused" if self._refuses else ""
        if not code:
            self._loading = order.version
            self._ready = now + self._load_time
            if not self._serves_while_loading:
                self._change(membership_messages.UpstreamState.STARTING)
        return messages.OrderResult(
            order_id=order.order_id,
            upstream_id=self.record.upstream_id,
            code=code,
        )

    def step(self, now: datetime.datetime) -> bool:
        """Finish a load that is due; return whether something changed."""
        if self._ready is None or now < self._ready:
            return False
        self._ready = None
        self.record = msgspec.structs.replace(
            self.record, offers=(_offer(self._loading),)
        )
        self._change(membership_messages.UpstreamState.SERVING)
        return True

    def _change(self, state: membership_messages.UpstreamState) -> None:
        self.record = msgspec.structs.replace(
            self.record, state=state, sequence=self.record.sequence + 1
        )


def _offer(version: str) -> membership_messages.Offer:
    return membership_messages.Offer(
        service=SERVICE, model=MODEL, version=version
    )


def _daemon(
    number: int, role: str, incarnation: int = 1
) -> membership_messages.Daemon:
    return membership_messages.Daemon(
        daemon_id=f"{role}-{number}",
        incarnation=incarnation,
        zone="attica-a",
        region="attica",
        address=f"127.0.0.1:{7000 + number}",
        roles=(role,),
    )


class Play:
    """Plays one case to its end."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._random = random.Random(case.seed)
        self._clock = clocks.ManualClock()
        self._start = self._clock.now()
        self._move = bundles.VersionMove(
            id="move-1",
            service=SERVICE,
            model=MODEL,
            old="1",
            new="2",
            deadline=self._start + case.length,
        )
        self._engines = [
            FakeEngine(
                number=number,
                load_time=case.load_time,
                refuses=number < case.refusing_engines,
                serves_while_loading=case.mode is LoadMode.IN_PLACE,
                checks_fencing=case.checks_fencing,
            )
            for number in range(case.engines + (case.mode is LoadMode.SURGE))
        ]
        self._leader = _daemon(0, "control")
        self._control = control.VersionsControl(
            daemon=self._leader,
            group=consensus_messages.Group.CONFIGURATION,
        )
        self._routers = {
            daemon.address: router.VersionsRouter(
                daemon=daemon, metrics=metrics.Metrics()
            )
            for daemon in (
                _daemon(number, "router")
                for number in range(1, case.routers + 1)
            )
        }
        self._shares: dict[str, float] = collections.defaultdict(float)
        self._mail: list[tuple[str, message.Message]] = []
        self._index = 0
        self._attempts = self._hurt = self._hurt_late = 0
        self.orders: list[tuple[messages.Order, datetime.datetime]] = []
        self._shown: datetime.datetime | None = None
        self._found: datetime.datetime | None = None
        self._lowest_serving = 1.0
        self._set_up()

    def run(self) -> Outcome:
        """Play until the move has ended, or its time is over."""
        ended = None
        limit = self._start + 4 * self._case.length
        while self._clock.now() < limit and ended is None:
            self.step()
            if self.phase in (
                messages.Phase.COMPLETED,
                messages.Phase.ROLLED_BACK,
            ):
                ended = self._clock.now()
        return Outcome(
            phase=self.phase,
            reason=self._record()["reason"],
            attempts=self._attempts,
            hurt=self._hurt,
            hurt_late=self._hurt_late,
            shown_at=self._shown,
            found_at=self._found,
            ended_at=ended,
            lowest_serving=self._lowest_serving,
        )

    @property
    def phase(self) -> messages.Phase:
        """The phase that was committed last."""
        return messages.Phase(self._record()["phase"])

    @property
    def share(self) -> float:
        """The largest share that a router gives to the new version."""
        return max(self._shares.values(), default=0.0)

    @property
    def now(self) -> datetime.datetime:
        """The time of the play."""
        return self._clock.now()

    def step(self) -> None:
        """Play one step."""
        now = self._clock.advance(STEP)
        mail, self._mail = self._mail, []
        for address, item in mail:
            self._hand(address, item, now)
        for engine in self._engines:
            if engine.step(now):
                self._announce(engine)
        for address in (*self._routers, self._leader.address):
            self._hand(address, message.Tick(), now)
        self._attempt_all(now)
        self._count_serving()

    def _count_serving(self) -> None:
        serving = membership_messages.UpstreamState.SERVING
        count = sum(item.record.state is serving for item in self._engines)
        fraction = min(1.0, count / self._case.engines)
        self._lowest_serving = min(self._lowest_serving, fraction)

    def restart_router(self) -> str:
        """Replace a router by one that knows nothing; return its address."""
        address = next(iter(self._routers))
        daemon = _daemon(1, "router", incarnation=2)
        self._routers[address] = router.VersionsRouter(
            daemon=daemon, metrics=metrics.Metrics()
        )
        self._introduce(address)
        changed = membership_messages.DaemonChanged(daemon=daemon)
        self._hand(self._leader.address, changed, self._clock.now())
        return address

    def router_share(self, address: str) -> float:
        """Return the share that one router gives to the new version."""
        return self._shares[address]

    def hand(self, address: str, item: message.Message) -> None:
        """Give a message to one daemon now."""
        self._hand(address, item, self._clock.now())

    def _record(self) -> dict:
        return self._control.dump()["moves"]["move-1"]

    def restart_control(self) -> None:
        """Replace the control host by one that has only a snapshot."""
        wanted = consensus_messages.SnapshotWanted(
            group=consensus_messages.Group.CONFIGURATION, index=self._index
        )
        (taken,) = self._control.handle(wanted, self._clock.now())
        restored = consensus_messages.SnapshotRestored(
            group=taken.group,
            index=taken.index,
            state=taken.state,
            machine=taken.machine,
        )
        self._control = control.VersionsControl(
            daemon=self._leader,
            group=consensus_messages.Group.CONFIGURATION,
        )
        self._hand(self._leader.address, restored, self._clock.now())
        self._introduce(self._leader.address)
        for engine in self._engines:
            self._announce(engine)

    def lead(self, term: int, *, has_lease: bool = True) -> None:
        """Make the control host the leader of a term.

        Without a lease it hands its leadership over.
        """
        lease_until = self._clock.now() + 10 * self._case.length
        led = consensus_messages.LeaderChanged(
            group=consensus_messages.Group.CONFIGURATION,
            term=term,
            leader=self._leader.daemon_id,
            address=self._leader.address,
            fencing_number=term,
            lease_until=lease_until if has_lease else None,
        )
        self._hand(self._leader.address, led, self._clock.now())

    def _set_up(self) -> None:
        for address in (*self._routers, self._leader.address):
            self._introduce(address)
        self.lead(1)
        for engine in self._engines:
            self._announce(engine)

    def _introduce(self, address: str) -> None:
        now = self._clock.now()
        configuration = publishing_messages.ConfigurationChanged(
            revision=1, bundle=self._bundle()
        )
        self._hand(address, configuration, now)
        numbers = range(1, len(self._routers) + 1)
        others = [_daemon(number, "router") for number in numbers]
        for daemon in (*others, self._leader):
            if daemon.address != address:
                changed = membership_messages.DaemonChanged(daemon=daemon)
                self._hand(address, changed, now)

    def _bundle(self) -> bundles.Bundle:
        service = bundles.Service(
            name=SERVICE,
            kind=bundles.ServiceKind.MODEL,
            routes=tuple(bundles.Route(path=path) for path in ROUTES),
            models=(bundles.Model(name=MODEL, version="1"),),
        )
        return bundles.Bundle(service=(service,), version_move=(self._move,))

    def _announce(self, engine: FakeEngine) -> None:
        changed = membership_messages.UpstreamChanged(upstream=engine.record)
        self._hand(self._leader.address, changed, self._clock.now())

    def _hand(
        self, address: str, item: message.Message, now: datetime.datetime
    ) -> None:
        """Give a message to a daemon's core and follow its effects."""
        core = self._routers.get(address, self._control)
        if type(item) not in core.handles:
            return
        queue = list(core.handle(item, now))
        while queue:
            queue.extend(self._effect(address, queue.pop(0), now))

    def _effect(
        self, address: str, effect: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        match effect:
            case message.Send():
                self._mail.append((effect.address, effect.message))
            case messages.VersionShares():
                self._shares[address] = dict(effect.shares).get("2", 0.0)
            case messages.VersionStopped():
                self._found = self._found or now
            case messages.Order():
                return self._order(effect, now)
            case consensus_messages.Propose():
                return self._commit(effect, now)
        return []

    def _order(
        self, order: messages.Order, now: datetime.datetime
    ) -> list[message.Message]:
        self.orders.append((order, now))
        for engine in self._engines:
            if engine.record.upstream_id == order.upstream_id:
                result = engine.order(order, now)
                self._mail.append((self._leader.address, result))
                self._announce(engine)
        return []

    def _commit(
        self, propose: consensus_messages.Propose, now: datetime.datetime
    ) -> list[message.Message]:
        self._index += 1
        applied = consensus_messages.Applied(
            group=propose.group,
            index=self._index,
            term=1,
            command=propose.command,
            machine=propose.machine,
        )
        done = consensus_messages.ProposeResult(
            proposal_id=propose.proposal_id,
            group=propose.group,
            committed=True,
            index=self._index,
            term=1,
        )
        effects = list(self._control.handle(applied, now))
        self._control.handle(done, now)
        return effects

    def _attempt_all(self, now: datetime.datetime) -> None:
        swing = 1 + self._case.load_swing * math.sin(
            (now - self._start) / datetime.timedelta(seconds=60)
        )
        mean = self._case.attempts_per_second * swing * STEP.total_seconds()
        for address in self._routers:
            share = mean / len(self._routers)
            count = int(share) + (self._random.random() < share % 1)
            for _ in range(count):
                self._attempt(address, swing, now)

    def _attempt(
        self, address: str, swing: float, now: datetime.datetime
    ) -> None:
        new = self._random.random() < self._shares[address]
        route = self._random.choice(ROUTES)
        faulty = new and self._faulty(route, now)
        failed = self._random.random() < BASE_ERRORS
        first = 0.2 * swing * self._random.lognormvariate(0, 0.4)
        between = 0.02 * swing * self._random.lognormvariate(0, 0.2)
        spoilt = False
        if faulty and "slow" in self._case.fault:
            first, between = first * FAULT_SLOWDOWN, between * FAULT_SLOWDOWN
            spoilt = True
        elif faulty and self._random.random() < FAULT_ERRORS:
            failed = spoilt = True
        self._count(spoilt, now)
        outcome = placement_messages.WorkOutcome
        observed = delivery_messages.AttemptObserved(
            account="volos",
            service=SERVICE,
            model=MODEL,
            version="2" if new else "1",
            route=route,
            upstream_id="engine-0",
            incarnation=1,
            outcome=outcome.FAILED if failed else outcome.COMPLETED,
            first_token=None if failed else datetime.timedelta(seconds=first),
            between_tokens=(
                None if failed else datetime.timedelta(seconds=between)
            ),
        )
        self._hand(address, observed, now)

    def _count(self, spoilt: bool, now: datetime.datetime) -> None:
        self._attempts += self._found is None
        if not spoilt:
            return
        self._shown = self._shown or now
        if self._found is None:
            self._hurt += 1
        elif now > self._found + STOP_LIMIT:
            self._hurt_late += 1

    def _faulty(self, route: str, now: datetime.datetime) -> bool:
        fault = self._case.fault
        if fault is Fault.NONE:
            return False
        if "route" in fault:
            return route == ROUTES[1]
        if "load" in fault:
            return self.share > LOAD_FAULT_SHARE
        if "later" in fault:
            return now - self._start > 0.6 * self._case.length
        return True
