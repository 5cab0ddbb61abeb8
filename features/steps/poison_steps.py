"""Steps for the detection of requests that crash servers."""

from __future__ import annotations

import behave

from radishferry import poison


@behave.given('a poison detector for {count:d} fingerprints')
def detector(context, count):
    context.detector = poison.PoisonDetector(max_fingerprints=count)


@behave.when('server {server:w} crashes with {names} in flight at {now:g} s')
def server_crashes(context, server, names, now):
    for name in names.split(', '):
        context.detector.start(server, _fingerprint(name), now)
    context.pushed = context.detector.crash(server, f'{server} {now}', now)


@behave.when('fingerprint {name:w} {event:w} on {server:w} at {now:g} s')
def event_on(context, name, event, server, now):
    fingerprint = _fingerprint(name)
    if event == 'starts':
        context.detector.start(server, fingerprint, now)
    else:
        ran = event == 'ends'
        context.detector.finish(server, fingerprint, now, ran=ran)


@behave.then('fingerprint {name:w} is {verdict:w} on {server:w} at {now:g} s')
def verdict_is(context, name, verdict, server, now):
    found = context.detector.check(server, _fingerprint(name), now)
    assert found is poison.Verdict(verdict), found


@behave.then(
    'of the suspects {names} sent again all complete except {poison_name:w}'
)
def send_suspects(context, names, poison_name):
    detector = context.detector
    waiting = names.split(', ')
    completed = []
    for now in range(1, 9):
        running = []
        for name in waiting:
            verdict = detector.check('s2', _fingerprint(name), now)
            if verdict in (poison.Verdict.SUSPECT, poison.Verdict.CLEAR):
                detector.start('s2', _fingerprint(name), now)
                running.append(name)
        if poison_name in running:
            detector.crash('s2', f'crash {now}', now + 0.5)
            continue
        for name in running:
            detector.finish('s2', _fingerprint(name), now + 0.5)
            waiting.remove(name)
        completed += running
    assert waiting == [poison_name], (waiting, completed)
    verdict_is(context, poison_name, 'refused', 's3', 9)


@behave.when(
    'the records of the crash are merged {count:d} times at {now:g} s'
)
def merged(context, count, now):
    for _ in range(count):
        context.detector.merge(context.pushed, now)


@behave.when('another host pushes a crash with {name:w} at {now:g} s')
def other_host_pushes(context, name, now):
    other = poison.PoisonDetector()
    other.start('s9', _fingerprint(name), now)
    context.detector.merge(other.crash('s9', 's9', now), now)


@behave.then(
    'operators see {count:d} records and {name:w} with {crashes:d} crashes '
    'at {now:g} s'
)
def operators_see(context, count, name, crashes, now):
    records = context.detector.records(now)
    assert len(records) == count, records
    (record,) = (r for r in records if r.fingerprint == _fingerprint(name))
    assert len(record.crashes) == crashes and record.refused, record
    assert 0 < record.expires_in_s <= 600, record


def _fingerprint(name):
    body_hash = poison.hash_body(name.encode())
    return poison.Fingerprint('inventory', 'reserve', 'lot-1', body_hash)
