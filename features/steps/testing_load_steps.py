"""Steps for the load generator."""

from __future__ import annotations

import asyncio
import contextlib
import io
import itertools
import random
import uuid

import behave
import orjson

from radishferry_testing import arrivals
from radishferry_testing import http_client
from radishferry_testing import http_io
from radishferry_testing import load
from radishferry_testing import load_kinds
from radishferry_testing import process_specs
from radishferry_testing import request_ids

KIND = load_kinds.LoadKind('look', 'POST', '/lots/{key}', body=b'x')
RAN = (('Radishferry-Outcome', 'ran'),)

#: Duration of a load that exceeds the limit of the generator, in seconds.
LIMITED_S = 0.2


@behave.when(
    '{draws:d} ranks of Zipf(1.0) over {count:d} keys are drawn with seed '
    '{seed:d}'
)
def draw_ranks(context, draws, count, seed):
    ranks = arrivals.ZipfRanks(count)
    rng = random.Random(seed)
    context.ranks = [ranks.draw(rng) for _ in range(draws)]


@behave.then('rank 1 has a share within {tolerance:f} of {share:f}')
def rank_has_share(context, tolerance, share):
    found = context.ranks.count(1) / len(context.ranks)
    assert abs(found - share) < tolerance, found


@behave.then(
    'each of {count:d} ranks has its share within four standard deviations'
)
def ranks_have_shares(context, count):
    total = sum(1 / rank for rank in range(1, count + 1))
    for rank in range(1, count + 1):
        share = 1 / rank / total
        expected = len(context.ranks) * share
        deviation = (expected * (1 - share)) ** 0.5
        found = context.ranks.count(rank)
        assert abs(found - expected) < 4 * deviation, (rank, found)


@behave.then('all ranks lie between 1 and {count:d}')
def ranks_in_bounds(context, count):
    assert min(context.ranks) == 1
    assert count / 100 < max(context.ranks) <= count, max(context.ranks)


@behave.then(
    'the {hot:d} hottest of {count:d} keys differ after a shift by {shift:d}'
)
def hottest_differ(context, hot, count, shift):
    keys = arrivals.Keys(count)
    before = set(keys.hottest(hot))
    keys.shift = shift
    assert len(before) == hot
    assert not before & set(keys.hottest(hot))


@behave.when('arrivals of "{rate}" over {duration:d} s are drawn with seed 1')
def draw_arrivals(context, rate, duration):
    schedule = arrivals.parse_schedule(rate)
    rng = random.Random(1)
    context.times = list(arrivals.poisson(schedule, duration, rng))
    context.half = duration / 2


@behave.then(
    'about {first:d} arrive in the first half and {second:d} in the second'
)
def arrivals_in_halves(context, first, second):
    early = sum(time < context.half for time in context.times)
    late = len(context.times) - early
    # Four standard deviations of a Poisson distribution.
    assert abs(early - first) < 4 * first**0.5, early
    assert abs(late - second) < 4 * second**0.5, late


@behave.then('a request id of {millis:d} ms is a UUIDv7 of that time')
def request_id_has_time(context, millis):
    found = uuid.UUID(request_ids.uuid7(millis * 1_000_000))
    assert found.version == 7 and found.variant == uuid.RFC_4122, found
    assert found.int >> 80 == millis, found


@behave.given(
    'a fake host for {count:d} requests that answers once all have arrived'
)
def host_that_waits(context, count):
    context.arrived = itertools.count(1)
    context.wanted = count
    context.all_arrived = asyncio.Event()

    async def handle(request):
        if next(context.arrived) >= count:
            context.all_arrived.set()
        await context.all_arrived.wait()
        await request.respond(200, b'', RAN)

    _add_host(context, handle)


async def _never_answer(request):
    await asyncio.get_running_loop().create_future()


async def _answer(request):
    await request.respond(200, await request.body.read(), RAN)


async def _cut_off(request):
    await request.start(200, RAN, 100)
    await request.write(b'x' * 10)
    await request.end()
    request.close()


async def _close(request):
    request.abort()


async def _echo(request):
    await request.start(200, RAN)
    async for chunk in request.body.chunks():
        await request.write(chunk)
    await request.end()


HANDLERS = {
    'never answers': _never_answer,
    'answers "ran"': _answer,
    'cuts its bodies off': _cut_off,
    'closes without an answer': _close,
    'echoes bodies': _echo,
    'refuses connections': None,
}


@behave.given('a fake host that {behaviour}')
def host_with_behaviour(context, behaviour):
    _add_host(context, HANDLERS[behaviour])


@behave.when(
    'a load of {rate:d} requests/s is sent until {count:d} have arrived'
)
def send_load(context, rate, count):
    async def run(generator):
        schedule = arrivals.parse_schedule(f'constant:{rate}')
        await generator.run(schedule, 2 * count / rate)

    _run_load(context, run)


@behave.when(
    'a load of {rate:d} requests/s is sent with at most {limit:d} open'
)
def send_limited_load(context, rate, limit):
    async def run(generator):
        schedule = arrivals.parse_schedule(f'constant:{rate}')
        await generator.run(schedule, LIMITED_S)

    _run_load(context, run, max_in_flight=limit, timeout_s=LIMITED_S)


@behave.when('a load is sent whose records cannot be written')
def send_without_records(context):
    async def run(hosts, _):
        file = io.BytesIO()
        file.close()
        generator = load.LoadGenerator(
            hosts, [KIND], arrivals.Keys(100), records=file, seed=1
        )
        schedule = arrivals.parse_schedule('constant:100')
        try:
            await generator.run(schedule, LIMITED_S)
        except ValueError as exc:
            return exc
        finally:
            generator.close()
        return None

    context.failure = asyncio.run(_with_hosts(context, run))


@behave.then('the load ends with the error of the records')
def load_ends_with_error(context):
    assert 'closed file' in str(context.failure), context.failure


@behave.when('{count:d} single requests are sent')
def send_single(context, count):
    send_with_repeats(context, count, 0)


@behave.when('{count:d} single requests are sent with {repeats:d} repeats')
def send_with_repeats(context, count, repeats):
    async def run(generator):
        for number in range(count):
            await generator.send(KIND, f'key-{number}')

    _run_load(context, run, resend=load_kinds.ResendPolicy(repeats, wait_s=0))


@behave.when('a body of {size:d} bytes is sent in chunks')
def send_body_in_chunks(context, size):
    context.sent = random.Random(1).randbytes(size)

    async def parts():
        for start in range(0, size, 70000):
            yield context.sent[start : start + 70000]

    async def run(_, host):
        client = http_client.Client(host)
        response = await client.request('POST', '/', body=parts())
        context.received = await response.read()
        client.close()

    asyncio.run(_with_hosts(context, run))


@behave.then('the same body comes back')
def same_body(context):
    assert context.received == context.sent


@behave.then('all requests of the load got "{outcome}"')
def all_got(context, outcome):
    finals = context.report['kinds']['look']['final_outcomes']
    assert set(finals) == {outcome} and finals[outcome] > 0, finals


@behave.then('the load counted latencies from the intended send time')
def latencies_from_intended(context):
    longest_ns = max(r['end_ns'] - r['intended_ns'] for r in context.records)
    found_ms = context.report['kinds']['look']['latency']['max_ms']
    # The histogram keeps three significant digits.
    assert abs(found_ms - longest_ns / 1e6) <= 0.01 * found_ms, found_ms
    assert all(r['send_ns'] >= r['intended_ns'] for r in context.records)


@behave.then('the load report says that the generator was the limit')
def generator_was_limit(context):
    assert context.report['skipped'] > 0
    assert context.report['generator_limited'] is True


@behave.then('the records of the load show a "{body}" body')
def records_show_body(context, body):
    assert [r['body'] for r in context.records] == [body], context.records
    assert context.records[0]['outcome'] == 'ran'


@behave.then('the records of the load show one id at two hosts')
def one_id_two_hosts(context):
    assert len({r['id'] for r in context.records}) == 1, context.records
    assert len({r['host'] for r in context.records}) == 2, context.records
    assert [r['attempt'] for r in context.records] == [0, 1]


def _add_host(context, handler):
    if 'hosts' not in context:
        context.hosts = []
    context.hosts.append(handler)


def _run_load(context, run, **options):
    """Run a function with a load generator; store its report and records."""
    file = io.BytesIO()

    async def run_generator(hosts, _):
        generator = load.LoadGenerator(
            hosts,
            [KIND],
            arrivals.Keys(100),
            records=file,
            seed=1,
            **options,
        )
        await run(generator)
        generator.close()
        return generator.report.report()

    context.report = asyncio.run(_with_hosts(context, run_generator))
    context.records = [orjson.loads(r) for r in file.getvalue().splitlines()]


async def _with_hosts(context, run):
    """Serve the hosts of the scenario while a function runs."""
    addresses = []
    async with contextlib.AsyncExitStack() as stack:
        for handler in context.hosts:
            port = process_specs.free_ports(1)[0]
            addresses.append(f'{http_io.LOOPBACK}:{port}')
            if handler is not None:
                await stack.enter_async_context(
                    http_io.listening(handler, port)
                )
        return await run(addresses, addresses[0])
