"""Hold the assignments and routes known to this process."""

from __future__ import annotations

import logging

import orjson

from radishferry import assignment
from radishferryd import events
from radishferryd import spread as spread_module
from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

#: Rows in one push, so that a frame stays below its limit.
ROWS_PER_PUSH = 8
#: Routes in one push.
ROUTES_PER_PUSH = 2000


class ControlState:
    """Merge rows of the table and announcements of coordinators.

    Everything has a version of its own, so that pushes and snapshots may
    arrive in any order and repeatedly.
    """

    def __init__(self, app):
        """Begin without rows.

        :param app: Offers ``routes``, ``ownership``, ``planner``,
            ``manifest``, ``membership``, ``scheduler``, ``spread`` and
            ``fire``.
        """
        self._app = app
        self._rows = {}

    def take_route_delta(self, delta):
        """Merge routes, coordinators and orphans."""
        for found in delta.coordinators:
            self._app.routes.set_coordinator(
                found.server, found.host, found.term
            )
        for found in delta.routes:
            self._app.routes.apply_route(
                found.service_name, found.range_id, found.epoch, found.server
            )
            self._app.ownership.route_seen(
                found.service_name, found.range_id, found.epoch
            )
        if delta.orphans:
            self._app.planner.orphans_reported(delta.orphans)

    def take_rows(self, rows):
        """Merge rows of the table.

        :param rows: List of :class:`~radishferryd.table_service.Row`.
        :returns: Service name to range assignments by range id, of all the
            rows given.
        """
        given = {}
        newer = [
            row for row in rows if row.version > self.row_version(row.name)
        ]
        for row in newer:
            self._rows[row.name] = row
        for row in rows:
            kind, service, _ = row.name.split('/', 2)
            if kind == 'ranges':
                found = assignment.unpack_ranges(row.value)
                given.setdefault(service, {}).update(found)
        ranges, coordinators = _unpacked(newer)
        for service, found in ranges.items():
            self._app.routes.apply_assignments(service, found)
            self._app.ownership.ranges_assigned(service, found)
        for service, found in coordinators.items():
            self._assign_coordinators(service, found)
        if newer:
            self._app.fire(events.rows_applied(ranges, coordinators))
        return given

    def push_rows(self, rows):
        """Tell all hosts about rows that this host wrote."""
        for push in _row_pushes(rows):
            self._app.spread.send('assignment_push', push)

    def row_version(self, name) -> int:
        """Return the version of a row known here, 0 for none."""
        row = self._rows.get(name)
        return row.version if row else 0

    def row_value(self, name):
        """Return the value of a row known here, None for none."""
        row = self._rows.get(name)
        return row.value if row else None

    def manifest_applied(self):
        """Take the coordinators of services that were not known before."""
        _, coordinators = _unpacked(self._rows.values())
        for service, found in coordinators.items():
            self._assign_coordinators(service, found)

    def send_to(self, link, hops):
        """Send what this host knows over a new link.

        A relay sends everything, another host what it coordinates.

        :param int hops: See :mod:`radishferryd.spread`.
        """
        app = self._app
        routes, coordinators = self._own_announcements()
        if app.membership.is_relay(app.scheduler.now()):
            routes, coordinators = self._all_announcements()
            self.send_rows(link, hops)
        link.send('route_delta', ttypes.RouteDelta([], coordinators, [], hops))
        for start in range(0, len(routes), ROUTES_PER_PUSH):
            part = routes[start : start + ROUTES_PER_PUSH]
            link.send('route_delta', ttypes.RouteDelta(part, [], [], hops))

    def send_rows(self, link, hops):
        """Send all rows known here over a link."""
        for push in _row_pushes(list(self._rows.values())):
            push.hops = hops
            link.send('assignment_push', push)

    def _own_announcements(self):
        # Terms of other hosts are told as well: those that are used up must
        # be known everywhere, also when the host that used them has ended.
        routes = []
        coordinators = [
            ttypes.ActiveCoordinator('', server, host, term)
            for server, (host, term) in (
                self._app.routes.coordinators().items()
            )
        ]
        for name, owned in self._app.ownership.owned.items():
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
            for service, found in snapshot['services'].items()
            for range_id, (epoch, server) in found['routes'].items()
        ]
        coordinators = [
            ttypes.ActiveCoordinator('', server, host, term)
            for server, (host, term) in snapshot['coordinators'].items()
        ]
        return routes, coordinators

    def _assign_coordinators(self, service_name, found):
        service = self._app.manifest and self._app.manifest.service(
            service_name
        )
        if service is not None:
            self._app.ownership.coordinators_assigned(service, found)


def _unpacked(rows):
    ranges = {}
    coordinators = {}
    for row in rows:
        kind, service, _ = row.name.split('/', 2)
        if kind == 'ranges':
            found = assignment.unpack_ranges(row.value)
            ranges.setdefault(service, {}).update(found)
        elif kind == 'coordinators':
            found = assignment.unpack_coordinators(row.value)
            coordinators.setdefault(service, {}).update(found)
    return ranges, coordinators


def _row_pushes(rows):
    return [
        ttypes.AssignmentPush(
            [
                ttypes.Row(row.name, row.version, orjson.dumps(row.value))
                for row in rows[start : start + ROWS_PER_PUSH]
            ],
            spread_module.FINAL,
        )
        for start in range(0, len(rows), ROWS_PER_PUSH)
    ]
