"""Simulate hosts, servers and a store that is restored from older copies.

The hosts run the real client of the store, ``LeaderElector`` and
``Ownership``. Time is simulated.
"""

from __future__ import annotations

import itertools
import random
import types
from unittest import mock

import grant_world
import load_fixtures
import restored_store_fixtures

from radishferry.direct import configuration
from radishferry.direct import granting
from radishferry.direct import key_map
from radishferry.direct import placement
from radishferry.direct import registry
from radishferryd.platform import store as store_module
from radishferryd.router import knowledge
from radishferryd.router import link_monitor
from radishferryd.router import ownership as ownership_module
from radishferryd.router import store_reader
from radishferryd.router import term as term_module

#: Keys at which holders and fencing tokens are checked.
KEYS = tuple(range(100, key_map.KEY_COUNT, 4096))
TICK_S = 0.1
#: Number of ranges at first; few, so that a sequence takes half a second.
RANGES = 16
#: Longest lease; short, so that more happens between the restores.
HOLD_MAX_S = 5.0
#: Seconds after which outages of the store and of hosts end.
FAULT_S = 2.5
#: Seconds after the last fault within which all keys have to be held again:
#: late releases, the longest leases of lost rows, a term, and the takeover.
RECOVERY_S = 25.0
_SERVICE = configuration.Service('s', '/health', 64, True, 1.0)


class _Scheduler:
    """Run the calls of one host while its process runs."""

    def __init__(self, scheduler):
        self._scheduler = scheduler
        self.is_running = True
        self.now = scheduler.now
        #: Schedules a call that outlives the process.
        self.call_always = scheduler.call_later

    def call_later(self, delay_s, callback):
        """Schedule a call of the process."""

        def call():
            if self.is_running:
                callback()

        return self._scheduler.call_later(delay_s, call)


class _OrderSender:
    """Carry orders to the servers of the world."""

    def __init__(self, host):
        self._host = host
        self._failures = {}
        self._generation = 0

    def is_replaced(self, incarnation):
        return False

    def is_unreachable(self, incarnation):
        return self._failures.get(incarnation, 0) >= 3

    def drop(self, incarnation):
        """Do nothing, since no orders are queued."""

    def close(self):
        """Discard the answers to orders in flight."""
        self._generation += 1

    def send(self, order, server, granter):
        host, now = self._host, self._host.scheduler.now()
        granter.note_pending(order, now)
        if not host.ownership._may_order(order) or not granter.is_current(
            order, now
        ):
            self._fail(order, granter, was_sent=False)
            return
        granter.note_sent(order, now)
        host.world.deliver(host, order, server, self._receiver(order, granter))

    def _receiver(self, order, granter):
        generation, sent_at = self._generation, self._host.scheduler.now()
        is_grant = isinstance(order, granting.Grant)
        incarnation = order.segment.owner if is_grant else order.incarnation

        def receive(answer):
            if generation != self._generation:
                return
            if answer in ('not sent', 'unknown'):
                failures = self._failures.get(incarnation, 0) + 1
                self._failures[incarnation] = failures
                self._fail(order, granter, was_sent=answer == 'unknown')
                return
            self._failures[incarnation] = 0
            now = self._host.scheduler.now()
            if answer == 'stale':
                granter.note_grant_failed(
                    order, now, was_sent=False, is_stale=True
                )
            elif is_grant:
                granter.note_granted(order, sent_at, now)
            else:
                granter.note_released(order, 'state')

        return receive

    def _fail(self, order, granter, *, was_sent):
        note = (
            granter.note_grant_failed
            if isinstance(order, granting.Grant)
            else granter.note_release_failed
        )
        note(order, self._host.scheduler.now(), was_sent=was_sent)


class Host:
    """Run one process of a host, and do what its ``App`` does."""

    def __init__(self, world, name, is_first_start):
        self.world = world
        self.name = name
        self.scheduler = _Scheduler(world.time)
        self.routing_state = knowledge.RoutingState(self.scheduler.now)
        self.routing_state.configuration = types.SimpleNamespace(
            services={'s': _SERVICE}
        )
        self.store = store_module.Store(None, self.scheduler, ('a', 1))
        self.client = self.store._client = restored_store_fixtures.Client(
            world.store, self.scheduler, world.rng
        )
        self._reader = store_reader.StoreReader(
            self.store, self.scheduler, self.routing_state
        )
        self.term = term_module.LeaderElector(
            self.store,
            self.scheduler,
            self,
            name,
            '127.0.0.1:1',
            next(world.numbers),
            1000.0,
            self.store.eras,
            is_first_start,
        )
        self.ownership = ownership_module.Ownership(
            None,
            self.scheduler,
            self.routing_state,
            self.term,
            HOLD_MAX_S,
            f'{name}-{next(world.numbers)}',
            lambda: 3,
            mock.create_autospec(
                link_monitor.LinkMonitor, instance=True, on_restored=[]
            ),
        )
        self.ownership._links.reaches_servers = True
        self.ownership.order_sender = _OrderSender(self)
        self.routing_state.on_servers.append(self.ownership.servers_changed)
        self.ownership.on_segments.append(self._push)
        self.store.on_restored.append(self._reader.note_restored)
        self.list_servers()
        self.term.poll_soon()
        self._tick()

    def stop(self):
        """End the process."""
        self.scheduler.is_running = False

    def list_servers(self):
        """Take over the list of servers."""
        self.routing_state.apply_servers(
            self.world.registered(), self.scheduler.now(), 'store'
        )

    def _push(self, service, segments):
        for other in self.world.hosts.values():
            if other is not None and other is not self:
                other.routing_state.apply_segments(service, segments)

    def _tick(self):
        self.term.tick()
        self.ownership.tick()
        # Also where the poll ended because the row changed meanwhile.
        self.term.poll_soon(0.5)
        self.scheduler.call_later(TICK_S, self._tick)

    # Called by the elector, see ``App``.

    def needs_granter(self):
        return True

    def granter_found(self, term):
        """Do nothing, since pushes need no link."""

    def owners_read(self, rows):
        self._reader.apply_owners(rows)

    def rows_restored(self, rows):
        self.ownership.rows_restored(rows)

    def note_store_answer(self, answer):
        return self._reader.note_answer(answer)

    def reaches_servers(self):
        return True

    def term_lost(self):
        self.ownership.end()

    def term_taken(self):
        def handle(answer):
            if not self.term.holds:
                return
            if self.note_store_answer(answer):
                self.ownership.begin(
                    answer.rows, self.term.previous_had_usual_holds
                )
            else:
                self.scheduler.call_later(0.2, self.term_taken)

        self.store.read(store_reader.OWN_TABLE, handle)


class World:
    """Run hosts and servers under faults, and check their promises."""

    def __init__(self, seed, *, names_era=True):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.time = load_fixtures.Scheduler()
        self.store = restored_store_fixtures.Store(
            self.time, names_era=names_era
        )
        self.numbers = itertools.count(1)
        self._servers = {}
        self._leaving = set()
        #: Highest fencing token by key and incarnation.
        self._fences = {}
        self.loses_orders = False
        for _ in range(3):
            self._start_server()
        self.hosts = {}
        for name in ('h0', 'h1', 'h2'):
            self.hosts[name] = Host(self, name, True)
        self._check_often()

    def advance(self, seconds):
        """Let time pass."""
        self.time.advance(seconds)

    # Servers.

    def _start_server(self):
        incarnation = (f'i{next(self.numbers)}', int(self.time.now() * 1000))
        self._servers[incarnation] = grant_world.Server(incarnation, KEYS)

    def registered(self):
        """Return the entries of the servers that run."""
        return [
            registry.Server(
                *incarnation,
                's',
                ('127.0.0.1', index + 1),
                'x',
                4,
                incarnation in self._leaving,
            )
            for index, (incarnation, server) in enumerate(
                self._servers.items()
            )
            if server.is_up
        ]

    def _list_servers(self):
        for host in self.hosts.values():
            if host is not None:
                host.list_servers()

    def deliver(self, host, order, server, receive):
        """Execute an order at its server, late or never under faults."""
        target = self._servers[server.incarnation]
        later = host.scheduler.call_later
        if not target.is_up:
            later(0.002, lambda: receive('not sent'))
            return
        now = self.time.now()
        fault = self.rng.choices(
            ('', 'answer lost', 'late', 'never'), (70, 12, 12, 6)
        )[0]
        if not self.loses_orders or not fault:
            delay_s = self.rng.choice((0.002, 0.01, 0.1))

            def arrive():
                answer = self._execute(order, target, self.time.now())
                later(0.002, lambda: receive(answer))

            self.time.call_later(delay_s, arrive)
            return
        arrived_at = now + self.rng.uniform(0, grant_world.ORDER_TIMEOUT_S)
        if fault != 'never':
            delay_s = arrived_at - now
            if fault == 'late':
                delay_s += self.rng.uniform(2, grant_world.MAX_DELAY_S)
            self.time.call_later(
                delay_s, lambda: self._execute(order, target, arrived_at)
            )
        later(grant_world.ORDER_TIMEOUT_S, lambda: receive('unknown'))

    def _execute(self, order, target, arrived_at):
        if not target.is_up:
            return 'unknown'
        if not isinstance(order, granting.Grant):
            target.release(order.segment)
            return 'done'
        if not target.grant(order.segment, order.hold_s, arrived_at):
            return 'stale'
        self._check_fences(order, target)
        self.check()
        return 'done'

    # Promises.

    def _check_fences(self, order, target):
        for key in KEYS:
            if not order.segment.start <= key <= order.segment.end:
                continue
            if not target.holds(key, self.time.now()):
                # The order came so late that its lease has ended.
                continue
            fences = self._fences.setdefault(key, {})
            others = [f for i, f in fences.items() if i != target.incarnation]
            assert order.segment.fence > max(others, default=0), (
                f'{self.time.now():.3f}: key {key} of {target.incarnation} '
                f'has fence {order.segment.fence} after {fences}'
            )
            fences[target.incarnation] = max(
                order.segment.fence, fences.get(target.incarnation, 0)
            )

    def holders(self, key):
        """Return the servers that run requests for a key."""
        now = self.time.now()
        return [i for i, s in self._servers.items() if s.holds(key, now)]

    def check(self):
        """Check that no key has two holders, and that one host grants."""
        for key in KEYS:
            found = self.holders(key)
            assert len(found) <= 1, f'{self.time.now():.3f}: {key} at {found}'
        granters = [
            host.name
            for host in self.hosts.values()
            if host is not None and host.term.holds
        ]
        assert len(granters) <= 1, f'{self.time.now():.3f}: {granters} grant'

    def _check_often(self):
        self.check()
        self.time.call_later(0.02, self._check_often)

    def recover(self):
        """End all faults and check that all keys are held again."""
        self.store.is_down = self.loses_orders = False
        for host in filter(None, self.hosts.values()):
            host.client.loses_answers = False
        self.advance(FAULT_S + RECOVERY_S)
        unheld = [key for key in KEYS if not self.holders(key)]
        assert not unheld, f'keys {unheld} have no holder'


def _host(world, number):
    return list(world.hosts.values())[number % len(world.hosts)]


def restore(world, number):
    """Restore the store from a copy of up to three seconds ago."""
    world.store.restore((0.0, 0.3, 0.6, 1.0, 2.0, 3.0)[number % 6])


def restore_after_outage(world, number):
    """Restore the store after it was away for a moment."""
    world.store.is_down = True
    world.advance((0.3, 1.0, 2.5)[number % 3])
    world.store.is_down = False
    restore(world, number // 2)


def stop_store(world, number):
    """Stop the store for some seconds."""
    world.store.is_down = True
    world.time.call_later(
        FAULT_S, lambda: setattr(world.store, 'is_down', False)
    )


def cut_host(world, number):
    """Cut a host off from the store for some seconds."""
    _cut(world, _host(world, number))


def _cut(world, host):
    if host is not None:
        host.client.is_cut = True
        world.time.call_later(
            FAULT_S, lambda: setattr(host.client, 'is_cut', False)
        )


def toggle_answers(world, number):
    """Lose answers of the store to a host, or no more."""
    host = _host(world, number)
    if host is not None:
        host.client.loses_answers = not host.client.loses_answers


def toggle_orders(world, number):
    """Lose and delay orders to servers, or no more."""
    world.loses_orders = not world.loses_orders


def kill_host(world, number):
    """Kill a host; it is started again some seconds later."""
    name = list(world.hosts)[number % len(world.hosts)]
    if world.hosts[name] is None:
        return
    world.hosts[name].stop()
    world.hosts[name] = None

    def start():
        world.hosts[name] = Host(world, name, False)

    world.time.call_later((0.1, FAULT_S)[number % 2], start)


def replace_server(world, number):
    """Let a server leave and another start; it ends seconds later."""
    usable = [s for s in world.registered() if not s.is_leaving]
    leaving = usable[number % len(usable)].incarnation
    world._leaving.add(leaving)
    world._start_server()
    world._list_servers()

    def end():
        world._servers[leaving].is_up = False
        world._list_servers()

    world.time.call_later(4.0, end)


def move_keys(world, number):
    """Let the granting host move some ranges to random servers."""
    now = world.time.now()
    usable = [s.incarnation for s in world.registered() if not s.is_leaving]
    for host in world.hosts.values():
        if host is None or not host.ownership.is_active:
            continue
        service = host.ownership._service('s')
        layout = placement.layout_of(service.granter.ranges)
        for index in world.rng.sample(range(len(layout)), len(layout) // 3):
            start, end, _ = layout[index]
            owner = world.rng.choice(usable)
            if service.granter.may_assign(owner, start, end, now):
                layout[index] = start, end, owner
        is_possible = not service.pending and not service.is_row_lost
        if layout and is_possible and host.term.holds:
            host.ownership._propose(service, layout)


def lose_granter(world, number):
    """Lose the newest moves, and kill or cut off who made them."""
    granters = [
        name
        for name, host in world.hosts.items()
        if host is not None and host.term.holds
    ]
    for name in granters:
        if number % 3:
            kill_host(world, list(world.hosts).index(name))
        else:
            _cut(world, world.hosts[name])
    restore(world, 3 + number % 3)


FAULTS = (
    restore,
    restore_after_outage,
    lose_granter,
    move_keys,
    move_keys,
    replace_server,
    stop_store,
    cut_host,
    toggle_answers,
    toggle_orders,
    kill_host,
    replace_server,
)
WAITS_S = (0.02, 0.1, 0.35, 0.7, 1.5, 3.0)
FAULTS_IN_SEQUENCE = 20


def run(seed, *, names_era=True):
    """Run one random sequence of faults."""
    with mock.patch.multiple(
        placement, INITIAL_RANGES=RANGES, MIN_RANGES_PER_SERVER=4
    ):
        world = World(seed, names_era=names_era)
        world.advance(5.0)
        generator = random.Random(seed)
        for _ in range(FAULTS_IN_SEQUENCE):
            generator.choice(FAULTS)(world, generator.randrange(12))
            world.advance(generator.choice(WAITS_S))
        world.recover()
