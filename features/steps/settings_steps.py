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


@behave.given('a settings file with the content ""')
def empty_file(context):
    _write(context, b'')


@behave.given('a settings file with the content "{content}"')
def file_content(context, content):
    _write(
        context, content.encode().decode('unicode_escape').encode('latin-1')
    )


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
        context.found = [
            (f.place.removeprefix(f'{context.path}: '), f.message)
            for f in exc.findings
        ]
        assert all(str(context.path) in f.place for f in exc.findings)


@behave.then('setting "{name}" is {value}')
def setting_is(context, name, value):
    found = getattr(context.settings, name)
    expected = json.loads(value)
    if isinstance(expected, list):
        expected = tuple(expected)
    assert found == expected, found


@behave.then('the only settings finding is at "{place}" and says "{message}"')
def only_finding(context, place, message):
    assert [p for p, _ in context.found] == [place], context.found
    assert message in context.found[0][1], context.found


@behave.then('settings findings are at "{places}"')
def findings_at(context, places):
    assert [p for p, _ in context.found] == places.split(', '), context.found


@behave.then('a settings finding says "{message}"')
def finding_says(context, message):
    assert any(message in m for _, m in context.found), context.found


@behave.then('no settings finding contains "{text}"')
def no_finding_contains(context, text):
    assert context.found
    assert not any(text in m for _, m in context.found), context.found


@behave.then('the representation of the settings has no secret')
def no_secret(context):
    shown = repr(context.settings)
    assert _COMPLETE['admin']['token'] not in shown
    assert _COMPLETE['peers']['shared_key'] not in shown


@behave.when('radishferryd runs with "{option}"')
def run_program(context, option):
    _run(context, [option])


@behave.when('radishferryd runs with ""')
def run_program_plain(context):
    _run(context, [])


def _run(context, options):
    context.run = subprocess.run(  # noqa: S603
        [
            sys.executable,
            '-m',
            'radishferryd.main',
            '--settings',
            str(context.path),
            *options,
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
