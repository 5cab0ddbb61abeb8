"""Steps for the memory of request ids."""

from __future__ import annotations

import uuid

import behave

from radishferry import dedupe

#: Wall clock at 0 s, in milliseconds.
CLOCK_MS = 1_800_000_000_000
RANGE = 7


@behave.given('a memory for {count:d} requests whose range started at 0 s')
def memory(context, count):
    context.memory = dedupe.RequestMemory(
        max_requests=count, max_stored_bytes=9000
    )
    context.memory.start_range(RANGE, 0.0, CLOCK_MS)
    context.request_ids = {}


@behave.when('the range starts again at {now:g} s')
def start_again(context, now):
    context.memory.start_range(RANGE, now, CLOCK_MS + now * 1000)


@behave.when('request {name:w} is issued at {at:g} s')
def issue(context, name, at):
    issued_ms = CLOCK_MS + round(at * 1000)
    number = issued_ms << 80 | 7 << 76 | 2 << 62 | ord(name)
    context.request_ids[name] = str(uuid.UUID(int=number))


@behave.then('request {name:w} is {verdict:w} at {now:g} s')
def verdict_is(context, name, verdict, now):
    found = _begin(context, name, now)
    assert type(found).__name__ == verdict, found


@behave.then(
    'request {name:w} is New at {now:g} s when sent for the first time'
)
def new_when_first(context, name, now):
    found = _begin(context, name, now, first=True)
    assert found == dedupe.New(), found


@behave.then('request {name:w} with another body is BadId at {now:g} s')
def another_body(context, name, now):
    found = _begin(context, name, now, fingerprint=2)
    assert isinstance(found, dedupe.BadId), found


@behave.when('request {name:w} ends with body "{body}"')
def ends_with_body(context, name, body):
    _finish(context, name, body.encode())


@behave.when('request {name:w} ends with a body of {size:d} bytes')
def ends_with_size(context, name, size):
    _finish(context, name, bytes(size))


@behave.when('requests {names} run at {now:g} s with bodies of {size:d} bytes')
def requests_run(context, names, now, size):
    for name in names.replace(' and ', ', ').split(', '):
        issue(context, name, now)
        assert _begin(context, name, now) == dedupe.New()
        _finish(context, name, bytes(size))


@behave.when('request {name:w} is forgotten')
def forgotten(context, name):
    context.memory.forget(RANGE, context.request_ids[name])


@behave.when('the end of request {name:w} is lost')
def lost(context, name):
    context.memory.lose(RANGE, context.request_ids[name])


@behave.then('request {name:w} is Finished with body "{body}" at {now:g} s')
def finished_with(context, name, body, now):
    found = _begin(context, name, now)
    expected = dedupe.Finished(200, (('A', 'b'),), body.encode())
    assert found == expected, found


@behave.then('request {name:w} is Finished without a response at {now:g} s')
def finished_without(context, name, now):
    found = _begin(context, name, now)
    assert found == dedupe.Finished(None, (), None), found


@behave.then('request {name:w} is Finished with its response at {now:g} s')
def finished_with_response(context, name, now):
    found = _begin(context, name, now)
    assert found.status == 200 and found.body is not None, found


@behave.then('at most {count:d} requests are remembered')
def remembered(context, count):
    assert len(context.memory._records) <= count


@behave.then('id "{text}" is a finding that says "{message}"')
def malformed(context, text, message):
    found = context.memory.begin(RANGE, text, 1.0)
    assert message in found.finding.message, found


def _begin(context, name, now, fingerprint=1, **options):
    request_id = context.request_ids[name]
    return context.memory.begin(RANGE, request_id, now, fingerprint, **options)


def _finish(context, name, body):
    context.memory.finish(
        RANGE, context.request_ids[name], 200, (('A', 'b'),), body
    )
