"""Keep count of the load that an assignment puts on each server."""

from __future__ import annotations


class ServerLoads:
    """Hold the ranges and the load of each server while a plan is made.

    :param servers: Names of the servers that take part in balancing.
    :param weights: Mapping of range id to load.
    """

    def __init__(self, servers, weights):
        self._weights = weights
        self._ranges = {server: set() for server in sorted(servers)}
        self._loads = dict.fromkeys(self._ranges, 0.0)

    @property
    def mean(self):
        """Return the mean load of the servers, 0 without servers."""
        return sum(self._loads.values()) / max(len(self._loads), 1)

    def add(self, range_id, server):
        """Count a range; servers that take no part are ignored."""
        if server in self._ranges:
            self._ranges[server].add(range_id)
            self._loads[server] += self._weights[range_id]

    def remove(self, range_id, server):
        """Undo :meth:`add`."""
        if server in self._ranges:
            self._ranges[server].remove(range_id)
            self._loads[server] -= self._weights[range_id]

    def load(self, server):
        """Return the load of a server."""
        return self._loads[server]

    def ranges(self, server):
        """Return the ids of the ranges of a server."""
        return self._ranges[server]

    def lightest(self):
        """Return the server with the least load."""
        return min(self._loads, key=lambda s: (self._loads[s], s))

    def heaviest_first(self):
        """Return all servers, those with the most load first."""
        return sorted(self._loads, key=lambda s: (-self._loads[s], s))
