"""Activates revisions on a daemon, in increasing order only.

A daemon that starts takes the newest revision that it is given, but enforces
none until ``consensus.authority`` allows it to act on it.
"""

from __future__ import annotations

import datetime
import logging
import random
import typing

from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.consensus import authority
from fulmarbarrow.consensus import messages as consensus_messages
from fulmarbarrow.membership import messages as membership_messages
from fulmarbarrow import message
from fulmarbarrow.observe import metrics as metrics_module
from fulmarbarrow.publishing import confirmation as confirmations
from fulmarbarrow.publishing import delta as deltas
from fulmarbarrow.publishing import history
from fulmarbarrow.publishing import messages
from fulmarbarrow.publishing import packing

log = logging.getLogger(__name__)

ACK_INTERVAL = datetime.timedelta(seconds=10)
POLL_INTERVAL = datetime.timedelta(seconds=5)
# A daemon without a configuration can't serve any requests.
INITIAL_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
# Until it has the revision that a leader announced, a daemon may be outdated.
UNCONFIRMED_POLL_INTERVAL = datetime.timedelta(seconds=1)
# A leader does not know a daemon that has just started, nor one that has just
# started itself the daemons that run, and sends them no revision meanwhile.
STARTUP_PHASE = datetime.timedelta(seconds=10)
CONTROL_ROLE = "control"
STORE_TIMEOUT = datetime.timedelta(seconds=2)
# Daemons on its side of a cut that a daemon asks at once for what they have.
MAX_ASKED_AT_ONCE = 3


class PublishingFollower:
    """Receives pushed revisions and emits the active configuration.

    With ``stores``, a revision is synced to disk before it is activated, so
    that a restart never reverts it; ``restored`` is the stored revision.

    The first revision is put in force once a leader has confirmed it in answer
    to a question of this process, or if this side of the network is cut off:
    it serves what it can. Each later one is newer, and needs no confirmation.
    """

    handles = (
        messages.RevisionPush,
        messages.RevisionDeltas,
        messages.RevisionNotice,
        messages.RevisionFetch,
        messages.RevisionUnconfirmed,
        messages.FetchUnconfirmed,
        messages.RevisionStored,
        consensus_messages.LeaderChanged,
        membership_messages.DaemonChanged,
        membership_messages.DaemonGone,
        membership_messages.SeedsChanged,
        message.Tick,
    )

    def __init__(
        self,
        *,
        daemon: membership_messages.Daemon,
        source: random.Random,
        metrics: metrics_module.Metrics,
        stores: bool = False,
        restored: messages.StoreRevision | None = None,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self._daemon = daemon
        self._source = source
        self._metrics = metrics
        self._stores = stores
        self._revision = restored.revision if restored else 0
        self._digest = restored.digest if restored else ""
        self._sender = "disk" if restored else ""
        self._publisher = restored.publisher if restored else ""
        bundle = bundles.decode(restored.bundle if restored else b"{}")
        self._content = deltas.Content(bundle=bundle)
        self._history = history.History()
        self._packed_revision = packing.RevisionCache()
        self._control = ""
        self._basis = authority.Basis.NONE
        self._started_at: datetime.datetime | None = None
        # When this daemon or, as far as it knows, a control host started last.
        self._latest_start_at: datetime.datetime | None = None
        self._storing: tuple[messages.StoreRevision, datetime.datetime] | None
        self._storing = None
        self._storing_deltas: tuple[messages.Delta, ...] = ()
        self._storing_sender = ""
        self._peers: dict[str, str] = {}
        self._control_peers: dict[str, str] = {}
        # Addresses of daemons that do not answer.
        self._lost: set[str] = set()
        # Of a control host: whether it knows a leader.
        self._has_leader = False
        # Daemons that start together do not all ask the same host first.
        self._first_host = random.Random(daemon.daemon_id).getrandbits(16)
        self._seeds = seeds
        self._notified = False
        self._confirmation: confirmations.Confirmation | None = None
        self._newest_announced = 0
        self._polls = 0
        # Numbers of questions are not used again by the next process.
        name = f"{daemon.daemon_id}/{daemon.incarnation}"
        self._questions = authority.Questions(
            first=random.Random(name).getrandbits(32) << 16
        )
        self._evidence = authority.Evidence(
            zone=daemon.zone, address=daemon.address
        )
        self._evidence.learn_daemon(
            daemon.address, daemon.zone, control=self._is_control
        )
        self._evidence.learn_seeds(seeds)
        self._daemons: dict[str, membership_messages.Daemon] = {}
        self._acked_at: datetime.datetime | None = None
        self._polled_at: datetime.datetime | None = None
        self._starting = True

    def handle(
        self, event: message.Message, now: datetime.datetime
    ) -> list[message.Message]:
        """Handle one event and return its effects."""
        match event:
            case messages.RevisionPush():
                return self._on_push(event, now)
            case messages.RevisionDeltas():
                return self._on_deltas(event, now)
            case messages.RevisionNotice():
                return self._on_notice(event, now)
            case messages.RevisionFetch():
                return self._on_fetch(event, now)
            case messages.RevisionUnconfirmed():
                self._on_unconfirmed(event, now)
            case messages.FetchUnconfirmed():
                return self._answer_unconfirmed(event.fetch, event.reached)
            case messages.RevisionStored():
                return self._on_stored(event, now)
            case consensus_messages.LeaderChanged(
                group=consensus_messages.Group.CONFIGURATION
            ):
                return self._on_leader_changed(event, now)
            case message.Tick():
                return self._on_tick(now)
        self._on_membership(event, now)
        return []

    def dump(self) -> dict[str, typing.Any]:
        """Return the active revision and the newest held one for debugging."""
        confirmed = self._confirmation
        return {
            "revision": self._revision if self._in_force else 0,
            "basis": self._basis.value,
            "held_revision": self._revision,
            "digest": self._digest,
            "publisher": self._publisher,
            "storing": self._storing[0].revision if self._storing else 0,
            "confirmed_revision": confirmed.revision if confirmed else 0,
            "confirmed_term": confirmed.term if confirmed else 0,
        }

    @property
    def _in_force(self) -> bool:
        """Whether this daemon acts on the revision that it holds."""
        return self._basis is not authority.Basis.NONE

    @property
    def _is_confirmed(self) -> bool:
        """Whether a leader has confirmed what is in force on this daemon."""
        return self._basis is authority.Basis.CONFIRMED

    def _on_push(
        self, event: messages.RevisionPush, now: datetime.datetime
    ) -> list[message.Message]:
        effects = []
        self._hear(event.sender, now)
        if event.term:
            effects = self._confirm(
                event.revision, event.term, event.sender, event.question, now
            )
        if event.revision <= self._revision:
            return effects
        revision = messages.StoreRevision(
            revision=event.revision,
            digest=event.digest,
            publisher=event.publisher,
            bundle=packing.unpack(event.bundle),
        )
        return [
            *effects,
            *self._store_or_activate(revision, (), event.sender, now),
        ]

    def _on_deltas(
        self, event: messages.RevisionDeltas, now: datetime.datetime
    ) -> list[message.Message]:
        effects = self._relay(event)
        self._hear(event.sender, now)
        self._control = event.control or self._control
        self._notified = self._notified or event.sender == event.control
        last = event.deltas[-1].base + 1
        if event.term:
            effects += self._confirm(
                last, event.term, event.sender, event.question, now
            )
        self._newest_announced = max(self._newest_announced, last)
        if last <= self._revision:
            return [*effects, *self._acknowledge(now)]
        new_deltas = tuple(d for d in event.deltas if d.base >= self._revision)
        if new_deltas[0].base != self._revision:
            return [*effects, self._fetch(event.sender, now)]
        content = deltas.Content(bundle=self._content.bundle())
        for delta in new_deltas:
            content.apply(delta)
        data = content.encode()
        if deltas.digest(data) != new_deltas[-1].digest:
            self._metrics.count("revision_digest_mismatches")
            whole = messages.RevisionFetch(
                daemon_id=self._daemon.daemon_id,
                reply_to=self._daemon.address,
                revision=self._revision,
                whole=True,
                confirm=not self._is_confirmed,
                question=self._questions.ask(now),
            )
            return [*effects, self._send(event.sender, whole)]
        revision = messages.StoreRevision(
            revision=last,
            digest=new_deltas[-1].digest,
            publisher=new_deltas[-1].publisher,
            bundle=data,
        )
        activated = self._store_or_activate(
            revision, new_deltas, event.sender, now
        )
        return [*effects, *activated]

    def _relay(self, event: messages.RevisionDeltas) -> list[message.Message]:
        forwarded = messages.RevisionDeltas(
            sender=self._daemon.address,
            control=event.control,
            deltas=event.deltas,
            question=0,
        )
        return [
            message.Send(address=address, message=forwarded, urgent=True)
            for address in event.relay_to
        ]

    def _on_notice(
        self, event: messages.RevisionNotice, now: datetime.datetime
    ) -> list[message.Message]:
        self._control = event.control
        self._hear(event.control, now)
        self._notified = True
        self._newest_announced = max(self._newest_announced, event.revision)
        effects = self._confirm(
            event.revision, event.term, event.control, event.question, now
        )
        if event.revision > self._revision:
            return [self._fetch(event.control, now)]
        return effects or self._acknowledge(now)

    def _confirm(
        self,
        revision: int,
        term: int,
        sender: str,
        question: int | None,
        now: datetime.datetime,
    ) -> list[message.Message]:
        """Record a leader's statement; put the held revision in force by it.

        A lower revision than before is that of a leader that was replaced. A
        statement that answers no question of this process may have waited in a
        connection, and be older than the process. An earlier release does not
        tell which question it answers.
        """
        known = self._confirmation
        if known is not None and revision < known.revision:
            return []
        asked_at = self._questions.asked_at(question)
        self._confirmation = confirmations.Confirmation(
            revision=revision,
            term=term,
            sender=sender,
            received_at=now,
            question=question or 0,
            asked_at=asked_at,
        )
        self._evidence.announce(revision)
        if self._is_confirmed:
            return []
        if question is None or asked_at is not None:
            self._evidence.confirm(revision, asked_at or now)
        elif not self._evidence.is_confirmed(now):
            return [self._fetch(sender, now)]
        return self._act_if_allowed(now)

    def _act_if_allowed(self, now: datetime.datetime) -> list[message.Message]:
        """Put the held revision in force if this daemon may act on it."""
        if self._is_confirmed or not self._revision:
            return []
        basis = self._evidence.basis(self._revision, now)
        if basis is authority.Basis.NONE or basis is self._basis:
            return []
        was_in_force, self._basis = self._in_force, basis
        if basis is authority.Basis.CUT_OFF:
            log.warning(
                "this side of the network has no majority of the control"
                " hosts; the daemon goes on with the revision that it holds",
                extra=self._describe(now) | self._evidence.describe(now),
            )
        if was_in_force:
            return self._tell_confirmed(now)
        return self._put_in_force(self._content.bundle(), now)

    def _hear(self, address: str, now: datetime.datetime) -> None:
        """Note that a daemon is in reach."""
        if not self._is_confirmed:
            self._evidence.hear(address, now)

    def _on_unconfirmed(
        self, event: messages.RevisionUnconfirmed, now: datetime.datetime
    ) -> None:
        self._evidence.hear(
            event.sender,
            now,
            zone=event.zone,
            version=event.revision,
            reached=event.reached,
        )

    def _on_fetch(
        self, event: messages.RevisionFetch, now: datetime.datetime
    ) -> list[message.Message]:
        if event.daemon_id == self._daemon.daemon_id:
            return []
        self._hear(event.reply_to, now)
        effects = []
        if event.revision > self._revision:
            effects.append(self._fetch(event.reply_to, now))
        if self._is_control:
            return effects
        if event.revision == self._revision or not self._in_force:
            effects += self._pass_on(event)
        return [*effects, *self._answer_unconfirmed(event, ())]

    def _answer_unconfirmed(
        self, event: messages.RevisionFetch, reached: tuple[str, ...]
    ) -> list[message.Message]:
        """Answer a fetch by what is in force here, which confirms nothing."""
        effects = []
        if self._in_force and event.revision < self._revision:
            effects.append(
                self._send(event.reply_to, self._fetch_response(event))
            )
        if event.confirm and event.question:
            answer = messages.RevisionUnconfirmed(
                sender=self._daemon.address,
                zone=self._daemon.zone,
                revision=self._revision if self._in_force else 0,
                reached=reached,
            )
            effects.append(self._send(event.reply_to, answer))
        return effects

    def _pass_on(self, event: messages.RevisionFetch) -> list[message.Message]:
        """Have the leader answer a daemon that this one can't help.

        This daemon may have relayed a change that it could not apply itself.
        """
        if self._revision >= self._newest_announced or not self._control:
            return []
        return [self._send(self._control, event)]

    def _fetch_response(
        self, event: messages.RevisionFetch
    ) -> message.Message:
        new_deltas = self._history.after(event.revision)
        if new_deltas and not event.whole:
            return messages.RevisionDeltas(
                sender=self._daemon.address,
                control=self._control,
                deltas=new_deltas,
                question=event.question,
            )
        return messages.RevisionPush(
            sender=self._daemon.address,
            revision=self._revision,
            digest=self._digest,
            bundle=self._packed_revision.get(
                self._revision, self._content.encode
            ),
            publisher=self._publisher,
            question=event.question,
        )

    @property
    def _is_control(self) -> bool:
        """Whether this is a control host; its control core answers fetches."""
        return CONTROL_ROLE in self._daemon.roles

    def _store_or_activate(
        self,
        revision: messages.StoreRevision,
        new_deltas: tuple[messages.Delta, ...],
        sender: str,
        now: datetime.datetime,
    ) -> list[message.Message]:
        if not self._stores:
            return self._activate(revision, new_deltas, sender, now)
        if self._storing is not None:
            storing, since = self._storing
            newer = revision.revision > storing.revision
            if not newer and now - since < STORE_TIMEOUT:
                return []
        self._storing = (revision, now)
        self._storing_deltas = new_deltas
        self._storing_sender = sender
        return [revision]

    def _on_stored(
        self, event: messages.RevisionStored, now: datetime.datetime
    ) -> list[message.Message]:
        if self._storing is None:
            return []
        revision, _ = self._storing
        if revision.revision != event.revision:
            return []
        self._storing = None
        if not event.stored:
            return []
        return self._activate(
            revision, self._storing_deltas, self._storing_sender, now
        )

    def _activate(
        self,
        revision: messages.StoreRevision,
        new_deltas: tuple[messages.Delta, ...],
        sender: str,
        now: datetime.datetime,
    ) -> list[message.Message]:
        if revision.revision <= self._revision:
            return []
        bundle = bundles.decode(revision.bundle)
        self._revision = revision.revision
        self._digest = revision.digest
        self._publisher = revision.publisher
        self._content = deltas.Content(bundle=bundle)
        if not new_deltas:
            self._history = history.History()
        for delta in new_deltas:
            self._history.add(delta)
        self._sender = sender
        if self._in_force:
            return self._put_in_force(bundle, now)
        log.info("revision held", extra=self._describe(now))
        return self._act_if_allowed(now)

    def _put_in_force(
        self, bundle: bundles.Bundle, now: datetime.datetime
    ) -> list[message.Message]:
        """Enforce the held revision, whose content is given, and tell so."""
        self._metrics.count("revisions_in_force")
        log.info("revision activated", extra=self._describe(now))
        known = self._confirmation if self._is_confirmed else None
        changed = messages.ConfigurationChanged(
            revision=self._revision,
            bundle=bundle,
            term=known.term if known else 0,
            confirmed_at=known.valid_at if known else None,
            cut_off=self._basis is authority.Basis.CUT_OFF,
        )
        effects = [changed, *self._acknowledge(now)]
        if self._is_control and not self._has_leader:
            effects += self._compare_with_all()
        return effects

    def _on_leader_changed(
        self, event: consensus_messages.LeaderChanged, now: datetime.datetime
    ) -> list[message.Message]:
        """Bring other daemons up to date as the leader is lost.

        It may have accepted a change and be lost before it told all of them.
        What this host has applied was accepted, so that a daemon that runs may
        act on it.
        """
        had_leader, self._has_leader = self._has_leader, bool(event.leader)
        if self._has_leader or not had_leader or not self._in_force:
            return []
        return [
            self._fetch(self._daemon.address, now),
            *self._compare_with_all(),
        ]

    def _compare_with_all(self) -> list[message.Message]:
        """Tell all daemons the revision here; who is behind fetches it."""
        compare = messages.RevisionFetch(
            daemon_id=self._daemon.daemon_id,
            reply_to=self._daemon.address,
            revision=self._revision,
            question=0,
        )
        return [
            self._send(daemon.address, compare)
            for daemon in self._daemons.values()
        ]

    def _tell_confirmed(self, now: datetime.datetime) -> list[message.Message]:
        """Tell that what is in force since a cut is confirmed now."""
        log.info("revision confirmed", extra=self._describe(now))
        known = self._confirmation
        return [
            messages.ConfigurationConfirmed(
                revision=self._revision,
                term=known.term,
                confirmed_at=known.valid_at,
            )
        ]

    def _describe(self, now: datetime.datetime) -> dict[str, typing.Any]:
        """Return where the held revision comes from, for log lines."""
        return {
            "revision": self._revision,
            "sender": self._sender,
            "basis": self._basis.value,
            "newest_announced": self._newest_announced,
            **confirmations.describe(self._confirmation, now),
        }

    def _acknowledge(self, now: datetime.datetime) -> list[message.Message]:
        """Tell the leader which revision is in force, if any is."""
        if not self._in_force:
            return []
        self._acked_at = now
        ack = messages.RevisionAck(
            daemon_id=self._daemon.daemon_id,
            address=self._daemon.address,
            revision=self._revision,
            incarnation=self._daemon.incarnation,
        )
        return [self._send(self._control or self._daemon.address, ack)]

    def _fetch(self, address: str, now: datetime.datetime) -> message.Message:
        fetch = messages.RevisionFetch(
            daemon_id=self._daemon.daemon_id,
            reply_to=self._daemon.address,
            revision=self._revision,
            confirm=not self._is_confirmed,
            question=self._questions.ask(now),
        )
        return self._send(address, fetch)

    def _send(self, address: str, body: message.Message) -> message.Message:
        if address == self._daemon.address:
            return body
        return message.Send(address=address, message=body, urgent=True)

    def _on_membership(
        self, event: message.Message, now: datetime.datetime
    ) -> None:
        match event:
            case membership_messages.DaemonChanged():
                daemon = event.daemon
                known = self._daemons.get(daemon.daemon_id)
                is_new = known is None or (
                    known.incarnation != daemon.incarnation
                )
                if is_new and CONTROL_ROLE in daemon.roles:
                    self._latest_start_at = now
                self._daemons[daemon.daemon_id] = daemon
                self._evidence.learn_daemon(
                    daemon.address,
                    daemon.zone,
                    control=CONTROL_ROLE in daemon.roles,
                )
                if daemon.state is membership_messages.DaemonState.SUSPECT:
                    self._lost.add(daemon.address)
                else:
                    self._lost.discard(daemon.address)
                if daemon.zone == self._daemon.zone:
                    self._peers[daemon.daemon_id] = daemon.address
                    if CONTROL_ROLE in daemon.roles:
                        self._control_peers[daemon.daemon_id] = daemon.address
            case membership_messages.DaemonGone():
                gone = self._daemons.pop(event.daemon_id, None)
                if gone is not None:
                    self._lost.add(gone.address)
                self._peers.pop(event.daemon_id, None)
                self._control_peers.pop(event.daemon_id, None)
            case membership_messages.SeedsChanged():
                self._seeds = event.addresses
                self._evidence.learn_seeds(event.addresses)

    def _on_tick(self, now: datetime.datetime) -> list[message.Message]:
        effects: list[message.Message] = []
        if self._started_at is None:
            self._started_at = now
        latest = self._latest_start_at or self._started_at
        self._starting = now < latest + STARTUP_PHASE
        self._evidence.start(now)
        effects.extend(self._act_if_allowed(now))
        if self._control and _elapsed(self._acked_at, ACK_INTERVAL, now):
            effects.extend(self._acknowledge(now))
        if _elapsed(self._polled_at, self._poll_interval, now):
            effects.extend(self._poll(now))
        return effects

    @property
    def _poll_interval(self) -> datetime.timedelta:
        """Interval between requests for a newer revision."""
        if not self._in_force:
            return INITIAL_POLL_INTERVAL
        return POLL_INTERVAL if self._is_current else UNCONFIRMED_POLL_INTERVAL

    @property
    def _is_current(self) -> bool:
        """Whether a leader announced a revision and no newer one is known.

        A fetched revision proves nothing: the answer may come from a daemon
        that is itself behind, and answers may be lost. Nor does a leader's
        announcement while this daemon or a control host starts, or once the
        leader is lost.
        """
        return (
            self._notified
            and not self._starting
            and self._control not in self._lost
            and self._revision >= self._newest_announced
        )

    def _poll(self, now: datetime.datetime) -> list[message.Message]:
        """Ask a peer in the zone; until current, alternate with seeds.

        When all daemons start at once, no peer has a configuration yet and
        the leader sends notices only to the daemons it knows.
        """
        peers = sorted(self._peers.values())
        seeds = [item for item in self._seeds if item != self._daemon.address]
        self._polls += 1
        if not self._in_force:
            return self._poll_for_confirmation(seeds, now)
        if seeds and not self._is_current and (self._polls % 2 or not peers):
            peers = seeds
        if not peers:
            return []
        self._polled_at = now
        return [self._fetch(self._source.choice(peers), now)]

    def _poll_for_confirmation(
        self, seeds: list[str], now: datetime.datetime
    ) -> list[message.Message]:
        """Ask the control hosts in turn, and each third time other daemons.

        Only control hosts can confirm a revision. Others tell whether this
        side of the network is cut off; if it is, the revision that it goes on
        with is at one of them.
        """
        hosts = sorted({*seeds, *self._control_peers.values()})
        others = self._sample_daemons()
        asked = []
        if others and (not hosts or self._polls % 3 == 0):
            asked = others
        elif hosts:
            turn = self._first_host + self._polls - self._polls // 3
            asked = [hosts[turn % len(hosts)]]
        if self._evidence.is_cut_off(now):
            near = self._evidence.answering(now)
            count = min(MAX_ASKED_AT_ONCE, len(near))
            asked += self._source.sample(near, count)
            if self._is_control:
                asked.append(self._daemon.address)
        if asked:
            self._polled_at = now
        return [self._fetch(address, now) for address in dict.fromkeys(asked)]

    def _sample_daemons(self) -> list[str]:
        """Return a daemon of this zone and one of the other zones, if any."""
        near, far = [], []
        for daemon in self._daemons.values():
            own = daemon.zone == self._daemon.zone
            (near if own else far).append(daemon.address)
        return [
            self._source.choice(sorted(addresses))
            for addresses in (near, far)
            if addresses
        ]


def _elapsed(
    since: datetime.datetime | None,
    interval: datetime.timedelta,
    now: datetime.datetime,
) -> bool:
    return since is None or now - since >= interval
