"""Steps on the parts of prompts that crash upstreams."""

from __future__ import annotations

import datetime
import random
import re
import time

import behave
import msgspec

from fulmarbarrow.delivery import crash_evidence
from fulmarbarrow.delivery import messages
from fulmarbarrow.delivery import prompt_parts
from fulmarbarrow.placement import messages as placement_messages

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
STEP = 10 * MILLISECOND
HOUR = datetime.timedelta(hours=1)


class Routers:
    """Routers that exchange evidence; their clocks differ by ``skew``."""

    def __init__(self, *, count, skew):
        self._skews = [skew * number for number in range(count)]
        self.suspects = [
            crash_evidence.CrashEvidence(rng=random.Random(number))
            for number in range(count)
        ]
        self._planned = []
        self.sent = []

    def plan(self, at, router, call):
        """Have a router see something at a time from the start, in ms."""
        self._planned.append((at, router, call))

    def clock(self, router, at):
        return NOW + self._skews[router] + at * MILLISECOND

    def run(self, until):
        """Let time pass, with each router at work every 10 ms."""
        for at in range(0, until + 1, 10):
            for planned in [item for item in self._planned if item[0] <= at]:
                self._planned.remove(planned)
                _, router, call = planned
                call(self.suspects[router], self.clock(router, at))
            for router in range(len(self.suspects)):
                self._work(router, at)

    def _work(self, router, at):
        suspects = self.suspects[router]
        now = self.clock(router, at)
        if suspects.due is None or now < suspects.due:
            return
        suspects.evaluate(now)
        news = suspects.collect(now)
        self.sent.append(news)
        for other, peer in enumerate(self.suspects):
            if other != router:
                peer.merge_crashes(news.crashes, self.clock(other, at))
                peer.merge_served(news.served, self.clock(other, at))


def arrival(names, service="pool", model="m"):
    return messages.RequestArrived(
        request_id="r1",
        account="",
        service=service,
        model=model,
        chat="c",
        route="r",
        method="POST",
        path="/",
        digest="",
        idempotent=True,
        key="",
        stream=True,
        cost=1,
        cost_class=placement_messages.CostClass.SHORT,
        worth=1.0,
        best_effort=False,
        deadline=NOW,
        parts=tuple((name, 100) for name in names),
    )


def keys(names):
    return prompt_parts.part_keys(arrival([*names.split(), "own"]))


def numbers(text):
    return [int(item) for item in re.findall(r"\d+", text)]


def plan_crashes(context, names, times, router=0):
    for at in times:
        context.crashed += 1
        upstream = (f"engine-{context.crashed}", 1)
        context.routers.plan(
            at,
            router,
            lambda suspects, now, upstream=upstream: suspects.record_failure(
                upstream, keys(names), now
            ),
        )


def plan_served(context, names, at, router=0):
    context.routers.plan(
        at,
        router,
        lambda suspects, now: suspects.record_served(keys(names), now),
    )


def before_scenario(context):
    if not hasattr(context, "routers"):
        context.routers = Routers(count=1, skew=0 * SECOND)
        context.crashed = 0


@behave.given("routers whose clocks differ by 1 hour")
def step_routers(context):
    context.routers = Routers(count=3, skew=HOUR)
    context.crashed = 0


@behave.given('a run with the parts "{names}" completed {seconds:d} s ago')
def step_served_before(context, names, seconds):
    before_scenario(context)
    suspects = context.routers.suspects[0]
    suspects.record_served(keys(names), NOW - seconds * SECOND)


@behave.given(
    'the first of them has a run with the parts "{names}" complete at {at:d} '
    "ms"
)
def step_first_served(context, names, at):
    plan_served(context, names, at)


@behave.when('upstreams crash under the parts "{names}" at {times} ms')
def step_crashes(context, names, times):
    before_scenario(context)
    plan_crashes(context, names, numbers(times))


@behave.when(
    'each of them sees upstreams crash under the parts "{names}" at {times} ms'
)
def step_spread_crashes(context, names, times):
    for router, at in enumerate(numbers(times)):
        plan_crashes(context, names, [at], router)


@behave.when(
    'the second of them sees upstreams crash under the parts "{names}" at '
    "{times} ms"
)
def step_second_crashes(context, names, times):
    plan_crashes(context, names, numbers(times), 1)


@behave.when(
    'one upstream fails requests with the parts "{names}" at {times} ms'
)
def step_one_upstream(context, names, times):
    before_scenario(context)
    for at in numbers(times):
        context.routers.plan(
            at,
            0,
            lambda suspects, now: suspects.record_failure(
                ("engine-1", 1), keys(names), now
            ),
        )


@behave.when('a run with the parts "{names}" completes at {at:d} ms')
def step_served(context, names, at):
    plan_served(context, names, at)


@behave.when("the second of them answers a request that was sent at {at:d} ms")
def step_life(context, at):
    sent_at = NOW + at * MILLISECOND
    context.routers.plan(
        at + 100,
        0,
        lambda suspects, now: suspects.record_life(
            ("engine-2", 1), sent_at, now
        ),
    )


@behave.when(
    'peers report crashes under the parts "{names}" each {gap:d} ms for 1 s'
)
def step_reports(context, names, gap):
    for at in range(0, 1000, gap):
        report = messages.CrashReport(
            upstream_id=f"engine-{at}",
            incarnation=1,
            age=0 * SECOND,
            keys=keys(names),
        )
        context.routers.plan(
            at,
            0,
            lambda suspects, now, report=report: suspects.merge_crashes(
                (report,), now
            ),
        )


@behave.when(
    "{count:d} upstreams crash under {parts:d} parts each within {limit:d} s"
)
def step_many(context, count, parts, limit):
    suspects = crash_evidence.CrashEvidence(rng=random.Random(1))
    context.suspects, context.messages = suspects, []
    context.longest = 0.0
    gap = limit * SECOND / count
    for number in range(count):
        now = NOW + number * gap
        names = " ".join(f"p{item}" for item in range(number, number + parts))
        suspects.record_failure((f"engine-{number}", 1), keys(names), now)
        began = time.process_time()
        suspects.evaluate(now)
        context.longest = max(context.longest, time.process_time() - began)
        news = suspects.collect(now)
        context.messages += [
            messages.UpstreamsCrashed(crashes=news.crashes),
            messages.PartsServed(parts=news.served),
        ]


@behave.then("at most {crashes:d} crashes of {parts:d} parts are kept")
def step_bounded(context, crashes, parts):
    kept = context.suspects.dump("parts")["crashes"]
    assert len(kept) <= crashes, len(kept)
    assert max(len(crash["parts"]) for crash in kept) <= parts


@behave.then("each message about them has at most {limit:d} KB")
def step_message_sizes(context, limit):
    sizes = [len(msgspec.msgpack.encode(item)) for item in context.messages]
    assert 0 < max(sizes) <= limit << 10, max(sizes)


@behave.then("deciding takes less than {limit:d} ms")
def step_decides_fast(context, limit):
    assert context.longest < limit / 1000, context.longest


@behave.then('by {at:d} ms "{names}" is quarantined')
def step_quarantined(context, at, names):
    context.routers.run(at)
    found = context.routers.suspects[0].quarantined
    assert found == set(keys(names)), context.routers.suspects[0].dump("parts")


@behave.then("by {at:d} ms nothing is quarantined")
def step_none_quarantined(context, at):
    context.routers.run(at)
    suspects = context.routers.suspects[0]
    assert not suspects.quarantined, suspects.dump("parts")


@behave.then("{seconds:d} s later nothing is quarantined")
def step_forgotten(context, seconds):
    suspects = context.routers.suspects[0]
    now = NOW + seconds * SECOND
    suspects.evaluate(now)
    assert not suspects.quarantined, suspects.dump("parts")


@behave.then('by {at:d} ms each of them has "{names}" quarantined')
def step_each_quarantined(context, at, names):
    context.routers.run(at)
    for suspects in context.routers.suspects:
        assert suspects.quarantined == set(keys(names)), suspects.dump("parts")


@behave.then("by {at:d} ms none of them has anything quarantined")
def step_none_of_them(context, at):
    context.routers.run(at)
    for suspects in context.routers.suspects:
        assert not suspects.quarantined, suspects.dump("parts")


@behave.then("the part is told of once")
def step_told_once(context):
    context.routers.run(2000)
    told = [news for news in context.routers.sent if news.served]
    assert len(told) == 1, told


@behave.then('a prompt of the parts "{names}" has the keys of "{others}"')
def step_last_part(context, names, others):
    found = prompt_parts.part_keys(arrival(names.split()))
    assert found == keys(others), found


@behave.then("a prompt of {count:d} parts has at most {limit:d} keys")
def step_many_parts(context, count, limit):
    names = [str(number) for number in range(count)]
    assert len(prompt_parts.part_keys(arrival(names))) <= limit


@behave.then("keys of the same part differ by service and model")
def step_keys_by_pool(context):
    found = {
        prompt_parts.part_keys(arrival(["a", "b"], service, model))
        for service in ("s1", "s2")
        for model in ("m1", "m2")
    }
    assert len(found) == 4, found
