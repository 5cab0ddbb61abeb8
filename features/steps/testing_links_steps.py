"""Steps for link forwarders and test processes."""

from __future__ import annotations

import contextlib
import http.client
import os
import pathlib
import socket
import tempfile
import time

import behave

from radishferry_testing import calls
from radishferry_testing import process_specs
from radishferry_testing import processes
from radishferry_testing import run_log

#: Time without data after which a connection counts as silent, in seconds.
SILENT_S = 0.5


@behave.given('a server stand-in behind the link "{link}"')
def server_behind_link(context, link):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.directory = stack.enter_context(tempfile.TemporaryDirectory())
    context.log = pathlib.Path(context.directory) / 'far.log'
    context.processes = stack.enter_context(
        processes.running(
            context.directory,
            [
                process_specs.server('far', context.log),
                process_specs.links(
                    'links', [(link, 'near', '127.0.0.1:{far.port}')]
                ),
            ],
        )
    )
    context.link_address = context.processes.address('links', 'near')


@behave.when('a connection over the link has been used')
def use_connection(context):
    context.connection = http.client.HTTPConnection(
        context.link_address, timeout=calls.TIMEOUT_S
    )
    context.add_cleanup(context.connection.close)
    context.connection.request('GET', '/health')
    assert context.connection.getresponse().read()


@behave.when('the link "{link}" is set to "{mode}"')
def set_link(context, link, mode):
    assert _set_link(context, link, mode) == 200


@behave.when('a request is sent over the existing connection')
def send_over_existing(context):
    context.connection.request('GET', '/health')
    end = time.monotonic() + calls.TIMEOUT_S
    control = context.processes.address('links', 'control')
    while time.monotonic() < end:
        _, _, answer = calls.call(control, 'GET', '/links')
        if answer['links'][0]['swallowed_bytes']:
            return
        time.sleep(0.01)
    raise AssertionError('the link swallowed nothing')


@behave.when('the server behind the link is killed')
def kill_server(context):
    context.processes.kill('far')


@behave.when('a request waits in the socket buffer of the paused server')
def send_to_paused_server(context):
    # A process that is killed with unread bytes resets its connection. If
    # the request has not arrived after this wait, the link discards it and
    # the kill only sends an end of stream.
    context.processes.pause('far')
    context.connection.request('GET', '/health')
    assert _is_silent(context)


@behave.when('the server behind the link is paused')
def pause_server(context):
    context.pids = [context.processes.pid(n) for n in ('far', 'links')]
    context.processes.pause('far')


@behave.when('the server behind the link is restarted')
def restart_server(context):
    context.processes.restart('far')


@behave.when('the processes of the test are closed')
def close_processes(context):
    context.processes.close()


@behave.then('a request over the link is answered')
def link_answers(context):
    assert calls.call(context.link_address, 'GET', '/health')[0] == 200


@behave.then('a request over the link gets no answer')
def link_is_silent(context):
    try:
        found = calls.call(
            context.link_address, 'GET', '/health', timeout_s=SILENT_S
        )
    except (OSError, http.client.HTTPException):
        return
    raise AssertionError(found)


@behave.then('the existing connection stays open without an answer')
def existing_is_silent(context):
    assert _is_silent(context)


@behave.then('the existing connection is closed')
def existing_is_closed(context):
    context.connection.sock.settimeout(calls.TIMEOUT_S)
    try:
        data = context.connection.sock.recv(1)
    except ConnectionError:
        data = b''
    assert data == b'', data


@behave.then('setting the link "{link}" to "{mode}" gives status {status:d}')
def setting_link_gives(context, link, mode, status):
    assert _set_link(context, link, mode) == status


@behave.then('the server behind the link has been started {count:d} times')
def server_start_count(context, count):
    events = [fields for _, fields in run_log.read(context.log)]
    assert len({e['boot_id'] for e in events}) == count, events


@behave.then('none of the processes of the test exist')
def no_process_exists(context):
    for pid in context.pids:
        try:
            os.kill(pid, 0)
        except ProcessLookupError:
            continue
        raise AssertionError(f'process {pid} exists')


@behave.then('starting a server with an invalid kind reports "{text}"')
def invalid_kind_reported(context, text):
    spec = process_specs.server('bad', context.log, '--kind', 'x')
    try:
        with processes.running(context.directory, [spec]):
            pass
    except processes.NotReadyError as exc:
        assert text in str(exc), exc
    else:
        raise AssertionError('the server started')


def _set_link(context, link, mode):
    control = context.processes.address('links', 'control')
    value = {'name': link, 'mode': mode}
    return calls.call(control, 'POST', '/links', value)[0]


def _is_silent(context):
    """Return whether the existing connection neither answers nor closes."""
    sock = context.connection.sock
    sock.settimeout(SILENT_S)
    try:
        sock.recv(1)
    except socket.timeout:
        return True
    except ConnectionError:
        pass
    return False
