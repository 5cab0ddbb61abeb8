"""Steps for the queue of a server; time is simulated."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

import behave

from radishferry import outcomes
from radishferry import server_queue


@behave.given('a queue of {slots:d} slots with reservations {pairs}')
def queue(context, slots, pairs):
    shares = {} if pairs == 'none' else _pairs(pairs)
    context.slots = slots
    context.queue = server_queue.ServerQueue(slots=slots, reservations=shares)
    context.now = 0.0
    context.ids = itertools.count()
    context.running = []
    context.services = {}


@behave.given('{count:d} requests of {kind:w} take {ms:g} ms each')
def measure(context, count, kind, ms):
    for _ in range(count):
        assert _offer(context, kind, 'a', 1e9) is None
        (work,) = context.queue.start(context.now)
        context.now += ms / 1000
        context.queue.finish(work.work_id, context.now)


@behave.when('{count:d} {kind:w} of {caller:w} are queued with {ms:g} ms')
def enqueue(context, count, kind, caller, ms):
    for _ in range(count):
        assert _offer(context, kind, caller, ms) is None
        context.running += context.queue.start(context.now)


@behave.when('{ms:g} ms pass without an answer')
def time_passes(context, ms):
    context.now += ms / 1000


@behave.when(
    'the {which:w} running request ends after {ms:g} ms, {count:d} times'
)
def running_end(context, which, ms, count):
    for _ in range(count):
        context.now += ms / 1000
        work = context.running.pop(0 if which == 'oldest' else -1)
        context.queue.finish(work.work_id, context.now)
        context.running += context.queue.start(context.now)


@behave.then('a {kind:w} of {caller:w} with {ms:g} ms is {answer:w}')
def offer_is(context, kind, caller, ms, answer):
    context.offered = kind, caller, ms
    context.refusal = _offer(context, kind, caller, ms)
    if answer == 'admitted':
        assert context.refusal is None, context.refusal
        return
    assert context.refusal.outcome is outcomes.Outcome.NOT_RUN
    assert context.refusal.reason is outcomes.Reason.OVERLOADED


@behave.then('it is admitted after the announced delay')
def admitted_later(context):
    end = context.now + context.refusal.retry_after_s
    while context.running and context.now + 0.1 <= end:
        running_end(context, 'oldest', 100, 1)
    context.now = end
    assert _offer(context, *context.offered) is None


@behave.then('{count:d} requests run')
def requests_run(context, count):
    assert context.queue.in_flight == count, context.queue.in_flight


@behave.then('no waiting work is shed')
def nothing_shed(context):
    assert context.queue.expire(context.now) == []


@behave.then('{kind:w} is expected to take {least:g} to {most:g} ms')
def expected_to_take(context, kind, least, most):
    # The estimate is the increase of the expected wait by one more request.
    waits = []
    for _ in range(2):
        enqueue(context, 1, kind, 'a', 1e9)
        waits.append(context.queue.expected_wait * 1000)
    assert least <= waits[1] - waits[0] <= most, waits


@behave.when('the queue runs for {seconds:g} s under {load}')
def run_under_load(context, seconds, load):
    rng = random.Random(20)
    context.answers = []
    context.counts = collections.Counter()
    context.begin = context.now
    context.seconds = seconds
    ticks = range(int(seconds * 50))
    events = [(context.now + tick / 50, None) for tick in ticks]
    for part in load.split('; '):
        caller, kind, rate, service, deadline, *begin = part.split()
        at = context.now + float(begin[0] if begin else 0)
        while at < context.now + seconds:
            at += rng.expovariate(float(rate.removesuffix('/s')))
            event = caller, kind, service, float(deadline)
            events.append((at, event))
    events = [(at, next(context.ids), event) for at, event in events]
    heapq.heapify(events)
    while events[0][0] < context.begin + seconds:
        context.now, _, event = heapq.heappop(events)
        _handle(context, event)
        for work in context.queue.start(context.now):
            service = context.services[work.work_id]
            took = float(service.rstrip('~')) / 1000
            took = rng.expovariate(1 / took) if '~' in service else took
            end = context.now + took, next(context.ids), (work, took)
            heapq.heappush(events, end)


def _handle(context, event):
    counts = context.counts
    if event is None:
        expired = context.queue.expire(context.now)
        counts['shed'] += len(expired)
        late = [work for work in expired if work.deadline <= context.now]
        counts['timed out'] += len(late)
    elif len(event) == 2:
        work, took = event
        context.queue.finish(work.work_id, context.now)
        if context.now <= work.deadline:
            at = context.now - context.begin
            context.answers.append((at, work, took))
    else:
        caller, kind, service, deadline = event
        counts[caller] += 1
        counts['admitted'] += _offer(context, kind, caller, deadline) is None
        context.services[context.work_id] = service


@behave.then('{percent:g}% of the slot time went to answers in time')
def slot_time(context, percent):
    spent = sum(took for _, _, took in context.answers)
    assert spent >= percent / 100 * context.slots * context.seconds, spent


@behave.then('{percent:g}% of the requests of {caller:w} were answered')
def answered(context, percent, caller):
    found = sum(work.caller == caller for _, work, _ in context.answers)
    assert found >= percent / 100 * context.counts[caller], found


@behave.then('from {begin:g} s on {caller:w} had {percent:g}% of the answers')
def had_answers(context, begin, caller, percent):
    callers = [w.caller for at, w, _ in context.answers if at >= begin]
    assert callers.count(caller) >= percent / 100 * len(callers)


@behave.then('from {begin:g} s to {end:g} s the shares were {pairs}')
def shares_were(context, begin, end, pairs):
    spent = collections.Counter()
    for at, work, took in context.answers:
        spent[work.caller] += took if begin <= at < end else 0
    total = spent.total()
    assert total >= 0.9 * context.slots * (end - begin), total
    for caller, share in _pairs(pairs).items():
        assert abs(spent[caller] / total - share) <= 0.04, spent


@behave.then('no admitted work timed out and at most {percent:g}% was shed')
def shed(context, percent):
    counts = context.counts
    assert counts['timed out'] == 0, counts
    assert counts['shed'] <= percent / 100 * counts['admitted'], counts


@behave.then('the work of {count:d} callers is kept in at most {most:d} flows')
def flow_count(context, count, most):
    enqueue(context, 6, 'read', 'a', 9000)
    for number in range(count):
        assert _offer(context, 'read', f'c{number}', 9000) is None
        assert context.queue.cancel(context.work_id, context.now)
    assert len(context.queue._backlog.shares.flows) <= most


@behave.then('waiting work is cancelled, expired and drained once')
def removed_once(context):
    queue = context.queue
    cancelled = [queue.cancel(work_id, 0.0) for work_id in (0, 1, 1)]
    assert cancelled == [False, True, False], cancelled
    queue.finish(0, 1.0, ran=False)
    assert queue.start(1.0) == []
    assert len(queue.expire(1.0)) == 2 and queue.expire(1.0) == []
    context.now = 2.0
    enqueue(context, 3, 'read', 'a', 1000)
    assert len(queue.drain()) == 2 and queue.drain() == []
    assert (queue.in_flight, queue.waiting) == (1, 0)


def _offer(context, kind, caller, ms):
    context.work_id = next(context.ids)
    deadline = context.now + ms / 1000
    work = server_queue.Work(
        context.work_id, kind, caller, deadline, kind == 'long'
    )
    return context.queue.offer(work, context.now)


def _pairs(text):
    pairs = (pair.split('=') for pair in text.split())
    return {name: float(value) for name, value in pairs}
