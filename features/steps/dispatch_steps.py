"""Steps for the dispatcher that sends requests to a server."""

from __future__ import annotations

import types

import behave

from features.steps import load_fixtures
from radishferry import manifest
from radishferryd import dispatch
from radishferryd import job as job_module
from radishferryd import http_message
from radishferryd import policy
from radishferryd import streams

DEADLINE_S = 2.0
ADDRESS = '127.0.0.1:9'


class _Connection:
    def __init__(self):
        self.sent = None
        self.headers = ()
        self.exchange = None
        self.is_writable = True
        self.is_paused = False
        self.is_aborted = False

    def request(self, method, target, headers, exchange, body, last):
        self.headers = headers
        self.exchange = exchange
        self.sent = body

    def send_body(self, data, last):
        self.sent += data

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def abort(self):
        self.is_aborted = True


class _Pool:
    def __init__(self):
        self.is_exhausted = False
        self.connections = []

    def acquire(self):
        if self.is_exhausted:
            return None
        self.connections.append(_Connection())
        return self.connections[-1]


class _Observer:
    def __init__(self):
        self.results = []

    def admit(self, job, now):
        return None

    def check_start(self, job, now):
        return None

    def started(self, job, now):
        pass

    def crashed(self, crash_id, now):
        pass

    def finished(self, job, now):
        self.results.append(job.result)


@behave.given('a dispatcher with {slots:d} slot')
@behave.given('a dispatcher with {slots:d} slots')
def make_dispatcher(context, slots):
    context.clock = load_fixtures.Scheduler()
    context.view = types.SimpleNamespace(
        term=3, active={1: 5}, can_send_work=lambda now: context.can_send_work
    )
    context.can_send_work = True
    context.observer = _Observer()
    server = manifest.Server('inventory-1', ADDRESS, 'a')
    kinds = (
        manifest.RequestKind('lookup', 'GET', '/lots/{key}', True),
        manifest.RequestKind('file', 'GET', '/files/{key}', True, True),
    )
    context.dispatcher = dispatch.ServerDispatcher(
        None,
        context.clock,
        manifest.Service('inventory', True, (server,), kinds, slots=slots),
        server,
        context.view,
        context.observer,
    )
    context.pool = context.dispatcher.pool = _Pool()
    context.sinks = []
    context.jobs = []


@behave.given('the dispatcher has no connections left')
def exhaust_pool(context):
    context.pool.is_exhausted = True


@behave.given('the dispatcher records crashes')
def record_crashes(context):
    app = types.SimpleNamespace(
        scheduler=context.clock,
        broadcaster=types.SimpleNamespace(send=lambda name, message: None),
    )
    context.policy = policy.Policy(app)
    dispatcher = context.dispatcher
    dispatcher.observer = context.policy.observer(
        dispatcher.service, dispatcher.server
    )


@behave.then('{count:d} request is a suspect')
@behave.then('{count:d} requests are suspects')
def check_suspects(context, count):
    assert len(context.policy.poison()) == count


@behave.given('the dispatcher may not send work')
def forbid_work(context):
    context.can_send_work = False


def _arrive(
    context, range_id, kind='lookup', headers=(), deadline_s=DEADLINE_S
):
    sink = load_fixtures.Sink()
    request = streams.Request(
        'inventory',
        kind,
        'inventory-1',
        range_id,
        5,
        'GET',
        '/lots/a',
        job_module.forwardable_headers(headers),
        deadline_s,
        'id',
        '',
        'a',
        False,
    )
    context.sinks.append(sink)
    context.jobs.append(context.dispatcher.begin(request, sink))


@behave.when('a job arrives for range {range_id:d}')
def job_arrives(context, range_id):
    _arrive(context, range_id)


@behave.when('the dispatcher may send work, and the first job ends the second')
def first_ends_second(context):
    first, second = context.sinks[0], context.jobs[1]
    first.on_refused = lambda refusal: second.cancel()
    context.pool.is_exhausted = context.can_send_work = True
    context.dispatcher.pump()


@behave.then('{count:d} jobs have ended')
def jobs_have_ended(context, count):
    found = [job for job in context.jobs if job.result is not None]
    assert len(found) == count, found


@behave.when('a long job arrives for range {range_id:d}')
def long_job_arrives(context, range_id):
    _arrive(context, range_id, 'file')


@behave.when('{count:d} long jobs arrive for range {range_id:d}')
def long_jobs_arrive(context, count, range_id):
    for _ in range(count):
        _arrive(context, range_id, 'file', deadline_s=3600.0)


@behave.when(
    '{count:d} jobs with a deadline of 1 second arrive for range {range_id:d}'
)
def jobs_with_short_deadline_arrive(context, count, range_id):
    for _ in range(count):
        _arrive(context, range_id, deadline_s=1.0)


@behave.when('{seconds:g} seconds pass at the dispatcher')
def pass_time(context, seconds):
    context.clock.advance(seconds)


@behave.when('the job on connection {number:d} takes {seconds:g} seconds')
def job_takes(context, number, seconds):
    context.clock.advance(seconds)
    _end(context.pool.connections[number].exchange)


@behave.when('a job arrives for range {range_id:d} with the header {name}')
def job_arrives_with_header(context, range_id, name):
    _arrive(context, range_id, headers=((name, '99'),))


@behave.when(
    '{count:d} jobs with a deadline of 1 hour arrive for range {range_id:d}'
)
def jobs_with_long_deadline_arrive(context, count, range_id):
    for _ in range(count):
        _arrive(context, range_id, deadline_s=3600.0)


@behave.when('{count:d} jobs arrive for range {range_id:d}')
def jobs_arrive(context, count, range_id):
    for _ in range(count):
        _arrive(context, range_id)


def _head(context, status=200, headers=()):
    head = http_message.Head('', '', status, tuple(headers), True)
    _exchange(context).on_head(head)


def _exchange(context):
    return context.pool.connections[-1].exchange


@behave.when("the job's server cannot be connected to")
def fail_connect(context):
    _exchange(context).on_failed('refused', False)


@behave.when("the job's server breaks the connection")
def break_connection(context):
    _exchange(context).on_failed('reset', True)


@behave.when("the job's server breaks off its answer")
def break_answer(context):
    _head(context)
    _exchange(context).on_body(b'part')
    _exchange(context).on_failed('reset', True)


@behave.when("the job's server is silent past the deadline")
@behave.when("the job's deadline passes")
def pass_deadline(context):
    context.clock.advance(DEADLINE_S + job_module.DEADLINE_GRACE_S + 0.1)


@behave.when("the job's server refuses with {reason}")
def refuse(context, reason):
    _head(context, 503, [('radishferry-refused', reason)])
    _exchange(context).on_end()


@behave.then('its connection is closed')
def connection_closed(context):
    assert context.pool.connections[-1].is_aborted


@behave.when("the job's server sends {size:d} bytes of its answer")
def send_answer(context, size):
    _head(context)
    _exchange(context).on_body(b'x' * size)


@behave.when("the job's server answers with 10 declared bytes in 2 parts")
def answer_in_parts(context):
    _head(context, 200, [('content-length', '10')])
    _exchange(context).on_body(b'x' * 5)
    _exchange(context).on_body(b'x' * 5)
    _exchange(context).on_end()


@behave.when("the job's server answers with 10 declared bytes but no end")
def answer_without_end(context):
    _head(context, 200, [('content-length', '10')])
    _exchange(context).on_body(b'x' * 10)
    _exchange(context).on_failed('reset', True)


@behave.when('the time to detect a crash passes')
def pass_crash_detection(context):
    context.clock.advance(dispatch.CRASH_DETECTION_S)


@behave.when('the dispatcher detects a crash')
def detect_crash(context):
    context.dispatcher.crashed('crash')


@behave.when("the dispatcher's coordinator stands down")
def stand_down(context):
    context.dispatcher.refuse_queued()


@behave.when('range {range_id:d} moves away from the dispatcher')
def move_range(context, range_id):
    del context.view.active[range_id]


@behave.when('the first job ends')
def end_first(context):
    _end(context.pool.connections[0].exchange)


def _end(exchange):
    exchange.on_head(http_message.Head('', '', 200, (), True))
    exchange.on_end()


@behave.when('the last job is cancelled')
def cancel_last(context):
    context.jobs[-1].cancel()


@behave.when('the job is granted {size:d} bytes')
def add_credit(context, size):
    context.jobs[-1].add_credit(size)


@behave.then('the job is refused as {outcome} because of {reason}')
def check_refused(context, outcome, reason):
    found = [(r.outcome.value, r.reason.value) for r in _refusals(context)]
    assert found == [(outcome, reason)], found


@behave.then('{count:d} jobs are refused as {outcome} because of {reason}')
def check_count_refused(context, count, outcome, reason):
    found = [(r.outcome.value, r.reason.value) for r in _refusals(context)]
    assert found == [(outcome, reason)] * count, [
        r.detail for r in _refusals(context)
    ]


@behave.then(
    'every refused job was reported as overloaded before its deadline'
)
def check_overloaded(context):
    found = {r.reason.value for r in _refusals(context)}
    assert found == {'overloaded'}, found


@behave.then('the job has no answer yet')
@behave.then('the job has no refusal')
def check_no_refusal(context):
    assert not _refusals(context), _refusals(context)


@behave.then('the dispatcher is idle')
def check_idle(context):
    assert context.dispatcher.is_idle
    assert not context.dispatcher.queue.in_flight


@behave.then('the dispatcher has sent {count:d} request')
@behave.then('the dispatcher has sent {count:d} requests')
def check_sent(context, count):
    assert len(context.pool.connections) == count


@behave.then("the job's connection is aborted")
def check_aborted(context):
    assert context.pool.connections[-1].is_aborted


@behave.then("the job's connection is paused")
def check_paused(context):
    assert context.pool.connections[-1].is_paused


@behave.then("the job's connection is not paused")
def check_not_paused(context):
    assert not context.pool.connections[-1].is_paused


@behave.then('the job ended as {outcome} for its observer')
def check_observed(context, outcome):
    assert [r.value for r in context.observer.results] == [outcome]


@behave.then(
    "the job's sink gets {count:d} chunks, the last with {size:d} bytes"
)
def check_chunks(context, count, size):
    chunks = context.sinks[-1].chunks
    assert len(chunks) == count, chunks
    assert [is_last for _, is_last in chunks] == [False, True]
    assert len(chunks[-1][0]) == size


@behave.then(
    'the request at the server has term {term:d}, range {range_id:d} and '
    'epoch {epoch:d}'
)
def check_headers(context, term, range_id, epoch):
    headers = [
        (name.lower(), value)
        for name, value in context.pool.connections[-1].headers
    ]
    for name, value in (
        ('radishferry-term', term),
        ('radishferry-range', range_id),
        ('radishferry-epoch', epoch),
    ):
        found = [v for n, v in headers if n == name]
        assert found == [str(value)], (name, found)


def _refusals(context):
    return [r for sink in context.sinks for r in sink.refusals]
