"""Steps for the bounds of a lease."""

from __future__ import annotations

import behave
import ownership_fakes

from radishferry import actions
from radishferry import lease

NETWORK_DELAY_S = 0.01


def _receive_reading(context, at):
    context.timer.answered(
        lease.ClockReading(
            context.server.clock_ms(at), at - NETWORK_DELAY_S, at
        )
    )


@behave.given('a lease timer that read the clock at {first:g} s only')
def read_once(context, first):
    context.timer = lease.LeaseTimer()
    context.server = ownership_fakes.FakeServer('a', 5000.0)
    context.server.handle(actions.SendLease(1, 1, 0.0, None), first)
    _receive_reading(context, first)


@behave.given(
    'a lease timer that read the clock at {first:g} s and at {second:g} s'
)
def read_twice(context, first, second):
    read_once(context, first)
    _renew(context, second - NETWORK_DELAY_S, second, 2)
    _receive_reading(context, second)


def _renew(context, sent_at, arrives_at, seq):
    expires_at_ms = context.timer.expires_at_ms
    context.timer.sent()
    context.server.handle(
        actions.SendLease(1, seq, expires_at_ms, {0: 1}), arrives_at
    )


def _is_held(context, now):
    return bool(context.server.holds(now))


@behave.when(
    'a renewal is sent at {sent:g} s and arrives at {arrives:g} s unanswered'
)
def renew_late(context, sent, arrives):
    _renew(context, sent, arrives, 3)


@behave.when(
    'a renewal is sent at {sent:g} s and its response takes {delay:g} s'
)
def renew_slowly(context, sent, delay):
    _renew(context, sent, sent + NETWORK_DELAY_S, 3)
    context.timer.answered(
        lease.ClockReading(
            context.server.clock_ms(sent + NETWORK_DELAY_S), sent, sent + delay
        )
    )


@behave.when('the lease timer forgets the clock')
def forget_clock(context):
    context.timer.forget_clock()


@behave.then("the server's lease expires no later than its upper bound")
def expires_by_upper_bound(context):
    # The clocks do not drift here, so the margin is not used.
    at = context.timer.latest_expiry
    assert _is_held(context, at - lease.EXPIRY_MARGIN_S - 0.001)
    assert not _is_held(context, at - lease.EXPIRY_MARGIN_S)


@behave.then('work is sent no later than the lease of the server expires')
def work_ends(context):
    assert context.timer.valid_until > 0
    assert _is_held(context, context.timer.valid_until - 0.001)


@behave.then(
    'the upper bound of the expiry is {at:g} s and no work may be sent'
)
def upper_bound_is(context, at):
    assert abs(context.timer.latest_expiry - at) < 1e-9, (
        context.timer.latest_expiry
    )
    assert context.timer.valid_until == 0


@behave.then('the next renewal does not extend the lease')
def does_not_extend(context):
    assert context.timer.expires_at_ms == 0
    assert context.timer.valid_until == 0
