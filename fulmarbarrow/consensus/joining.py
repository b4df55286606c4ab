"""Bootstrap of a log and membership changes by one host at a time.

A host with an empty disk does not vote. It first receives the log as a
learner, under an identity of its own, and becomes a voter once it has caught
up.
"""

from __future__ import annotations

import dataclasses
import datetime
import logging

import msgspec

from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records
from fulmarbarrow.consensus import replication as replications
from fulmarbarrow.consensus import state
from fulmarbarrow.consensus import timing
from fulmarbarrow import message

log = logging.getLogger(__name__)

# A learner that lacks more entries than this does not become a voter yet.
MAX_LEARNER_LAG_ENTRIES = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Learner:
    """A learner that requests to become a voting member."""

    member: records.Member
    requested_at: datetime.datetime


class Joining:
    """Bootstrap on a joining host, membership changes on the leader."""

    def __init__(
        self,
        *,
        node: state.Node,
        replication: replications.Replication,
        addresses: dict[str, str],
        may_form: bool = True,
        tolerated_losses: int = 0,
    ) -> None:
        self._node = node
        self._replication = replication
        self._addresses = addresses
        self._may_form = may_form
        self._max_voters = (
            2 * tolerated_losses + 1 if tolerated_losses else len(addresses)
        )
        self._accepts_new_hosts = tolerated_losses > 0
        self._contacts = dict(addresses)
        self._empty_hosts = {node.me.daemon_id: node.me}
        self._log_exists = False
        self._last_request_at: datetime.datetime | None = None
        self._learners: dict[str, Learner] = {}
        self._leader_since = node.leader_heard_at

    # On the joining host.

    def tick(self, now: datetime.datetime) -> None:
        """Request to join while this host is not a voting member.

        A voter that hears from no leader does so too, as it may have been
        replaced during a partition.
        """
        node = self._node
        if node.is_only_voter or node.role is state.Role.LEADER:
            return
        silent = now - node.leader_heard_at >= timing.REPLACE_AFTER
        if node.is_voter and not silent:
            return
        if not node.has_log and self._form_if_all_empty():
            return
        requested_at = self._last_request_at
        if (
            requested_at is not None
            and now - requested_at < timing.JOIN_INTERVAL
        ):
            return
        self._last_request_at = now
        request = peer.JoinRequest(
            group=node.group, member=node.me, log_id=node.log_id
        )
        for daemon_id, address in sorted(self._contacts.items()):
            if daemon_id != node.me.daemon_id:
                node.effects.append(
                    message.Send(address=address, message=request)
                )

    def add_contact(self, daemon_id: str, address: str) -> None:
        """Add the address of a control host that may know the leader."""
        self._contacts[daemon_id] = address

    def join_reply(self, event: peer.JoinReply) -> None:
        """Handle the reply; it tells whether the other host has a log."""
        node = self._node
        if node.has_log:
            return
        if not event.log_id:
            self._empty_hosts[event.member.daemon_id] = event.member
            self._form_if_all_empty()
            return
        self._log_exists = True
        initial = event.first
        own_id = node.me.member_id
        if initial is not None and initial.configuration.find(own_id):
            self._form_log(initial)

    # On the host that receives the request.

    def join_request(
        self, event: peer.JoinRequest, now: datetime.datetime
    ) -> None:
        """Reply with this host's log id; a leader also admits the learner."""
        node = self._node
        initial = None
        if node.has_log and node.log.snapshot.index == 0:
            initial = node.log.snapshot
        reply = peer.JoinReply(
            group=node.group,
            member=node.me,
            log_id=node.log_id,
            first=initial,
        )
        node.effects.append(
            message.Send(address=event.member.address, message=reply)
        )
        if not node.has_log:
            if not event.log_id:
                self._empty_hosts[event.member.daemon_id] = event.member
        elif node.role is state.Role.LEADER:
            self._add_learner(event, now)

    def start(self, now: datetime.datetime) -> None:
        """Reset the learners at the start of a leadership."""
        self._leader_since = now
        self._learners = {}

    def change_configuration(self, now: datetime.datetime) -> None:
        """Change the configuration by one member if a learner is ready.

        Only a leader does this, and never before the previous change is
        committed.
        """
        node = self._node
        self._update_replication(now)
        if node.log.configuration_index > node.commit_index:
            return
        for learner in self._learners.values():
            if self._has_caught_up(learner) and self._propose_configuration(
                learner.member, now
            ):
                return

    def _form_if_all_empty(self) -> bool:
        node = self._node
        if not self._may_form:
            return False
        founders = set(self._addresses)
        if node.me.daemon_id not in founders:
            return False
        # Hosts that are not founders may request to join with empty disks too.
        if self._log_exists or not founders <= set(self._empty_hosts):
            return False
        members = tuple(
            self._empty_hosts[daemon_id] for daemon_id in sorted(founders)
        )
        self._form_log(records.initial_snapshot(node.group, members))
        return True

    def _form_log(self, snapshot: records.Snapshot) -> None:
        node = self._node
        log.info(
            "replicated log formed",
            extra={
                "group": node.group.value,
                "members": [
                    member.member_id
                    for member in snapshot.configuration.members
                ],
            },
        )
        node.open_log(snapshot)
        node.persist(snapshot=snapshot, reset=True)

    def _add_learner(
        self, event: peer.JoinRequest, now: datetime.datetime
    ) -> None:
        node = self._node
        member = event.member
        progress = self._replication.progress(member.member_id)
        if node.log.configuration.find(member.member_id) is not None:
            if progress is not None and not event.log_id:
                progress.install_offset = progress.install_offset or 0
            return
        current = node.log.configuration.member_of_daemon(member.daemon_id)
        may_join = current is not None or member.daemon_id in node.founder_ids
        if not may_join and not self._accepts_new_hosts:
            return
        if member.member_id not in self._learners:
            log.info("%s joins %s as a learner", member.member_id, node.group)
        self._learners[member.member_id] = Learner(
            member=member, requested_at=now
        )
        self._replication.add(member)
        progress = self._replication.progress(member.member_id)
        if progress is not None and not event.log_id:
            progress.install_offset = progress.install_offset or 0

    def _update_replication(self, now: datetime.datetime) -> None:
        """Stop replication to learners that no longer send requests.

        Replication to voters that have none, for instance a learner that was
        just added to the configuration, is started.
        """
        configuration = self._node.log.configuration
        for member_id, learner in list(self._learners.items()):
            member = configuration.find(member_id) is not None
            if member or now - learner.requested_at > timing.LEARNER_TIMEOUT:
                del self._learners[member_id]
                if not member:
                    self._replication.remove(member_id)
        for member in self._node.other_voters:
            self._replication.add(member)

    def _has_caught_up(self, learner: Learner) -> bool:
        node = self._node
        progress = self._replication.progress(learner.member.member_id)
        if progress is None or progress.last_reply_at is None:
            return False
        behind = node.log.last_index - progress.match_index
        committed = progress.match_index >= node.commit_index
        return committed and behind <= MAX_LEARNER_LAG_ENTRIES

    def _propose_configuration(
        self, member: records.Member, now: datetime.datetime
    ) -> bool:
        """Propose to add a learner, or to remove the member it replaces.

        Returns whether a configuration was proposed.
        """
        node = self._node
        configuration = node.log.configuration
        replaced = configuration.member_of_daemon(member.daemon_id)
        if replaced is None and len(configuration.members) >= self._max_voters:
            # A member that is silent can be replaced by another host.
            replaced = self._silent_member(now)
            if replaced is None:
                return False
        if replaced is None:
            proposed = configuration.with_member(member)
        elif replaced != node.me and self._is_silent(replaced, now):
            proposed = configuration.without_member(replaced.member_id)
            self._replication.remove(replaced.member_id)
        else:
            return False
        member_ids = [item.member_id for item in proposed.members]
        log.info("voting members of %s change to %s", node.group, member_ids)
        node.append(
            records.EntryKind.CONFIGURATION, msgspec.msgpack.encode(proposed)
        )
        return True

    def _silent_member(self, now: datetime.datetime) -> records.Member | None:
        for member in self._node.other_voters:
            if self._is_silent(member, now):
                return member
        return None

    def _is_silent(
        self, member: records.Member, now: datetime.datetime
    ) -> bool:
        progress = self._replication.progress(member.member_id)
        last_reply = progress.last_reply_at if progress else None
        return now - (last_reply or self._leader_since) >= timing.REPLACE_AFTER
