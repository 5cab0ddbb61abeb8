"""Map services and key hashes to the host that coordinates the owner.

The table is a cache.  Every entry has its own version (the epoch of a range,
the term of a coordinator) and the entry with the higher version wins, so that
pushes, refusals and snapshots may arrive in any order and more than once.
"""

from __future__ import annotations

import dataclasses

from radishferry import assignment
from radishferry import keyspace


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe where the requests of a range are sent.

    :ivar range_id: Range that the key belongs to.
    :ivar epoch: Epoch under which the server owns it, as far as known.
    :ivar server: Name of the server.
    :ivar host: Name of its coordinator; empty when none is known.
    """

    range_id: int
    epoch: int
    server: str
    host: str


class RouteTable:
    """Store the owners and coordinators that one process knows."""

    def __init__(self):
        self._services = {}
        self._coordinators = {}

    def set_range_count(self, service, ranges):
        """Set the number of hash ranges of a service.

        :param str service: Name of the service.
        :param int ranges: Number of hash ranges.
        """
        self._routes_of(service).ranges = ranges

    def apply_assignments(self, service, assignments):
        """Merge range assignments from the table.

        The assignments of one transaction must be passed in one call: a key
        that is split out must become known together with the new epoch of its
        hash range.

        :param str service: Name of the service.
        :param assignments: Mapping of range id to ``RangeAssignment``.
        :returns: Ids of the ranges whose assignment changed.
        """
        return self._routes_of(service).merge_assignments(assignments)

    def apply_route(self, service, range_id, epoch, server):
        """Merge a route that a coordinator announced as active.

        :returns: Whether it replaced the known route.
        """
        return self._routes_of(service).merge_route(range_id, epoch, server)

    def assignment(self, service, range_id):
        """Return the ``RangeAssignment`` of a range, None when unknown."""
        routes = self._services.get(service)
        return routes and routes.assignments.get(range_id)

    def assignments(self, service):
        """Return a copy of the known assignments by range id."""
        routes = self._services.get(service)
        return dict(routes.assignments) if routes else {}

    def active(self, service, range_id):
        """Return ``(epoch, server)`` last announced, None when unknown."""
        routes = self._services.get(service)
        return routes and routes.active.get(range_id)

    def coordinator_of(self, server):
        """Return ``(host, term)`` of a server, None when unknown."""
        known = self._coordinators.get(server)
        return known and (known[1], known[0])

    def coordinators(self):
        """Return server to ``(host, term)`` of all known coordinators."""
        return {
            server: (host, term)
            for server, (term, host) in self._coordinators.items()
        }

    def set_coordinator(self, server, host, term):
        """Merge a report about the coordinator of a server.

        :param str server: Name of the server.
        :param str host: Name of the host.
        :param int term: Term of the host; the highest one wins.
        :returns: Whether it replaced the known coordinator.
        """
        offered = (term, host)
        if offered <= self._coordinators.get(server, (-1, '')):
            return False
        self._coordinators[server] = offered
        for routes in self._services.values():
            routes.forget_resolved()
        return True

    def host_restarted(self, host):
        """Remove a host as coordinator, because its process has ended.

        Its servers have no known coordinator until one is reported again.
        The terms stay stored, because they must not be used again.

        :param str host: Name of the host.
        """
        for server, (term, coordinator) in list(self._coordinators.items()):
            if coordinator == host:
                self._coordinators[server] = term, ''
                for routes in self._services.values():
                    routes.forget_resolved()

    def range_of(self, service, key_hash):
        """Return the range id of a key, None for an undeclared service."""
        routes = self._services.get(service)
        if routes is None or not routes.ranges:
            return None
        return keyspace.range_of(key_hash, routes.ranges, routes.hot_keys)

    def lookup(self, service, key_hash):
        """Return the :class:`Route` of a key, None when there is none.

        An active route is used until an active route with a higher epoch is
        announced; the assigned owner is used only while no active route is
        known.

        :param str service: Name of the service.
        :param int key_hash: Result of ``keyspace.key_hash``.
        """
        routes = self._services.get(service)
        if routes is None or not routes.ranges:
            return None
        range_id = routes.hot_keys.get(key_hash)
        if range_id is None:
            range_id = key_hash % routes.ranges
        return routes.resolved.get(range_id) or self._resolve(routes, range_id)

    def export_snapshot(self):
        """Return the contents of the table as a JSON-compatible value."""
        return {
            'services': {
                name: routes.export_snapshot()
                for name, routes in sorted(self._services.items())
            },
            'coordinators': {
                server: [host, term]
                for server, (term, host) in sorted(self._coordinators.items())
            },
        }

    def import_snapshot(self, snapshot):
        """Merge the result of :meth:`export_snapshot` of another table."""
        for name, exported in snapshot['services'].items():
            routes = self._routes_of(name)
            routes.ranges = max(routes.ranges, exported['ranges'])
            routes.merge_assignments(
                assignment.unpack_ranges(exported['assignments'])
            )
            for range_id, (epoch, server) in exported['routes'].items():
                routes.merge_route(int(range_id), epoch, server)
        for server, (host, term) in snapshot['coordinators'].items():
            self.set_coordinator(server, host, term)

    def _routes_of(self, service):
        return self._services.setdefault(service, _ServiceRoutes())

    def _resolve(self, routes, range_id):
        owner = routes.owner_of(range_id)
        if owner is None:
            return None
        epoch, server = owner
        _, host = self._coordinators.get(server, (0, ''))
        route = Route(range_id, epoch, server, host)
        routes.resolved[range_id] = route
        return route


class _ServiceRoutes:
    """Store the routes of one service."""

    def __init__(self):
        self.ranges = 0
        self.assignments = {}
        self.active = {}
        self.hot_keys = {}
        self.resolved = {}

    def merge_assignments(self, offered):
        changed = []
        for range_id, new in offered.items():
            old = self.assignments.get(range_id)
            merged = new if old is None else merge(old, new)
            if merged != old:
                self.assignments[range_id] = merged
                changed.append(range_id)
        if changed:
            self.hot_keys = _hot_keys(self.assignments)
            self.forget_resolved()
        return changed

    def merge_route(self, range_id, epoch, server):
        offered = (epoch, server)
        if offered <= self.active.get(range_id, (-1, '')):
            return False
        self.active[range_id] = offered
        self.resolved.pop(range_id, None)
        return True

    def owner_of(self, range_id):
        row = self.assignments.get(range_id)
        active = self.active.get(range_id)
        if active is None and row is not None and row.owner:
            active = (row.epoch, row.owner)
        return active

    def forget_resolved(self):
        self.resolved.clear()

    def export_snapshot(self):
        return {
            'ranges': self.ranges,
            'assignments': assignment.pack_ranges(self.assignments),
            'routes': {
                str(range_id): list(active)
                for range_id, active in sorted(self.active.items())
            },
        }


def merge(first, second):
    """Return the merge of two assignments of one range.

    The higher epoch wins.  Within one epoch the owner is the same, a standby
    is set at most once, and ``previous`` only shrinks (see
    ``radishferry.rewrites``), so the newer state has the standby if either
    has one, and only those previous servers that both list.

    :returns: The same ``RangeAssignment`` for either order of arguments.
    """
    if first.epoch != second.epoch:
        return max(first, second, key=lambda a: a.epoch)
    previous = first.previous
    if previous != second.previous:
        previous = tuple(sorted({*previous} & {*second.previous}))
    newer = max(first, second, key=_merge_order)
    return dataclasses.replace(newer, previous=previous)


def _merge_order(row):
    # This is a total order, so that even contradictory rows merge to the same
    # result on every host.
    key_hash = -1 if row.key_hash is None else row.key_hash
    return row.owner, row.standby, key_hash


def _hot_keys(assignments):
    # Two ids have the same key only on a host that missed the retirement of
    # the first.  Either choice is safe, because coordinators refuse stale
    # ranges, but it must not depend on the order of arrival.
    return {
        row.key_hash: range_id
        for range_id, row in sorted(assignments.items())
        if row.key_hash is not None and row.owner
    }
