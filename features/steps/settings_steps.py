"""Steps for settings and log lines."""

from __future__ import annotations

import configparser
import io
import json
import logging
import pathlib
import subprocess  # noqa: S404
import sys
import tempfile

import behave

from radishferry import findings
from radishferryd import logs
from radishferryd import settings

_COMPLETE = {
    'host': {'name': 'h1', 'data_centre': 'a'},
    'listen': {'callers': '0.0.0.0:7901', 'peers': '127.0.0.1:7902'},
    'platform': {'address': '127.0.0.1:7000'},
    'peers': {'shared_key': 'key_%(x)s_16_characters'},
    'admin': {'token': 'token_of_16_characters'},
}


def _write(context, content):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = pathlib.Path(directory.name) / 'radishferryd.ini'
    context.path.write_bytes(content)


def _write_options(context):
    parser = configparser.RawConfigParser(default_section='')
    parser.optionxform = str
    parser.read_dict(context.options)
    text = io.StringIO()
    parser.write(text)
    _write(context, text.getvalue().encode())


@behave.given('a settings file with all required options')
def complete_file(context):
    context.options = {s: dict(o) for s, o in _COMPLETE.items()}
    _write_options(context)


@behave.given('its setting "{option}" is "{value}"')
def option_is(context, option, value):
    section, _, name = option.partition('.')
    context.options.setdefault(section, {})[name] = value
    _write_options(context)


@behave.given('a settings file with the content {content}')
def file_content(context, content):
    content = content.strip('"').encode().decode('unicode_escape')
    _write(context, content.encode('latin-1'))


@behave.given('a settings file that does not exist')
def no_file(context):
    _write(context, b'')
    context.path = context.path.with_name('other.ini')


@behave.when('the settings are loaded')
def load(context):
    context.settings, context.found = None, []
    try:
        context.settings = settings.load(context.path)
    except findings.FindingsError as exc:
        prefix = f'{context.path}: '
        assert all(f'{f}'.startswith(prefix) for f in exc.findings)
        context.found = [
            findings.Finding(f.place.removeprefix(prefix), f.message)
            for f in exc.findings
        ]


@behave.then('setting "{name}" is {value}')
def setting_is(context, name, value):
    found = getattr(context.settings, name)
    expected = json.loads(value)
    if isinstance(expected, list):
        expected = tuple(expected)
    assert found == expected, found


@behave.then('the only settings message is "{message}"')
def only_message(context, message):
    assert [f.message for f in context.found] == [message], context.found


@behave.then('no settings finding contains "{text}"')
def no_finding_contains(context, text):
    assert context.found
    assert not any(text in f.message for f in context.found), context.found


@behave.then('the representation of the settings has no secret')
def no_secret(context):
    shown = repr(context.settings)
    assert _COMPLETE['admin']['token'] not in shown
    assert _COMPLETE['peers']['shared_key'] not in shown


@behave.when('radishferryd runs with {options}')
def run_program(context, options):
    context.run = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-m',
            'radishferryd.main',
            '--settings',
            str(context.path),
            *options.strip('"').split(),
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )


@behave.then('radishferryd exits with {code:d} and prints "{text}"')
def exits(context, code, text):
    assert context.run.returncode == code, context.run
    prints(context, text)


@behave.then('radishferryd prints "{text}"')
def prints(context, text):
    assert text in context.run.stdout + context.run.stderr, context.run


@behave.when(
    'a log line "{message}" with field peer "{peer}" is written as {form}'
)
def write_line(context, message, peer, form):
    root = logging.getLogger()
    before = root.handlers[:], root.level
    context.format, context.stream = form, io.StringIO()
    try:
        logs.configure('info', form, context.stream)
        logger = logging.getLogger('radishferryd.net')
        text = message.replace('\\n', '\n')
        logger.warning('%s', text, extra={'peer': peer})
        logger.debug('net: Not written.')
    finally:
        root.handlers[:], root.level = before[0], before[1]
        root.setLevel(before[1])


@behave.then('one line is written and its field "{field}" is "{value}"')
def line_is(context, field, value):
    lines = context.stream.getvalue().splitlines()
    assert len(lines) == 1, lines
    if context.format == 'json':
        found = json.loads(lines[0])[field]
        assert found == value.replace('\\n', '\n'), found
    else:
        assert f"{field}='{value}'" in lines[0], lines
