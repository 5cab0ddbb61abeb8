"""Steps for the lost requests of a simulated day."""

from __future__ import annotations

import json
import pathlib
import tempfile

import behave

from radishferry_testing.users import losses

_OTHER_LINES = (
    'day                  own/srv  score  worth served',
    '   1.0000 host1 {"event": "app: Started.", "host": "host1"}',
    '   2.0000 host1 {"event": "request: Ended.", "rou',
)


@behave.given('the output of a day with these ended requests')
def ended_requests(context):
    context.lines = [
        *_OTHER_LINES,
        *(
            f'  {row["second"]} host1 '
            + json.dumps(
                {
                    'event': 'request: Ended.',
                    'route': 'r',
                    'service': row['service'],
                    'status': int(row['status']),
                    'outcome': row['outcome'],
                    'routine': row['routine'] == 'yes',
                }
            )
            for row in context.table
        ),
    ]


@behave.given('the output of a day without ended requests')
def no_ended_requests(context):
    context.lines = list(_OTHER_LINES)


@behave.when('its outcomes are counted in windows of {window_s:g} seconds')
def count(context, window_s):
    context.ended = list(losses.read(context.lines))
    context.counts = losses.count_by_window(context.ended, window_s)


@behave.then('the counts are')
def counts_are(context):
    expected = {
        (float(row['window']), row['outcome']): int(row['count'])
        for row in context.table
    }
    found = {
        (window, outcome): number
        for window, counter in context.counts.items()
        for outcome, number in counter.items()
    }
    assert found == expected, found


@behave.then('the table of services names "{first}" and "{second}"')
def names_services(context, first, second):
    lines = list(
        losses.table(losses.count_by_service(context.ended), 'service')
    )
    assert {line.split()[0] for line in lines[1:]} == {first, second}, lines


@behave.when('its losses are shown')
def show(context):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'day.txt'
        path.write_text('\n'.join(context.lines))
        try:
            losses.main(path)
        except SystemExit as exc:
            context.message = str(exc)


@behave.then('it reports that there are none')
def reports_none(context):
    assert 'no line of a host' in context.message, context.message
