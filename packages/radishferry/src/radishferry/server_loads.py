"""Track the load that an assignment puts on each server."""

from __future__ import annotations

import heapq


class ServerLoads:
    """Track the ranges and the load of each server during planning.

    :param servers: Names of the servers that take part in balancing.
    :param weights: Mapping of range id to requests per second.
    """

    def __init__(self, servers, weights):
        self._weights = weights
        self._ranges = {server: set() for server in sorted(servers)}
        self._loads = dict.fromkeys(self._ranges, 0.0)
        # Contains the current load of each server and outdated ones, which
        # are discarded lazily.
        self._heap = [(0.0, server) for server in self._ranges]

    @property
    def mean(self):
        """Return the mean load of the servers, 0 without servers."""
        return sum(self._loads.values()) / max(len(self._loads), 1)

    def add(self, range_id, server):
        """Add a range; servers that are not being balanced are ignored."""
        if server in self._ranges:
            self._ranges[server].add(range_id)
            self._change(server, self._weights[range_id])

    def remove(self, range_id, server):
        """Remove a range that was added by :meth:`add`."""
        if server in self._ranges:
            self._ranges[server].remove(range_id)
            self._change(server, -self._weights[range_id])

    def load(self, server):
        """Return the load of a server."""
        return self._loads[server]

    def ranges(self, server):
        """Return the ids of the ranges of a server."""
        return self._ranges[server]

    def lightest(self):
        """Return the server with the lowest load.

        :raises IndexError: There are no servers.
        """
        while self._heap[0][0] != self._loads[self._heap[0][1]]:
            heapq.heappop(self._heap)
        return self._heap[0][1]

    def heaviest_first(self):
        """Return all servers in order of decreasing load."""
        return sorted(self._loads, key=lambda s: (-self._loads[s], s))

    def _change(self, server, difference):
        self._loads[server] += difference
        heapq.heappush(self._heap, (self._loads[server], server))
