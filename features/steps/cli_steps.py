"""Steps for the command line of operators."""

from __future__ import annotations

import contextlib
import io
import json
import os
import pathlib
import socket
import tempfile
import threading
from unittest import mock

import behave
import process_fixtures

from features.steps import admin_fixtures
from radishferryctl import commands
from radishferryctl import main


def _admin_address(context):
    return '{}:{}'.format(*context.admin.address)


def _split_command(context, command):
    """Split a command into arguments and replace its placeholders."""
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    file = pathlib.Path(directory.name) / 'manifest.json'
    file.write_text(json.dumps(context.document))
    replacements = {'FILE': str(file), 'HOST': _admin_address(context)}
    replacements.update(getattr(context, 'servers', {}))
    return [
        replacements.get(word, word) for word in command.strip('"').split()
    ]


def _run(context, arguments, token):
    output = io.StringIO()
    with (
        mock.patch.dict(os.environ, {commands.TOKEN_VARIABLE: token}),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        try:
            context.code = main.run(arguments)
        except SystemExit as exc:
            context.code = exc.code
    context.output = output.getvalue()


@behave.when('radishferryctl runs {command}')
def run(context, command):
    arguments = [
        *_split_command(context, command),
        '--host',
        _admin_address(context),
    ]
    _run(context, arguments, admin_fixtures.TOKEN)


@behave.when('radishferryctl without a host runs {command}')
def run_without_host(context, command):
    _run(context, _split_command(context, command), admin_fixtures.TOKEN)


@behave.when('radishferryctl with token {token} runs {command}')
def run_with_token(context, token, command):
    arguments = [
        *_split_command(context, command),
        '--host',
        _admin_address(context),
    ]
    _run(context, arguments, token.strip('"'))


@behave.when('radishferryctl as a process runs "{command}"')
def run_process(context, command):
    process = process_fixtures.run_radishferryctl(command.split())
    context.code, context.output = process.returncode, process.stderr


@behave.then('radishferryctl ends with {code:d} and shows "{text}"')
def ends(context, code, text):
    assert context.code == code, (context.code, context.output)
    shows(context, text)


@behave.then('radishferryctl shows "{text}"')
def shows(context, text):
    text = text.replace('HOST', _admin_address(context))
    # Help texts are wrapped to the width of the terminal.
    output = ' '.join(context.output.split())
    assert text in output, context.output


@behave.then('radishferryctl ends with {code:d} without an escape character')
def no_escape(context, code):
    assert context.code == code, context.output
    assert '\x1b' not in context.output


@behave.given('the manifest document is in force')
def in_force(context):
    text = json.dumps(context.document).encode()
    context.admin.operations.manifest.return_value = text


@behave.given('the host has servers, ranges, hot keys and poison requests')
def host_state(context):
    context.admin.operations.poison.return_value = [{'kind': 'lookup'}]
    context.admin.operations.dump.return_value = {
        'servers': [{'name': 'inventory-1', 'term': 4}],
        'ranges': {'inventory': [{'range': 255, 'owner': 'inventory-1'}]},
        'hot_keys': {
            'inventory': [{'range': 256, 'key_hash': '00000000000000ff'}]
        },
    }


@behave.given('the host has a status with an escape character')
def escape_status(context):
    context.admin.operations.status.return_value = {'host': 'h1\x1b[2J'}


@behave.given('a host that closes the connection without a response')
def silent_host(context):
    _serve_once(context, 'SILENT', b'')


@behave.given('a server that answers with a web page')
def web_page(context):
    page = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n<html>'
    _serve_once(context, 'PAGE', page)


def _serve_once(context, name, answer):
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    address = '{}:{}'.format(*listener.getsockname())
    context.servers = {name: address}

    def serve():
        sock, _ = listener.accept()
        with contextlib.closing(sock):
            sock.recv(65536)
            sock.sendall(answer)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    context.add_cleanup(thread.join, admin_fixtures.STEP_TIMEOUT_S)
