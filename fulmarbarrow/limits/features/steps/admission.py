"""Steps for admission control."""

from __future__ import annotations

import datetime

import behave

from fulmarbarrow import clock as clocks
from fulmarbarrow.config import bundle as bundles
from fulmarbarrow.delivery import messages as delivery_messages
from fulmarbarrow.delivery import refusals
from fulmarbarrow.limits import core
from fulmarbarrow.limits import messages
from fulmarbarrow.limits import policy as policies
from fulmarbarrow.observe import metrics
from fulmarbarrow.publishing import messages as publishing_messages
from fulmarbarrow.zones import messages as zones_messages

SECOND = datetime.timedelta(seconds=1)


def request_admission(context, request_id, deadline):
    event = messages.AdmitRequest(
        request_id=request_id,
        account="volos",
        service="register",
        cost=100,
        worth=1.0,
        deadline=deadline,
    )
    return context.limits.handle(event, context.clock.now())


@behave.given("an account with a limit of 1 open request")
def step_account(context):
    context.clock = clocks.ManualClock()
    context.limits = core.LimitsCore(
        metrics=metrics.Metrics(), policy=policies.Policy()
    )
    account = bundles.Account(
        name="volos", key_salt="s", key_digest="d", max_open_requests=1
    )
    configured = publishing_messages.ConfigurationChanged(
        revision=1, bundle=bundles.Bundle(account=(account,))
    )
    context.limits.handle(configured, context.clock.now())
    context.deadline = context.clock.now() + SECOND


@behave.when("a request arrives while its deadline has passed")
def step_deadline_passed(context):
    context.effects = request_admission(
        context, "r-1", context.clock.now() - SECOND
    )


@behave.when("a request arrives while another one is open")
def step_another_open(context):
    (admitted,) = request_admission(context, "r-1", context.deadline)
    assert isinstance(admitted, messages.Admitted)
    context.effects = request_admission(context, "r-2", context.deadline)


@behave.when("a request arrives while capacity is short for its worth")
def step_capacity_short(context):
    short = zones_messages.AdmissionThreshold(service="register", floor=1.0)
    context.limits.handle(short, context.clock.now())
    context.effects = request_admission(context, "r-1", context.deadline)


@behave.then("it is refused with {code}, which is reported as not executed")
def step_refused(context, code):
    (refused,) = context.effects
    assert isinstance(refused, messages.NotAdmitted)
    assert refused.code == code, refused
    assert refusals.REFUSALS[code].ran is delivery_messages.Ran.NO
