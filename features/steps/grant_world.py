"""Simulate servers, the store and granting hosts under random faults."""

from __future__ import annotations

import dataclasses
import itertools

from radishferry.direct import granting
from radishferry.direct import key_map

#: Number of keys; few, so that moves of the same keys overlap.
KEYS = 24
#: Longest delay after which a server executes an order, in seconds.
MAX_DELAY_S = 12.0
#: Seconds after which the connection of an unanswered order is reset.
ORDER_TIMEOUT_S = 0.8
#: Factor by which the clocks of servers run slow.
SLOW_CLOCK = 1.02


class Server:
    """Simulate how a server of the platform holds keys.

    :param keys: The keys that are looked at.
    """

    def __init__(self, incarnation, keys=range(KEYS)):
        self.incarnation = incarnation
        self._keys = keys
        self.is_up = True
        self.held = {}
        self.fences = {}

    def grant(self, segment, hold_s, arrived_at):
        """Accept a grant whose lease is counted from its arrival.

        :returns: Whether no higher fencing token has been seen.
        """
        keys = self._keys_of(segment)
        if any(self.fences.get(key, 0) > segment.fence for key in keys):
            return False
        for key in keys:
            self.fences[key] = segment.fence
            until = arrived_at + hold_s * SLOW_CLOCK
            self.held[key] = max(until, self.held.get(key, 0.0))
        return True

    def release(self, segment):
        """Release keys; a release is never rejected."""
        for key in self._keys_of(segment):
            self.held.pop(key, None)
            self.fences[key] = max(self.fences.get(key, 0), segment.fence)

    def _keys_of(self, segment):
        return [k for k in self._keys if segment.start <= k <= segment.end]

    def holds(self, key, now):
        """Return whether the server runs requests for a key."""
        return self.is_up and self.held.get(key, 0.0) > now


@dataclasses.dataclass
class LateOrder:
    """Hold an order that a server executes late."""

    at: float
    arrived_at: float
    order: object
    server: Server


class World:
    """Take random steps with faults and check the holders after each."""

    def __init__(self, rng):
        self._rng = rng
        self._now = 1000.0
        self._births = itertools.count(1)
        self._servers = {}
        for name in 'ABCD':
            self._start(name)
        self._late_orders = []
        self._version = 10
        self._row = (), ()
        self._proposed = None
        self._granter = granting.KeyGranter('s', 10.0)
        self._tokens = {}
        self._propose()
        self._write()

    def run(self, steps):
        """Take a number of random steps."""
        for _ in range(steps):
            self._rng.choices(
                (
                    self._order,
                    self._wait,
                    self._propose,
                    self._write,
                    self._change_granter,
                    self._restart,
                ),
                (60, 25, 10, 10, 3, 3),
            )[0]()
            self._deliver_late()
            self._check()

    def _start(self, name):
        incarnation = (name, next(self._births))
        self._servers[name] = Server(incarnation)

    def _wait(self):
        self._now += self._rng.choice((0.01, 0.1, 0.4, 1.0, 3.0))

    def _propose(self):
        """Propose a random layout; the store applies it later or never."""
        incarnations = [
            server.incarnation for server in self._servers.values()
        ]
        bounds = sorted(self._rng.sample(range(1, KEYS), 3))
        starts = [0, *bounds]
        ends = [*(b - 1 for b in bounds), KEYS - 1]
        layout = [
            (start, end, self._rng.choice(incarnations))
            for start, end in zip(starts, ends)
        ]
        if self._granter.ranges and not all(
            self._granter.may_assign(owner, start, end, self._now)
            for start, end, owner in layout
        ):
            return
        self._proposed = layout, self._granter.propose(layout, self._now)

    def _write(self):
        """Apply the proposed layout at the store.

        The granting host may be replaced before it learns of it.
        """
        if self._proposed is None:
            return
        layout, self._row = self._proposed
        self._proposed = None
        self._version += 1
        if self._rng.random() < 0.2:
            self._change_granter()
        else:
            self._granter.commit(layout, self._version, self._now)

    def _change_granter(self):
        """Let another host take over, immediately or after a pause."""
        ordered_until = self._rng.choice((None, self._now))
        self._proposed = None
        if self._rng.random() < 0.3:
            self._now += self._rng.uniform(0, 8)
        segments, ends = self._row
        self._granter = granting.KeyGranter('s', 10.0)
        self._granter.load(
            segments,
            self._version,
            self._now,
            ordered_until=ordered_until,
            ends=ends,
        )
        self._row = self._granter.segments, ends

    def _restart(self):
        name = self._rng.choice('ABCD')
        old = self._servers[name]
        old.is_up = False
        self._start(name)
        self._late_orders = [
            late for late in self._late_orders if late.server is not old
        ]
        if self._rng.random() < 0.5:
            self._granter.note_ended(old.incarnation)

    def _order(self):
        for order in self._granter.due(self._now):
            incarnation = (
                order.segment.owner
                if isinstance(order, granting.Grant)
                else order.incarnation
            )
            server = self._servers[incarnation[0]]
            self._granter.note_pending(order, self._now)
            if not self._granter.is_current(order, self._now):
                self._fail(order, False)
                continue
            self._granter.note_sent(order, self._now)
            if server.incarnation != incarnation:
                self._fail(order, False)
                continue
            self._send(order, server)

    def _send(self, order, server):
        kind = self._rng.choices(
            ('done', 'answer lost', 'late', 'never'), (70, 10, 12, 8)
        )[0]
        if kind == 'done':
            self._apply(order, server, self._now)
            return
        arrived_at = self._now + self._rng.uniform(0, ORDER_TIMEOUT_S)
        if kind == 'answer lost':
            self._execute(order, server, arrived_at)
        elif kind == 'late':
            self._late_orders.append(
                LateOrder(
                    self._now + self._rng.uniform(2, MAX_DELAY_S),
                    arrived_at,
                    order,
                    server,
                )
            )
        if self._rng.random() < 0.2:
            # The host is replaced before it learns that no answer comes.
            self._change_granter()
        else:
            self._now += ORDER_TIMEOUT_S
            self._fail(order, True)

    def _apply(self, order, server, arrived_at):
        is_accepted = self._execute(order, server, arrived_at)
        if not isinstance(order, granting.Grant):
            self._granter.note_released(order, 'state')
        elif is_accepted:
            self._granter.note_granted(order, self._now, self._now)
        else:
            self._granter.note_grant_failed(
                order, self._now, was_sent=False, is_stale=True
            )

    def _execute(self, order, server, arrived_at):
        if not isinstance(order, granting.Grant):
            server.release(order.segment)
            return True
        is_accepted = server.grant(order.segment, order.hold_s, arrived_at)
        if is_accepted:
            self._check_tokens(order.segment, server.incarnation)
        return is_accepted

    def _check_tokens(self, segment, incarnation):
        for key in range(segment.start, segment.end + 1):
            tokens = self._tokens.setdefault(key, {})
            others = [f for other, f in tokens.items() if other != incarnation]
            assert segment.fence > max(others, default=0), (
                f'key {key}: token {segment.fence} for {incarnation} '
                f'after {tokens}'
            )
            tokens[incarnation] = max(
                segment.fence, tokens.get(incarnation, 0)
            )

    def _fail(self, order, was_sent):
        if isinstance(order, granting.Grant):
            self._granter.note_grant_failed(
                order, self._now, was_sent=was_sent
            )
        else:
            self._granter.note_release_failed(
                order, self._now, was_sent=was_sent
            )

    def _deliver_late(self):
        due = [late for late in self._late_orders if late.at <= self._now]
        self._late_orders = [
            late for late in self._late_orders if late.at > self._now
        ]
        for late in due:
            if not isinstance(late.order, granting.Grant):
                late.server.release(late.order.segment)
                continue
            # A grant that arrived long ago is accepted, but its lease may have
            # expired.
            late.server.grant(
                late.order.segment, late.order.hold_s, late.arrived_at
            )

    def _check(self):
        assert key_map.KEY_COUNT > KEYS
        for key in range(KEYS):
            holders = [
                server.incarnation
                for server in self._servers.values()
                if server.holds(key, self._now)
            ]
            assert len(holders) <= 1, f'key {key} at {holders}: {self._now}'
