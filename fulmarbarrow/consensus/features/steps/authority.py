"""Steps for the evidence that lets a daemon act on replicated state."""

from __future__ import annotations

import datetime

import behave

from fulmarbarrow import clock as clocks
from fulmarbarrow.consensus import authority
from fulmarbarrow.consensus import contacts
from fulmarbarrow.consensus import messages
from fulmarbarrow.consensus import peer
from fulmarbarrow.consensus import records

SECOND = datetime.timedelta(seconds=1)
OWN = "this"


def pairs(text):
    """Return (address, zone) for each "address@zone"."""
    return [tuple(item.split("@")) for item in text.split()]


@behave.given('a daemon in zone a that knows the control hosts "{hosts}"')
def step_daemon(context, hosts):
    context.now = clocks.ManualClock().now()
    context.evidence = authority.Evidence(zone="a", address=OWN)
    context.evidence.start(context.now)
    context.evidence.learn_seeds(address for address, _ in pairs(hosts))
    for address, zone in pairs(hosts):
        if zone != "?":
            context.evidence.learn_daemon(address, zone, control=True)


def answer(context, answering, seconds, reached=()):
    for _ in range(seconds):
        context.now += SECOND
        for address, zone in pairs(answering):
            context.evidence.hear(
                address, context.now, zone=zone, reached=reached
            )


@behave.when('"" have answered for {seconds:d} seconds')
def step_nobody(context, seconds):
    answer(context, "", seconds)


@behave.when('"{answering}" have answered for {seconds:d} seconds')
def step_answering(context, answering, seconds):
    answer(context, answering, seconds)


@behave.when(
    '"{answering}" has answered for {seconds:d} seconds that it hears '
    '"{reached}"'
)
def step_reached(context, answering, seconds, reached):
    answer(context, answering, seconds, (reached,))


@behave.then("its side of the network is cut off")
def step_cut_off(context):
    assert context.evidence.is_cut_off(context.now)


@behave.then("its side of the network is not cut off")
def step_not_cut_off(context):
    assert not context.evidence.is_cut_off(context.now)


@behave.when("it holds version 7, and nobody told anything")
def step_nothing(context):
    answer(context, "x@a y@b", 5)


@behave.when("it holds version 7, and a leader confirmed version {number:d}")
def step_confirmed(context, number):
    answer(context, "x@a y@b", 5)
    context.evidence.confirm(number, context.now)


@behave.when(
    "it holds version 7, and a leader confirmed version 7 five seconds ago"
)
def step_confirmed_long_ago(context):
    context.evidence.confirm(7, context.now)
    answer(context, "x@a", 5)


@behave.when(
    "it holds version 7, and nothing is cut, a leader confirmed it "
    "{seconds:d} s ago"
)
def step_confirmed_before(context, seconds):
    context.evidence.confirm(7, context.now)
    answer(context, "x@a y@b", seconds)


@behave.when("it holds version 7, and its zone is cut off")
def step_zone_cut_off(context):
    answer(context, "x@a", 5)


@behave.when(
    "it holds version 7, and its zone is cut off and a peer acts on version "
    "{number:d}"
)
def step_peer_acts(context, number):
    answer(context, "x@a", 5)
    context.evidence.hear("r", context.now, zone="a", version=number)


@behave.when(
    "it holds version 7, and its zone is cut off and a leader announced "
    "{number:d}"
)
def step_announced(context, number):
    answer(context, "x@a", 5)
    context.evidence.announce(number)


@behave.then("the basis to act on it is {basis}")
def step_basis(context, basis):
    found = context.evidence.basis(7, context.now)
    assert found == authority.Basis(basis), found


LEASES = {
    "this host with a lease": (OWN, SECOND),
    "this host, whose lease has ended": (OWN, -SECOND),
    "this host, which hands it over": (OWN, None),
    "another host": ("other", None),
    "not known": ("", None),
}


@behave.when("the leader of the log is {case}")
def step_leader(context, case):
    leader, lease = LEASES[case]
    now = clocks.ManualClock().now()
    changed = messages.LeaderChanged(
        group=messages.Group.CONFIGURATION,
        term=1,
        leader=leader,
        address="",
        fencing_number=1,
        lease_until=None if lease is None else now + lease,
    )
    context.may = authority.has_lease(changed, OWN, now)


@behave.then("this host {may} act as leader")
def step_may(context, may):
    assert context.may == (may == "may"), context.may


OTHER = records.Member(daemon_id="other", identity="1", address="y")
COMMON = {"group": records.Group.CONFIGURATION, "log_id": "log"}
MESSAGES = {
    "a pre-vote": peer.VoteRequest(
        **COMMON,
        term=2,
        candidate=OTHER,
        last_index=1,
        last_term=1,
        pre=True,
    ),
    "a join": peer.JoinRequest(**COMMON, member=OTHER),
    "a join reply": peer.JoinReply(**COMMON, member=OTHER),
    "a heartbeat": peer.AppendRequest(
        **COMMON,
        term=2,
        leader=OTHER,
        previous_index=1,
        previous_term=1,
        commit_index=1,
        sent_at=clocks.ManualClock().now(),
    ),
}


@behave.when(
    "another control host sends {message} and {seconds:d} seconds pass"
)
def step_sends(context, message, seconds):
    now = clocks.ManualClock().now()
    heard = contacts.Contacts(address=OWN)
    heard.hear(MESSAGES[message], now)
    context.named = heard.recent(now + seconds * SECOND)


@behave.then("it names itself and the other")
def step_names_other(context):
    assert context.named == (OWN, "y"), context.named


@behave.then("it names itself")
def step_names_itself(context):
    assert context.named == (OWN,), context.named
