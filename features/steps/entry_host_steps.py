"""Steps for an entry host as a process."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http.client
import json
import pathlib
import socket
import struct
import tempfile
import urllib.error
import uuid

import behave
import process_fixtures

from radishferry import keyspace
from radishferry import request_ids
from radishferryd import peer_codec
from radishferryd.gen import ttypes
from radishferry_testing import calls
from radishferry_testing import checker
from radishferry_testing import demo
from radishferry_testing import evidence
from radishferry_testing import topology

_SHAPE = topology.Topology(
    ('santiago',),
    2,
    (
        topology.ServiceSpec(
            'inventory',
            2,
            (topology.LOOKUP, topology.RESERVE),
            ('/inventory:20:100:fixed',),
            keyed=True,
            options={'ranges': 16},
        ),
    ),
)
_HOSTS = tuple(_SHAPE.hosts)


@behave.fixture
def deployment(context):
    """Run the deployment for one scenario."""
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(_SHAPE, directory) as found:
            context.version = 1
            yield found


def _lookup(context, host, key='lot-1'):
    """Look a key up; return status, headers and body, None without answer."""
    address = context.deployment.caller_address(host)
    try:
        return calls.call(address, 'GET', f'/inventory/lots/{key}')
    except (OSError, http.client.HTTPException):
        return None


def _is_served(context, host, key='lot-1'):
    found = _lookup(context, host, key)
    return found is not None and found[0] == 200


def _owner(context, key='lot-1', host=_HOSTS[0]):
    """Return the server that owns a key and its coordinator."""
    url = f'http://{context.deployment.admin_address(host)}/v1/dump'
    dump = topology.request('GET', url, token=topology.TOKEN)
    range_id = keyspace.key_hash(key) % 16
    found = dump['ranges']['inventory'][range_id]['active'][1]
    servers = {server['name']: server for server in dump['servers']}
    # A server that was removed from the manifest is not listed.
    coordinator = servers.get(found, {}).get('coordinator')
    return found, coordinator and coordinator[0]


@behave.given('a running deployment')
def running_deployment(context):
    context.deployment = behave.use_fixture(deployment, context)


@behave.when('a caller sends "{name}"')
def caller_sends(context, name):
    address = context.deployment.caller_address(_HOSTS[0])
    context.answer = _CALLER_REQUESTS[name](address)


def _get(path, **headers):
    def send(address):
        return calls.call(address, 'GET', path, headers=headers.items())

    return send


def _post(body, **headers):
    def send(address):
        return calls.call(
            address,
            'POST',
            '/inventory/lots/lot-1/reserve',
            body,
            headers.items(),
        )

    return send


def _send_invalid_http(address):
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(b'HELO radishferry\r\n\r\n')
        response = http.client.HTTPResponse(sock)
        response.begin()
        return response.status, response.headers, response.read()


_CALLER_REQUESTS = {
    'unknown path': _get('/unknown'),
    'empty key': _get('/inventory/lots/'),
    'head of 20000 bytes': _get('/inventory/lots/a', Padding='x' * 20000),
    'body of 2000000': _post('x' * 2_000_000),
    'not HTTP': _send_invalid_http,
    'id of version 4': _post(
        '{}', **{'Idempotency-Key': str(uuid.UUID(int=4 << 76))}
    ),
}


@behave.then(
    'the caller is told {status:d}, outcome "{outcome}" and reason "{reason}"'
)
def caller_is_told(context, status, outcome, reason):
    found, headers, _ = context.answer
    told = (
        found,
        headers['Radishferry-Outcome'],
        headers['Radishferry-Reason'],
    )
    assert told == (status, outcome, reason), told


@behave.then('both hosts still serve')
def both_serve(context):
    for host in _HOSTS:
        process_fixtures.wait_until(
            lambda host=host: _is_served(context, host)
        )


@behave.when('a peer connects with "{name}"')
def peer_connects(context, name):
    address = context.deployment.processes.address(_HOSTS[0], 'peer')
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port))) as sock:
        sock.settimeout(process_fixtures.TIMEOUT_S)
        sock.sendall(_PEER_INPUTS[name])
        with contextlib.suppress(ConnectionError):
            while sock.recv(4096):
                pass
    context.is_closed = True


def _challenge():
    return peer_codec.encode(
        'challenge', ttypes.Challenge('stranger', 'santiago', 1, b'n' * 32)
    )


_PEER_INPUTS = {
    'wrong key': _challenge()
    + peer_codec.encode('proof', ttypes.Proof(b'p' * 32)),
    'oversized frame': struct.pack('>I', 100_000_000),
    'malformed frame': struct.pack('>I', 8) + b'\xff' * 8,
    'unauthenticated request': peer_codec.encode(
        'snapshot_request', ttypes.SnapshotRequest(0)
    ),
}


@behave.then('its connection is closed and the log of the host says "{text}"')
def closed_and_logged(context, text):
    assert context.is_closed
    output = context.deployment.processes.output
    process_fixtures.wait_until(lambda: text in output(_HOSTS[0]))


def _submit(context, manifest, host=_HOSTS[0]):
    """Return status and body of a submission."""
    url = f'http://{context.deployment.admin_address(host)}/v1/manifest'
    try:
        body = topology.request(
            'POST',
            url,
            manifest,
            token=topology.TOKEN,
            timeout_s=process_fixtures.TIMEOUT_S,
        )
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read())
    return 200, body


@behave.when('a manifest without services[0].name is submitted')
def submit_invalid(context):
    manifest = context.deployment.manifest(2)
    del manifest['services'][0]['name']
    context.submitted = _submit(context, manifest)


@behave.then('it is refused with status {status:d} and place "{place}"')
def refused_with_place(context, status, place):
    code, body = context.submitted
    assert code == status, context.submitted
    assert place in [found['place'] for found in body['findings']], body


@behave.when('two manifests of the next version are submitted at once')
def submit_two(context):
    manifests = [context.deployment.manifest(2) for _ in range(2)]
    for number, manifest in enumerate(manifests):
        manifest['services'][0]['kinds'][0]['deadline_ms'] = 3000 + number
    with concurrent.futures.ThreadPoolExecutor() as pool:
        context.results = list(
            pool.map(
                lambda args: _submit(context, *args), zip(manifests, _HOSTS)
            )
        )
    context.manifests = manifests


@behave.then('one is accepted and the other is told that version')
def one_accepted(context):
    codes = [code for code, _ in context.results]
    assert sorted(codes) == [200, 409], context.results
    loser = context.results[codes.index(409)][1]
    assert loser['version'] == 2, loser
    context.accepted = context.manifests[codes.index(200)]


@behave.then('both hosts have the manifest that was accepted')
def both_have_accepted(context):
    for host in _HOSTS:
        url = f'http://{context.deployment.admin_address(host)}/v1/manifest'
        process_fixtures.wait_until(
            lambda url=url: (
                topology.request('GET', url, token=topology.TOKEN)
                == context.accepted
            )
        )


@behave.given('the next answer of the table is lost')
def answer_lost(context):
    context.deployment.platform('POST', '/faults', {'drop_answers': 1})


@behave.given('the table is down')
def table_down(context):
    context.deployment.platform('POST', '/faults', {'table': 'down'})


@behave.when('a manifest of the next version is submitted')
def submit_next(context):
    context.accepted = context.deployment.manifest(2)
    context.submitted = _submit(context, context.accepted)


@behave.then('it is accepted')
def is_accepted(context):
    assert context.submitted[0] == 200, context.submitted


@behave.then('it is refused with status {first:d} or {second:d}')
def is_refused(context, first, second):
    assert context.submitted[0] in (first, second), context.submitted


@behave.when('a caller sends the same reservation to both hosts')
def same_reservation(context):
    context.request_id = request_ids.new()

    # Deduplication of a range starts a quarter of a second after its takeover;
    # a request with an older id is answered as possibly run.
    def reserve(host):
        return calls.call(
            context.deployment.caller_address(host),
            'POST',
            '/inventory/lots/lot-1/reserve',
            {},
            [('Idempotency-Key', context.request_id)],
        )

    def first():
        found = reserve(_HOSTS[0])
        if found[1]['Radishferry-Outcome'] == 'ran':
            return found
        context.request_id = request_ids.new()
        return None

    context.answers = [process_fixtures.wait_until(first), reserve(_HOSTS[1])]


@behave.then('both are told "ran" with the same body')
def both_ran(context):
    outcomes = [a[1]['Radishferry-Outcome'] for a in context.answers]
    assert outcomes == ['ran', 'ran'], outcomes
    assert context.answers[0][2] == context.answers[1][2], context.answers


def _runs(context):
    paths = [
        path
        for name in _SHAPE.servers
        if (path := pathlib.Path(context.deployment.log_path(name))).exists()
    ]
    return evidence.read_runs(paths)


@behave.then('the servers have committed it once')
def committed_once(context):
    committed = [
        run
        for run in _runs(context)
        if run.id == context.request_id and run.commit_ns is not None
    ]
    assert len(committed) == 1, committed


@behave.when('the server of a key is killed')
def kill_owner(context):
    process_fixtures.wait_until(lambda: _is_served(context, _HOSTS[0]))
    context.server, _ = _owner(context)
    context.deployment.processes.kill(context.server)


@behave.then('the key is served again by the other server')
def served_by_other(context):
    for host in _HOSTS:
        process_fixtures.wait_until(
            lambda host=host: _is_served(context, host)
        )
    server, _ = _owner(context)
    assert server != context.server, server


@behave.then('no key was run by two servers at the same time')
def no_overlap(context):
    found = checker.check(evidence.Evidence(_runs(context), []))
    assert not found, found


@behave.when('the coordinator of a key is paused and the key is served again')
def pause_coordinator(context):
    process_fixtures.wait_until(lambda: _is_served(context, _HOSTS[0]))
    _, context.host = _owner(context)
    context.other = next(h for h in _HOSTS if h != context.host)
    context.deployment.processes.pause(context.host)
    process_fixtures.wait_until(lambda: _is_served(context, context.other))


@behave.when('the coordinator is resumed and sends work')
def resume_coordinator(context):
    context.deployment.processes.resume(context.host)
    for number in range(20):
        _lookup(context, context.host, f'lot-{number}')


@behave.then('the key is served by both hosts')
def served_by_both(context):
    both_serve(context)


@behave.when('a host is stopped while requests are in flight')
def stop_under_load(context):
    context.deployment.set_host_list(leaving=[_HOSTS[0]])
    with concurrent.futures.ThreadPoolExecutor(40) as pool:
        futures = [
            pool.submit(_lookup, context, _HOSTS[0], f'lot-{number}')
            for number in range(40)
        ]
        process_fixtures.wait_until(lambda: any(f.done() for f in futures))
        context.status = context.deployment.processes.stop(
            _HOSTS[0], process_fixtures.TIMEOUT_S
        )
        context.answers = [future.result() for future in futures]


@behave.then('every request has a complete answer')
def complete_answers(context):
    refused = [a and a[2] for a in context.answers if not a or a[0] != 200]
    assert not refused, refused


@behave.then('the host has ended with status 0')
def ended(context):
    assert context.status == 0, context.status


@behave.when('a manifest without the server of a key is submitted')
def submit_without_owner(context):
    process_fixtures.wait_until(lambda: _is_served(context, _HOSTS[0]))
    context.server, _ = _owner(context)
    manifest = context.deployment.manifest(2, {context.server: None})
    context.submitted = _submit(context, manifest)
    assert context.submitted[0] == 200, context.submitted
    process_fixtures.wait_until(lambda: _owner(context)[0] != context.server)


@behave.when('a host is started again with another shared key')
def start_with_other_key(context):
    processes = context.deployment.processes
    processes.kill(_HOSTS[0])
    process_fixtures.wait_until(lambda: _is_served(context, _HOSTS[1]))
    settings = topology.settings(_HOSTS[0], 'santiago')
    settings['peers'] = {'shared_key': 'another-key-that-nobody-knows'}
    processes.start(_HOSTS[0], settings=settings)


@behave.then('it logs that its key is refused and is not ready')
def not_ready(context):
    output = context.deployment.processes.output
    process_fixtures.wait_until(
        lambda: 'wrong shared key' in output(_HOSTS[0])
    )
    address = context.deployment.admin_address(_HOSTS[0])
    process_fixtures.wait_until(lambda: (_ready(address) or [0])[0] == 503)


def _ready(address):
    try:
        return calls.call(address, 'GET', '/ready')
    except (OSError, http.client.HTTPException):
        return None


@behave.then('the other host still serves')
def other_serves(context):
    for number in range(20):
        key = f'lot-{number}'
        process_fixtures.wait_until(
            lambda key=key: _is_served(context, _HOSTS[1], key)
        )
