"""Steps for the steps of a planned stop, without a network."""

from __future__ import annotations

import math

import behave
import load_fixtures

from radishferryd.router import shutdown

#: Tolerance of times in seconds: the interval of the checks.
_TOLERANCE_S = shutdown.CHECK_S + 0.01


class _Scheduler(load_fixtures.Scheduler):
    """Repeat calls until the process exits."""

    def call_every(self, interval_s, callback):
        def repeat():
            callback()
            self.call_later(interval_s, repeat)

        self.call_later(interval_s, repeat)


class _Connection:
    """Stand in for a connection of a caller."""

    def __init__(self, gateway, is_idle):
        self.is_idle = is_idle
        self.active_at = gateway.now()
        self._gateway = gateway

    def close(self):
        self._gateway.connections.discard(self)

    def log_open_requests(self):
        """Ignore what is only logged."""


class _Gateway:
    """Record when the steps are taken."""

    open_requests = 1
    ends_at = math.inf

    def __init__(self, scheduler, is_idle):
        self.now = scheduler.now
        self.connections = set()
        self.connections.add(_Connection(self, is_idle))
        self.times = {}

    def begin_stop(self, ends_at):
        self.ends_at = ends_at

    def refuse_requests(self):
        self.times.setdefault('refused', self.now())

    def end_requests(self):
        self.times.setdefault('answered', self.now())


def _start(context, grace_s, is_idle):
    context.scheduler = _Scheduler()
    context.gateway = _Gateway(context.scheduler, is_idle)
    context.shutdown = shutdown.Shutdown(
        context.scheduler,
        context.gateway,
        grace_s,
        lambda: None,
        lambda: None,
    )


@behave.given(
    'a host with an open request and a grace period of {grace_s:d} seconds'
)
def host_with_request(context, grace_s):
    _start(context, grace_s, False)


@behave.given(
    'a host with an idle connection and a grace period of {grace_s:d} seconds'
)
def host_with_idle(context, grace_s):
    _start(context, grace_s, True)


def _run(context):
    context.begun_at = context.scheduler.now()
    context.shutdown.begin()
    try:
        context.scheduler.advance(60.0)
    except SystemExit:
        context.gateway.times['exited'] = context.scheduler.now()


@behave.when('it is stopped and the request stays open')
def stop(context):
    _run(context)


@behave.when('it is stopped and the request ends after {seconds:g} seconds')
def stop_and_end(context, seconds):
    context.scheduler.call_later(seconds, context.gateway.connections.clear)
    _run(context)


def _assert_time(context, name, seconds):
    took_s = context.gateway.times[name] - context.begun_at
    assert abs(took_s - seconds) <= _TOLERANCE_S, (name, took_s)


@behave.then('requests are refused after {seconds:g} seconds')
def refused(context, seconds):
    _assert_time(context, 'refused', seconds)


@behave.then('open requests are answered after {seconds:g} seconds')
def answered(context, seconds):
    _assert_time(context, 'answered', seconds)


@behave.then('it exits after {seconds:g} seconds')
def exits(context, seconds):
    _assert_time(context, 'exited', seconds)
