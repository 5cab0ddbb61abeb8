"""Steps for servers that never answer what they cannot queue."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import time

import behave
import direct_host_fixtures

from radishferry.direct import admission
from radishferry.direct import availability
from radishferry.direct import hangs
from radishferry.direct import outstanding
from radishferry.direct import registry
from radishferry.direct import selection

_SERVERS = tuple(
    registry.Server(name, 1, 'stock', ('127.0.0.1', 1), 'x', 3, False)
    for name in 'abc'
)
_HOSTS = 85
_TIMEOUT_S = 3.0


@dataclasses.dataclass(eq=False)
class _Pending:
    sent_at: float
    is_idempotent: bool
    usual_s: float = 0.2
    is_silent: bool = True

    @property
    def answer_by(self):
        return self.sent_at + _TIMEOUT_S


@behave.given('a server that usually takes 0.2 seconds')
def watch_server(context):
    context.watch = hangs.Watch()
    context.now = 100.0


@behave.given('an idempotent request is sent to it')
def send_idempotent(context):
    context.watch.note_sent(_Pending(context.now, True))


@behave.given('a request that runs once is sent to it')
def send_once(context):
    context.watch.note_sent(_Pending(context.now, False))


@behave.when(
    'a request that is sent {later:g} seconds later is answered after '
    '{took:g} seconds'
)
def overtake(context, later, took):
    answered = _Pending(context.now + later, True)
    context.now += later + took
    context.watch.note_answered(answered, context.now)


@behave.when('the next {seconds:g} seconds pass')
def advance(context, seconds):
    context.now += seconds


@behave.when(
    'the server reports {total:d} other requests for {seconds:g} seconds'
)
def report(context, total, seconds):
    for tenth in range(round(seconds * 10) + 1):
        context.watch.note_report(total, context.now + tenth / 10)
    context.now += seconds


@behave.then('{count:d} of them hangs')
def hang(context, count):
    found = context.watch.find(0.2, context.now)
    assert len(found) == count, found


@behave.given('servers with 3 slots that report up to 12 queued requests')
def learn_queue(context):
    context.now = 100.0
    context.outstanding = outstanding.Outstanding(_HOSTS)
    context.outstanding.note_report('stock', 3, 12)
    context.stats = selection.ServerStats(3)
    context.stats.service_s = 0.2


def _leave_unanswered(context, count, servers):
    for number in range(count):
        context.outstanding.note_hang(
            _SERVERS[number % servers], None, context.now, False
        )


@behave.when('{count:d} requests at {servers:d} servers are left unanswered')
def leave_unanswered(context, count, servers):
    _leave_unanswered(context, count, servers)


@behave.given('the service is known to hang')
def known(context):
    _leave_unanswered(context, 3, 3)


def _limit(context):
    return context.outstanding.limit('stock', 3, context.now)


@behave.then('the service has no bound')
def unbounded(context):
    assert not context.outstanding.hanging
    context.stats.note_report(3, 40, 3, context.now)
    assert _check(context).is_available


@behave.then('the service has a bound of {limit:d} requests')
@behave.then('the bound is {limit:g} requests')
def bounded(context, limit):
    assert abs(_limit(context) - limit) < 0.01, _limit(context)


def _check(context):
    return context.outstanding.check(
        _SERVERS[0], context.stats, 0.2, context.now
    )


@behave.when('its owner reports {load:d} requests')
def report_load(context, load):
    context.stats.note_report(3, load - 3, 3, context.now)


@behave.when(
    'the last report is 3 seconds old and {count:d} requests of this host are '
    'there'
)
def old_report(context, count):
    context.stats.note_report(1, 0, 3, context.now)
    context.now += 3.0
    context.stats.in_flight = count


@behave.then('a request for the key is sent')
def is_sent(context):
    assert _check(context).is_available


@behave.then(
    'a request for the key is refused as full, to return within {seconds:g} '
    'seconds'
)
def is_refused(context, seconds):
    found = _check(context)
    assert found.reason is availability.Reason.FULL
    delay_s = admission.retry_after_s(found.until - context.now)
    assert 0 < delay_s <= seconds * 1.3, delay_s


@behave.when('{count:d} requests hang {seconds:g} seconds later')
def hang_together(context, count, seconds):
    context.now += seconds
    for _ in range(count):
        context.outstanding.note_hang(_SERVERS[0], 10.0, context.now, True)


@behave.when('{count:d} requests hang in {seconds:g} seconds')
def hang_over_time(context, count, seconds):
    for _ in range(count):
        hang_together(context, 1, seconds / count)


@behave.when('{seconds:g} seconds pass without a hang')
def no_hang(context, seconds):
    context.now += seconds


@behave.given('keyed servers do not answer what they cannot queue')
def hang_when_full(context):
    for number in (0, 1):
        direct_host_fixtures.control_platform(
            context, 'server', server_id=f'i-keyed-{number}', failure='hang'
        )


def _look_up(context, host, work_s, key=0):
    started_at = time.monotonic()
    status, _, _ = direct_host_fixtures.request(
        context,
        host,
        'GET',
        '/k/x',
        X_Test_Work_S=str(work_s),
        X_Shard_Key=str(key),
    )
    return status, time.monotonic() - started_at


@behave.given(
    '{count:d} lookups at each host have been answered one after another'
)
def answer_lookups(context, count):
    for number in range(count * 2):
        _look_up(context, number % 2 + 1, 0.005)


@behave.when(
    '{count:d} lookups with {work_s:g} seconds of work are sent to each host '
    'at once, followed by others'
)
def send_lookups(context, count, work_s):
    with concurrent.futures.ThreadPoolExecutor(2 * count) as pool:
        sent = [
            pool.submit(_look_up, context, number % 2 + 1, work_s, number)
            for number in range(2 * count)
        ]
        # Once the queue is empty, others bring the reports of the server.
        time.sleep(0.7)
        while not all(future.done() for future in sent):
            for host in (1, 2):
                _look_up(context, host, 0.02)
            time.sleep(0.03)
        context.lookup_times = [future.result() for future in sent]


@behave.then(
    '{count:d} of them or more are answered, none after more than '
    '{seconds:g} seconds'
)
def answered(context, count, seconds):
    times = sorted(context.lookup_times)
    assert [status for status, _ in times].count(200) >= count, times
    assert all(took < seconds for _, took in times), times


@behave.then('requests hung at the servers')
def hung(context):
    events = direct_host_fixtures.control_platform(context, 'events')
    assert any(event[0] == 'hang' for event in events)
