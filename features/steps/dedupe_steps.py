"""Steps for the memory of request ids."""

from __future__ import annotations

import uuid

import behave

from radishferry import dedupe

#: Wall clock at 0 s, in milliseconds.
CLOCK_MS = 1_800_000_000_000
RANGE = 7
HEADERS = (('A', 'b'),)


@behave.given('a memory of {count:d} request ids that begins at 0 s')
def memory(context, count):
    context.memory = dedupe.RequestMemory(
        max_requests=count, max_stored_bytes=9000
    )
    context.ids = {}
    begins_again(context, 0.0)


@behave.when('the memory begins again at {now:g} s')
def begins_again(context, now):
    context.memory.start_range(RANGE, now, CLOCK_MS + now * 1000)


@behave.when('id {name:w} is issued at {at:g} s')
def issue(context, name, at):
    issued_ms = CLOCK_MS + round(at * 1000)
    number = issued_ms << 80 | 7 << 76 | 2 << 62 | ord(name)
    context.ids[name] = str(uuid.UUID(int=number))


@behave.then('id {name:w} gives {verdict} at {now:g} s')
@behave.then('id {name:w} {how:w} gives {verdict} at {now:g} s')
def gives(context, name, verdict, now, how=None):
    if name not in context.ids:
        issue(context, name, now)
    fingerprint = 2 if how == 'altered' else 1
    found = context.memory.begin(
        RANGE, context.ids[name], now, fingerprint, first=how == 'first'
    )
    text = type(found).__name__
    if text == 'Finished' and found.body is not None:
        assert (found.status, found.headers) == (200, HEADERS), found
        text += f' with {len(found.body)} bytes'
    assert text == verdict, found


@behave.when('id {name:w} ends with {size:d} bytes')
def ends(context, name, size):
    context.memory.finish(RANGE, context.ids[name], 200, HEADERS, bytes(size))


@behave.when('ids {names} end with {size:d} bytes at {now:g} s')
def run_all(context, names, size, now):
    for name in names.split(', '):
        gives(context, name, 'New', now)
        ends(context, name, size)


@behave.when('id {name:w} is {what:w}')
def is_ended(context, name, what):
    end = {
        'forgotten': context.memory.forget,
        'lost': context.memory.mark_unknown,
    }
    end[what](RANGE, context.ids[name])


@behave.then('the id "{text}" is refused with "{message}"')
def malformed(context, text, message):
    found = context.memory.begin(RANGE, text, 1.0)
    assert message in found.finding.message, found
