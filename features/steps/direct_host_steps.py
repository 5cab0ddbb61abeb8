"""Steps for hosts that send directly, run as processes."""

from __future__ import annotations

import concurrent.futures
import concurrent.futures
import contextlib
import http.client
import random
import signal
import socket
import struct
import subprocess  # noqa: S404
import sys
import time

import behave
import direct_host_fixtures
import process_fixtures


@behave.given('two direct hosts before a store, 2 keyed and 2 plain servers')
def start(context):
    context.processes = behave.use_fixture(
        direct_host_fixtures.deployment, context
    )
    process_fixtures.wait_until(
        lambda: all(
            direct_host_fixtures.is_served(context, host, key)
            for host in (1, 2)
            for key in direct_host_fixtures.KEYS
        )
    )
    context.before = len(direct_host_fixtures.runs(context))


@behave.given(
    'plain servers reset connections after they began to run a request'
)
def reset_connections(context):
    _change_plain(context, 'reset')


@behave.given('plain servers send responses to another request')
def respond_to_other(context):
    _change_plain(context, 'extra')


def _change(context, kind, number, **changes):
    direct_host_fixtures.control_platform(
        context, 'server', server_id=f'i-{kind}-{number}', **changes
    )


def _change_plain(context, failure):
    for number in (0, 1):
        _change(context, 'plain', number, failure=failure)


@behave.given('plain server 0 rejects requests')
def reject(context):
    _change(context, 'plain', 0, failure='shed')


@behave.given(
    'plain server {number:d} rejects requests with a Retry-After of "{text}" '
    'seconds'
)
def reject_with_retry_after(context, number, text):
    _change(context, 'plain', number, failure='shed', retry_after=text)


@behave.given('a plain server that resets each new connection')
def add_resetting(context):
    port, context.reset_reads = behave.use_fixture(
        process_fixtures.resetting_server, context
    )
    direct_host_fixtures.control_platform(context, 'register', port=port)
    process_fixtures.wait_until(
        lambda: any(
            server['server_id'] == 'i-plain-4'
            for server in direct_host_fixtures.state(context, 'host1')[
                'registry'
            ]
        )
    )


@behave.then('the resetting server has accepted a connection and read nothing')
def read_nothing(context):
    assert context.reset_reads
    assert not any(context.reset_reads), context.reset_reads


@behave.when('keys 5, 30000 and 65535 are looked up at both hosts')
def look_up(context):
    context.lookups = {
        (host, key): direct_host_fixtures.lookup(context, host, key)
        for host in (1, 2)
        for key in direct_host_fixtures.KEYS
    }
    context.answers = list(context.lookups.values())


@behave.when('a payment "{request_id}" is sent to host {host:d}')
def pay(context, request_id, host):
    context.answers = [
        direct_host_fixtures.request(context, host, 'POST', '/p/x', request_id)
    ]


@behave.when('{count:d} payments are sent to host {host:d}')
def pay_many(context, count, host):
    context.before = len(direct_host_fixtures.runs(context))
    context.answers = [
        direct_host_fixtures.request(context, host, 'POST', '/p/x')
        for _ in range(count)
    ]


@behave.when('{count:d} lookups are sent to host 1 on one connection at once')
def pipeline(context, count):
    context.sent = [f'pipe{number}' for number in range(count)]
    data = b''.join(
        f'GET /k/{name} HTTP/1.1\r\nHost: example\r\nX-Request-Id: {name}\r\n'
        f'X-Deadline-Ms: 6000\r\nX-Shard-Key: {number * 9000}\r\n\r\n'.encode()
        for number, name in enumerate(context.sent)
    )
    port = context.processes.port('host1', 'callers')
    with socket.create_connection(('127.0.0.1', port), 20) as sock:
        sock.sendall(data)
        context.received = []
        file = sock.makefile('rb')
        for _ in range(count):
            status = file.readline().split()[1].decode()
            fields = dict(
                line.decode().strip().lower().split(': ', 1)
                for line in iter(file.readline, b'\r\n')
            )
            file.read(int(fields['content-length']))
            context.received.append((status, fields['x-request-id']))


@behave.when(
    '{kind:w} server {number:d} announces to the store that it is leaving'
)
def announce_leaving_to_store(context, kind, number):
    _change(context, kind, number, state='draining')


@behave.when(
    '{kind:w} server {number:d} announces in its responses that it is leaving'
)
def announce_leaving_in_responses(context, kind, number):
    _change(context, kind, number, says_leaving=True)


@behave.when(
    '{count:d} guides with {work:g} seconds of work are sent to host 1 on one '
    'connection at once'
)
def pipeline_guides(context, count, work):
    context.sent = [f'guide{number}' for number in range(count)]
    port = context.processes.port('host1', 'callers')
    context.caller = socket.create_connection(('127.0.0.1', port), 20)
    context.add_cleanup(context.caller.close)
    context.caller.sendall(
        b''.join(
            f'GET /g/{name} HTTP/1.1\r\nHost: example\r\n'
            f'X-Request-Id: {name}\r\nX-Deadline-Ms: 6000\r\n'
            f'X-Test-Work-S: {work}\r\n\r\n'.encode()
            for name in context.sent
        )
    )


@behave.when('the client {leaves} after {seconds:g} seconds')
def client_leaves(context, leaves, seconds):
    time.sleep(seconds)
    if leaves == 'resets':
        context.caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    context.caller.close()


def _guides(context, kind):
    return {
        detail['id']: detail
        for found, _, detail, _ in direct_host_fixtures.control_platform(
            context, 'events'
        )
        if found == kind and detail['id'] in context.sent
    }


@behave.then('servers have broken off all of its guides that they had begun')
def broken_off(context):
    context.begun = _guides(context, 'run')
    ended = _guides(context, 'run-end')
    assert context.begun
    # Their work lasts longer than the scenario has until here.
    assert set(context.begun) == set(ended), (len(context.begun), len(ended))


@behave.then('no further one has begun after {seconds:g} seconds')
def none_begun(context, seconds):
    time.sleep(seconds)
    assert set(_guides(context, 'run')) == set(context.begun)


@behave.when('{seconds:g} seconds pass')
def wait(context, seconds):
    time.sleep(seconds)


@behave.when(
    'configuration {first:d} is published and then configuration {last:d}'
)
def configure(context, first, last):
    direct_host_fixtures.control_platform(context, 'configure', version=first)
    time.sleep(0.5)
    direct_host_fixtures.control_platform(context, 'configure', version=last)


@behave.when('the store is unavailable')
def store_unavailable(context):
    direct_host_fixtures.control_platform(context, 'store', is_down=True)


@behave.when('the granting host is killed')
def kill_granting_host(context):
    granting_host = process_fixtures.wait_until(
        lambda: next(
            (
                n
                for n in direct_host_fixtures.NAMES
                if direct_host_fixtures.state(context, n)['is_granter']
            ),
            None,
        )
    )
    context.processes.signal(granting_host, signal.SIGKILL)
    context.other = next(
        name for name in direct_host_fixtures.NAMES if name != granting_host
    )


@behave.when(
    'host 1 is stopped while a slow payment "{request_id}" is in flight'
)
def stop_with_payment_in_flight(context, request_id):
    for number in (0, 1):
        direct_host_fixtures.control_platform(
            context, 'server', server_id=f'i-plain-{number}', work_s=1.0
        )
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(
            direct_host_fixtures.request,
            context,
            1,
            'POST',
            '/p/x',
            request_id,
        )
        process_fixtures.wait_until(
            lambda: any(
                e[2].get('id') == request_id
                for e in direct_host_fixtures.runs(context)
            )
        )
        context.processes.signal('host1', signal.SIGTERM)
        context.answers = [answer.result()]


@behave.when('host 1 gets a request with {problem}')
def bad_request(context, problem):
    fields = {
        'Host': 'Host: example',
        'path': '/k/x',
        'more': ['X-Shard-Key: 5'],
    }
    if problem == 'two framing headers':
        fields['more'] += ['Content-Length: 5', 'Transfer-Encoding: chunked']
    elif problem == 'no Host header':
        fields['Host'] = 'X-Other: 1'
    elif problem == 'an invalid key':
        fields['more'] = ['X-Shard-Key: 70000']
    elif problem == 'an unknown path':
        fields['path'] = '/other/x'
    elif problem == 'an unknown host':
        fields['Host'] = 'Host: other'
    else:
        fields['more'] += ['X-Long: ' + 'a' * 20000]
    lines = [
        f'GET {fields["path"]} HTTP/1.1',
        fields['Host'],
        'X-Request-Id: bad',
        *fields['more'],
    ]
    data = ('\r\n'.join(lines) + '\r\n\r\n').encode()
    port = context.processes.port('host1', 'callers')
    with socket.create_connection(('127.0.0.1', port), 20) as sock:
        sock.sendall(data)
        status = int(sock.makefile('rb').readline().split()[1])
    context.answers = [(status, {}, b'')]


@behave.then('each answer is 200 with a signature')
@behave.then('the answer is 200 with a signature')
def served(context):
    assert context.answers
    for status, headers, _ in context.answers:
        assert status == 200, status
        assert 'x-response-signature' in headers, headers


@behave.then('the answer is {status:d} without a signature')
def failed(context, status):
    ((found, headers, body),) = context.answers
    assert found == status, (found, body)
    assert 'x-response-signature' not in headers, headers


@behave.then('no response contains the server-leaving header')
def leaving_header_removed(context):
    for _, headers, _ in context.answers:
        assert 'server-leaving' not in {name.lower() for name in headers}


@behave.then('plain server {number:d} has rejected {count:d} requests')
def has_rejected(context, number, count):
    found = [
        e
        for e in direct_host_fixtures.control_platform(context, 'events')
        if e[:2] == ['shed', f'i-plain-{number}']
    ]
    assert len(found) == count, found


@behave.then(
    'each answer is 503 with a Retry-After of {least:g} to {most:g} seconds'
)
def has_retry_after(context, least, most):
    for status, headers, _ in context.answers:
        assert status == 503, status
        assert least <= float(headers['Retry-After']) <= most, headers


@behave.then('both hosts name the same owner for each key')
def same_owner(context):
    for key in direct_host_fixtures.KEYS:
        bodies = {context.lookups[host, key][2] for host in (1, 2)}
        assert len(bodies) == 1, bodies


@behave.then('"{request_id}" has run once')
def ran_once(context, request_id):
    found = [
        e
        for e in direct_host_fixtures.runs(context)
        if e[2]['id'] == request_id
    ]
    assert len(found) == 1, found


@behave.then('{count:d} answers come in the order of the requests')
def in_order(context, count):
    assert context.received == [('200', name) for name in context.sent]


@behave.then('plain server 0 has run none of them')
def ran_none(context):
    found = direct_host_fixtures.runs(context)[context.before :]
    assert found
    assert all(event[1] != 'i-plain-0' for event in found), found


@behave.then('keys 5, 30000 and 65535 are served by keyed server 1')
def served_by(context):
    for key in direct_host_fixtures.KEYS:
        status, _, body = direct_host_fixtures.lookup(context, 1, key)
        assert status == 200, (status, body)
        assert body.endswith(b'i-keyed-1'), body


@behave.then('both hosts have configuration {version:d} in force')
def in_force(context, version):
    found = {
        direct_host_fixtures.state(context, name)['configuration']
        for name in direct_host_fixtures.NAMES
    }
    assert found == {version}, found


@behave.then('the other host is the granting host')
def other_is_granting(context):
    assert direct_host_fixtures.state(context, context.other)['is_granter']


@behave.then('keys 5, 30000 and 65535 are served at the other host')
def served_at_other(context):
    host = int(context.other[-1])
    assert all(
        direct_host_fixtures.is_served(context, host, key)
        for key in direct_host_fixtures.KEYS
    )


@behave.then('host 1 is not ready')
def not_ready(context):
    port = context.processes.port('host1', 'ready')
    assert direct_host_fixtures.call(port, 'GET', '/api/ready')[0] == 503


@behave.then('host 1 exits within {seconds:d} seconds')
def exits(context, seconds):
    assert context.processes.wait_ended('host1', seconds) == 0


@behave.then('no server has run anything')
def ran_nothing(context):
    assert len(direct_host_fixtures.runs(context)) == context.before


def _python(*words):
    return subprocess.run(  # noqa: S603
        (sys.executable, *words),
        capture_output=True,
        text=True,
        timeout=process_fixtures.TIMEOUT_S,
    )


@behave.when('the modules of the host are imported')
def import_modules(context):
    found = _python(
        '-c',
        'import sys, radishferryd.router.__main__, radishferryd.router.app, '
        'radishferryd.router.settings; print(*sys.modules)',
    )
    context.modules = set(found.stdout.split())
    assert 'radishferryd.router.app' in context.modules, found


@behave.then('none of "{names}" is loaded')
def none_loaded(context, names):
    assert not context.modules & set(names.split(', '))


@behave.when('the host is started without an argument')
def start_without(context):
    context.run = _python('-m', 'radishferryd.router')


@behave.then('it exits with {code:d} and prints its usage')
def exits_with_usage(context, code):
    assert context.run.returncode == code, context.run
    assert 'usage: ' in context.run.stderr, context.run


@behave.when('{count:d} payments are sent to host 1 and it is stopped at once')
def pay_and_stop(context, count):
    port = context.processes.port('host1', 'callers')
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(
                socket.create_connection(('127.0.0.1', port), 20)
            )
            for _ in range(count)
        ]
        for sock in socks:
            sock.sendall(
                f'POST /p/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: '
                f's{next(direct_host_fixtures.request_ids)}\r\n'
                f'X-Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nab'.encode()
            )
        context.processes.signal('host1', signal.SIGTERM)
        answers = [http.client.HTTPResponse(sock) for sock in socks]
        for answer in answers:
            answer.begin()
        context.answers = [
            (a.status, dict(a.getheaders()), a.read()) for a in answers
        ]


@behave.when('plain server 0 is deregistered')
def deregister(context):
    direct_host_fixtures.control_platform(
        context, 'server', server_id='i-plain-0', is_registered=False
    )


@behave.when('both hosts are killed and restarted')
def restart(context):
    for name in direct_host_fixtures.NAMES:
        context.processes.kill(name)
    for name in direct_host_fixtures.NAMES:
        context.processes.start(name)
    context.processes.wait_ready(*direct_host_fixtures.NAMES)
    # After a restart the hosts do not know which servers hold keys, and wait
    # for each of them.
    process_fixtures.wait_until(
        lambda: all(
            direct_host_fixtures.is_served(context, host, key)
            for host in (1, 2)
            for key in direct_host_fixtures.KEYS
        )
    )


@behave.when(
    'keyed server {number:d} names a limit of {limit:g} requests a second'
)
def name_limit(context, number, limit):
    _change(context, 'keyed', number, limit_per_s=limit)


@behave.when(
    'random keys are looked up at both hosts for {seconds:d} seconds, '
    '{rate:d} a second'
)
def look_up_random_keys(context, seconds, rate):
    rng = random.Random(rate)
    context.begin = time.monotonic()
    context.end = context.begin + seconds

    def look_up_from(number):
        host = 1 + number % 2
        key = rng.randrange(65536)
        time.sleep(number / rate)
        sent_at = time.monotonic()
        status, headers, _ = direct_host_fixtures.lookup(context, host, key)
        return sent_at, status, headers

    count = seconds * rate
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.lookups = list(pool.map(look_up_from, range(count)))


@behave.then('no response contains the server-limit header')
def limit_header_removed(context):
    for _, _, headers in context.lookups:
        assert 'server-limit' not in {name.lower() for name in headers}


@behave.then(
    'keyed server 0 has run at most {most:d} lookups in each {span:d} seconds '
    'after the first {first:d}'
)
def ran_at_most(context, most, span, first):
    times = [
        event[3]
        for event in direct_host_fixtures.runs(context)
        if event[1] == 'i-keyed-0' and event[3] > context.begin + first
    ]
    for start in times:
        count = sum(start <= at < start + span for at in times)
        assert count <= most, count


@behave.then(
    '{share:d} in 100 lookups of the last {seconds:d} seconds have been '
    'answered'
)
def answered_at_end(context, share, seconds):
    statuses = [
        status
        for sent_at, status, _ in context.lookups
        if sent_at > context.end - seconds
    ]
    served = statuses.count(200)
    assert served >= len(statuses) * share / 100, (served, len(statuses))
