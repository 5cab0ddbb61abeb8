"""Steps for the messages between direct-mode hosts."""

from __future__ import annotations

import zlib

import behave
import hub_fixtures
import link_fixtures
import load_fixtures

from radishferryd import frames
from radishferryd.gen.router import ttypes
from radishferryd.router import crashes
from radishferryd.router import hub
from radishferryd.router import knowledge
from radishferryd.router import links


@behave.given(
    'the owners of {ranges:d} ranges at {servers:d} servers as a message'
)
def owners(context, ranges, servers):
    width = 65536 // ranges
    context.name = 'key_map_push'
    context.message = ttypes.KeyMapPush(
        'stock',
        [
            ttypes.Owner(f'i-{n * 7919:010x}', 1700000000000 + n)
            for n in range(servers)
        ],
        [n % servers for n in range(ranges)],
        [n * width for n in range(ranges)],
        [(n + 1) * width - 1 for n in range(ranges)],
        [1] * ranges,
        [],
    )


@behave.given('a heartbeat as a message')
def heartbeat(context):
    context.name = 'beat'
    context.message = ttypes.Beat(67, 0.4, False)


@behave.when('the message is encoded for a link')
def encode(context):
    context.data = links.encode(context.name, context.message)


@behave.then('it takes less than half of its bytes')
def smaller(context):
    plain = links._CODEC.encode(context.name, context.message)
    assert len(context.data) < len(plain) / 2, len(context.data)


@behave.then('it is not compressed')
def plain(context):
    assert context.data == links._CODEC.encode(context.name, context.message)


@behave.then('it is decoded to the same message')
def same(context):
    assert link_fixtures.decode(context.data) == [
        (context.name, context.message)
    ]


@behave.given('a compressed frame that is {problem}')
def bad_frame(context, problem):
    data = {
        'too large': zlib.compress(bytes(links.MAX_UNPACKED_BYTES + 1)),
        'cut': zlib.compress(bytes(5000))[:-4],
        'no zlib': b'no zlib',
    }[problem]
    context.data = links._CODEC.encode('packed', ttypes.Packed(data))


@behave.then('decoding it fails with a clear error')
def fails(context):
    try:
        link_fixtures.decode(context.data)
    except frames.FrameError as exc:
        assert 'compress' in str(exc), exc
    else:
        raise AssertionError('the frame was accepted')


@behave.given(
    'a host that knows {count:d} hosts and becomes the granting host'
)
def granting(context, count):
    context.scheduler = load_fixtures.Scheduler()
    context.hub = hub.Hub(
        context.scheduler,
        knowledge.RoutingState(context.scheduler.now),
        hub_fixtures.Ownership(),
        crashes.CrashCounts(),
        1000.0,
        hub_fixtures.directory(context.scheduler),
    )
    context.hub.begin(count)


@behave.when('no host connects for {seconds:g} seconds')
def no_host_connects(context, seconds):
    context.scheduler.advance(seconds)


@behave.then('it reports {count:d} hosts as the total')
def reports_hosts(context, count):
    assert context.hub.host_count == count, context.hub.host_count
