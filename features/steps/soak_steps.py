"""Steps for soak tests."""

from __future__ import annotations

import dataclasses
import types

import behave

from radishferry_testing.soak import __main__ as soak
from radishferry_testing.soak import callers
from radishferry_testing.soak import checks
from radishferry_testing.soak import plan

_GRANT = {'start_key': 0, 'target': 99, 'fence': 5, 'hold_s': 4.0}


@behave.when(
    'the faults of seeds {first:d} to {last:d} are generated for {s:d} seconds'
)
def generate(context, first, last, s):
    context.seconds = s
    context.plans = {
        seed: plan.generate(seed, s) for seed in range(first, last + 1)
    }


@behave.then('each seed generates the same faults again')
def same(context):
    for seed, faults in context.plans.items():
        assert faults == plan.generate(seed, context.seconds)


@behave.then('no fault is active in the last {seconds:d} seconds of a run')
def fault_free_end(context, seconds):
    end_s = context.seconds - seconds
    for faults in context.plans.values():
        assert faults
        assert all(fault.end_s <= end_s + 0.01 for fault in faults)


@behave.then('every kind of fault is generated')
def every_kind(context):
    generated = {f.kind for faults in context.plans.values() for f in faults}
    assert generated == set(plan.KINDS), set(plan.KINDS) - generated


_SAMPLE = checks.Sample(100.0, 'host1', 7, 3, 40.0, 50)


@behave.given('a run of a soak test without faults')
def fault_free_run(context):
    context.events = [
        ['grant', 'i-keyed-0', _GRANT, 100.0],
        ['run', 'i-plain-0', {'id': 'p1'}, 101.0],
        ['run', 'i-keyed-0', {'id': 'k1'}, 102.0],
    ]
    context.calls = [
        callers.Call('p1', 'pay', 'host1', 100.9, 101.1, 200, ''),
        callers.Call('p2', 'pay', 'host1', 100.9, 101.1, 503, ''),
        callers.Call('k1', 'keyed', 'host2', 101.9, 102.1, 200, ''),
        *(
            callers.Call('k1', 'keyed', 'host2', 110.0 + n, 111.0 + n, 200, '')
            for n in range(5)
        ),
    ]
    context.samples = [_SAMPLE, dataclasses.replace(_SAMPLE, version=None)]
    context.outputs = dict.fromkeys(plan.HOSTS, '')
    context.cluster = types.SimpleNamespace(
        fault_log=[],
        configurations=[(97.5, 3)],
        exits=[('host1', 0, 1.0)],
        output=context.outputs.get,
    )


def _change_call(context, index, **changes):
    context.calls[index] = dataclasses.replace(context.calls[index], **changes)


def _log_fault(context, fault, began, ended):
    context.cluster.fault_log += [
        (began, 'begins', fault),
        (ended, 'ends', fault),
    ]


def _record_leave(context):
    fault = plan.Fault(0.0, 9.0, 'server-leave', 'i-plain-0')
    _log_fault(context, fault, 95.0, 104.0)


def _record_lost_connection(context):
    _log_fault(
        context, plan.Fault(0.0, 1.0, 'stop-host', 'host1'), 101.0, 102.0
    )
    _change_call(context, 0, status=callers.CONNECTION_LOST)


def _fail_at_end(context):
    for index in range(5, len(context.calls)):
        _change_call(context, index, status=503)


def _exceed_limit(context):
    fault = plan.Fault(0.0, 8.0, 'server-rate-limit', 'i-plain-0')
    _log_fault(context, fault, 95.0, 104.0)
    context.events += [
        ['run', 'i-plain-0', {'id': 'k1'}, 100.0 + number / 10]
        for number in range(30)
    ]


_VIOLATIONS = {
    'a payment that ran twice': lambda c: c.events.append(
        ['run', 'i-plain-1', {'id': 'p1'}, 101.5]
    ),
    'a refused payment that had run': lambda c: _change_call(c, 0, status=503),
    'the answer of another request': lambda c: _change_call(
        c, 0, problem='the answer of another request'
    ),
    'a success that no server ran': lambda c: c.events.pop(),
    'a valid request that is answered 404': lambda c: _change_call(
        c, 0, status=404
    ),
    'a second holder of a key': lambda c: c.events.append(
        ['grant', 'i-keyed-1', _GRANT | {'fence': 6}, 103.0]
    ),
    'work at a server that has left': _record_leave,
    'many requests at a server with a limit': _exceed_limit,
    'a request cut off by a planned stop': _record_lost_connection,
    'a stop that exceeds its grace period': lambda c: c.cluster.exits.append(
        ('host2', 0, 6.5)
    ),
    'an older configuration': lambda c: c.samples.append(
        dataclasses.replace(_SAMPLE, version=2)
    ),
    'a late configuration': lambda c: c.samples.append(
        dataclasses.replace(_SAMPLE, host='host2', version=2)
    ),
    'a host of 200 MB': lambda c: c.samples.append(
        dataclasses.replace(_SAMPLE, memory_mb=200.0)
    ),
    'an unexpected error in a log': lambda c: c.outputs.update(
        host1='Traceback (most recent call last):'
    ),
    'a service that does not recover': _fail_at_end,
}


def _check(context):
    return list(
        checks.check(
            context.events, context.calls, context.cluster, context.samples
        )
    )


@behave.then('the checks find nothing')
def nothing(context):
    assert not _check(context), _check(context)


@behave.when('{what} is seen')
def is_seen(context, what):
    _VIOLATIONS[what](context)


@behave.then('a violation of "{guarantee}" is found')
def is_found(context, guarantee):
    found = {finding.guarantee for finding in _check(context)}
    assert guarantee in found, found


@behave.when('a soak test of {seconds:d} seconds is run with seed {seed:d}')
def run_soak(context, seconds, seed):
    context.findings = soak.run(seed, seconds)


@behave.then('the soak test has no findings')
def found_nothing(context):
    assert not context.findings, context.findings
