"""Bytes, CPU and time to spread a revision to 400 daemons."""

from __future__ import annotations

import datetime
import heapq
import itertools
import random
import time
import typing

from benchmarks import measure as measures
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import control
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import fanout
from fulmarbarrow.publishing import follower
from fulmarbarrow.publishing import messages
from fulmarbarrow.wire import codec

COMMAND = "python -m benchmarks publishing_fanout"
SEED = 5
DAEMONS = 400
ZONES = 14
ACCOUNTS = 1_900
MODELS = 15
CHANGES_A_DAY = 3_100
DAY_SECONDS = 86_400
IN_FORCE_TARGET_SECONDS = 19.0
CONTROL_BYTES_A_SECOND = 7_000
BASELINE = "direct, for comparison"
ROUNDS = 4
LOSS = 0.02
MIN_LATENCY = datetime.timedelta(milliseconds=1)
MAX_LATENCY = datetime.timedelta(milliseconds=120)
TICK = datetime.timedelta(milliseconds=250)
EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def measure() -> list[measures.Measure]:
    """Compare whole bundles, deltas, and deltas by relays."""
    rows = [*_sizes()]
    for name, direct in (("relay a zone", 16), (BASELINE, DAEMONS)):
        before = fanout.MAX_DIRECT_PUSHES
        fanout.MAX_DIRECT_PUSHES = direct
        try:
            rows.extend(_spread(name))
        finally:
            fanout.MAX_DIRECT_PUSHES = before
    return rows


def _row(
    name: str, value: float, unit: str, target: float | None = None
) -> measures.Measure:
    return measures.Measure(
        slice="publishing",
        name=name,
        value=value,
        unit=unit,
        command=COMMAND,
        target=target,
        seed=SEED,
    )


def fleet_bundle(change: int) -> bundles.Bundle:
    """Return the files of a large fleet; each change alters one account."""
    accounts = tuple(
        bundles.Account(
            name=f"account-{number:04d}",
            key_salt=f"{number:016x}",
            key_digest=f"{number:064x}",
            weight=1.0 + (change if number == change % ACCOUNTS else 0),
        )
        for number in range(ACCOUNTS)
    )
    services = tuple(
        bundles.Service(
            name=f"service-{number:02d}",
            kind=bundles.ServiceKind.MODEL,
            routes=(bundles.Route(path="/v1/chat/completions"),),
            models=(bundles.Model(name=f"model-{number}", version="1"),),
        )
        for number in range(MODELS)
    )
    zones = tuple(
        bundles.Zone(name=f"zone-{number:02d}", region=f"region-{number % 4}")
        for number in range(ZONES)
    )
    return bundles.Bundle(service=services, account=accounts, zone=zones)


def _sizes() -> list[measures.Measure]:
    wire = codec.Codec(
        fleet_key="k" * 16, sender="control-1", address="a", incarnation=1
    )
    whole = deltas.Content(bundle=fleet_bundle(0)).encode()
    content = deltas.Content(bundle=fleet_bundle(0))
    step = content.delta_to(fleet_bundle(1), base=1, publisher="amina")
    address = "192.0.2.1:7004"
    push = messages.RevisionPush(
        sender=address, revision=2, digest=step.digest, bundle=whole
    )
    change = messages.RevisionDeltas(
        sender=address, control=address, deltas=(step,)
    )
    sizes = {
        name: len(wire.encode(address, (body,)))
        for name, body in (("whole bundle", push), ("delta", change))
    }
    rows = [
        _row(f"frame of one change as {name}", size, "bytes")
        for name, size in sizes.items()
    ]
    for name, size in sizes.items():
        rows.append(
            _row(
                f"fan-out a day to {DAEMONS} daemons as {name}",
                size * DAEMONS * CHANGES_A_DAY / 1e6,
                "MB",
            )
        )
    return rows


class Spread:
    """Cores of one control host and 399 followers, with a lossy network."""

    def __init__(self) -> None:
        self._source = random.Random(SEED)
        self._now = EPOCH
        self._queue: list[typing.Any] = []
        self._order = itertools.count()
        self._wire = codec.Codec(
            fleet_key="k" * 16, sender="control-1", address="a", incarnation=1
        )
        self.bytes_by_daemon: dict[str, int] = {}
        self.control_cpu = 0.0
        self.revisions: dict[str, int] = {}
        records = [
            membership_messages.Daemon(
                daemon_id=f"daemon-{number:03d}",
                incarnation=1,
                zone=f"zone-{number % ZONES:02d}",
                region="attica",
                address=f"192.0.2.{number}:7004",
                roles=("control",) if number == 0 else ("router",),
            )
            for number in range(DAEMONS)
        ]
        self._control_address = records[0].address
        self._control = control.PublishingControl(
            daemon=records[0], now=self._now
        )
        self._followers = {
            record.address: follower.PublishingFollower(
                daemon=record,
                source=random.Random(number),
                metrics=metrics_module.Metrics(),
            )
            for number, record in enumerate(records)
        }
        for record in records[1:]:
            changed = membership_messages.DaemonChanged(daemon=record)
            self._control.handle(changed, self._now)
        self._next_tick = self._now
        self._post(
            self._control_address,
            consensus_messages.LeaderChanged(
                group=control.GROUP,
                term=1,
                leader="daemon-000",
                address=self._control_address,
                fencing_number=1,
                lease_until=self._now + datetime.timedelta(days=1),
            ),
        )

    def publish(self, index: int) -> datetime.timedelta:
        """Apply a change; return the time until it is in force everywhere."""
        started = self._now
        data = bundles.encode(fleet_bundle(index))
        request = messages.PublishRequested(
            publish_id=f"p{index}",
            publisher="amina",
            base_revision=index,
            digest=deltas.digest(data),
            bundle=data,
        )
        (propose,) = self._control.handle(request, self._now)
        applied = consensus_messages.Applied(
            group=control.GROUP,
            index=index + 1,
            term=1,
            command=propose.command,
            machine=propose.machine,
        )
        self._post(self._control_address, applied)
        while min(self.revisions.values(), default=0) <= index or (
            len(self.revisions) < DAEMONS
        ):
            self._step()
        taken = self._now - started
        self.run(datetime.timedelta(seconds=2))
        return taken

    def run(self, duration: datetime.timedelta) -> None:
        """Let time pass."""
        until = self._now + duration
        while self._now < until:
            self._step()

    def _step(self) -> None:
        if self._queue and self._queue[0][0] <= self._next_tick:
            self._now, _, address, body = heapq.heappop(self._queue)
            self._post(address, body)
            return
        self._now = self._next_tick
        self._next_tick += TICK
        for address in self._followers:
            self._post(address, message.Tick())

    def _post(self, address: str, event: message.Message) -> None:
        effects: list[message.Message] = []
        if address == self._control_address:
            started = time.process_time()
            if type(event) in self._control.handles:
                effects += self._control.handle(event, self._now)
            self.control_cpu += time.process_time() - started
        core = self._followers[address]
        if type(event) in core.handles:
            effects += core.handle(event, self._now)
        for effect in effects:
            if isinstance(effect, message.Send):
                self._send(address, effect)
            elif isinstance(effect, messages.ConfigurationChanged):
                self.revisions[address] = effect.revision
            elif isinstance(effect, consensus_messages.ReadBarrier):
                ready = consensus_messages.ReadReady(
                    read_id=effect.read_id, group=effect.group, ready=True
                )
                self._post(address, ready)
            elif not isinstance(effect, messages.PublishResult):
                self._post(address, effect)

    def _send(self, sender: str, send: message.Send) -> None:
        size = len(self._wire.encode(send.address, (send.message,)))
        self.bytes_by_daemon[sender] = (
            self.bytes_by_daemon.get(sender, 0) + size
        )
        if self._source.random() < LOSS:
            return
        latency = MIN_LATENCY + self._source.random() * (
            MAX_LATENCY - MIN_LATENCY
        )
        item = (self._now + latency, next(self._order), send.address)
        heapq.heappush(self._queue, (*item, send.message))


def _spread(name: str) -> list[measures.Measure]:
    spread = Spread()
    spread.run(datetime.timedelta(seconds=2))
    spread.publish(0)
    spread.bytes_by_daemon.clear()
    spread.control_cpu = 0.0
    times = [spread.publish(index) for index in range(1, ROUNDS + 1)]
    sent = spread.bytes_by_daemon
    leader = sent.pop("192.0.2.0:7004")
    rate = CHANGES_A_DAY / DAY_SECONDS / ROUNDS
    label = f"{DAEMONS} daemons, {LOSS:.0%} lost, {name}"
    ours = name != BASELINE
    in_force_target = IN_FORCE_TARGET_SECONDS if ours else None
    bytes_target = CONTROL_BYTES_A_SECOND if ours else None
    return [
        _row(
            f"longest until in force, {label}",
            max(times).total_seconds(),
            "s",
            in_force_target,
        ),
        _row(
            f"leader's bytes a second, {label}",
            leader * rate,
            "bytes/s",
            bytes_target,
        ),
        _row(
            f"busiest other daemon's bytes a second, {label}",
            max(sent.values()) * rate,
            "bytes/s",
            bytes_target,
        ),
        _row(
            f"control host's CPU a change, {label}",
            spread.control_cpu / ROUNDS * 1e3,
            "ms",
        ),
    ]
