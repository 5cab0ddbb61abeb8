"""Steps for metrics, the state dump and the reference pages."""

from __future__ import annotations

import collections
import dataclasses
import enum
import json
import math
import pathlib
import re
import signal
import subprocess  # noqa: S404
import sys
import types

import behave

from features.steps import admin_fixtures
from radishferryd import metric_table
from radishferryd import metrics
from radishferryd import reference
from radishferryd import state_dump

_ACTIONS = {'adds': 'add', 'is set to': 'set', 'observes': 'observe'}
_ROOT = pathlib.Path(__file__).parents[2]


def _labels(text):
    return [label.strip() for label in text.split(',')]


@behave.given('new metrics')
def new_metrics(context):
    context.metrics = metrics.Metrics()


@behave.given(
    'a source that replaces the queue of "{old}" by the one of "{new}"'
)
def source(context, old, new):
    gauge = context.metrics.queue_waiting

    def replace():
        gauge.clear()
        gauge.set(1, new)

    context.metrics.add_source(replace)


@behave.when('metric "{name}" {action} "{values}" for "{labels}"')
def record(context, name, action, values, labels):
    recorder, labels = getattr(context.metrics, name), _labels(labels)
    for value in map(float, values.split(',')):
        if action == 'counts':
            for _ in range(int(value)):
                recorder.inc(*labels)
        else:
            getattr(recorder, _ACTIONS[action])(value, *labels)


@behave.when('metric "{name}" counts 1 for each of {count:d} services')
def counts_each(context, name, count):
    for i in range(count):
        getattr(context.metrics, name).inc(f'service-{i}')


@behave.then('the rendered metrics have the lines')
def have_lines(context):
    lines = context.metrics.render().decode().splitlines()
    missing = [r['line'] for r in context.table if r['line'] not in lines]
    assert not missing, (missing, lines)


@behave.then('the rendered metrics do not contain "{text}"')
def not_contain(context, text):
    assert text not in context.metrics.render().decode()


@behave.then('each declared metric is rendered with help and type')
def help_and_type(context):
    lines = context.metrics.render().decode().splitlines()
    for metric in metric_table.METRICS:
        assert f'# HELP {metric.name} {metric.help}' in lines, metric
        assert f'# TYPE {metric.name} {metric.kind}' in lines, metric


@behave.then('the rendered metrics stay the same')
def stay_the_same(context):
    assert context.metrics.render() == context.metrics.render()


@behave.then(
    '{count:d} series of metric "{name}" are rendered with a total of {n:d}'
)
def series(context, count, name, n):
    declared = {m.attribute: m.name for m in metric_table.METRICS}
    pattern = re.escape(declared[name]) + r'\{.*\} (\d+)'
    found = re.findall(pattern, context.metrics.render().decode())
    assert len(found) == count, len(found)
    assert sum(map(int, found)) == n


@behave.then('counting metric "{name}" for "{labels}" is an error')
def label_error(context, name, labels):
    try:
        getattr(context.metrics, name).inc(*_labels(labels))
    except ValueError as exc:
        assert 'has labels: service' in str(exc)
    else:
        raise AssertionError('no error')


@behave.then('rendering metrics in a new process imports no "{module}"')
def no_import(context, module):
    code = (
        'import sys; from radishferryd import metrics; '
        'metrics.Metrics().render(); '
        f'sys.exit({module!r} in sys.modules)'
    )
    run = subprocess.run(  # noqa: S603
        [sys.executable, '-c', code], timeout=60
    )
    assert run.returncode == 0


class _State(enum.Enum):
    LIVE = 'live'


@dataclasses.dataclass(frozen=True)
class _Node:
    name: str
    state: _State
    ranges: object
    token: str = 'hunter2'
    hidden: str = dataclasses.field(default='hunter2', repr=False)


@behave.then('the dump of a nested state is its JSON form')
def nested_dump(context):
    node = _Node('h1', _State.LIVE, {('inventory', 3): (1, math.inf)})
    state = {
        'nodes': collections.deque([node]),
        'terms': {4},
        'raw': b'abc',
        'other': types.SimpleNamespace(),
        'broken': '\ud800',
        'large': 2**100,
    }
    assert json.loads(state_dump.to_json(state)) == {
        'nodes': [
            {
                'name': 'h1',
                'state': 'live',
                'ranges': {'inventory:3': [1, 'inf']},
                'token': '(secret)',
            }
        ],
        'terms': [4],
        'raw': '3 bytes',
        'other': '<SimpleNamespace>',
        'broken': '?',
        'large': str(2**100),
    }


@behave.then('the dump of a state with cycles and a million values is bounded')
def bounded_dump(context):
    cycle = {}
    cycle['again'] = cycle
    many = [list(range(1000)) for _ in range(1000)]
    state = {'cycle': cycle, 'many': many, 'text': 'x' * 10**6}
    found = state_dump.to_json(state)
    # Each value shown is an integer of at most 3 digits with a comma.
    assert len(found) < state_dump.MAX_VALUES * 5 + 10000, len(found)
    shown = json.loads(found)
    assert '... nested more deeply' in str(shown['cycle'])
    assert str(shown['many'][-1]).startswith('... '), shown['many'][-1]


@behave.then('the dump of a state with secrets does not show them')
def secret_dump(context):
    state = [_Node('h1', _State.LIVE, ()), {'peers_shared_key': 'hunter2'}]
    assert b'hunter2' not in state_dump.to_json(state)


_WAITING_PROCESS = """
from circuits.core import BaseComponent, Manager, handler
from radishferryd import poller, state_dump

class Announce(BaseComponent):
    @handler('started', channel='*')
    def _on_started(self, *args):
        print('started', flush=True)

manager = Manager()
poller.SocketPoller().register(manager)
Announce().register(manager)
state_dump.DumpOnSignal(lambda: {'host': 'h1'}).register(manager)
manager.run()
"""


@behave.given('a process that waits in its poller')
def waiting_process(context):
    context.process = subprocess.Popen(  # noqa: S603
        [sys.executable, '-c', _WAITING_PROCESS],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(_end, context.process)
    assert context.process.stdout.readline() == 'started\n'


def _end(process):
    process.kill()
    process.communicate(timeout=admin_fixtures.STEP_TIMEOUT_S)


@behave.when('it receives SIGUSR1')
def receive_signal(context):
    # Send the signal only while the poller sleeps, so that it has to wake it.
    admin_fixtures.wait_until(
        lambda: _sleeps(context.process.pid), 'the process does not sleep'
    )
    context.process.send_signal(signal.SIGUSR1)


def _sleeps(pid):
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    return stat.rpartition(')')[2].split()[0] == 'S'


@behave.then('it writes its state to standard error')
def writes_state(context):
    line = context.process.stderr.readline()
    assert json.loads(line) == {'state': {'host': 'h1'}}, line


@behave.then('it still runs')
def still_runs(context):
    receive_signal(context)
    writes_state(context)
    assert context.process.poll() is None


@behave.then('each reference page matches its declarations')
def pages_current(context):
    for name, page in reference.PAGES.items():
        path = _ROOT / 'docs' / 'reference' / name
        assert path.read_text(encoding='utf-8') == page(), (
            f'{path} is outdated; run "python -m radishferryd.reference"'
        )
