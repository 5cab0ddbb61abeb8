"""Record which steps random fault sequences combine with which faults."""

from __future__ import annotations

#: Seconds after its end for which a fault still counts as present.
AFTER_S = 0.5


class Coverage:
    """Sample the coordinators of a world while a fault sequence runs."""

    def __init__(self, world, reached):
        self._world = world
        self._reached = reached
        self._states = {}
        self._last_seen = {}
        world.at(world.now, self._sample)

    def _sample(self):
        world = self._world
        for host in world.hosts.values():
            if host.app is None:
                self._last_seen['process killed'] = world.now
            elif host.is_paused:
                self._last_seen['process paused and returned'] = world.now
        for name, server in world.servers.items():
            if server.is_frozen:
                self._last_seen['server frozen and returned', name] = world.now
        for host in world.hosts.values():
            if host.app is not None and not host.is_paused:
                self._record(host)
        world.at(world.now + 0.01, self._sample)

    def _record(self, host):
        for name, owned in host.app.ownership.coordinated.items():
            coordinator = owned.coordinator
            key = (host.name, host.process, name)
            before = self._states.get(key, coordinator.state)
            self._states[key] = coordinator.state
            steps = [f'coordinator: {coordinator.state}']
            if before != coordinator.state:
                steps.append(f'coordinator: {before} to {coordinator.state}')
            if (
                coordinator._holdings._pending
                or coordinator._holdings._releases
            ):
                steps.append('planned move')
            if host.app.is_stopping:
                steps.append('planned stop')
            for fault in self._faults(host.name, name):
                self._reached.update((step, fault) for step in steps)

    def _faults(self, host, server):
        world = self._world
        for fault in ('process killed', 'process paused and returned'):
            if self._is_recent(fault):
                yield fault
        if self._is_recent(('server frozen and returned', server)):
            yield 'server frozen and returned'
        if any(host in c and c <= {*world.hosts} for c in world.partitions):
            yield 'cut from peers'
        if world.is_partitioned(host, 'table'):
            yield 'cut from the table'
        if world.is_slow or world.table.state == 'down':
            yield 'table slow'
        if world.table.state == 'lossy':
            yield 'write applied, answer lost'

    def _is_recent(self, fault):
        return self._world.now - self._last_seen.get(fault, -1) <= AFTER_S
