"""Steps for the messages between the granting host and many others."""

from __future__ import annotations

import collections
import random
import types
from unittest import mock

import behave
import hub_fixtures
import link_fixtures
import load_fixtures
import orjson

from radishferry.direct import key_map
from radishferry.direct import pacing
from radishferryd.gen.router import ttypes
from radishferryd.router import crashes
from radishferryd.router import hub as hub_module
from radishferryd.router import knowledge
from radishferryd.router import links
from radishferryd.router import spoke

#: Number of keys of a range.
_WIDTH = 100


class _Link:
    """Stand in for the link to one host and record what is sent on it."""

    data_centre = 'x'

    def __init__(self, number, now):
        self.host = f'host{number}'
        self.written = []
        self.written_at = []
        self._now = now

    def send(self, name, message):
        self.write(links.encode(name, message))

    def write(self, data):
        self.written.append(data)
        self.written_at.append(self._now())

    def is_silent(self, now):
        return False

    def close(self):
        """Do nothing."""

    def key_maps(self):
        """Return the pushes of owners that were sent."""
        return [
            message
            for name, message in link_fixtures.decode(b''.join(self.written))
            if name == 'key_map_push'
        ]


class _Ownership(hub_fixtures.Ownership):
    """Hold the owners of one service."""

    services = ('stock',)

    def __init__(self):
        super().__init__()
        self.known = {}

    def segments(self, service):
        return tuple(self.known.values())

    def change(self, number, owner):
        """Change the owner of a range and notify the listeners."""
        start = number * _WIDTH
        segment = key_map.Segment(start, start + _WIDTH - 1, (owner, 1), 7)
        self.known[start] = segment
        for callback in self.on_segments:
            callback('stock', (segment,))


def _connect(context, count):
    for _ in range(count):
        link = _Link(len(context.links), context.scheduler.now)
        context.links.append(link)
        context.hub.link_message(
            link, 'hello', ttypes.Hello(link.host, link.data_centre)
        )


def _become_granting_host(context, link_mbps=1000.0):
    context.scheduler = load_fixtures.Scheduler()
    context.routing_state = knowledge.RoutingState(context.scheduler.now)
    context.ownership = _Ownership()
    context.links = []
    context.hub = hub_module.Hub(
        context.scheduler,
        context.routing_state,
        context.ownership,
        crashes.CrashCounts(),
        link_mbps,
        hub_fixtures.directory(context.scheduler),
    )
    context.hub.begin(1)


@behave.given('the granting host of {count:d} hosts')
@behave.given(
    'the granting host of {count:d} hosts with a link of {link_mbps:g} Mbit/s'
)
def granting_host(context, count, link_mbps=1000.0):
    context.hosts = count
    context.link_mbps = link_mbps
    _become_granting_host(context, link_mbps)
    _connect(context, count - 1)
    for link in context.links:
        link.written.clear()
        link.written_at.clear()


@behave.given('a host that becomes the granting host with {count:d} ranges')
def becomes_granting_host(context, count):
    _become_granting_host(context)
    for number in range(count):
        context.ownership.change(number, f'i-{number % 198}')
    context.scheduler.advance(1.0)


@behave.when(
    '{count:d} ranges change their owners one after the other in '
    '{seconds:g} seconds'
)
def ranges_change(context, count, seconds):
    for number in range(count):
        context.ownership.change(number, 'i-old')
        context.ownership.change(number, 'i-new')
        context.scheduler.advance(seconds / count)
    context.scheduler.advance(0.1)


@behave.when('{count:d} hosts connect to it within {seconds:g} second')
@behave.when('{count:d} hosts connect to it within {seconds:g} seconds')
def hosts_connect(context, count, seconds):
    encode = mock.Mock(side_effect=links.encode)
    with mock.patch.object(hub_module.links, 'encode', encode):
        for _ in range(count):
            _connect(context, 1)
            context.scheduler.advance(seconds / count)
    context.encoded = collections.Counter(
        call.args[0] for call in encode.call_args_list
    )


@behave.when('range {number:d} moves to another owner')
def range_moves(context, number):
    context.ownership.change(number, 'i-new')


@behave.then('all hosts together send at most {count:d} reports a second')
def reports_a_second(context, count):
    interval_s = pacing.report_interval_s(context.hosts)
    assert context.hosts / interval_s <= count


@behave.then('each host reports every {seconds:g} seconds or more often')
def reports_often(context, seconds):
    assert pacing.report_interval_s(context.hosts) <= seconds


@behave.then('each host has got between {least:d} and {most:d} pushes')
def pushes(context, least, most):
    for link in context.links:
        assert least <= len(link.written) <= most, len(link.written)


@behave.then('the pushes name the last owner of each range')
def last_owners(context):
    found = types.SimpleNamespace(segments=())
    for message in context.links[-1].key_maps():
        pushed = [
            key_map.Segment(start, end, message.owners[number].server_id, 0)
            for start, end, number in zip(
                message.start_keys,
                message.end_keys,
                message.owner_numbers,
                strict=True,
            )
        ]
        found.segments = knowledge.overlay(found.segments, pushed)
    assert len(found.segments) == len(context.ownership.known)
    assert {segment.owner for segment in found.segments} == {'i-new'}


@behave.then('each host has got the owners of {count:d} ranges')
def got_owners(context, count):
    for link in context.links:
        (message,) = link.key_maps()
        assert len(message.start_keys) == count


@behave.then('the owners were encoded at most {count:d} times')
def encoded_times(context, count):
    assert 0 < context.encoded['key_map_push'] <= count, context.encoded


@behave.then('the last host knows the new owner of range {number:d}')
def knows_new(context, number):
    message = context.links[-1].key_maps()[-1]
    owner = message.owners[message.owner_numbers[number]]
    assert owner.server_id == 'i-new'


@behave.when(
    '{count:d} configurations of {routes:d} routes come in {seconds:g} seconds'
)
def configurations_come(context, count, routes, seconds):
    context.routing_state.note_configuration_read(context.scheduler.now())
    for version in range(1, count + 1):
        context.document = _configuration(version, routes)
        context.routing_state.apply_document(context.document, 'store')
        context.scheduler.advance(seconds / count)
    context.scheduler.advance(1.0 if count > 1 else 0.0)


def _configuration(version, routes):
    rng = random.Random(version)
    return orjson.dumps(
        {
            'version': f'{version:08x}',
            'services': {'stock': {}},
            'routes': {
                f'r-{number}-{rng.getrandbits(32):x}': {
                    'host': f'h{number % 9}.example',
                    'prefix': f'/{rng.getrandbits(32):x}/',
                    'kind': 'safe',
                    'service': 'stock',
                }
                for number in range(routes)
            },
        }
    )


def _configuration_frames(link):
    return [
        data
        for data in link.written
        for name, _ in link_fixtures.decode(data)
        if name == 'configuration_push'
    ]


@behave.then('at most one configuration was queued for the link at a time')
def one_queued(context):
    sizes = collections.Counter()
    for link in context.links:
        for at, data in zip(link.written_at, link.written, strict=True):
            sizes[at] += len(data)
    bytes_per_s = context.link_mbps * 1e6 / 8
    queued = 0.0
    previous_at = 0.0
    for at, size in sorted(sizes.items()):
        queued = max(0.0, queued - (at - previous_at) * bytes_per_s) + size
        previous_at = at
        assert queued <= max(sizes.values()) + 1, (at, queued, sizes)


@behave.then('no host has got a configuration')
def got_no_configuration(context):
    assert len(context.links) == 4
    assert not any(map(_configuration_frames, context.links))


@behave.then('the heartbeats make all hosts read the store')
def heartbeats_are_stale(context):
    context.hub.tick()
    for link in context.links:
        (name, message) = link_fixtures.decode(link.written[-1])[0]
        assert name == 'beat'
        age_s = message.configuration_age_s
        assert age_s > spoke.STALE_CONFIGURATION_S, age_s


@behave.then('each host has the last configuration')
def has_last_configuration(context):
    for link in context.links:
        *_, (_, message) = link_fixtures.decode(
            _configuration_frames(link)[-1]
        )
        assert message.document == context.document
