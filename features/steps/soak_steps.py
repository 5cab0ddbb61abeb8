"""Steps for soak tests."""

from __future__ import annotations

import dataclasses
import itertools
import types

import behave

from radishferry_testing.soak import __main__ as soak
from radishferry_testing.soak import callers
from radishferry_testing.soak import checks
from radishferry_testing.soak import plan
from radishferry_testing.soak import cluster as cluster_module

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


@behave.then(
    'each run begins with {least:d} or {most:d} planned stops of different '
    'hosts'
)
def begins_with_stops(context, least, most):
    context.series = {
        seed: list(
            itertools.takewhile(
                lambda fault: (
                    fault.kind == 'stop-host'
                    and fault.at_s
                    < plan.FAULT_FREE_START_S + plan.STOP_SERIES_S
                ),
                faults,
            )
        )
        for seed, faults in context.plans.items()
    }
    for stops in context.series.values():
        hosts = {stop.target for stop in stops}
        assert least <= len(stops) == len(hosts) <= most, stops


@behave.then(
    'they begin within {span_s:g} seconds and no other fault begins '
    '{quiet_s:g} seconds after them'
)
def stops_overlap(context, span_s, quiet_s):
    for seed, stops in context.series.items():
        others = context.plans[seed][len(stops) :]
        assert stops[-1].at_s - stops[0].at_s < span_s, stops
        assert all(
            fault.at_s >= stops[-1].at_s + quiet_s for fault in others
        ), others


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
        stops=[cluster_module.Stop('host1', 80.0, 81.0, 0)],
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
    'a stop that exceeds its grace period': lambda c: c.cluster.stops.append(
        cluster_module.Stop('host2', 80.0, 86.5, 0)
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


#: Times of a lost request and of SIGTERM to its host, in seconds.
_SIGTERM_AT, _SENT_AT, _RUN_AT, _LOST_AT = 100.5, 100.9, 101.0, 103.0
_EXIT_AT = _SIGTERM_AT + 5.6


def _record_stop(context, host, signalled_at):
    ended_at = signalled_at + 5.6
    fault = plan.Fault(0.0, 0.0, 'stop-host', host)
    _log_fault(context, fault, signalled_at, ended_at)
    context.cluster.stops.append(
        cluster_module.Stop(host, signalled_at, ended_at, 0)
    )


def _record_unplanned(context, began, ended):
    fault = plan.Fault(0.0, 0.0, 'server-link-drop', 'i-plain-1')
    _log_fault(context, fault, began, ended)


def _change_run(context, run_at, ended_at, is_broken_off=False):
    """Replace the run of the lost request and its end."""
    _remove_run(context)
    detail = {'id': 'p1'}
    end = detail | {'is_broken_off': is_broken_off}
    context.events += [
        ['run', 'i-plain-0', detail, run_at],
        ['run-end', 'i-plain-0', end, ended_at],
    ]


def _remove_run(context):
    context.events = [e for e in context.events if e[2].get('id') != 'p1']


def _move(context, sent_at, run_at, ended_at):
    """Move the lost request and its run, with a later deadline."""
    _change_call(
        context,
        0,
        sent_at=sent_at,
        whole_at=sent_at,
        ended_at=ended_at,
        deadline_s=20.0,
    )
    _change_run(context, run_at, ended_at)


def _wait_without_run(context, **changes):
    _remove_run(context)
    _change_call(context, 0, **changes)


_CIRCUMSTANCES = {
    'nothing else': lambda c: None,
    'that it was read and not passed on': _remove_run,
    'that it was sent behind another one': lambda c: _change_call(
        c, 0, is_behind=True
    ),
    'a planned stop of another host': lambda c: _record_stop(
        c, 'host2', 101.5
    ),
    'an unplanned fault 4 seconds before it': lambda c: _record_unplanned(
        c, 96.0, _SENT_AT - 4.0
    ),
    'that it was sent late and ran until the exit': lambda c: _move(
        c, _SIGTERM_AT + 3.1, _SIGTERM_AT + 3.2, _EXIT_AT
    ),
    'that it ran until a close 0.7 s before the exit': lambda c: _move(
        c, _SENT_AT, _RUN_AT, _SIGTERM_AT + 4.9
    ),
    'that its run had ended 0.7 s before the exit': lambda c: (
        _move(c, _SENT_AT, _RUN_AT, _EXIT_AT),
        _change_run(c, _RUN_AT, _SIGTERM_AT + 4.9),
    ),
    'that its server broke off': lambda c: _change_run(
        c, _RUN_AT, _LOST_AT, is_broken_off=True
    ),
    'that its deadline was reached': lambda c: _change_call(
        c, 0, deadline_s=2.0
    ),
    'that the timeout of its route was reached': lambda c: _move(
        c, _LOST_AT - 10.1, _LOST_AT - 10.0, _LOST_AT
    ),
    'that it was sent early and ran until the exit': lambda c: _move(
        c, _SIGTERM_AT + 2.9, _SIGTERM_AT + 3.0, _EXIT_AT
    ),
    'that it waited behind another one, not passed on': lambda c: (
        _wait_without_run(c, is_behind=True)
    ),
    'that it crossed the close, not passed on': lambda c: _wait_without_run(
        c, ended_at=_SENT_AT + 0.1
    ),
    'that its last byte was not sent, not passed on': lambda c: (
        _wait_without_run(c, whole_at=None)
    ),
    'an unplanned fault 2 seconds before it': lambda c: _record_unplanned(
        c, 96.0, _SENT_AT - 2.0
    ),
    'an unplanned fault while it was in progress': lambda c: _record_unplanned(
        c, _LOST_AT - 0.5, _LOST_AT + 1.0
    ),
    'that it was cut off 1.1 s after the grace period': lambda c: _move(
        c, _SIGTERM_AT + 3.1, _SIGTERM_AT + 3.2, _SIGTERM_AT + 7.1
    ),
}


@behave.when('a planned stop cuts off a request that was passed on')
def is_cut_off(context):
    _record_stop(context, 'host1', _SIGTERM_AT)
    _change_call(
        context,
        0,
        whole_at=_SENT_AT,
        ended_at=_LOST_AT,
        status=callers.CONNECTION_LOST,
    )
    _change_run(context, _RUN_AT, _LOST_AT)


@behave.when('the run shows {what}')
def run_shows(context, what):
    _CIRCUMSTANCES[what](context)


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
