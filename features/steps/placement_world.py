"""Model the servers that may hold ranges under random operations."""

from __future__ import annotations

import collections
import random

from radishferry import manifest
from radishferry import placement

RANGES = 8
KEYS = range(100, 106)
STATES = ('live', 'live', 'leaving', 'lost')


class World:
    """Model the table and the epochs that each server may hold.

    ``may_hold`` maps a range id to the servers that may hold it and their
    epochs: all that some row named, until their release is proven.
    """

    def __init__(self):
        self.servers = {f's{i}': 'live' for i in range(4)}
        self.rows = {}
        self.may_hold = collections.defaultdict(dict)
        self.plan(0)

    def add(self, number):
        self.servers.setdefault(f's{number % 7}', 'live')

    def remove(self, number):
        if len(self.servers) > 1:
            del self.servers[_pick(self.servers, number)]

    def change_state(self, number):
        name = _pick(self.servers, number)
        self.servers[name] = STATES[number // 7 % len(STATES)]
        if self.servers[name] == 'lost':
            for held in self.may_hold.values():
                held.pop(name, None)

    def plan(self, number):
        rng = random.Random(number)
        loads = {r: rng.choice((0.0, 50.0, 500.0)) for r in self.rows}
        keys = {k: rng.choice((0.0, 900.0)) for k in KEYS}
        unresponsive = {n for n in self.servers if rng.random() < 0.15}
        changes = placement.plan_ranges(
            self._service(), self.rows, loads, keys, frozenset(unresponsive)
        )
        keys = {row.key_hash for row in changes.values()} - {None}
        split_ranges = {key % RANGES for key in keys}
        for range_id, new in changes.items():
            old = self.rows.get(range_id)
            self._check_epochs(range_id, old, new, split_ranges)
            self._check_servers(old, new, unresponsive)
            if new.key_hash is not None:
                self._check_key(range_id, new, changes)
        for range_id, new in changes.items():
            self._write(range_id, new)
        for row in self.rows.values():
            self._check_assigned(
                row, self._servers_in_state('live'), unresponsive
            )

    def promote(self, number):
        row = self.rows.get(number % RANGES)
        if row is not None and row.standby:
            row = placement.record_promotion(
                row, row.standby_epoch, row.standby
            )
            self._replace_holders(number % RANGES, row)

    def activate(self, number):
        range_id = _pick(self.rows, number)
        row = self.rows[range_id]
        if row.owner:
            row = placement.record_active(row, row.epoch, row.owner)
            self._replace_holders(range_id, row)

    def release(self, number):
        retired = [r for r, row in self.rows.items() if not row.owner]
        if retired:
            range_id = _pick(retired, number)
            row = placement.record_released(self.rows[range_id])
            self._replace_holders(range_id, row)

    def _service(self):
        servers = tuple(
            manifest.Server(name, '127.0.0.1:1', _centre(name), state)
            for name, state in sorted(self.servers.items())
        )
        return manifest.Service('lots', True, servers, (), ranges=RANGES)

    def _servers_in_state(self, state):
        return {n for n, s in self.servers.items() if s == state}

    def _replace_holders(self, range_id, row):
        self.may_hold[range_id] = {}
        self._write(range_id, row)

    def _write(self, range_id, row):
        self.rows[range_id] = row
        held = self.may_hold[range_id]
        for name, epoch in (
            (row.owner, row.epoch),
            (row.standby, row.standby_epoch),
        ):
            if name and self.servers.get(name) != 'lost':
                held.setdefault(name, set()).add(epoch)

    def _check_epochs(self, range_id, old, new, split_ranges):
        epoch_holders = {new.epoch: new.owner, new.epoch + 1: new.standby}
        for name, epochs in self.may_hold[range_id].items():
            # A holder of a lower epoch must be listed in ``previous``; any
            # other epoch must be reserved for its holder.
            assert min(epochs) >= new.epoch or name in new.previous, new
            for epoch in epochs:
                assert epoch < new.epoch or epoch_holders.get(epoch) == name, (
                    new
                )
        if old is None:
            assert new.epoch == 1, new
        elif new.epoch != old.epoch:
            assert new.epoch >= old.next_epoch, (old, new)
            same = new.owner == old.owner and not old.standby
            assert not same or range_id in split_ranges, (old, new)
        else:
            assert new.owner == old.owner, (old, new)
            assert old.standby in ('', new.standby), (old, new)
            assert set(new.previous) <= set(old.previous), (old, new)

    def _check_servers(self, old, new, unresponsive):
        live = self._servers_in_state('live')
        old_owner = old.owner if old else ''
        if new.owner and new.owner != old_owner:
            assert new.owner in live - unresponsive, (old, new)
            assert old_owner not in live & unresponsive, (old, new)
        if new.owner == old_owner and old_owner in unresponsive:
            # The standby may already be active, so it must not be replaced.
            lost = self.servers.get(old.standby) == 'lost'
            assert new.standby == old.standby or lost, (old, new)
        if new.standby:
            assert new.standby != new.owner, new
            assert _centre(new.standby) == _centre(new.owner), new
            known = old is not None and new.standby == old.standby
            assert known or new.standby in live - unresponsive, (old, new)

    def _check_assigned(self, row, live, unresponsive):
        assert not self._servers_in_state('lost') & set(row.previous), row
        if row.owner and live - unresponsive:
            assert row.owner in live, row
        if row.owner in live - unresponsive:
            near = {n for n in live if _centre(n) == _centre(row.owner)}
            others = near - unresponsive - {row.owner}
            assert row.standby in near if others else True, row

    def _check_key(self, range_id, new, changes):
        old = self.rows.get(range_id)
        if not new.owner:
            assert new.key_hash == old.key_hash, (old, new)
            return
        rows = self.rows | changes
        same = [r for r in rows if rows[r].key_hash == new.key_hash]
        assert same == [range_id], same
        if old is not None and old.key_hash == new.key_hash and old.owner:
            return
        # The key is split out: its hash range gets a new epoch, and every
        # server that may hold the hash range must release it before the key
        # gets an owner.
        hash_range = new.key_hash % RANGES
        assert changes[hash_range].epoch > self.rows[hash_range].epoch, changes
        assert set(self.may_hold[hash_range]) <= set(new.previous), new
        if old is not None and old.key_hash != new.key_hash:
            assert not self.may_hold[range_id], (old, new)


def _pick(names, number):
    return sorted(names)[number % len(names)]


def _centre(name):
    return f'd{int(name[1:]) % 2}'


#: ``plan`` is listed twice, so that most changes are soon followed by a plan.
OPERATIONS = (
    World.plan,
    World.plan,
    World.plan,
    World.add,
    World.remove,
    World.change_state,
    World.promote,
    World.activate,
    World.release,
)
