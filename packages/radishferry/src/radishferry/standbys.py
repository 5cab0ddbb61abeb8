"""Choose the standby of each range."""

from __future__ import annotations

import collections


def choose(service, owners, current, weights, unavailable):
    """Return the standby of each range, empty where there is none.

    A standby is another server in the data centre of the owner.  The current
    one is kept while possible; a new one is chosen so that the ranges of a
    failed owner are spread over many standbys.

    :param service: ``manifest.Service``.
    :param owners: Mapping of range id to the owner in the new plan.
    :param current: Mapping of range id to the current standby.
    :param weights: Mapping of range id to requests per second.
    :param unavailable: Names of servers that do not respond.
    """
    return _StandbyChooser(
        service, owners, current, weights, unavailable
    ).choose()


class _StandbyChooser:
    """Track the load that each standby would take over."""

    def __init__(self, service, owners, current, weights, unavailable):
        self._servers = {s.name: s for s in service.servers}
        self._owners = owners
        self._current = current
        self._weights = weights
        self._unavailable = unavailable
        self._usable_by_centre = collections.defaultdict(list)
        for server in service.servers:
            if server.state == 'live' and server.name not in unavailable:
                self._usable_by_centre[server.data_centre].append(server.name)
        self._load_by_pair = collections.Counter()
        self._load_by_standby = collections.Counter()

    def choose(self):
        kept = {}
        for range_id in self._owners:
            standby = self._current.get(range_id, '')
            if self._can_keep(range_id, standby):
                kept[range_id] = standby
                self._add_load(range_id, standby)
        chosen = {
            range_id: kept[range_id]
            if range_id in kept
            else self._choose_standby(range_id)
            for range_id in sorted(self._owners)
        }
        return chosen

    def _can_keep(self, range_id, standby):
        owner = self._owners[range_id]
        server = self._servers.get(standby)
        state = server.state if server else 'removed'
        if owner in self._unavailable:
            # The standby may already be promoted.  Until that is known, it
            # is kept: a new standby needs a new epoch, which would return
            # the range to the owner although it does not respond.
            return state != 'lost'
        if state != 'live' or standby == owner:
            return False
        owner_server = self._servers.get(owner)
        return (
            owner_server is not None
            and owner_server.data_centre == server.data_centre
        )

    def _choose_standby(self, range_id):
        owner = self._owners[range_id]
        owner_server = self._servers.get(owner)
        if owner_server is None:
            return ''
        names = self._usable_by_centre[owner_server.data_centre]
        standby = min(
            (name for name in names if name != owner),
            key=lambda n: (
                self._load_by_pair[owner, n],
                self._load_by_standby[n],
                n,
            ),
            default='',
        )
        self._add_load(range_id, standby)
        return standby

    def _add_load(self, range_id, standby):
        weight = self._weights.get(range_id, 0.0)
        self._load_by_pair[self._owners[range_id], standby] += weight
        self._load_by_standby[standby] += weight
