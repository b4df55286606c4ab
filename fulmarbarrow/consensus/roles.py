"""State machine of a member's role."""

from __future__ import annotations

import typing

import automat


class Actions(typing.Protocol):
    """Actions that the election performs on a change of role."""

    def follow(self) -> None:
        """Wait for a leader."""

    def request_pre_votes(self) -> None:
        """Request pre-votes, without starting a new term."""

    def request_votes(self) -> None:
        """Start a new term and request votes."""

    def become_leader(self) -> None:
        """Become leader of the current term."""

    def end_leadership(self) -> None:
        """Answer all requests that wait for this leader."""


class Roles(typing.Protocol):
    """Inputs of the state machine."""

    def log_opened(self) -> None:
        """This host has a log."""

    def timed_out(self) -> None:
        """No message from a leader arrived within the election timeout."""

    def pre_votes_won(self) -> None:
        """A quorum granted its pre-vote."""

    def handover_requested(self) -> None:
        """The leader hands its leadership over to this member."""

    def votes_won(self) -> None:
        """A quorum granted its vote."""

    def step_down(self) -> None:
        """Another leader or a higher term was seen, or the quorum was lost."""


def _build() -> typing.Callable[[Actions], Roles]:
    builder = automat.TypeMachineBuilder(Roles, Actions)
    unformed = builder.state("unformed")
    follower = builder.state("follower")
    pre_candidate = builder.state("pre_candidate")
    candidate = builder.state("candidate")
    leader = builder.state("leader")

    @unformed.upon(Roles.log_opened).to(follower)
    def log_opened(_: Roles, actions: Actions) -> None:
        actions.follow()

    @follower.upon(Roles.timed_out).to(pre_candidate)
    def follower_timed_out(_: Roles, actions: Actions) -> None:
        actions.request_pre_votes()

    @pre_candidate.upon(Roles.timed_out).to(pre_candidate)
    def pre_candidate_timed_out(_: Roles, actions: Actions) -> None:
        actions.request_pre_votes()

    @candidate.upon(Roles.timed_out).to(pre_candidate)
    def candidate_timed_out(_: Roles, actions: Actions) -> None:
        actions.request_pre_votes()

    @pre_candidate.upon(Roles.pre_votes_won).to(candidate)
    def pre_votes_won(_: Roles, actions: Actions) -> None:
        actions.request_votes()

    @follower.upon(Roles.handover_requested).to(candidate)
    def handover_requested(_: Roles, actions: Actions) -> None:
        actions.request_votes()

    @pre_candidate.upon(Roles.handover_requested).to(candidate)
    def pre_candidate_handover_requested(_: Roles, actions: Actions) -> None:
        actions.request_votes()

    @candidate.upon(Roles.votes_won).to(leader)
    def votes_won(_: Roles, actions: Actions) -> None:
        actions.become_leader()

    @follower.upon(Roles.step_down).to(follower)
    def follower_steps_down(_: Roles, actions: Actions) -> None:
        actions.follow()

    @pre_candidate.upon(Roles.step_down).to(follower)
    def pre_candidate_steps_down(_: Roles, actions: Actions) -> None:
        actions.follow()

    @candidate.upon(Roles.step_down).to(follower)
    def candidate_steps_down(_: Roles, actions: Actions) -> None:
        actions.follow()

    @leader.upon(Roles.step_down).to(follower)
    def leader_steps_down(_: Roles, actions: Actions) -> None:
        actions.end_leadership()
        actions.follow()

    return builder.build()


make_roles = _build()
