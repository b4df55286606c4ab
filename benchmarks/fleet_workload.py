"""Requests of returning chats, skewed, at a part of a fleet's capacity."""

from __future__ import annotations

import bisect
import dataclasses
import datetime
import itertools
import random
import typing

from benchmarks import fleet_engine
from fulmarbarrow.placement import messages

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
CAPPING_ROUNDS = 20
EXPECTED_REUSE = 0.75  # of a prompt, for the fleet's capacity


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Chats that return with a growing prompt; sizes in tokens.

    A chat's popularity falls with its rank to the power of ``skew``.
    ``router_skew`` makes the routers' parts of the traffic unequal.
    """

    chats: int = 1_200
    skew: float = 0.6
    turn_tokens: int = 250
    max_prompt: int = 3_000
    mean_answer: int = 200
    deadline: float = 30.0
    account: str = "account-1"
    accounts: int = 10
    service: str = "consultations"
    model: str = "lacework"
    cost_class: messages.CostClass = messages.CostClass.LONG
    worth: float = 1.0
    best_effort: bool = False
    router_skew: float = 0.0
    max_chat_rate: float = 0.1
    name: str = "w"

    def holding(self, model: fleet_engine.EngineModel) -> float:
        """Return the mean token-seconds that a request holds an engine."""
        total = 0.0
        count = 0
        for job in self.jobs(rate=50.0, seconds=160.0, routers=1, seed=0):
            fresh = job.prompt_tokens * (1 - EXPECTED_REUSE)
            seconds = fresh / model.prefill_tokens_per_second
            seconds += job.answer_tokens * model.token_interval
            total += job.request.cost * seconds
            count += 1
        return total / count

    def jobs(
        self,
        *,
        rate: float,
        seconds: float,
        routers: int,
        seed: int,
        start: float = 0.0,
    ) -> typing.Iterator[fleet_engine.Job]:
        """Yield the jobs of one run in the order of their arrival.

        ``start`` and ``seconds`` are the simulated time of the run's start
        and its length.
        """
        rng = random.Random(f"{seed}-{self.name}")
        sums = list(itertools.accumulate(self._popularity(rate)))
        parts = [(1 + index) ** self.router_skew for index in range(routers)]
        turns: dict[int, int] = {}
        now = start
        for number in itertools.count():
            now += rng.expovariate(rate)
            if now >= start + seconds:
                return
            chat = bisect.bisect(sums, rng.random() * sums[-1])
            turns[chat] = turns.get(chat, rng.randrange(1, 40)) + 1
            prompt, answer = self._sizes(rng, turns[chat])
            yield self._job(
                seed, number, chat, prompt, answer, now, rng, parts
            )

    def _popularity(self, rate: float) -> list[float]:
        """Return the chats' parts of the requests.

        A chat has one turn at a time, so none comes more often than
        ``max_chat_rate`` times a second.
        """
        parts = [rank**-self.skew for rank in range(1, self.chats + 1)]
        for _ in range(CAPPING_ROUNDS):
            limit = self.max_chat_rate * sum(parts) / rate
            parts = [min(part, limit) for part in parts]
        return parts

    def _sizes(self, rng: random.Random, turn: int) -> tuple[int, int]:
        prompt = min(self.max_prompt, turn * self.turn_tokens)
        low, high = self.mean_answer // 2, self.mean_answer * 3 // 2
        return prompt, rng.randint(low, high)

    def _job(
        self,
        seed: int,
        number: int,
        chat: int,
        prompt: int,
        answer: int,
        now: float,
        rng: random.Random,
        parts: list[float],
    ) -> fleet_engine.Job:
        account = self.account
        if self.accounts > 1:
            account = f"account-{chat % self.accounts}"
        request_id = f"entry-{self.name}-{seed:x}-{number:x}"
        return fleet_engine.Job(
            request=messages.PlaceRequest(
                request_id=request_id,
                attempt_id=f"{request_id}-1",
                account=account,
                service=self.service,
                model=self.model,
                chat=f"{self.name}-chat-{chat}",
                cost=prompt + answer,
                cost_class=self.cost_class,
                worth=self.worth,
                deadline=EPOCH
                + datetime.timedelta(seconds=now + self.deadline),
                best_effort=self.best_effort,
            ),
            arrived=now,
            prompt_tokens=prompt,
            answer_tokens=answer,
            router=rng.choices(range(len(parts)), parts)[0],
        )
