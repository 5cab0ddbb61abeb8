"""Plan which servers own ranges and hot keys, and who coordinates servers.

All assignments that one plan returns must be written in one transaction and
pushed in one message, because the rules for hot keys rely on it.

**Splitting a hot key out of its hash range.**  The key gets a range id of its
own, at the owner and standby of its hash range, and the hash range is
rewritten under a new epoch in the same plan.  Whoever knows that epoch thus
knows that the key is not part of the range any more.  ``previous`` of both
rows lists everyone who may hold the hash range.  A coordinator has to follow
these rules:

1. It refuses a request as a stale route unless the range id equals
   ``keyspace.range_of`` of the key hash by its own table.
2. It sends work for a range that its server holds under epoch ``e`` only if
   its table has a row of the range with epoch ``e``, or with ``e - 1`` and
   the server as standby.  A successor that missed the split thus sends
   nothing for the hash range until it has read the row.
3. It answers a release of the range id of a hot key below an epoch only when
   it knows a row of the id with at least that epoch, its server holds neither
   the id below that epoch nor the hash range (key hash modulo the number of
   ranges) below the epoch of that range in its table, and no work on either
   under such an epoch is left at the server.

**Merging a key back.**  The row of the key is retired: it keeps the key hash,
has no owner, and lists in ``previous`` everyone who may hold the key.  The
hash range keeps its epoch.  One more rule:

4. While a retired row with a key hash lists servers in ``previous``, a
   coordinator of the hash range queues or refuses requests for that key until
   each listed server was released below the epoch of the retired row.  It
   then reports this, and the writer stores ``rewrites.record_released``.

Only then is the id given to another key; until then the same key gets it back
with everyone still listed.  Epochs of an id go on from its retired row.

**Recording.**  When a coordinator announces that a server is active, the
writer stores ``record_active`` (or ``record_promotion``) before it plans
again; otherwise ``previous`` only grows and every later move waits for more
servers.  A server that was removed from the manifest stays in ``previous``
until it is released, so operators remove a server after it was ``leaving``
and is empty, or declare it ``lost`` first.

``unavailable`` names servers that are silent.  That is no proof, so nothing
moves away from them because of it, and nothing that can wait is planned for
ranges that need their release.
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

#: Requests per second and server that are assumed to be spread evenly over
#: the ranges, so that little or no measured load balances by count.
ASSUMED_RPS = 2.0
#: Load up to which the standby of a lost owner is preferred as its heir,
#: relative to the mean; it may already be promoted.
STANDBY_UP_TO = 1.15

plan_coordinators = coordinator_placement.plan_coordinators
record_promotion = rewrites.record_promotion
record_active = rewrites.record_active
record_released = rewrites.record_released


def plan_ranges(
    service, current, loads, hot_keys, unavailable, moving=frozenset()
):
    """Return the range assignments that should change.

    :param service: ``manifest.Service``.
    :param current: Mapping of range id to the present ``RangeAssignment``;
        empty for the first plan.
    :param loads: Mapping of range id to requests per second; empty when
        nothing was measured.
    :param hot_keys: Mapping of key hash to requests per second of the keys
        with the most requests.
    :param unavailable: Names of servers that are silent.
    :param moving: Ids of ranges whose present owner is not active yet; they
        are not moved again for the sake of balance.
    :returns: Mapping of range id to ``RangeAssignment``.
    """
    plan = _Plan(service, current, loads, hot_keys, unavailable, moving)
    plan.change_hot_keys()
    plan.place_ranges()
    plan.even_out()
    plan.name_standbys()
    return plan.changes()


class _Plan:
    """Collect the decisions of one plan."""

    def __init__(self, service, current, loads, hot_keys, unavailable, moving):
        self._service = service
        self._unavailable = unavailable
        self._moving = moving
        self._hot_keys = hot_keys
        self._staying = {s.name for s in service.servers if s.state == 'live'}
        self._lost = frozenset(
            s.name for s in service.servers if s.state == 'lost'
        )
        self._usable = self._staying - unavailable
        self._current = current
        self._rows = {
            range_id: rewrites.drop_lost(found, self._lost)
            for range_id, found in current.items()
        }
        self._measured = any(loads.values())
        self._weights = self._weights_of(loads)
        self._owners = {
            range_id: found.owner
            for range_id, found in self._rows.items()
            if found.owner
        }
        self._standbys = {}
        self._renewed = set()
        self._pinned = set()

    def change_hot_keys(self):
        """Split hot keys out of their ranges and merge cold ones back."""
        if not self._service.keyed or not self._measured:
            return
        chosen = hot_ranges.choose(
            self._service,
            self._rows,
            self._hot_keys,
            self._weights,
            sum(self._weights.values()) / max(len(self._staying), 1),
            self._is_releasable,
        )
        for range_id in chosen.cold:
            retired = rewrites.retire(self._rows[range_id], self._lost)
            self._merge(range_id, retired)
        for range_id, key_hash in chosen.hot.items():
            self._split(range_id, key_hash)

    def place_ranges(self):
        """Give an owner to each range whose owner cannot keep it."""
        if not self._usable:
            return
        homeless = [
            range_id
            for range_id in {*range(self._service.ranges), *self._owners}
            if self._owners.get(range_id) not in self._staying
        ]
        balance = self._balance()
        heaviest_first = sorted(
            homeless, key=lambda r: (-self._weights.get(r, 0.0), r)
        )
        for range_id in heaviest_first:
            heir = self._heir(range_id, balance)
            balance.add(range_id, heir)
            self._owners[range_id] = heir

    def even_out(self):
        """Move ranges between servers whose loads differ too much."""
        movable = {
            range_id
            for range_id, server in self._owners.items()
            if server in self._usable
            and range_id in self._rows
            and range_id not in self._pinned
            and range_id not in self._moving
            and self._is_releasable(self._rows[range_id])
            and server == self._rows[range_id].owner
        }
        chosen = rebalance.moves(
            self._balance(), self._weights, movable, not self._measured
        )
        for range_id, server in chosen:
            LOG.debug('placement: range %d moves to %s', range_id, server)
            self._owners[range_id] = server

    def name_standbys(self):
        """Give a standby to each range whose standby cannot stay."""
        self._standbys = standbys.choose(
            self._service,
            self._owners,
            {r: found.standby for r, found in self._rows.items()},
            self._weights,
            self._unavailable,
        )

    def changes(self):
        """Return the rows that differ from the present ones."""
        for range_id, owner in self._owners.items():
            self._rows[range_id] = self._row(
                range_id, owner, self._standbys[range_id]
            )
        return {
            range_id: found
            for range_id, found in sorted(self._rows.items())
            if found != self._current.get(range_id)
        }

    def _row(self, range_id, owner, standby):
        old = self._rows.get(range_id)
        if old is None:
            return assignment.RangeAssignment(owner, 1, standby)
        if owner == old.owner and range_id not in self._renewed:
            if standby == old.standby:
                return old
            if not old.standby:
                return rewrites.name_standby(old, standby)
        if range_id in self._pinned:
            # The row is new in this plan, nobody holds its epoch.
            return dataclasses.replace(old, standby=standby)
        return rewrites.reassign(old, owner, standby, self._lost)

    def _split(self, range_id, key_hash):
        home = key_hash % self._service.ranges
        retired = self._rows.get(range_id)
        self._rows[range_id] = rewrites.split(
            self._rows[home], key_hash, retired, self._lost
        )
        self._owners[range_id] = self._owners[home]
        rate = self._hot_keys[key_hash]
        self._weights[range_id] = rate
        self._weights[home] = max(self._weights[home] - rate, 0.0)
        self._renewed.add(home)
        self._pinned.add(range_id)
        LOG.debug('placement: key %016x gets range %d', key_hash, range_id)

    def _merge(self, range_id, retired):
        home = retired.key_hash % self._service.ranges
        self._weights[home] += self._weights.pop(range_id)
        self._rows[range_id] = retired
        del self._owners[range_id]
        LOG.debug('placement: range %d is merged back', range_id)

    def _heir(self, range_id, balance):
        old = self._rows.get(range_id)
        if old is not None and old.owner in self._lost:
            weight = self._weights.get(range_id, 0.0)
            limit = STANDBY_UP_TO * sum(self._weights.values())
            limit /= len(self._usable)
            standby = old.standby
            if standby in self._usable:
                if balance.load(standby) + weight <= limit:
                    return standby
        return balance.lightest()

    def _balance(self):
        balance = server_loads.ServerLoads(self._usable, self._weights)
        for range_id, server in self._owners.items():
            balance.add(range_id, server)
        return balance

    def _is_releasable(self, found):
        # A rewrite takes effect only after every holder was released.
        return self._unavailable.isdisjoint(rewrites.holders(found))

    def _weights_of(self, loads):
        ranges = self._service.ranges
        assumed = ASSUMED_RPS * max(len(self._staying), 1) / ranges
        weights = {r: loads.get(r, 0.0) + assumed for r in range(ranges)}
        for range_id, found in self._rows.items():
            if range_id >= ranges and found.owner:
                known = self._hot_keys.get(found.key_hash, 0.0)
                weights[range_id] = loads.get(range_id, known)
        return weights
