"""Steps for the checker."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile

import behave

from radishferry_testing import bodies
from radishferry_testing import checker
from radishferry_testing import evidence
from radishferry_testing import run_log

BODY_BYTES = 100


@behave.given('the runs "{runs}"')
def given_runs(context, runs):
    context.runs = [
        _run(number, *text.split())
        for number, text in enumerate(runs.split('; '), 1)
    ]
    context.answers = []
    context.unkeyed = frozenset()


@behave.given('that service is not partitioned by key')
def service_is_unkeyed(context):
    context.unkeyed = frozenset(run.service for run in context.runs)


@behave.given('the answers "{answers}"')
def given_answers(context, answers):
    context.answers = [
        (f'records:{number}', _answer(*text.split()))
        for number, text in enumerate(answers.split('; '), 1)
    ]


@behave.then('the checker reports ""')
@behave.then('the checker reports "{rule}"')
def checker_reports(context, rule=None):
    found = checker.check(
        evidence.Evidence(context.runs, context.answers, context.unkeyed)
    )
    rules = [violation.rule for violation in found]
    assert rules == ([rule] if rule else []), found
    assert all(violation.places for violation in found)


@behave.given(
    'run logs of two servers with an overlap and an incomplete last line'
)
def logs_with_overlap(context):
    _write_logs(context, (10, 20), (15, 30))
    with open(context.logs[1], 'ab') as file:
        file.write(b'{"server":"s2","ev')


@behave.given('run logs of two servers without an overlap')
def logs_without_overlap(context):
    _write_logs(context, (10, 20), (20, 30))


@behave.given('run logs of two servers with a corrupt line in the middle')
def logs_with_corrupt_line(context):
    _write_logs(context, (10, 20), (20, 30))
    lines = context.logs[0].read_bytes().splitlines(keepends=True)
    context.logs[0].write_bytes(lines[0] + b'{"ser\n' + lines[1])


@behave.when('the checker runs on the command line')
def run_checker(context):
    context.result = subprocess.run(
        [
            *(sys.executable, '-m', 'radishferry_testing.checker', '--log'),
            *(str(log) for log in context.logs),
        ],
        capture_output=True,
        text=True,
        check=False,
    )


@behave.then(
    'it prints a "{rule}" with both places and its status is {status:d}'
)
def prints_violation(context, rule, status):
    lines = context.result.stdout.splitlines()
    assert context.result.returncode == status, context.result
    assert len(lines) == 2 and lines[0].startswith(rule), lines
    assert all(f'{log}:2' in lines[0] for log in context.logs), lines


@behave.then('it prints no violation and its status is 0')
def prints_nothing(context):
    expected = '0 violations in 2 runs and 0 records\n'
    assert context.result.returncode == 0, context.result
    assert context.result.stdout == expected, context.result


@behave.then('it ends with an error that names the line')
def ends_with_error(context):
    assert context.result.returncode != 0
    assert f'{context.logs[0]}:2' in context.result.stderr, context.result


def _run(number, request_id, key, range_id, epoch, owner, times):
    server, _, boot = owner.partition('/')
    start, commit = times.split('-', 1)
    return evidence.Run(
        f'log:{number}',
        (server, boot),
        'service',
        request_id,
        key,
        None if range_id == '-' else range_id,
        int(epoch),
        int(start),
        None if commit == '-' else int(commit),
        BODY_BYTES,
    )


def _answer(request_id, repeats, outcome, times, variant=''):
    start, end = times.split('-')
    body_id = 'b' if variant == 'body-of-b' else request_id
    size = BODY_BYTES // 2 if variant == 'short' else BODY_BYTES
    return {
        'id': request_id,
        'idempotent': repeats == 'many',
        'outcome': outcome,
        'send_ns': int(start),
        'end_ns': int(end),
        'status': 500 if variant == 'status-500' else 200,
        'reason': '',
        'body': 'broken' if variant == 'broken' else 'complete',
        'body_bytes': size,
        'body_hash': bodies.body_hash(body_id, size),
    }


def _write_logs(context, *spans):
    """Write the log of a server for each pair of start and commit."""
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.logs = []
    for number, (start_ns, commit_ns) in enumerate(spans, 1):
        path = pathlib.Path(directory.name) / f's{number}.log'
        context.logs.append(path)
        log = run_log.RunLog(str(path), server=f's{number}', service='')
        work = {
            'id': str(number),
            'key': f'k{number}',
            'range': '1',
            'epoch': number,
            'run': 0,
        }
        log.write(time_ns=start_ns, event='start', **work)
        log.write(time_ns=commit_ns, event='commit', body_bytes=1, **work)
