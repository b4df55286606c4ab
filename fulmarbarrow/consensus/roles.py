"""The role of a member and what leads from one to another."""

from __future__ import annotations

import typing

import automat


class Actions(typing.Protocol):
    """What a change of role has done by the election."""

    def follow(self) -> None:
        """Wait for a leader."""

    def ask_pre_votes(self) -> None:
        """Ask whether an election could be won, without a new term."""

    def ask_votes(self) -> None:
        """Enter a new term and ask for votes."""

    def take_leadership(self) -> None:
        """Act as leader of the term that was won."""

    def give_up_leadership(self) -> None:
        """Answer everything that waits for this leader."""


class Roles(typing.Protocol):
    """Inputs of a member's role."""

    def formed(self) -> None:
        """A log exists on this host."""

    def timed_out(self) -> None:
        """No leader was heard for the election timeout."""

    def pre_votes_won(self) -> None:
        """A quorum would give its vote."""

    def called(self) -> None:
        """The leader hands its leadership to this member."""

    def votes_won(self) -> None:
        """A quorum gave its vote."""

    def step_down(self) -> None:
        """Another leader or a higher term was seen, or the quorum lost."""


def _build() -> typing.Callable[[Actions], Roles]:
    builder = automat.TypeMachineBuilder(Roles, Actions)
    unformed = builder.state("unformed")
    follower = builder.state("follower")
    pre_candidate = builder.state("pre_candidate")
    candidate = builder.state("candidate")
    leader = builder.state("leader")

    @unformed.upon(Roles.formed).to(follower)
    def formed(_: Roles, actions: Actions) -> None:
        actions.follow()

    @follower.upon(Roles.timed_out).to(pre_candidate)
    def follower_timed_out(_: Roles, actions: Actions) -> None:
        actions.ask_pre_votes()

    @pre_candidate.upon(Roles.timed_out).to(pre_candidate)
    def pre_candidate_timed_out(_: Roles, actions: Actions) -> None:
        actions.ask_pre_votes()

    @candidate.upon(Roles.timed_out).to(pre_candidate)
    def candidate_timed_out(_: Roles, actions: Actions) -> None:
        actions.ask_pre_votes()

    @pre_candidate.upon(Roles.pre_votes_won).to(candidate)
    def pre_votes_won(_: Roles, actions: Actions) -> None:
        actions.ask_votes()

    @follower.upon(Roles.called).to(candidate)
    def called(_: Roles, actions: Actions) -> None:
        actions.ask_votes()

    @pre_candidate.upon(Roles.called).to(candidate)
    def pre_candidate_called(_: Roles, actions: Actions) -> None:
        actions.ask_votes()

    @candidate.upon(Roles.votes_won).to(leader)
    def votes_won(_: Roles, actions: Actions) -> None:
        actions.take_leadership()

    @follower.upon(Roles.step_down).to(follower)
    def still_follower(_: Roles, actions: Actions) -> None:
        actions.follow()

    @pre_candidate.upon(Roles.step_down).to(follower)
    def pre_candidate_steps_down(_: Roles, actions: Actions) -> None:
        actions.follow()

    @candidate.upon(Roles.step_down).to(follower)
    def candidate_steps_down(_: Roles, actions: Actions) -> None:
        actions.follow()

    @leader.upon(Roles.step_down).to(follower)
    def leader_steps_down(_: Roles, actions: Actions) -> None:
        actions.give_up_leadership()
        actions.follow()

    return builder.build()


make_roles = _build()
