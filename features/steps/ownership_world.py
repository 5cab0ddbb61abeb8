"""Simulate the network, the table and the servers of several hosts.

The hosts run the real ``Ownership``, ``Planner``, ``Membership`` and
``RouteTable``.  Time is simulated and advances from event to event.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import random

import ownership_fakes
import ownership_host

from radishferry import manifest
from radishferryd import http_client
from radishferryd import table_service

RANGES = 3
#: Maximum delay of a delayed message on a slow network, in seconds, and the
#: share of messages that are delayed.
MAX_SLOW_DELAY_S = 1.2
SLOW_SHARE = 0.05
#: Maximum duration of work, in seconds.
MAX_WORK_S = 0.06
#: Seconds after the last fault within which every range must be served.
RECOVERY_S = 20.0
CHECK_S = 0.01


class Violation(AssertionError):
    """Report a broken invariant with the trace of the world."""


class Table:
    """Keep versioned rows; may be down or lose answers."""

    def __init__(self, world):
        self.world = world
        self.rows = {}
        self.state = 'up'
        self.numbers = itertools.count()

    def read(self, prefix):
        if self.state == 'down':
            return table_service.Unavailable('down')
        return [r for n, r in self.rows.items() if n.startswith(prefix)]

    def transact(self, conditions, writes):
        if self.state == 'down':
            return table_service.Unavailable('down')
        versions = {
            name: self.rows[name].version if name in self.rows else 0
            for name in conditions
        }
        if versions != conditions:
            return table_service.Conflict(versions)
        for name, value in writes.items():
            version = versions[name] + 1
            self.rows[name] = table_service.Row(
                name, version, str(next(self.numbers)), value
            )
            self.world.note(f'row {name} v{version} {value}')
        if self.state == 'lossy':
            return table_service.Unavailable('the answer was lost')
        return table_service.Written(
            {name: versions[name] + 1 for name in writes}
        )


class Server(ownership_fakes.FakeServer):
    """Accept lease requests and work while the process runs."""

    def __init__(self, name, world):
        super().__init__(name, world.random.uniform(0, 1e6))
        self.world = world
        self.is_alive = True
        self.is_frozen = False
        self.backlog = []
        self.accepted = {}

    def take(self, boot_id, call):
        if boot_id != self.boot_id or not self.is_alive:
            return
        if self.is_frozen:
            self.backlog.append((boot_id, call))
            return
        call()

    def work(self, term, range_id, epoch):
        now = self.world.now
        clock_ms = self.clock_ms(now)
        if term < self.lease.term:
            return
        if self.lease.refusal_reason(clock_ms, range_id, epoch):
            return
        self.world.accepted(self, range_id, epoch)
        self.lease.begin(range_id)
        delay = self.world.random.uniform(0, MAX_WORK_S)
        boot_id = self.boot_id
        self.world.at(
            now + delay,
            lambda: self.take(boot_id, lambda: self.lease.finish(range_id)),
        )

    def toggle_frozen(self):
        self.is_frozen = not self.is_frozen
        if not self.is_frozen:
            backlog, self.backlog = self.backlog, []
            self.world.random.shuffle(backlog)
            for boot_id, call in backlog:
                self.take(boot_id, call)

    def toggle_alive(self):
        self.is_alive = not self.is_alive
        self.is_frozen = False
        self.backlog = []
        self.accepted = {}
        if self.is_alive:
            self.restart(self.world.random.uniform(0, 1e6))


class World:
    """Simulate hosts, servers, network and table, and check invariants."""

    def __init__(self, seed, hosts=3, servers=3):
        self.random = random.Random(seed)
        self.now = 1.0
        self.trace = []
        self._events = []
        self._order = itertools.count()
        self._channels = {}
        self.partitions = set()
        self.is_slow = False
        self.is_broken = False
        self.table = Table(self)
        self.states = {f's{i}': 'live' for i in range(servers)}
        self.servers = {n: Server(n, self) for n in self.states}
        self.highest_epochs = {}
        self.served_at = {}
        self.host_names = [f'h{i}' for i in range(hosts)]
        self.hosts = {n: ownership_host.Host(n, self) for n in self.host_names}
        self.at(self.now, self._check_periodically)

    def note(self, text):
        self.trace.append(f'{self.now:.3f} {text}')

    def at(self, when, call):
        heapq.heappush(self._events, (when, next(self._order), call))

    def advance(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            when, _, call = heapq.heappop(self._events)
            self.now = max(self.now, when)
            call()
        self.now = end

    def service(self):
        servers = tuple(
            manifest.Server(name, '127.0.0.1:1', 'd0', state)
            for name, state in sorted(self.states.items())
        )
        return manifest.Service('lots', True, servers, (), ranges=RANGES)

    # The network.

    def delay(self):
        if self.is_slow and self.random.random() < SLOW_SHARE:
            return self.random.uniform(0, MAX_SLOW_DELAY_S)
        return self.random.uniform(0.0005, 0.003)

    def is_partitioned(self, *ends):
        return frozenset(ends) in self.partitions

    def to_host(self, source, target, channel, call):
        """Deliver in order within a channel; a partition drops calls."""
        if self.is_partitioned(source, target):
            return
        when = max(self.now + self.delay(), self._channels.get(channel, 0))
        self._channels[channel] = when
        host = self.hosts[target]
        process = host.process
        self.at(when, lambda: host.run(process, channel, call))

    def send(self, source, target, connection, name, message):
        message = copy.copy(message)
        host = self.hosts[target]

        def call():
            host.app._take_incarnation(source, connection[0])
            host.app.message(source, name, message)

        self.to_host(source, target, (source, target, connection), call)

    def lease(self, host, server_name, action, done):
        """Deliver a lease request to a server and return its answer."""
        server = self.servers[server_name]
        ends = (host.name, server_name)
        sent_at = self.now
        process = host.process
        timeout = 0.2
        answered = []

        def finish(result):
            if not answered:
                answered.append(True)
                done(result)

        def reply(accepted, body):
            def received():
                finish(_result(accepted, body, sent_at, self.now))

            key = (server_name, host.name, next(self._order))
            self.to_host(server_name, host.name, key, received)

        def handle():
            reply(*server.handle(action, self.now))

        if not server.is_alive and not self.is_partitioned(*ends):
            key = (server_name, host.name, next(self._order))
            refused = http_client.JsonFailure('refused', False)
            self.to_host(server_name, host.name, key, lambda: finish(refused))
            return
        failed = http_client.JsonFailure('timeout', True)
        self.at(
            self.now + timeout,
            lambda: host.run(process, ('timer',), lambda: finish(failed)),
        )
        if not self.is_partitioned(*ends):
            boot_id = server.boot_id
            self.at(
                self.now + self.delay(), lambda: server.take(boot_id, handle)
            )

    def work(self, host, server_name, term, range_id, epoch):
        server = self.servers[server_name]
        if self.is_partitioned(host.name, server_name) or not server.is_alive:
            return
        boot_id = server.boot_id
        self.at(
            self.now + self.delay(),
            lambda: server.take(
                boot_id, lambda: server.work(term, range_id, epoch)
            ),
        )

    def call_table(self, host, operate, done):
        process = host.process
        key = ('table', host.name, next(self._order))

        def arrive():
            result = operate(self.table)
            self.at(
                self.now + self.delay(),
                lambda: host.run(process, key, lambda: done(result)),
            )

        if self.is_partitioned(host.name, 'table'):
            result = table_service.Unavailable('network partition')
            self.at(
                self.now + 0.5,
                lambda: host.run(process, key, lambda: done(result)),
            )
            return
        self.at(self.now + self.delay(), arrive)

    # Invariants.

    def accepted(self, server, range_id, epoch):
        server.accepted[range_id] = epoch
        known = self.highest_epochs.get(range_id, (0, ''))
        if epoch < known[0] or (epoch == known[0] and known[1] != server.name):
            self.fail(
                f'range {range_id}: {server.name} accepts work at epoch '
                f'{epoch} after {known}'
            )
        if (epoch, server.name) != known:
            self.note(f'range {range_id} served by {server.name} at {epoch}')
        self.highest_epochs[range_id] = (epoch, server.name)
        self.served_at[range_id] = self.now
        self.check()

    def check(self):
        owners = {}
        for server in self.servers.values():
            if not server.is_alive:
                continue
            held = server.holds(self.now)
            for range_id, epoch in list(server.accepted.items()):
                if held.get(range_id) != epoch:
                    del server.accepted[range_id]
                    continue
                owners.setdefault(range_id, []).append((server.name, epoch))
        for range_id, found in owners.items():
            if len(found) > 1:
                self.fail(f'range {range_id} has two owners: {found}')

    def _check_periodically(self):
        self.check()
        self.at(self.now + CHECK_S, self._check_periodically)

    def recover(self):
        """End all faults and check that every range is served again."""
        self.partitions.clear()
        self.is_slow = False
        self.table.state = 'up'
        for server in self.servers.values():
            if server.is_frozen:
                server.toggle_frozen()
            if not server.is_alive:
                server.toggle_alive()
        for host in self.hosts.values():
            host.recover()
        self.note('faults end')
        ended = self.now
        while self.now < ended + RECOVERY_S:
            self.advance(0.5)
            if self.is_serving():
                return
        self.fail('not served again: ' + str(self.served_at))

    def is_serving(self):
        return all(
            self.served_at.get(r, 0) > self.now - 0.3 for r in range(RANGES)
        )

    def fail(self, text):
        self.is_broken = True
        self.note(text)
        raise Violation('\n'.join(self.trace[-120:]))


def _result(accepted, body, sent_at, now):
    clock_ms, boot_id, term, previous, held = body
    return http_client.JsonResponse(
        200 if accepted else 409,
        {
            'clock_ms': clock_ms,
            'boot_id': boot_id,
            'term': term,
            'previous_term': previous,
            'ranges': {str(r): e for r, e in held.items()},
        },
        sent_at,
        now,
    )


def _pick(items, number):
    return items[sorted(items)[number % len(items)]]


def pause_host(world, number):
    host = _pick(world.hosts, number)
    world.note(f'pause or resume {host.name}')
    host.toggle_paused()


def kill_host(world, number):
    host = _pick(world.hosts, number)
    world.note(f'kill or start {host.name}')
    host.toggle_alive()


def stop_host(world, number):
    host = _pick(world.hosts, number)
    world.note(f'stop {host.name}')
    host.stop()


def kill_server(world, number):
    server = _pick(world.servers, number)
    world.note(f'kill or start {server.name}')
    server.toggle_alive()


def restart_server(world, number):
    server = _pick(world.servers, number)
    world.note(f'restart {server.name}')
    server.toggle_alive()
    if not server.is_alive:
        server.toggle_alive()


def freeze_server(world, number):
    server = _pick(world.servers, number)
    world.note(f'freeze or thaw {server.name}')
    server.toggle_frozen()


def partition(world, number):
    ends = sorted(world.hosts) + sorted(world.servers) + ['table']
    host = ends[number % len(world.hosts)]
    others = [e for e in ends if e != host]
    pair = frozenset((host, others[number // 2 % len(others)]))
    world.note(f'partition or join {sorted(pair)}')
    world.partitions ^= {pair}


def heal(world, number):
    world.note('all partitions end')
    world.partitions.clear()


def change_table(world, number):
    world.table.state = ('up', 'down', 'lossy')[number % 3]
    world.note(f'table {world.table.state}')


def slow_network(world, number):
    world.is_slow = not world.is_slow
    world.note(f'slow network {world.is_slow}')


def change_manifest(world, number):
    name = sorted(world.states)[number % len(world.states)]
    state = 'leaving' if world.states[name] == 'live' else 'live'
    if 'live' not in {**world.states, name: state}.values():
        return
    world.states[name] = state
    world.note(f'manifest: {name} {state}')
    for host in world.hosts.values():
        host.run(
            host.process, ('manifest',), lambda h=host: h.app.apply_manifest()
        )


FAULTS = (
    pause_host,
    kill_host,
    stop_host,
    kill_server,
    restart_server,
    freeze_server,
    partition,
    heal,
    change_table,
    slow_network,
    change_manifest,
)
