"""Steps for the detection of requests that crash servers."""

from __future__ import annotations

import behave

from radishferry import poison


@behave.given('a poison detector for {count:d} fingerprints')
def detector(context, count):
    context.detector = poison.PoisonDetector(max_fingerprints=count)


@behave.when(
    'requests {names} are in flight at crash {crash:d} of server {server:w} '
    'at {now:g} s'
)
def in_flight_at_crash(context, names, crash, server, now):
    for name in _names(names):
        context.detector.start(server, _fingerprint(name), now)
    context.pushed = context.detector.crash(server, str(crash), now)


@behave.when(
    '{count:d} other requests are in flight at crash {crash:d} of server '
    '{server:w} at {now:g} s'
)
def many_in_flight(context, count, crash, server, now):
    names = ', '.join(f'r{number}' for number in range(count))
    in_flight_at_crash(context, names, crash, server, now)


@behave.when(
    'all suspects among {names} are sent again to {server:w}, '
    'where {guilty:w} crashes'
)
def send_suspects(context, names, server, guilty):
    detector = context.detector
    waiting = _names(names)
    running = []
    context.ran = []
    for now in range(1, 9):
        for name in list(waiting):
            verdict = detector.check(server, _fingerprint(name), now)
            if verdict in (poison.Verdict.SUSPECT, poison.Verdict.CLEAR):
                detector.start(server, _fingerprint(name), now)
                running.append(name)
                waiting.remove(name)
        if guilty in running:
            detector.crash(server, f'crash {now}', now + 0.5)
            waiting += running
        else:
            for name in running:
                detector.finish(server, _fingerprint(name), now + 0.5)
            context.ran += running
        running = []


@behave.then('requests {names} all ran')
def all_ran(context, names):
    assert sorted(context.ran) == sorted(_names(names)), context.ran


@behave.when('request {name:w} is sent to {server:w} at {now:g} s')
def sent(context, name, server, now):
    context.detector.start(server, _fingerprint(name), now)


@behave.when('request {name:w} ends on {server:w} at {now:g} s')
def ends(context, name, server, now):
    context.detector.finish(server, _fingerprint(name), now)


@behave.when('request {name:w} ends on {server:w} without a run at {now:g} s')
def ends_without_run(context, name, server, now):
    context.detector.finish(server, _fingerprint(name), now, ran=False)


@behave.when('the records are pushed back and merged twice at {now:g} s')
def merged_twice(context, now):
    for _ in range(2):
        context.detector.merge(context.pushed, now)


@behave.when(
    'another host pushes crash {crash:d} with request {name:w} at {now:g} s'
)
def other_host_pushes(context, crash, name, now):
    other = poison.PoisonDetector()
    other.start('s9', _fingerprint(name), now)
    context.detector.merge(other.crash('s9', str(crash), now), now)


@behave.then(
    'request {name:w} may run on {server:w} as a suspect at {now:g} s'
)
def is_suspect(context, name, server, now):
    _expect(context, name, server, now, poison.Verdict.SUSPECT)


@behave.then('request {name:w} waits on {server:w} at {now:g} s')
def waits(context, name, server, now):
    _expect(context, name, server, now, poison.Verdict.WAIT)


@behave.then('request {name:w} is refused on {server:w} at {now:g} s')
def is_refused(context, name, server, now):
    _expect(context, name, server, now, poison.Verdict.REFUSED)


@behave.then('request {name:w} is clear on {server:w} at {now:g} s')
def is_clear(context, name, server, now):
    _expect(context, name, server, now, poison.Verdict.CLEAR)


@behave.then(
    'operators see request {name:w} with crashes {first:d} and {second:d} '
    'at {now:g} s'
)
def operators_see(context, name, first, second, now):
    (record,) = context.detector.records(now)
    assert record.fingerprint == _fingerprint(name)
    assert record.crashes == (str(first), str(second)), record
    assert record.refused and 0 < record.expires_in_s <= 600, record


@behave.then('{count:d} records are listed at {now:g} s')
def records_listed(context, count, now):
    assert len(context.detector.records(now)) == count


def _names(names):
    return names.replace(' and ', ', ').split(', ')


def _fingerprint(name):
    body_hash = poison.hash_body(name.encode())
    return poison.Fingerprint('inventory', 'reserve', 'lot-1', body_hash)


def _expect(context, name, server, now, verdict):
    found = context.detector.check(server, _fingerprint(name), now)
    assert found is verdict, found
