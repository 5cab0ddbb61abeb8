"""Write the assignments that this host is responsible for to the table."""

from __future__ import annotations

import collections
import dataclasses
import logging

from circuits.core import Component

from radishferry import assignment
from radishferry import hotkeys
from radishferry import placement
from radishferry import rewrites
from radishferryd import table_service

LOG = logging.getLogger(__name__)

#: Seconds between checks whether a plan is due.
PLAN_INTERVAL_S = 0.1
#: Seconds between plans that rebalance load.
BALANCE_INTERVAL_S = 5.0
#: Seconds that a host must be down before it is replaced in the lists of
#: coordinators.  A restart takes less.
HOST_DOWN_S = 2.0
#: Seconds to wait for the route of a promoted standby before an orphaned range
#: is reassigned.
ORPHAN_WAIT_S = 0.3
#: Maximum age of a server's last load report, in seconds.
MAX_LOAD_REPORT_AGE_S = 3.0
#: Minimum number of requests per server within the period over which demand
#: is measured.  With fewer, random variation is as large as the imbalance that
#: triggers moves.
MIN_SAMPLES_PER_SERVER = 400
#: Maximum share of ranges that may be moving when more are moved for balance.
MAX_MOVING_SHARE = 0.1
#: Seconds that the first plan waits for reports on all servers.
FIRST_PLAN_WAIT_S = 3.0


class Planner(Component):
    """Plan the coordinators of a data centre and the ranges of all services.

    The relay of each data centre writes the coordinators of its servers.  The
    relay of the first data centre that has one also writes the ranges.  If two
    hosts write at the same time, the conditions on row versions let only one
    of them succeed.
    """

    channel = 'control'

    def __init__(self, app):
        super().__init__()
        self._app = app
        self._is_busy = False
        self._is_current = False
        self._is_dirty = True
        self._balanced_at = 0.0
        self._manifest_at = None
        self._reports = {}
        self._orphans = {}
        self._down_since = {}
        app.scheduler.call_every(PLAN_INTERVAL_S, self._on_timer)

    # Handlers of the events in radishferryd.events, called by circuits.

    def manifest_applied(self, manifest):
        """Plan for a new manifest."""
        self._manifest_at = self._app.scheduler.now()
        self._is_dirty = True

    def rows_applied(self, ranges, coordinators):
        """Schedule a plan, because rows have changed."""
        self._is_dirty = True

    def hosts_changed(self, changes):
        """Schedule a plan that first reads all rows again.

        This host may have become responsible for writing them.
        """
        self._is_dirty = True
        self._is_current = False

    # Reports of the coordinators.

    def reported_at(self, server) -> float:
        """Return the time of the last load report on a server.

        :returns: Seconds on the scheduler's clock, ``-inf`` without a report.
        """
        return self._reports.get(server, ('', float('-inf')))[1]

    def server_reported(self, load):
        """Record the load report of a coordinator on its server.

        :param load: A ``ServerLoad``.
        """
        now = self._app.scheduler.now()
        before = self._reports.get(load.server)
        self._reports[load.server] = (load.state, now)
        if before is None or before[0] != load.state:
            self._is_dirty = True

    def orphans_reported(self, orphans):
        """Record ranges that need a new epoch.

        :param orphans: List of ``Orphan``.
        """
        now = self._app.scheduler.now()
        for orphan in orphans:
            key = (orphan.service_name, orphan.range_id)
            known = self._orphans.get(key)
            if known is None or known[0] != orphan.epoch:
                self._orphans[key] = (orphan.epoch, now)
            self._is_dirty = True

    # Private.

    def _on_timer(self):
        app = self._app
        now = app.scheduler.now()
        if self._is_busy or app.manifest is None or app.is_stopping:
            return
        if not app.membership.is_relay(now):
            self._is_current = False
            return
        if not self._is_current:
            self._read_rows()
            return
        is_due = now - self._balanced_at > BALANCE_INTERVAL_S
        if not self._is_dirty and not is_due:
            return
        self._is_dirty = False
        writes = self._plan_coordinators(now)
        if not writes and self._is_range_writer(now):
            writes = self._plan_ranges(now)
            if is_due:
                self._balanced_at = now
        if writes:
            self._write(writes)

    def _is_range_writer(self, now):
        membership = self._app.membership
        relays = (
            membership.relay(data_centre, now)
            for data_centre in membership.data_centres()
        )
        return next(filter(None, relays), None) == self._app.host_name

    def _read_rows(self):
        self._is_busy = True
        prefixes = ['ranges/', 'coordinators/']

        def done(result):
            self._is_busy = False
            if not isinstance(result, list):
                # The timer tries again.
                self._is_busy = True
                self._app.scheduler.call_later(1.0, self._clear_busy)
                return
            # The host that wrote these rows may have ended, or may not have
            # received the answer, before it announced them.
            state = self._app.state
            newer = [
                row
                for row in result
                if row.version > state.row_version(row.name)
            ]
            state.apply_rows(result)
            state.push_rows(newer)
            if prefixes:
                self._is_busy = True
                self._app.table.read(prefixes.pop(), done)
            else:
                self._is_current = True
                self._is_dirty = True

        self._app.table.read(prefixes.pop(), done)

    def _clear_busy(self):
        self._is_busy = False

    def _write(self, writes):
        app = self._app
        conditions = {row: app.state.row_version(row) for row in writes}
        self._is_busy = True

        def done(result):
            self._is_busy = False
            if isinstance(result, table_service.Written):
                rows = [
                    table_service.Row(row, result.versions[row], '', value)
                    for row, value in writes.items()
                    if row in result.versions
                ]
                app.state.apply_rows(rows)
                app.state.push_rows(rows)
                self._is_dirty = True
                return
            if isinstance(result, table_service.Unavailable):
                LOG.warning('planner: Rows not written: %s.', result.detail)
            self._is_current = False

        app.table.transact(conditions, writes, done)

    def _plan_coordinators(self, now):
        app = self._app
        writes = {}
        for service in app.manifest.services:
            row = assignment.coordinators_row(service.name, app.data_centre)
            current = assignment.unpack_coordinators(
                app.state.row_value(row) or {}
            )
            hosts = self._usable_hosts(now)
            adjusted = self._with_current_coordinator_first(current, now)
            changed = placement.plan_coordinators(
                service,
                app.data_centre,
                hosts,
                adjusted,
                all(app.membership.is_live(host, now) for host in hosts),
            )
            merged = {**adjusted, **changed}
            if merged != current:
                writes[row] = assignment.pack_coordinators(merged)
        return writes

    def _usable_hosts(self, now):
        app = self._app
        usable = []
        for info in app.directory.infos:
            if info.data_centre != app.data_centre or info.state != 'live':
                continue
            if app.membership.is_live(info.name, now):
                self._down_since.pop(info.name, None)
                usable.append(info.name)
                continue
            since = self._down_since.setdefault(info.name, now)
            if now - since < HOST_DOWN_S:
                usable.append(info.name)
                self._is_dirty = True
        return usable

    def _with_current_coordinator_first(self, current, now):
        app = self._app
        adjusted = {}
        for server, assigned in current.items():
            coordinator = app.routes.coordinator_of(server)
            if coordinator is not None and coordinator[1] > assigned.base_term:
                assigned = self._after_takeover(assigned, *coordinator, now)
            adjusted[server] = assigned
        return adjusted

    def _after_takeover(self, assigned, current_host, term, now):
        base_term = max(assigned.next_base_term, term + 1)
        if current_host and self._app.membership.is_live(current_host, now):
            if current_host not in assigned.hosts[1:]:
                return assigned
            # The first host was superseded and its term is used up.
            rest = (h for h in assigned.hosts if h != current_host)
            hosts = (current_host, *rest)
        elif term + 1 < assigned.next_base_term:
            return assigned
        else:
            # No host coordinates the server and all terms are used up.
            hosts = assigned.hosts
        return assignment.CoordinatorAssignment(hosts, base_term)

    def _plan_ranges(self, now):
        writes = {}
        for service in self._app.manifest.services:
            if not self._is_plannable(service, now):
                self._is_dirty = True
                continue
            current = self._app.routes.assignments(service.name)
            rows = self._with_active_recorded(service, current)
            rows = self._with_orphans_reassigned(service, rows, now)
            demand = self._demand(service)
            changed = placement.plan_ranges(
                service,
                rows,
                demand.ranges,
                demand.hot_keys,
                self._unavailable(service, now),
                self._moving(service, rows),
            )
            rows = {**rows, **_without_merges(changed)}
            if rows != current:
                self._count_moves(service, current, rows)
                writes.update(self._pack_changed(service, current, rows))
        return writes

    def _demand(self, service):
        demand = self._app.policy.demand(service.name)
        samples = sum(demand.ranges.values()) * hotkeys.DECAY_S
        if demand.ranges and samples < MIN_SAMPLES_PER_SERVER * len(
            service.servers
        ):
            # Too few samples to compare loads: balance the number of ranges.
            return Demand(dict.fromkeys(range(service.ranges), 1.0))
        return demand

    def _moving(self, service, rows):
        moving = frozenset(
            range_id
            for range_id, assigned in rows.items()
            if assigned.owner
            and self._app.routes.active(service.name, range_id)
            != (assigned.epoch, assigned.owner)
        )
        if len(moving) > MAX_MOVING_SHARE * len(rows):
            # With few movable ranges, a plan would fill an empty server with
            # just these, and later plans would no longer treat it as empty.
            return frozenset(rows)
        return moving

    def _is_plannable(self, service, now):
        if self._app.routes.assignments(service.name):
            return True
        if now - self._manifest_at > FIRST_PLAN_WAIT_S:
            return len(self._unavailable(service, now)) < len(service.servers)
        return not self._unavailable(service, now)

    def _unavailable(self, service, now):
        return frozenset(
            server.name
            for server in service.servers
            if not self._is_available(server.name, now)
        )

    def _is_available(self, server, now):
        state, at = self._reports.get(server, ('', float('-inf')))
        return state == 'serving' and now - at < MAX_LOAD_REPORT_AGE_S

    def _with_active_recorded(self, service, current):
        rows = dict(current)
        for range_id, assigned in current.items():
            active = self._app.routes.active(service.name, range_id)
            if active is None or rewrites.is_retired(assigned):
                continue
            epoch, server = active
            is_owner = (epoch, server) == (assigned.epoch, assigned.owner)
            is_standby = server and (
                (epoch, server) == (assigned.standby_epoch, assigned.standby)
            )
            if is_standby or (is_owner and assigned.previous):
                rows[range_id] = rewrites.record_active(
                    assigned, epoch, server
                )
        # Write nothing if ``previous`` was cleared and no epoch changed.
        only_trimmed = all(rows[i].epoch == current[i].epoch for i in current)
        return dict(current) if only_trimmed else rows

    def _with_orphans_reassigned(self, service, rows, now):
        lost = {s.name for s in service.servers if s.state == 'lost'}
        rows = dict(rows)
        for key, (epoch, since) in list(self._orphans.items()):
            service_name, range_id = key
            if service_name != service.name:
                continue
            assigned = rows.get(range_id)
            if assigned is None or assigned.epoch != epoch:
                del self._orphans[key]
                continue
            if now - since < ORPHAN_WAIT_S:
                self._is_dirty = True
                continue
            owner = self._new_owner(service, assigned, now)
            if owner:
                del self._orphans[key]
                standby = assigned.standby if assigned.standby != owner else ''
                rows[range_id] = rewrites.reassign(
                    assigned, owner, standby, lost
                )
        return rows

    def _new_owner(self, service, assigned, now):
        candidates = (assigned.owner, assigned.standby)
        return next(
            (c for c in candidates if c and self._is_available(c, now)), ''
        )

    def _count_moves(self, service, current, rows):
        moved = collections.Counter(
            range_id in current and current[range_id].owner != assigned.owner
            for range_id, assigned in rows.items()
        )
        self._app.metrics.moves.add(moved[True], service.name)

    def _pack_changed(self, service, current, rows):
        blocks = collections.defaultdict(dict)
        changed = set()
        for range_id, assigned in rows.items():
            row = assignment.ranges_row(service.name, range_id)
            blocks[row][range_id] = assigned
            if current.get(range_id) != assigned:
                changed.add(row)
        return {row: assignment.pack_ranges(blocks[row]) for row in changed}


def _without_merges(changed):
    # A coordinator cannot yet delay requests for a merged key until the hot
    # range is released, so a key that was split out keeps its own range.
    return {
        range_id: assigned
        for range_id, assigned in changed.items()
        if not rewrites.is_retired(assigned)
    }


@dataclasses.dataclass(frozen=True)
class Demand:
    """Represent the measured load of one service, in requests per second.

    :ivar ranges: Range id to load.
    :ivar hot_keys: Key hash to load.
    """

    ranges: dict[int, float] = dataclasses.field(default_factory=dict)
    hot_keys: dict[int, float] = dataclasses.field(default_factory=dict)
