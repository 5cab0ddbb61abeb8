"""Steps for requests that crash servers."""

from __future__ import annotations

import behave

from radishferryd.router import crashes


@behave.given('an empty crash count')
def empty_count(context):
    context.now = 100.0
    context.counts = crashes.CrashCounts()


def _crash(counts, fingerprint, servers, now):
    for number in range(servers):
        incarnation = (f'server-{number}', 1)
        counts.note_connection_lost(incarnation, fingerprint, now)
        counts.note_server_dead(incarnation, now)


@behave.when(
    'request {fingerprint:d} is in flight at {servers:d} server that dies'
)
@behave.when(
    'request {fingerprint:d} is in flight at {servers:d} servers that die'
)
def crash(context, fingerprint, servers):
    _crash(context.counts, fingerprint, servers, context.now)


@behave.given(
    'another host that saw request {fingerprint:d} in flight at {servers:d} '
    'servers that died'
)
def crash_elsewhere(context, fingerprint, servers):
    other = crashes.CrashCounts()
    _crash(other, fingerprint, servers, context.now)
    context.counts.merge(other.take_new(), context.now)


@behave.when(
    'request {fingerprint:d} loses its connection to {servers:d} servers '
    'that stay up'
)
def loses_connection(context, fingerprint, servers):
    for number in range(servers):
        incarnation = (f'server-{number}', 1)
        context.counts.note_connection_lost(
            incarnation, fingerprint, context.now
        )


@behave.when(
    'request {fingerprint:d} loses its connection to {servers:d} servers '
    'that die {seconds:g} seconds later'
)
def dies_later(context, fingerprint, servers, seconds):
    incarnations = [(f'server-{number}', 1) for number in range(servers)]
    for incarnation in incarnations:
        context.counts.note_connection_lost(
            incarnation, fingerprint, context.now
        )
    context.now += seconds
    for incarnation in incarnations:
        context.counts.note_server_dead(incarnation, context.now)


@behave.when('{seconds:g} seconds pass without a crash')
def time_passes(context, seconds):
    context.now += seconds


@behave.then('request {fingerprint:d} is refused as poison')
def poison(context, fingerprint):
    assert context.counts.is_poison(fingerprint, context.now)


@behave.then('request {fingerprint:d} is not refused as poison')
def not_poison(context, fingerprint):
    assert not context.counts.is_poison(fingerprint, context.now)
