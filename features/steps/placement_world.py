"""Model of all servers that may hold ranges, fed by random operations."""

from __future__ import annotations

import collections
import random

from radishferry import manifest
from radishferry import placement

RANGES = 8
KEYS = range(100, 106)
STATES = ('live', 'live', 'leaving', 'lost')


class World:
    """Hold the table and who may hold which epoch.

    ``may_hold`` maps a range id to the epochs that a server may hold because
    some row named it, until a release is proven.
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
        source = random.Random(number)
        loads = {r: source.choice((0.0, 50.0, 500.0)) for r in self.rows}
        keys = {k: source.choice((0.0, 900.0)) for k in KEYS}
        silent = {n for n in self.servers if source.random() < 0.15}
        changes = placement.plan_ranges(
            self._service(), self.rows, loads, keys, frozenset(silent)
        )
        keys = {row.key_hash for row in changes.values()} - {None}
        renewed = {key % RANGES for key in keys}
        for range_id, new in changes.items():
            old = self.rows.get(range_id)
            self._check_epochs(range_id, old, new, renewed)
            self._check_servers(old, new, silent)
            if new.key_hash is not None:
                self._check_key(range_id, new, changes)
        for range_id, new in changes.items():
            self._write(range_id, new)
        for row in self.rows.values():
            self._check_placed(row, self._named('live'), silent)

    def promote(self, number):
        row = self.rows.get(number % RANGES)
        if row is not None and row.standby:
            row = placement.record_promotion(
                row, row.standby_epoch, row.standby
            )
            self._settle(number % RANGES, row)

    def activate(self, number):
        range_id = _pick(self.rows, number)
        row = self.rows[range_id]
        if row.owner:
            row = placement.record_active(row, row.epoch, row.owner)
            self._settle(range_id, row)

    def release(self, number):
        retired = [r for r, row in self.rows.items() if not row.owner]
        if retired:
            range_id = _pick(retired, number)
            row = placement.record_released(self.rows[range_id])
            self._settle(range_id, row)

    def _service(self):
        servers = tuple(
            manifest.Server(name, '127.0.0.1:1', _centre(name), state)
            for name, state in sorted(self.servers.items())
        )
        return manifest.Service('lots', True, servers, (), ranges=RANGES)

    def _named(self, state):
        return {n for n, s in self.servers.items() if s == state}

    def _settle(self, range_id, row):
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

    def _check_epochs(self, range_id, old, new, renewed):
        named = {new.epoch: new.owner, new.epoch + 1: new.standby}
        for name, epochs in self.may_hold[range_id].items():
            # A holder of a lower epoch is listed; a higher one is reserved.
            assert min(epochs) >= new.epoch or name in new.previous, new
            for epoch in epochs:
                assert epoch < new.epoch or named.get(epoch) == name, new
        if old is None:
            assert new.epoch == 1, new
        elif new.epoch != old.epoch:
            assert new.epoch >= old.next_epoch, (old, new)
            same = new.owner == old.owner and not old.standby
            assert not same or range_id in renewed, (old, new)
        else:
            assert new.owner == old.owner, (old, new)
            assert old.standby in ('', new.standby), (old, new)
            assert set(new.previous) <= set(old.previous), (old, new)

    def _check_servers(self, old, new, silent):
        live = self._named('live')
        old_owner = old.owner if old else ''
        if new.owner and new.owner != old_owner:
            assert new.owner in live - silent, (old, new)
            assert old_owner not in live & silent, (old, new)
        if new.owner == old_owner and old_owner in silent:
            # The standby may be active; another one must not replace it.
            lost = self.servers.get(old.standby) == 'lost'
            assert new.standby == old.standby or lost, (old, new)
        if new.standby:
            assert new.standby != new.owner, new
            assert _centre(new.standby) == _centre(new.owner), new
            known = old is not None and new.standby == old.standby
            assert known or new.standby in live - silent, (old, new)

    def _check_placed(self, row, live, silent):
        assert not self._named('lost') & set(row.previous), row
        if row.owner and live - silent:
            assert row.owner in live, row
        if row.owner in live - silent:
            near = {n for n in live if _centre(n) == _centre(row.owner)}
            others = near - silent - {row.owner}
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
        # The key is split out: its hash range gets a new epoch, and whoever
        # may hold the hash range is released before the key has an owner.
        home = new.key_hash % RANGES
        assert changes[home].epoch > self.rows[home].epoch, changes
        assert set(self.may_hold[home]) <= set(new.previous), new
        if old is not None and old.key_hash != new.key_hash:
            assert not self.may_hold[range_id], (old, new)


def _pick(names, number):
    return sorted(names)[number % len(names)]


def _centre(name):
    return f'd{int(name[1:]) % 2}'


#: Plans are listed repeatedly so that most changes are followed by one.
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
