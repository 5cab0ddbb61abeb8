"""Run and call direct hosts, for the scenarios of their processes."""

from __future__ import annotations

import http.client
import itertools
import json
import sys
import tempfile

import behave

from radishferry_testing import process_specs
from radishferry_testing import processes as processes_module

KEYS = (5, 30000, 65535)
NAMES = ('host1', 'host2')
request_ids = itertools.count()


def _platform(work_ms):
    ports = ('port', 'k0', 'k1', 'p0', 'p1')
    command = (
        sys.executable,
        '-m',
        'radishferry_testing.users.platform',
        *('--port', '{port}', '--work-ms', str(work_ms)),
        *('--keyed-ports', '{k0}', '{k1}'),
        *('--plain-ports', '{p0}', '{p1}'),
    )
    return process_specs.ProcessSpec('platform', command, ports)


@behave.fixture
def deployment(context):
    """Run the processes of one scenario."""
    specs = [
        _platform(30),
        *(
            process_specs.direct_host(name, '{platform.port}')
            for name in NAMES
        ),
    ]
    with tempfile.TemporaryDirectory() as directory:
        with processes_module.running(directory, specs) as found:
            yield found


def call(port, method, path, headers=(), body=None):
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=20)
    try:
        connection.request(method, path, body, dict(headers))
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def request(context, host, method, path, request_id=None, **headers):
    fields = {
        'Host': 'example',
        'X-Request-Id': request_id or f'r{next(request_ids)}',
        'X-Deadline-Ms': '6000',
        **{name.replace('_', '-'): value for name, value in headers.items()},
    }
    port = context.processes.port(f'host{host}', 'callers')
    body = b'amount=5' if method == 'POST' else None
    return call(port, method, path, fields, body)


def lookup(context, host, key):
    return request(context, host, 'GET', '/k/x', X_Shard_Key=str(key))


def control_platform(context, name, **arguments):
    port = context.processes.port('platform')
    body = json.dumps(arguments).encode()
    status, _, answer = call(port, 'POST', f'/test/{name}', (), body)
    assert status == 200, status
    return json.loads(answer)


def state(context, name):
    port = context.processes.port(name, 'metrics')
    return json.loads(call(port, 'GET', '/state')[2])


def runs(context):
    return [e for e in control_platform(context, 'events') if e[0] == 'run']


def is_served(context, host, key):
    return lookup(context, host, key)[0] == 200
