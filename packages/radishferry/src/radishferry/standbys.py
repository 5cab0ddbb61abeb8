"""Choose the standby of each range."""

from __future__ import annotations

import collections


def choose(service, owners, present, weights, unavailable):
    """Return the standby of each range, empty where there is none.

    A standby is another server in the data centre of the owner.  A present
    one stays while it can; a new one is chosen so that the ranges of a failed
    owner spread over many standbys.

    :param service: ``manifest.Service``.
    :param owners: Mapping of range id to the owner by the new plan.
    :param present: Mapping of range id to the present standby.
    :param weights: Mapping of range id to requests per second.
    :param unavailable: Names of servers that are silent.
    """
    return _Choice(service, owners, present, weights, unavailable).choose()


class _Choice:
    """Keep count of the load that each standby would take over."""

    def __init__(self, service, owners, present, weights, unavailable):
        self._servers = {s.name: s for s in service.servers}
        self._owners = owners
        self._present = present
        self._weights = weights
        self._unavailable = unavailable
        self._usable_by_centre = collections.defaultdict(list)
        for server in service.servers:
            if server.state == 'live' and server.name not in unavailable:
                self._usable_by_centre[server.data_centre].append(server.name)
        self._by_pair = collections.Counter()
        self._by_standby = collections.Counter()

    def choose(self):
        kept = {}
        for range_id in self._owners:
            standby = self._present.get(range_id, '')
            if self._stays(range_id, standby):
                kept[range_id] = standby
                self._count(range_id, standby)
        chosen = {
            range_id: kept[range_id]
            if range_id in kept
            else self._chosen(range_id)
            for range_id in sorted(self._owners)
        }
        return chosen

    def _stays(self, range_id, standby):
        owner = self._owners[range_id]
        server = self._servers.get(standby)
        state = server.state if server else 'removed'
        if owner in self._unavailable:
            # The standby may already be promoted.  Until that is known, a new
            # standby would take the range back to a silent owner.
            return state != 'lost'
        if state != 'live' or standby == owner:
            return False
        home = self._servers.get(owner)
        return home is not None and home.data_centre == server.data_centre

    def _chosen(self, range_id):
        owner = self._owners[range_id]
        home = self._servers.get(owner)
        if home is None:
            return ''
        names = self._usable_by_centre[home.data_centre]
        standby = min(
            (name for name in names if name != owner),
            key=lambda n: (self._by_pair[owner, n], self._by_standby[n], n),
            default='',
        )
        self._count(range_id, standby)
        return standby

    def _count(self, range_id, standby):
        weight = self._weights.get(range_id, 0.0)
        self._by_pair[self._owners[range_id], standby] += weight
        self._by_standby[standby] += weight
