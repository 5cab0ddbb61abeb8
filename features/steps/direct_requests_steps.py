"""Steps for the attempts of one request."""

from __future__ import annotations

import collections
import dataclasses
import math
import re
import types
from unittest import mock

import behave
import load_fixtures
import request_fixtures

from radishferry.direct import admission
from radishferry.direct import budget
from radishferry.direct import configuration
from radishferry.direct import cost_choice
from radishferry.direct import key_map
from radishferry.direct import outstanding
from radishferry.direct import registry
from radishferry.direct import selection
from radishferry.direct import server_loads
from radishferryd import http_message
from radishferryd.platform import headers
from radishferryd.router import bodies
from radishferryd.router import requests
from radishferryd.router import results


class _Backend:
    """Record the attempts at one server."""

    is_relay = False
    is_full = False

    def __init__(self, server, sent, now):
        self.server = server
        self.stats = selection.ServerStats(server.slots)
        self.in_flight_by_key = collections.Counter()
        self._sent = sent
        self._now = now

    def send(self, attempt, is_idempotent):
        if self.is_full:
            return False
        self._sent.append(attempt)
        attempt.connection = mock.Mock(number=len(self._sent))
        self.stats.note_sent(self._now())
        return True

    def ended(self, attempt, result):
        self.stats.in_flight -= 1


class _Gateway:
    """Stand in for the gateway of the host."""

    host_count = 1
    ends_at = math.inf
    data_centre = 'x'

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.now = scheduler.now
        self.sent = []
        self.waiting = {}
        self.backends = self
        self.relays = request_fixtures.relays(scheduler)
        self.budget = budget.RetryBudget(0.2, 10, 10.0)
        self._stats = admission.RouteStats(configuration.Kind.SAFE)
        self.admission = admission.Admission()
        self._servers = {
            name: registry.Server(
                name, 1, 'stock', ('127.0.0.1', 1), 'x', 4, False, 0.0
            )
            for name in ('a', 'b')
        }
        self._backends = {
            name: _Backend(server, self.sent, scheduler.now)
            for name, server in self._servers.items()
        }
        self.owner_name = 'a'
        self.availability = self
        self.outstanding = outstanding.Outstanding()
        self.cost_choice = cost_choice.CostChoice(
            server_loads.SharedLoads(), self.stats, 'x'
        )
        self.left_names = ['a']
        #: Requests whose callers are ended to free connections.
        self.requests_to_end = []

    def candidates(self, service):
        return [self._servers[name] for name in self.left_names]

    def cold_s(self, server):
        return 0.0

    def get(self, server):
        return self._backends[server.server_id]

    def stats(self, server):
        return self.get(server).stats

    def owner(self, service, key):
        server = self._servers[self.owner_name]
        return key_map.Segment(0, 65535, server.incarnation, 1), server

    def is_moving(self, service, key):
        return False

    def is_poison(self, request):
        return False

    def route_stats(self, request):
        return self._stats

    def note_answer(self, request, attempt, result):
        self._stats.note(
            len(result.body),
            self.now() - attempt.sent_at,
            attempt.backend.last_queue_length,
        )

    def wait_for_owner(self, request):
        self.waiting[request] = None

    def stop_waiting(self, request):
        self.waiting.pop(request, None)

    def end_stalled_callers(self):
        for request in self.requests_to_end:
            request.cancel('the caller was ended')
        return True

    def paused_for_s(self, service):
        return 0.0

    permit_wait_s = paused_for_s

    def note_key(self, service, key):
        """Ignore the key, which only counts as load."""

    def attempt_refused(self, request, attempt, result):
        """Ignore what is only logged."""

    attempt_lost = attempt_ended = attempt_refused

    def finished(self, request, status, outcome, detail):
        """Ignore what is only logged."""


class _Slot:
    """Record the response to the caller."""

    body = bodies.EMPTY

    def __init__(self, now, remaining_ms):
        self.arrived_at = now
        self.refusal = None
        self.answered = None
        self.is_aborted = False
        self.head = http_message.Head(
            'GET',
            '/',
            0,
            (
                ('host', 'stock.example'),
                (headers.KEY, '7'),
                (headers.REQUEST_ID, 'r1'),
                (headers.REMAINING_MS, str(remaining_ms)),
            ),
            True,
        )

    def refuse(self, refusal):
        self.refusal = refusal

    def answer(self, head, body):
        self.answered = head

    def begin_stream(self, head):
        """Ignore the head."""

    def break_off(self, refusal):
        self.is_aborted = True


def _start(context, remaining_ms):
    context.gateway = _Gateway(load_fixtures.Scheduler())
    context.slot = _Slot(context.gateway.now(), remaining_ms)
    context.request = _request(context)
    context.request.start()


def _request(context, service=request_fixtures.SERVICE):
    return requests.Request(
        context.gateway,
        context.slot,
        request_fixtures.ROUTE,
        'stock',
        types.SimpleNamespace(services={'stock': service}, version=1),
    )


@behave.given('an idempotent request that any server may run')
def unkeyed_request(context):
    context.gateway = _Gateway(load_fixtures.Scheduler())
    context.slot = _Slot(context.gateway.now(), 4000)
    service = dataclasses.replace(request_fixtures.SERVICE, is_keyed=False)
    _request(context, service).start()


@behave.when('no other server is left')
def no_other_server(context):
    context.gateway.left_names = []


@behave.when('server "a" responds with status {status:d} without proof')
def responds_without_proof(context, status):
    head = http_message.Head('', '', status, (), True)
    context.gateway.sent[-1].finish(results.Answered(head, b''))


@behave.given('an idempotent request for a key of server "a"')
def idempotent_request(context):
    _start(context, 4000)


@behave.given('the request has a deadline of {seconds:g} seconds')
def short_deadline(context, seconds):
    _start(context, int(seconds * 1000))


def _stats(context):
    return context.gateway.get(types.SimpleNamespace(server_id='a')).stats


@behave.given('the responses of server "a" took {seconds:g} seconds')
def slow_answers(context, seconds):
    for _ in range(5):
        _stats(context).note_answer(seconds, 0, context.gateway.now())


@behave.given(
    'server "a" reports {running:d} running and {waiting:d} queued requests'
)
def reports_load(context, running, waiting):
    _stats(context).note_report(running, waiting, 4, context.gateway.now())


@behave.given('the host stops and ends its requests in {seconds:g} seconds')
def host_stops(context, seconds):
    context.gateway.ends_at = context.gateway.now() + seconds


@behave.when('another request for the key comes')
def another_request(context):
    context.slot = _Slot(context.gateway.now(), 4000)
    _request(context).start()


@behave.given('all connections to server "a" are in use')
def connections_in_use(context):
    context.gateway.get(types.SimpleNamespace(server_id='a')).is_full = True


@behave.when('the connections to server "a" become free')
def connections_free(context):
    context.gateway.get(types.SimpleNamespace(server_id='a')).is_full = False


@behave.when('a request comes whose caller is ended to free connections')
def ended_to_free(context):
    request = _request(context)
    context.gateway.requests_to_end = [request]
    request.start()


@behave.given('two more requests that wait for a connection')
def two_waiting(context):
    for _ in range(2):
        another_request(context)
    assert len(context.gateway.waiting) == 2


@behave.when('the key moves to server "b", where the first ends the second')
def first_ends_second(context):
    context.first, second = context.gateway.waiting
    context.gateway.requests_to_end = [second]
    context.gateway.get(types.SimpleNamespace(server_id='b')).is_full = True
    key_moves(context)


@behave.then('only the first of them is waiting')
def only_first_waits(context):
    assert list(context.gateway.waiting) == [context.first]


@behave.when('no descriptor is left for a connection to server "a"')
def no_descriptor(context):
    context.gateway.sent[-1].finish(
        results.NotRun('no descriptor', is_host_exhausted=True)
    )


@behave.when('server "a" rejects the request')
def rejects(context):
    context.gateway.sent[-1].finish(results.NotRun('the server answered 503'))


@behave.when(
    'server "a" rejects the request and asks for a pause of {seconds:g} '
    'seconds'
)
def asks_for_pause(context, seconds):
    _stats(context).note_requested_pause(seconds, context.gateway.now())
    rejects(context)


@behave.when('{count:d} further requests for the key come')
def further_requests(context, count):
    for _ in range(count):
        another_request(context)


@behave.then('the caller is told to retry after {least:g} to {most:g} seconds')
def told_to_retry(context, least, most):
    assert least <= context.slot.refusal.retry_after_s <= most, (
        context.slot.refusal
    )


@behave.when('server "a" starts a streamed response')
def starts_stream(context):
    attempt = context.gateway.sent[-1]
    context.request.on_stream_head(attempt, context.slot.head)


@behave.then('the response to the caller is aborted')
def response_aborted(context):
    assert context.slot.is_aborted
    assert context.slot.refusal is None


@behave.then('the response to the caller goes on')
def goes_on(context):
    assert context.slot.refusal is None, context.slot.refusal
    assert not context.slot.is_aborted


@behave.when('the key moves to server "b"')
def key_moves(context):
    context.gateway.owner_name = 'b'
    for waiting in list(context.gateway.waiting):
        waiting.owner_changed()


@behave.when('other keys move')
def other_keys_move(context):
    for waiting in list(context.gateway.waiting):
        waiting.owner_changed()


@behave.when('its caller disconnects')
def caller_disconnects(context):
    context.request.cancel('the caller left')


@behave.when('{seconds:g} seconds pass for the request')
def time_passes(context, seconds):
    context.gateway.scheduler.advance(seconds)


@behave.then('the request has been sent to "{names}"')
def sent_to(context, names):
    sent = [attempt.server.server_id for attempt in context.gateway.sent]
    assert sent == names.split(', '), sent


@behave.when('the host ends its requests')
def ends_requests(context):
    context.request.stop()


@behave.then(
    'server "a" has been given {least_ms:d} to {most_ms:d} milliseconds'
)
def given_time(context, least_ms, most_ms):
    (given,) = re.findall(
        rb'(?mi)^x-deadline-ms: (\d+)\r$', context.gateway.sent[-1].data
    )
    assert least_ms <= int(given) <= most_ms, given


@behave.then('its attempt {count:d} may not use the connections of the others')
def may_not_use(context, count):
    *earlier, last = context.gateway.sent
    assert len(earlier) == count - 1, earlier
    for attempt in earlier:
        assert attempt.connection in last.used_connections


@behave.then('no request is waiting')
def none_waiting(context):
    assert not context.gateway.waiting


@behave.then('the request is refused with status {status:d}')
def refused(context, status):
    assert context.slot.answered is None, context.slot.answered
    assert context.slot.refusal.status == status, context.slot.refusal
