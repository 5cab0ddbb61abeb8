"""Steps for the stand-in for the platform."""

from __future__ import annotations

import contextlib
import http.client
import json
import tempfile

import behave

from radishferry_testing import calls
from radishferry_testing import process_specs
from radishferry_testing import processes

#: Timeout of writes to a table that hangs, in seconds.
SILENT_S = 0.5


@behave.given('a platform stand-in')
def platform_stand_in(context):
    context.writes = {}
    context.write_timeout_s = calls.TIMEOUT_S
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    directory = stack.enter_context(tempfile.TemporaryDirectory())
    running = stack.enter_context(
        processes.running(directory, [process_specs.platform()])
    )
    context.platform = running.address('platform')


@behave.when('write "{write_id}" sets row "{row}" from version {version:d}')
def write_row(context, write_id, row, version):
    _transact(context, write_id, row, row, version, {'by': write_id})


@behave.when(
    'write "{write_id}" sets row "{row}" on the condition that "{other}" has '
    'version {version:d}'
)
def write_on_condition(context, write_id, row, other, version):
    _transact(context, write_id, row, other, version, {'by': write_id})


@behave.when('write "{write_id}" deletes row "{row}"')
def delete_row(context, write_id, row):
    version = _row(context, row)['version']
    _transact(context, write_id, row, row, version, None)


@behave.when('the version of row "{row}" is noted')
def note_version(context, row):
    context.noted = _row(context, row)['version']


@behave.when('the fault "{name}" is {value}')
def set_fault(context, name, value):
    if value == '"hang"':
        context.write_timeout_s = SILENT_S
    status, _, _ = calls.call(
        context.platform, 'POST', '/faults', {name: json.loads(value)}
    )
    assert status == 200, status


@behave.when('the host list is set to host "{name}"')
def set_hosts(context, name):
    hosts = {'hosts': [{'name': name}]}
    status, _, _ = calls.call(context.platform, 'PUT', '/hosts', hosts)
    assert status == 200, status


@behave.then('the platform applied the writes "{write_id}"')
def applied_writes(context, write_id):
    applied = [w for w, status in context.writes.items() if status == 200]
    assert applied == [write_id], context.writes


@behave.then('write "{write_id}" got no answer')
def no_answer(context, write_id):
    assert context.writes[write_id] is None, context.writes


@behave.then('row "{row}" has the write id "{write_id}"')
def row_has_write_id(context, row, write_id):
    assert _row(context, row)['write_id'] == write_id


@behave.then('row "{row}" does not exist')
def row_is_missing(context, row):
    assert _row(context, row) is None


@behave.then('the version of row "{row}" is higher than the noted one')
def version_is_higher(context, row):
    assert _row(context, row)['version'] > context.noted


@behave.then('host "{name}" cannot read the host list')
def host_is_partitioned(context, name):
    try:
        hosts = _hosts(context, name)
    except (OSError, http.client.HTTPException):
        return
    raise AssertionError(hosts)


@behave.then('host "{name}" reads the host list with host "{listed}"')
def host_reads_list(context, name, listed):
    assert [h['name'] for h in _hosts(context, name)] == [listed]


@behave.then('host "{name}" reads an empty host list')
def host_reads_nothing(context, name):
    assert _hosts(context, name) == []


@behave.then('an object of all byte values is read back unchanged')
def object_unchanged(context):
    data = bytes(range(256))
    connection = http.client.HTTPConnection(context.platform)
    connection.request('PUT', '/objects/a', data)
    assert connection.getresponse().read() == b''
    connection.request('GET', '/objects/a')
    assert connection.getresponse().read() == data
    connection.close()


@behave.then(
    'the platform counted {first:d} writes to "{prefix}" and {second:d} to '
    '"{other}"'
)
def counted_writes(context, first, prefix, second, other):
    _, _, stats = calls.call(context.platform, 'GET', '/stats')
    expected = {prefix: first, other: second}
    assert stats['totals']['writes'] == expected, stats


def _transact(context, write_id, row, other, version, value):
    body = {
        'write_id': write_id,
        'conditions': [{'row': other, 'version': version}],
        'writes': [{'row': row, 'value': value}],
    }
    try:
        status, _, _ = calls.call(
            context.platform,
            'POST',
            '/table/transact',
            body,
            timeout_s=context.write_timeout_s,
        )
    except (OSError, http.client.HTTPException):
        status = None
    context.writes[write_id] = status


def _row(context, row):
    _, _, answer = calls.call(
        context.platform, 'GET', f'/table/rows?prefix={row}'
    )
    return next((r for r in answer['rows'] if r['row'] == row), None)


def _hosts(context, name):
    headers = (('Radishferry-Host', name),)
    _, _, answer = calls.call(
        context.platform, 'GET', '/hosts', headers=headers
    )
    return answer['hosts']
