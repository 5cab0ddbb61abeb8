"""Steps for requests that crash servers, among usual ones."""

from __future__ import annotations

import itertools
import random

import behave
import direct_relays_steps

from radishferry.direct import registry

#: Seconds between usual payments.
_INTERVAL_S = 0.04
#: Seconds between reports of the hosts to the granting host.
_REPORT_S = 0.25


class _Servers:
    """Let servers crash and start them again as new incarnations."""

    def __init__(self, context, closes, down_s):
        self.crashes = 0
        self.delay_s = 0.0
        self.is_enabled = True
        self._context = context
        self._error = ConnectionResetError(104, 'reset')
        if closes == 'closes':
            self._error = None
        self._down_s = down_s
        self._numbers = itertools.count(len(context.servers))
        self._entries = dict(enumerate(context.hosts[0].state.registry.all()))

    def watch(self, path):
        """Crash each server that runs a request for a path."""
        for number, server in enumerate(self._context.servers):
            server.on_run = lambda head, number=number: self._on_run(
                number, head, path
            )

    def _on_run(self, number, head, path):
        if head.target != path:
            return True
        self._context.scheduler.call_later(
            self.delay_s, lambda: self.crash(number)
        )
        return False

    def crash(self, number):
        """End the process of a server, and start another one later."""
        context, address = self._context, self._entries[number].address
        found = context.network.listeners.pop(address, None)
        if found is None:
            return
        self.crashes += 1
        for socket in list(context.network.sockets):
            if socket.address == address and socket.host is not None:
                if socket.peer is not None:
                    socket.peer.fail(None)
                socket.fail(self._error)
        context.scheduler.call_later(
            self._down_s, lambda: self._start(number, found)
        )

    def _start(self, number, accept):
        context = self._context
        former = self._entries[number]
        context.network.listeners[former.address] = accept
        self._entries[number] = registry.Server(
            f's{next(self._numbers)}',
            former.born_ms + 1,
            former.service,
            former.address,
            former.data_centre,
            former.slots,
            False,
        )
        for host in context.hosts:
            host.state.apply_servers(
                list(self._entries.values()), context.scheduler.now(), 'store'
            )


def _share_news(context):
    """Pass on what the hosts report, as the granting host does."""
    granting, *others = context.hosts
    now = context.scheduler.now()
    for host in others:
        news = host.gateway.take_load().crashes
        granting.crashes.merge(news.crashes, now)
        granting.crashes.forget(news.completed)
    granting.gateway.take_load()


def _run(context, seconds, send):
    """Advance the time in steps of usual payments.

    :param send: Called at each step with its number.
    """
    granting, *others = context.hosts
    if others:
        granting.crashes.on_change.append(
            lambda counts: [
                host.crashes.adopt(counts, context.scheduler.now())
                for host in others
            ]
        )
    context.usual = []
    for step in range(round(seconds / _INTERVAL_S)):
        send(step)
        context.scheduler.advance(_INTERVAL_S)
        if others and not step % round(_REPORT_S / _INTERVAL_S):
            _share_news(context)
    context.scheduler.advance(5.0)


def _pay(context, path, rng):
    number = rng.randrange(len(context.hosts)) + 1
    return direct_relays_steps._send(
        context, number, path, body=b'amount=5', deadline_ms=2500
    )


@behave.given(
    'payment "{path}" crashes its server, which {closes} its connections and '
    'is back after {down_s:g} seconds'
)
def crashing_payment(context, path, closes, down_s):
    context.world = _Servers(context, closes, down_s)
    context.world.watch(path)
    context.leave_after_s = None


@behave.given(
    'the server crashes {seconds:g} seconds after it began to run the payment'
)
def crashes_later(context, seconds):
    context.world.delay_s = seconds


@behave.given('callers of payment "{path}" leave after {seconds:g} seconds')
def callers_leave(context, path, seconds):
    context.leave_after_s = seconds


@behave.given(
    'payment "{path}" ends the connection at each server, which lives on'
)
def resetting_payment(context, path):
    def on_run(head):
        if head.target != path:
            return True
        request_id = head.header('x-request-id')
        for socket in list(context.network.sockets):
            if socket.peer is None or not socket.is_to_server:
                continue
            handler = socket.peer._handler
            current = getattr(handler, '_head', None)
            if current and current.header('x-request-id') == request_id:
                socket.fail(ConnectionResetError(104, 'reset'))
        return False

    for server in context.servers:
        server.on_run = on_run
    context.leave_after_s = None


@behave.given('{count:d} servers that crash by themselves {order}')
def crashing_servers(context, count, order):
    context.world = _Servers(context, 'resets', 2.0)
    offset = len(context.servers) - count
    for number in range(count):
        if order == 'all at the same time':
            times = [5.0, 10.0, 15.0, 20.0, 25.0, 30.0]
        else:
            gap_s = float(order.split()[2])
            times = [
                5.0 + gap_s * n
                for n in range(number, round(30 / gap_s), count)
            ]
        for at in times:
            context.scheduler.call_later(
                at, lambda number=number: context.world.crash(offset + number)
            )


@behave.when(
    'usual payments come for {seconds:g} seconds, and payment "{path}" every '
    '{interval_s:g} seconds'
)
def payments_come(context, seconds, path, interval_s):
    rng = random.Random(7)
    context.path = path
    context.special = []

    def send(step):
        context.usual.append(_pay(context, f'/p/{1000 + step}', rng))
        if not (step + 1) % round(interval_s / _INTERVAL_S):
            caller = _pay(context, path, rng)
            context.special.append(caller)
            if context.leave_after_s is not None:
                context.scheduler.call_later(
                    context.leave_after_s, caller.leave
                )

    _run(context, seconds, send)


@behave.when(
    '{count:d} payments return {rate:d} times a second for {seconds:g} seconds'
)
def payments_return(context, count, rate, seconds):
    rng = random.Random(7)
    for server in context.servers:
        server.work_s = 0.2

    def send(step):
        for _ in range(round(rate * _INTERVAL_S)):
            path = f'/p/{rng.randrange(count)}'
            context.usual.append(_pay(context, path, rng))

    _run(context, seconds, send)


def _runs(context, path):
    return [
        head
        for server in context.servers
        for head, _ in server.run
        if head.target == path
    ]


@behave.then(
    'payment "{path}" has crashed {count:d} servers and is refused at once'
)
def refused(context, path, count):
    has_crashed(context, path, count)
    for caller in context.special[count:]:
        ((head, _),) = caller.responses
        assert head.status == 503, head.status


@behave.then('payment "{path}" has crashed {count:d} servers')
def has_crashed(context, path, count):
    assert len(context.special) > count + 3
    assert context.world.crashes == count, context.world.crashes
    assert len(_runs(context, path)) == count


@behave.then('payment "{path}" was sent each time')
def sent_each_time(context, path):
    assert len(_runs(context, path)) == len(context.special) > 5


@behave.then('all usual payments are served but those at a crash')
def usual_served(context):
    statuses = [
        caller.responses[0][0].status if caller.responses else 0
        for caller in context.usual
    ]
    failed = [status for status in statuses if status != 200]
    # A server runs few payments at a time.
    assert set(failed) <= {502}, set(failed)
    assert len(failed) <= 4 * context.world.crashes, len(failed)


@behave.then('no payment is refused because of the crashes')
def none_refused(context):
    assert context.world.crashes >= 10, context.world.crashes
    for host in context.hosts:
        found = host.metrics.render().decode()
        assert 'outcome="answered"' in found
        assert 'outcome="poison"' not in found, found
