"""Plan which servers own ranges and hot keys, and their coordinators.

All assignments returned by one plan must be written in one transaction and
pushed in one message, because the rules for hot keys rely on it.

**Splitting a hot key out of its hash range.**  The key gets its own range id,
with the owner and standby of its hash range, and the hash range is rewritten
under a new epoch in the same plan.  A host that knows this epoch therefore
knows that the key is no longer part of the range.  ``previous`` of both rows
lists every server that may hold the hash range.  A coordinator has to follow
these rules:

1. It refuses a request as a stale route unless the range id equals
   ``keyspace.range_of`` of the key hash according to its own table.
2. It sends work for a range that its server holds under epoch ``e`` only if
   its table has a row of the range with epoch ``e``, or with ``e - 1`` and
   the server as standby.  A successor that missed the split therefore sends
   no work for the hash range until it has read the row.
3. It confirms a release of the range id of a hot key below an epoch only when
   it knows a row of the id with at least that epoch, its server holds neither
   the id below that epoch nor the hash range (key hash modulo the number of
   ranges) below the epoch of that range in its table, and no work on either
   under such an epoch remains on the server.

**Merging a key back.**  The row of the key is retired: it keeps the key hash,
has no owner, and lists in ``previous`` every server that may hold the key.
The hash range keeps its epoch.  One more rule applies:

4. While a retired row with a key hash lists servers in ``previous``, a
   coordinator of the hash range queues or refuses requests for that key until
   each listed server has released it below the epoch of the retired row.  It
   then reports this, and the writer stores ``rewrites.record_released``.

Only then may the id be reused for another key.  If the same key is split out
again before that, it gets the id back with all servers still listed.  The
epochs of an id continue from its retired row.

**Recording.**  When a coordinator announces that a server is active, the
writer stores ``record_active`` (or ``record_promotion``) before it plans
again; otherwise ``previous`` only grows and every later move waits for more
servers.  A server that was removed from the manifest stays in ``previous``
until it has released the range, so operators remove a server only after it
was ``leaving`` and is empty, or declare it ``lost`` first.

``unavailable`` names servers that do not respond.  This does not prove that
they are lost, so no range moves away from them because of it, and changes
that can wait are not planned for ranges that need their release.
"""

from __future__ import annotations

import dataclasses
import logging

from radishferry import assignment
from radishferry import coordinator_placement
from radishferry import hot_ranges
from radishferry import rebalance
from radishferry import rewrites
from radishferry import server_loads
from radishferry import standbys

LOG = logging.getLogger(__name__)

#: Requests per second and server that are added to the measured load, spread
#: evenly over the ranges, so that ranges are balanced by count while little or
#: no load is measured.
ASSUMED_RPS = 2.0
#: Load, relative to the mean, up to which the standby of a lost owner is
#: preferred as the new owner, because it may already be promoted.
STANDBY_LOAD_LIMIT = 1.15

plan_coordinators = coordinator_placement.plan_coordinators
record_promotion = rewrites.record_promotion
record_active = rewrites.record_active
record_released = rewrites.record_released


def plan_ranges(
    service, current, loads, hot_keys, unavailable, moving=frozenset()
):
    """Return the range assignments that should change.

    :param service: ``manifest.Service``.
    :param current: Mapping of range id to the current ``RangeAssignment``;
        empty for the first plan.
    :param loads: Mapping of range id to requests per second; empty when
        nothing was measured.
    :param hot_keys: Mapping of key hash to requests per second of the keys
        with the most requests.
    :param unavailable: Names of servers that do not respond.
    :param moving: Ids of ranges whose assigned owner is not active yet; they
        are not moved again to balance load.
    :returns: Mapping of range id to ``RangeAssignment``.
    """
    plan = _Plan(service, current, loads, hot_keys, unavailable, moving)
    plan.change_hot_keys()
    plan.assign_owners()
    plan.balance_load()
    plan.assign_standbys()
    return plan.changes()


class _Plan:
    """Build the changed assignments of one plan step by step."""

    def __init__(self, service, current, loads, hot_keys, unavailable, moving):
        self._service = service
        self._unavailable = unavailable
        self._moving = moving
        self._hot_keys = hot_keys
        self._live = {s.name for s in service.servers if s.state == 'live'}
        self._lost = frozenset(
            s.name for s in service.servers if s.state == 'lost'
        )
        self._usable = self._live - unavailable
        self._current = current
        self._rows = {
            range_id: rewrites.drop_lost(row, self._lost)
            for range_id, row in current.items()
        }
        self._has_loads = any(loads.values())
        # Range id to requests per second; those of hash ranges include
        # ASSUMED_RPS.
        self._weights = self._range_weights(loads)
        self._owners = {
            range_id: row.owner
            for range_id, row in self._rows.items()
            if row.owner
        }
        self._standbys = {}
        self._needs_new_epoch = set()
        self._split_ids = set()

    def change_hot_keys(self):
        """Split hot keys out of their ranges and merge cold ones back."""
        if not self._service.keyed or not self._has_loads:
            return
        chosen = hot_ranges.choose(
            self._service,
            self._rows,
            self._hot_keys,
            self._weights,
            sum(self._weights.values()) / max(len(self._live), 1),
            self._is_releasable,
        )
        for range_id in chosen.merges:
            retired = rewrites.retire(self._rows[range_id], self._lost)
            self._merge(range_id, retired)
        for range_id, key_hash in chosen.splits.items():
            self._split(range_id, key_hash)

    def assign_owners(self):
        """Assign an owner to each range whose owner is not live."""
        if not self._usable:
            return
        unassigned = [
            range_id
            for range_id in {*range(self._service.ranges), *self._owners}
            if self._owners.get(range_id) not in self._live
        ]
        loads = self._server_loads()
        heaviest_first = sorted(
            unassigned, key=lambda r: (-self._weights.get(r, 0.0), r)
        )
        for range_id in heaviest_first:
            owner = self._choose_owner(range_id, loads)
            loads.add(range_id, owner)
            self._owners[range_id] = owner

    def balance_load(self):
        """Move ranges between servers whose loads differ too much."""
        movable = {
            range_id
            for range_id, server in self._owners.items()
            if server in self._usable
            and range_id in self._rows
            and range_id not in self._split_ids
            and range_id not in self._moving
            and self._is_releasable(self._rows[range_id])
            and server == self._rows[range_id].owner
        }
        chosen = rebalance.moves(
            self._server_loads(), self._weights, movable, not self._has_loads
        )
        for range_id, server in chosen:
            LOG.debug('placement: range %d moves to %s', range_id, server)
            self._owners[range_id] = server

    def assign_standbys(self):
        """Assign a standby to each range that needs a new one."""
        self._standbys = standbys.choose(
            self._service,
            self._owners,
            {r: row.standby for r, row in self._rows.items()},
            self._weights,
            self._unavailable,
        )

    def changes(self):
        """Return the rows that differ from the current ones."""
        for range_id, owner in self._owners.items():
            self._rows[range_id] = self._row(
                range_id, owner, self._standbys[range_id]
            )
        return {
            range_id: row
            for range_id, row in sorted(self._rows.items())
            if row != self._current.get(range_id)
        }

    def _row(self, range_id, owner, standby):
        old = self._rows.get(range_id)
        if old is None:
            return assignment.RangeAssignment(owner, 1, standby)
        if owner == old.owner and range_id not in self._needs_new_epoch:
            if standby == old.standby:
                return old
            if not old.standby:
                return rewrites.assign_standby(old, standby)
        if range_id in self._split_ids:
            # The row is new in this plan, so no server holds its epoch.
            return dataclasses.replace(old, standby=standby)
        return rewrites.reassign(old, owner, standby, self._lost)

    def _split(self, range_id, key_hash):
        hash_range = key_hash % self._service.ranges
        retired = self._rows.get(range_id)
        self._rows[range_id] = rewrites.split(
            self._rows[hash_range], key_hash, retired, self._lost
        )
        self._owners[range_id] = self._owners[hash_range]
        rate = self._hot_keys[key_hash]
        self._weights[range_id] = rate
        self._weights[hash_range] = max(self._weights[hash_range] - rate, 0.0)
        self._needs_new_epoch.add(hash_range)
        self._split_ids.add(range_id)
        LOG.debug('placement: key %016x gets range %d', key_hash, range_id)

    def _merge(self, range_id, retired):
        hash_range = retired.key_hash % self._service.ranges
        self._weights[hash_range] += self._weights.pop(range_id)
        self._rows[range_id] = retired
        del self._owners[range_id]
        LOG.debug('placement: range %d is merged back', range_id)

    def _choose_owner(self, range_id, loads):
        old = self._rows.get(range_id)
        if old is not None and old.owner in self._lost:
            weight = self._weights.get(range_id, 0.0)
            limit = STANDBY_LOAD_LIMIT * sum(self._weights.values())
            limit /= len(self._usable)
            standby = old.standby
            if standby in self._usable:
                if loads.load(standby) + weight <= limit:
                    return standby
        return loads.lightest()

    def _server_loads(self):
        loads = server_loads.ServerLoads(self._usable, self._weights)
        for range_id, server in self._owners.items():
            loads.add(range_id, server)
        return loads

    def _is_releasable(self, row):
        # A new epoch takes effect only after every holder has released the
        # range.
        return self._unavailable.isdisjoint(rewrites.possible_holders(row))

    def _range_weights(self, loads):
        ranges = self._service.ranges
        assumed = ASSUMED_RPS * max(len(self._live), 1) / ranges
        weights = {r: loads.get(r, 0.0) + assumed for r in range(ranges)}
        for range_id, row in self._rows.items():
            if range_id >= ranges and row.owner:
                known = self._hot_keys.get(row.key_hash, 0.0)
                weights[range_id] = loads.get(range_id, known)
        return weights
