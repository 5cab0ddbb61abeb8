"""Steps for the commands that check what hosts are given."""

from __future__ import annotations

import contextlib
import copy
import io
import json
import pathlib
import tempfile

import behave

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
def document(context):
    context.document = copy.deepcopy(_DOCUMENT)
    context.value = None


@behave.given(
    '{part:w} "{name}" of the configuration has "{field}" as "{value}"'
)
def change(context, part, name, field, value):
    context.document[f'{part}s'][name][field] = value


@behave.given('a configuration file with {text}')
def file_text(context, text):
    context.document = None
    context.value = text.encode()


@behave.when('the configuration is checked')
def check(context):
    value = context.value or json.dumps(context.document).encode()
    context.findings = configuration_check.check(value)
    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory) / 'configuration.json'
        file.write_bytes(value)
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
