"""Steps for the commands that check configurations and read the store."""

from __future__ import annotations

import contextlib
import copy
import io
import json
import pathlib
import tempfile

import behave
import process_fixtures

from radishferryctl import main
from radishferryd.platform import configuration_check

_DOCUMENT = {
    'version': 'a',
    'routes': {
        'lookup': {
            'host': 'example',
            'prefix': '/k',
            'kind': 'safe',
            'service': 'stock',
        },
        'pay': {
            'host': 'example',
            'prefix': '/p',
            'kind': 'unsafe',
            'service': 'stock',
        },
    },
    'services': {'stock': {'max_connections': 64, 'sharded': True}},
}


@behave.given('a configuration of the platform')
def configuration(context):
    context.document = copy.deepcopy(_DOCUMENT)
    context.file_content = None


@behave.given(
    '{part:w} "{name}" of the configuration has "{field}" as "{value}"'
)
def change(context, part, name, field, value):
    context.document[f'{part}s'][name][field] = value


@behave.given('a configuration file with {text}')
def file_text(context, text):
    context.document = None
    context.file_content = text.encode()


@behave.when('the configuration is checked')
def check(context):
    file_content = (
        context.file_content or json.dumps(context.document).encode()
    )
    context.findings = configuration_check.check(file_content)
    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory) / 'configuration.json'
        file.write_bytes(file_content)
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            context.code = main.run(['check-configuration', str(file)])
    for finding in context.findings:
        assert str(finding) in output.getvalue(), output.getvalue()


@behave.then('the findings are at "{places}"')
def findings_at(context, places):
    found = [finding.place for finding in context.findings]
    assert found == places.split(', '), context.findings
    assert context.code == 2


@behave.then('there is no finding')
def no_finding(context):
    assert not context.findings, context.findings
    assert context.code == 0


def _run_store_command(context, command):
    store = f'127.0.0.1:{context.processes.port("platform")}'
    process = process_fixtures.run_radishferryctl([command, store, '--json'])
    assert process.returncode == 0, process.stderr
    return json.loads(process.stdout)


@behave.when('an operator asks the store for its {what:w}')
def ask_store(context, what):
    context.shown = _run_store_command(context, f'store-{what}')


@behave.then('it names a granting host and {count:d} servers of each service')
def names_granter(context, count):
    assert context.shown['granting_host'] in ('host1', 'host2'), context.shown
    assert set(context.shown['servers'].values()) == {count}, context.shown
    assert len(context.shown['servers']) == 2, context.shown


@behave.then('the ranges hold all keys without a gap')
def all_keys(context):
    ends = [-1, *(found['end'] for found in context.shown)]
    starts = [*(found['start'] for found in context.shown), 65536]
    assert [end + 1 for end in ends] == starts, context.shown
