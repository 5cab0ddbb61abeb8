"""Steps for leases of keys that are longer than usual."""

from __future__ import annotations

import random
import types
from unittest import mock

import behave
import load_fixtures
import store_fixtures

from radishferry.direct import configuration
from radishferry.direct import granting
from radishferry.direct import key_map
from radishferry.direct import long_holds
from radishferry.direct import managed_range
from radishferry.direct import registry
from radishferryd.router import knowledge as knowledge_module
from radishferryd.router import link_monitor
from radishferryd.router import ownership as ownership_module
from radishferryd.router import term as term_module

_A, _B = ('A', 1), ('B', 1)


class _World:
    """Simulate a granting host and others that get some of its messages."""

    def __init__(self, rng, hosts=4):
        self._rng = rng
        self.version = 1
        self.consent = long_holds.Consent()
        self.consent.note_renewed(self.version)
        self.announced = [long_holds.AnnouncedHolds() for _ in range(hosts)]
        self.linked = set(range(hosts))
        self.long_versions = set()
        self.in_flight = []

    def run(self, steps):
        for _ in range(steps):
            self._rng.choice(
                (self.tell, self.ask, self.deliver, self.renew, self.grant)
            )()
            if self._rng.random() < 0.1:
                self.change_link()
            self.check()

    def tell(self):
        """Tell a host of usual holds; the message may be late or lost."""
        if not self.linked or self.version in self.long_versions:
            return
        host = self._rng.choice(sorted(self.linked))
        self.consent.note_told(host)
        self.in_flight.append((host, 'usual', self.version))

    def ask(self):
        for host in sorted(self.linked):
            self.in_flight.append((host, 'ask', self.version))

    def deliver(self):
        """Deliver or lose the oldest message of a random link."""
        if not self.in_flight:
            return
        host = self._rng.choice(self.in_flight)[0]
        found = next(m for m in self.in_flight if m[0] == host)
        self.in_flight.remove(found)
        _, kind, version = found
        if self._rng.random() < 0.2:
            return
        if kind == 'usual':
            self.announced[host].note(version, has_usual_holds=True)
        elif kind == 'ask':
            self.announced[host].note_agreed(version)
            self.in_flight.append((host, 'agreed', version))
        elif host in self.linked:
            self.consent.note_agreed(host, version)

    def renew(self):
        if self._rng.random() < 0.3:
            self.version += 1
            self.consent.note_renewed(self.version)

    def grant(self):
        """Grant long holds if all hosts have agreed."""
        if self.consent.is_given:
            self.long_versions.add(self.version)

    def change_link(self):
        host = self._rng.randrange(len(self.announced))
        if host in self.linked:
            self.linked.discard(host)
            self.consent.note_lost(host)
            # Messages in flight on a reset link are lost.
            self.in_flight = [m for m in self.in_flight if m[0] != host]
        else:
            self.linked.add(host)

    def check(self):
        for announced in self.announced:
            for version in self.long_versions:
                assert not announced.had_usual_holds(version), version


@behave.then(
    'in {count:d} random sequences of {steps:d} steps no host assumes usual '
    'holds after long ones'
)
def random_sequences(context, count, steps):
    granted = 0
    for seed in range(count):
        world = _World(random.Random(seed))
        world.run(steps)
        granted += len(world.long_versions)
    assert granted > count, granted


@behave.given('a granting host that has told {count:d} hosts of usual holds')
def told(context, count):
    context.consent = long_holds.Consent()
    context.consent.note_renewed(7)
    context.announced = [long_holds.AnnouncedHolds() for _ in range(count)]
    _tell(context, 7)


def _tell(context, version):
    for host, announced in enumerate(context.announced):
        context.consent.note_told(host)
        announced.note(version, has_usual_holds=True)


@behave.then('each of them assumes usual holds')
def all_assume(context):
    assert all(announced.had_usual_holds(7) for announced in context.announced)
    assert not any(
        announced.had_usual_holds(8) for announced in context.announced
    )


@behave.then('none of them assumes usual holds')
def none_assumes(context):
    assert not any(
        announced.had_usual_holds(7) for announced in context.announced
    )


@behave.when('{count:d} of them agree to long holds')
def agree(context, count):
    for host in range(count):
        context.announced[host].note_agreed(7)
        context.consent.note_agreed(host, 7)


@behave.when('the link to the third is lost')
def third_lost(context):
    context.consent.note_lost(2)


@behave.when('the leadership is renewed')
def renewed(context):
    context.consent.note_renewed(8)


@behave.when('it tells {count:d} hosts of usual holds again')
def tell_again(context, count):
    _tell(context, 8)


@behave.when('a consent from before the renewal arrives')
def late_consent(context):
    context.consent.note_agreed(0, 7)


@behave.then('long holds may be granted')
def may_grant(context):
    assert context.consent.is_given


@behave.then('no long holds may be granted')
def may_not_grant(context):
    assert not context.consent.is_given


@behave.then('holds are usual')
def usual(context):
    assert context.granter.has_usual_holds(context.now)


@behave.then('holds are not usual')
def not_usual(context):
    assert not context.granter.has_usual_holds(context.now)


@behave.then('holds are usual again after {seconds:g} seconds')
def usual_after(context, seconds):
    assert not context.granter.has_usual_holds(context.now + seconds - 0.5)
    assert context.granter.has_usual_holds(context.now + seconds)


@behave.when(
    'keys {start:d} to {end:d} are granted to server A for {hold_s:g} seconds'
)
def granted_long(context, start, end, hold_s):
    context.now += granting.RENEW_S
    (order,) = context.granter.due(context.now, hold_s)
    context.granter.note_pending(order, context.now)
    context.granter.note_sent(order, context.now)
    context.granter.note_granted(order, context.now, context.now)


@behave.given('keys {start:d} to {end:d} of server A in a row')
def row(context, start, end):
    context.row = [key_map.Segment(start, end, _A, 8)]


@behave.when('a granting host takes over the row that {knows} of usual holds')
def take_over(context, knows):
    context.now = 100.0
    context.granter = granting.KeyGranter('s', 10.0)
    context.granter.load(
        context.row, 8, context.now, has_usual_holds=knows == 'knows'
    )
    layout = [(s.start, s.end, _B) for s in context.row]
    context.granter.commit(layout, 9, context.now)


@behave.then('no grant is due to another server for {seconds:g} seconds')
def none_due(context, seconds):
    def grants(now):
        return [
            order
            for order in context.granter.due(now)
            if isinstance(order, granting.Grant)
        ]

    assert not grants(context.now + seconds)
    assert grants(context.now + seconds + 0.2)


@behave.when('it resigns with usual holds')
def resign(context):
    context.time.advance(1.0)
    assert context.elector.holds
    context.resigned_at = context.time.now()
    context.elector.release(True)
    context.time.advance(0.1)


@behave.then('the next granting host knows of usual holds')
def next_knows(context):
    context.host = store_fixtures.Host()
    context.next = term_module.LeaderElector(
        context.store, context.time, context.host, 'b', '127.0.0.1:2', 1, 999
    )
    context.next.poll_soon()
    context.time.advance(1.0)
    assert context.next.holds
    assert context.next.previous_had_usual_holds


@behave.then('it counts leases from the end of that term')
def counts_from_end(context):
    ended_at = context.next.previous_ended_at
    assert 0 <= ended_at - context.resigned_at < 0.02, ended_at


class _OrderSender:
    """Record the orders instead of sending them."""

    def __init__(self):
        self.sent = []

    def is_replaced(self, incarnation):
        return False

    def send(self, order, server, granter):
        self.sent.append(order)

    def is_unreachable(self, incarnation):
        return False


@behave.given(
    'a granting host of keys {start:d} to {end:d} whose store is silent for '
    '{silent_s:g} seconds'
)
def silent_store(context, start, end, silent_s):
    time = load_fixtures.Scheduler()
    routing_state = knowledge_module.RoutingState(time.now)
    server = registry.Server(*_A, 's', ('127.0.0.1', 1), 'x', 4, False)
    routing_state.apply_servers([server], time.now(), 'store')
    service = configuration.Service('s', '/health', 64, True, 1.0)
    routing_state.configuration = types.SimpleNamespace(
        services={'s': service}
    )
    context.term = types.SimpleNamespace(
        holds=True,
        silent_s=silent_s,
        version=7,
        era=None,
        may_lack_rows=False,
    )
    context.ownership = ownership_module.Ownership(
        None,
        time,
        routing_state,
        context.term,
        10.0,
        'a',
        lambda: 2,
        link_monitor.LinkMonitor(None, time, routing_state.registry),
    )
    context.ownership.servers_changed(None)
    context.ownership.order_sender = context.order_sender = _OrderSender()
    with mock.patch.object(
        ownership_module.store_reader, 'key_rows_of', lambda rows: ()
    ):
        context.ownership.begin(())
    held = context.ownership._service('s')
    held.granter.commit([(start, end, _A)], 7, time.now())
    (order,) = held.granter.due(time.now())
    held.granter.note_sent(order, time.now())
    held.granter.note_granted(order, time.now(), time.now())
    context.ownership.consent.note_renewed(7)


@behave.given('another host that was told of usual holds')
def another_told(context):
    context.ownership.consent.note_told('b')


@behave.when('the other host agrees')
def another_agrees(context):
    context.ownership.consent.note_agreed('b', 7)


@behave.when('it is told to stop')
def told_to_stop(context):
    context.ownership.extend_grants()


def _longest(context):
    context.ownership.tick()
    return max(
        (order.hold_s for order in context.order_sender.sent), default=0.0
    )


@behave.then('it extends its grants')
def extends(context):
    assert _longest(context) > managed_range.HOLD_S, context.order_sender.sent


@behave.then('it does not extend its grants')
def does_not_extend(context):
    assert _longest(context) <= managed_range.HOLD_S, context.order_sender.sent


@behave.when('it plans its next orders')
def plans(context):
    assert _longest(context) > managed_range.HOLD_S


@behave.then('its last order may be sent')
def may_be_sent(context):
    assert context.ownership._may_order(context.order_sender.sent[-1])


@behave.when('the store answers again')
def store_back(context):
    context.term.silent_s = 0.0
    context.term.version += 1
    context.ownership._hold_s()


@behave.then('its last order may not be sent')
def may_not_be_sent(context):
    assert not context.ownership._may_order(context.order_sender.sent[-1])
