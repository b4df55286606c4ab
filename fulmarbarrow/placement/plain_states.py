"""States of plain upstreams, exchanged between their owners and routers.

Owners attach the states of all plain upstreams of a service to their replies.
They tell each other the states of their own, so that a reply of one owner is
recent about the upstreams of the others, too.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import msgspec
import xxhash

from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.placement import capacity
from fulmarbarrow.placement import directory as directories
from fulmarbarrow.placement import ledger as ledgers
from fulmarbarrow.placement import load_model
from fulmarbarrow.placement import messages

EXCHANGE_INTERVAL = datetime.timedelta(milliseconds=100)
# Unchanged states are told again before their receivers drop them.
REPEAT_INTERVAL = datetime.timedelta(seconds=1)
# An upstream that lost its last attempts is told as full for this long, and
# then gets a request again.
LOST_PAUSE = datetime.timedelta(seconds=1)
# An older state says nothing of the present.
MAX_STATE_AGE = datetime.timedelta(seconds=2)
MAX_STATES = 1_024
# Upstreams of a service described in one reply.
MAX_PER_REPLY = 6
MAX_AHEAD = 10_000
MAX_REPLY_PACE = 2_000  # percent
MILLISECOND = datetime.timedelta(milliseconds=1)


def state_key(upstream_id: str) -> int:
    """Return the hash that identifies an upstream in a state."""
    return xxhash.xxh32_intdigest(upstream_id.encode())


def is_plain(upstream: membership_messages.Upstream) -> bool:
    """Return whether an upstream is no engine."""
    return bool(upstream.offers) and not any(
        offer.model for offer in upstream.offers
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class KnownState:
    """A state and when it was valid; ``added`` counts later placements."""

    state: messages.PlainState
    valid_at: datetime.datetime
    added: int = 0

    def pace(self, now: datetime.datetime) -> float:
        """Return the pace, or the mean pace if the last one is too old."""
        age = now - self.valid_at + self.state.pace_age_ms * MILLISECOND
        if age > load_model.MAX_PACE_AGE:
            return self.state.mean_pace / 100
        return self.state.pace / 100


class PlainStates:
    """States of owned plain upstreams and those that other daemons told."""

    def __init__(
        self,
        *,
        directory: directories.Directory,
        models: load_model.LoadModels,
        owned: collections.abc.Mapping[str, capacity.OwnedUpstream],
        own_address: str,
    ) -> None:
        self._directory = directory
        self._models = models
        self._owned = owned
        self._own_address = own_address
        self._known: dict[int, KnownState] = {}
        self._exchanged: list[tuple[int, ...]] = []
        self._exchange_due: datetime.datetime | None = None
        self._repeat_due: datetime.datetime | None = None

    def __bool__(self) -> bool:
        """Return whether any plain upstream reports a pace."""
        return bool(self._known)

    def record(
        self,
        states: collections.abc.Iterable[messages.PlainState],
        now: datetime.datetime,
    ) -> None:
        """Record states unless newer ones are known."""
        for state in states:
            if not _plausible(state):
                continue
            valid_at = now - state.age_ms * MILLISECOND
            known = self._known.get(state.upstream)
            if known is not None and known.valid_at > valid_at:
                continue
            if known is None and len(self._known) >= MAX_STATES:
                self._known.pop(next(iter(self._known)))
            self._known[state.upstream] = KnownState(
                state=state, valid_at=valid_at
            )

    def get(
        self, upstream_id: str, now: datetime.datetime
    ) -> KnownState | None:
        """Return a state that is recent enough, the owner's own if owned."""
        if upstream_id in self._owned:
            state = self._own_state(upstream_id, now)
            if state is None:
                return None
            return KnownState(state=state, valid_at=now)
        if not self._known:
            return None
        key = state_key(upstream_id)
        known = self._known.get(key)
        if known is not None and now - known.valid_at > MAX_STATE_AGE:
            del self._known[key]
            return None
        return known

    def recent_pace(
        self, upstream_id: str, now: datetime.datetime
    ) -> int | None:
        """Return the pace that the owner has told and that is still recent."""
        known = self.get(upstream_id, now)
        if known is None or upstream_id in self._owned:
            return None
        age = now - known.valid_at + known.state.pace_age_ms * MILLISECOND
        if age > load_model.MAX_PACE_AGE / 3:
            return None
        return known.state.pace

    def add_placement(self, upstream_id: str, now: datetime.datetime) -> None:
        """Count a placement that the known state does not include."""
        known = self.get(upstream_id, now)
        if known is not None:
            known.added += 1

    def attach(
        self,
        effects: collections.abc.Iterable[message.Message],
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Return the effects with states in replies for plain upstreams."""
        return [self._with_states(effect, now) for effect in effects]

    def exchange(self, now: datetime.datetime) -> list[message.Message]:
        """Return the messages to the owners of upstreams of the services.

        Only owners of small services exchange states: the messages grow with
        the square of the number of owners.
        """
        if not self._models:
            return []
        if self._exchange_due is not None and now < self._exchange_due:
            return []
        receivers: set[str] = set()
        states: list[messages.PlainState] = []
        for upstream_id in self._owned:
            state = self._own_state(upstream_id, now)
            if state is None:
                continue
            peers = self._peers(upstream_id)
            if len(peers) > MAX_PER_REPLY:
                continue
            states.append(state)
            receivers |= {
                owner.address
                for peer in peers
                if (owner := self._directory.owners.get(peer))
            }
        receivers -= {"", self._own_address}
        told = [(item.upstream, item.ahead, item.pace) for item in states]
        repeat = self._repeat_due is None or now >= self._repeat_due
        if not receivers or (told == self._exchanged and not repeat):
            return []
        sent = tuple(states)
        self._exchanged = told
        self._exchange_due = now + EXCHANGE_INTERVAL
        self._repeat_due = now + REPEAT_INTERVAL
        return [
            message.Send(
                address=address, message=messages.PlainStates(states=sent)
            )
            for address in sorted(receivers)
        ]

    def for_summary(
        self, now: datetime.datetime
    ) -> tuple[messages.PlainState, ...]:
        """Return the states of the owned plain upstreams."""
        states = (self._own_state(item, now) for item in self._owned)
        return tuple(state for state in states if state is not None)

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the states that other daemons told."""
        return {
            f"{key:08x}": {
                "ahead": known.state.ahead,
                "pace": known.state.pace,
                "request_ms": known.state.request_ms,
                "valid_at": known.valid_at,
            }
            for key, known in self._known.items()
        }

    def _peers(self, upstream_id: str) -> set[str]:
        """Return the plain upstreams of the same services, itself included."""
        upstream = self._directory.upstreams.get(upstream_id)
        if upstream is None:
            return set()
        return {
            member
            for offer in upstream.offers
            for member in self._directory.pool_ring(offer.service, "").members
        }

    def _with_states(
        self, effect: message.Message, now: datetime.datetime
    ) -> message.Message:
        if type(effect) is not message.Send:
            return effect
        reply = effect.message
        if type(reply) not in (messages.Reserved, messages.ReserveRefused):
            return effect
        if self._own_state(reply.upstream_id, now) is None:
            return effect
        others = self._peers(reply.upstream_id) - {reply.upstream_id}
        peers = [reply.upstream_id, *sorted(others)]
        states = []
        for peer in peers[:MAX_PER_REPLY]:
            known = self.get(peer, now)
            if known is None:
                continue
            age_ms = (now - known.valid_at) // MILLISECOND
            states.append(
                msgspec.structs.replace(
                    known.state,
                    ahead=known.state.ahead + known.added,
                    age_ms=max(0, age_ms),
                )
            )
        reply = msgspec.structs.replace(reply, states=tuple(states))
        return msgspec.structs.replace(effect, message=reply)

    def _own_state(
        self, upstream_id: str, now: datetime.datetime
    ) -> messages.PlainState | None:
        owned = self._owned.get(upstream_id)
        if owned is None:
            return None
        upstream = owned.ledger.upstream
        model = self._models.get(upstream)
        if model is None or not is_plain(upstream):
            return None
        if not self._directory.usable(upstream):
            return None
        age = model.pace_age(now) or datetime.timedelta(0)
        ahead = max(len(owned.ledger), model.requests(now))
        if self._takes_nothing(owned.ledger, now):
            ahead = max(ahead, 2 * upstream.slots)
        return messages.PlainState(
            upstream=state_key(upstream_id),
            ahead=min(ahead + len(owned.queue), MAX_AHEAD),
            slots=max(1, upstream.slots),
            request_ms=int(model.request_ms()),
            pace=int(model.pace(now) * 100),
            pace_age_ms=min(10_000, age // MILLISECOND),
            mean_pace=int(model.mean_pace(now) * 100),
        )

    @staticmethod
    def _takes_nothing(ledger: ledgers.Ledger, now: datetime.datetime) -> bool:
        """Return whether an upstream has just failed or has to be spared.

        One that fails fast has little work ahead and would attract more.
        """
        if ledger.misdirected(now) or ledger.pacer.wait(now):
            return True
        lost_at = ledger.lost_at
        return (
            not ledger.responsive
            and lost_at is not None
            and now - lost_at < LOST_PAUSE
        )


def _plausible(state: messages.PlainState) -> bool:
    """Return whether a state can be used without a check."""
    return (
        0 <= state.ahead <= MAX_AHEAD
        and 0 < state.slots <= MAX_AHEAD
        and 0 <= state.request_ms <= load_model.MAX_REQUEST_MS
        and 0 < state.pace <= MAX_REPLY_PACE
        and 0 < state.mean_pace <= MAX_REPLY_PACE
        and 0 <= state.pace_age_ms <= MAX_AHEAD
        and 0 <= state.age_ms <= MAX_AHEAD
    )
