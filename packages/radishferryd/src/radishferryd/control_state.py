"""Keep the assignments and routes known to this process."""

from __future__ import annotations

import logging

import orjson

from radishferry import assignment
from radishferryd import events
from radishferryd import broadcast
from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

#: Maximum number of rows in one push, which keeps the frame below its limit.
MAX_ROWS_PER_PUSH = 8
#: Maximum number of routes in one ``RouteDelta``.
MAX_ROUTES_PER_PUSH = 2000


class ControlState:
    """Merge rows of the table and announcements of coordinators.

    Each item is versioned, so pushes and snapshots may arrive repeatedly and
    in any order.
    """

    def __init__(self, app):
        """Initialise without rows.

        :param app: Provides ``routes``, ``ownership``, ``planner``,
            ``manifest``, ``membership``, ``scheduler``, ``broadcaster`` and
            ``fire``.
        """
        self._app = app
        self._rows = {}

    def apply_route_delta(self, delta):
        """Merge routes, coordinators and orphans."""
        for announced in delta.coordinators:
            self._app.routes.set_coordinator(
                announced.server, announced.host, announced.term
            )
        for route in delta.routes:
            self._app.routes.apply_route(
                route.service_name, route.range_id, route.epoch, route.server
            )
            self._app.ownership.route_seen(
                route.service_name, route.range_id, route.epoch
            )
        if delta.orphans:
            self._app.planner.orphans_reported(delta.orphans)

    def apply_rows(self, rows):
        """Merge rows of the table.

        :param rows: List of :class:`~radishferryd.table_service.Row`.
        :returns: Service name to range assignments by range id, of all rows
            passed in, including those that were not newer.
        """
        assignments = {}
        newer = [
            row for row in rows if row.version > self.row_version(row.name)
        ]
        for row in newer:
            self._rows[row.name] = row
        for row in rows:
            kind, service, _ = row.name.split('/', 2)
            if kind == 'ranges':
                assigned = assignment.unpack_ranges(row.value)
                assignments.setdefault(service, {}).update(assigned)
        ranges, coordinators = _unpacked(newer)
        for service, assigned in ranges.items():
            self._app.routes.apply_assignments(service, assigned)
            self._app.ownership.ranges_assigned(service, assigned)
        for service, assigned in coordinators.items():
            self._assign_coordinators(service, assigned)
        if newer:
            self._app.fire(events.rows_applied(ranges, coordinators))
        return assignments

    def push_rows(self, rows):
        """Send rows that this host wrote to all hosts."""
        for push in _row_pushes(rows):
            self._app.broadcaster.send('assignment_push', push)

    def row_version(self, name) -> int:
        """Return the known version of a row, 0 if it is unknown."""
        row = self._rows.get(name)
        return row.version if row else 0

    def row_value(self, name):
        """Return the known value of a row, None if it is unknown."""
        row = self._rows.get(name)
        return row.value if row else None

    def manifest_applied(self):
        """Apply the coordinators of services that a new manifest added."""
        _, coordinators = _unpacked(self._rows.values())
        for service, assigned in coordinators.items():
            self._assign_coordinators(service, assigned)

    def send_to(self, link, hops):
        """Send the state of this host over a new link.

        A relay sends all assignments and routes.  Any other host sends the
        routes of the servers that it coordinates, and all known terms.

        :param int hops: See :mod:`radishferryd.broadcast`.
        """
        app = self._app
        routes, coordinators = self._own_announcements()
        if app.membership.is_relay(app.scheduler.now()):
            routes, coordinators = self._all_announcements()
            self.send_rows(link, hops)
        link.send('route_delta', ttypes.RouteDelta([], coordinators, [], hops))
        for start in range(0, len(routes), MAX_ROUTES_PER_PUSH):
            part = routes[start : start + MAX_ROUTES_PER_PUSH]
            link.send('route_delta', ttypes.RouteDelta(part, [], [], hops))

    def send_rows(self, link, hops):
        """Send all known rows over a link."""
        for push in _row_pushes(list(self._rows.values())):
            push.hops = hops
            link.send('assignment_push', push)

    def _own_announcements(self):
        # Terms of other hosts are included: every host must know which terms
        # are used up, even after the host that used them has ended.
        routes = []
        coordinators = [
            ttypes.ActiveCoordinator('', server, host, term)
            for server, (host, term) in (
                self._app.routes.coordinators().items()
            )
        ]
        for name, owned in self._app.ownership.coordinated.items():
            term = owned.coordinator.term
            if not term:
                continue
            service = owned.service.name
            coordinators.append(
                ttypes.ActiveCoordinator(
                    service, name, self._app.host_name, term
                )
            )
            routes.extend(
                ttypes.ActiveRoute(service, range_id, epoch, name)
                for range_id, epoch in owned.coordinator.active.items()
            )
        return routes, coordinators

    def _all_announcements(self):
        snapshot = self._app.routes.export_snapshot()
        routes = [
            ttypes.ActiveRoute(service, int(range_id), epoch, server)
            for service, state in snapshot['services'].items()
            for range_id, (epoch, server) in state['routes'].items()
        ]
        coordinators = [
            ttypes.ActiveCoordinator('', server, host, term)
            for server, (host, term) in snapshot['coordinators'].items()
        ]
        return routes, coordinators

    def _assign_coordinators(self, service_name, assigned):
        service = self._app.manifest and self._app.manifest.service(
            service_name
        )
        if service is not None:
            self._app.ownership.coordinators_assigned(service, assigned)


def _unpacked(rows):
    ranges = {}
    coordinators = {}
    for row in rows:
        kind, service, _ = row.name.split('/', 2)
        if kind == 'ranges':
            assigned = assignment.unpack_ranges(row.value)
            ranges.setdefault(service, {}).update(assigned)
        elif kind == 'coordinators':
            assigned = assignment.unpack_coordinators(row.value)
            coordinators.setdefault(service, {}).update(assigned)
    return ranges, coordinators


def _row_pushes(rows):
    return [
        ttypes.AssignmentPush(
            [
                ttypes.Row(row.name, row.version, orjson.dumps(row.value))
                for row in rows[start : start + MAX_ROWS_PER_PUSH]
            ],
            broadcast.FINAL,
        )
        for start in range(0, len(rows), MAX_ROWS_PER_PUSH)
    ]
