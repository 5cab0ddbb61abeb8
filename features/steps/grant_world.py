"""Model servers, the store and granting hosts under random faults."""

from __future__ import annotations

import dataclasses
import itertools

from radishferry.direct import granting
from radishferry.direct import key_map

#: Keys of the model; few, so that moves meet each other.
KEYS = 24
#: Longest delay with which a server carries out an order, in seconds.
LATE_S = 12.0
#: Seconds after which the connection of an unanswered order is reset.
UNANSWERED_S = 0.8
#: Rate of the slowest clock of a server.
SLOW = 1.02


class Server:
    """Hold keys as the platform's servers do."""

    def __init__(self, life):
        self.life = life
        self.is_up = True
        self.held = {}
        self.fences = {}

    def grant(self, segment, hold_s, arrived_at):
        """Take a grant; its time counts from its arrival."""
        keys = range(segment.start, segment.end + 1)
        if any(self.fences.get(key, 0) > segment.fence for key in keys):
            return False
        for key in keys:
            self.fences[key] = segment.fence
            until = arrived_at + hold_s * SLOW
            self.held[key] = max(until, self.held.get(key, 0.0))
        return True

    def release(self, segment):
        """Give keys up; never refused."""
        for key in range(segment.start, segment.end + 1):
            self.held.pop(key, None)
            self.fences[key] = max(self.fences.get(key, 0), segment.fence)

    def holds(self, key, now):
        """Tell whether the server runs requests for a key."""
        return self.is_up and self.held.get(key, 0.0) > now


@dataclasses.dataclass
class Late:
    """Hold an order that a server carries out later."""

    at: float
    arrived_at: float
    order: object
    server: Server


class World:
    """Run random faults and check the holders after each step."""

    def __init__(self, rng):
        self._rng = rng
        self._now = 1000.0
        self._births = itertools.count(1)
        self._servers = {}
        for name in 'ABCD':
            self._start(name)
        self._late = []
        self._version = 10
        self._row = (), ()
        self._proposed = None
        self._granter = granting.KeyGranter('s', 10.0)
        self._tokens = {}
        self._propose()
        self._write()

    def run(self, steps):
        """Take random steps."""
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
        life = (name, next(self._births))
        self._servers[name] = Server(life)

    def _wait(self):
        self._now += self._rng.choice((0.01, 0.1, 0.4, 1.0, 3.0))

    def _propose(self):
        """Begin to write a layout; the store applies it later, or never."""
        lives = [server.life for server in self._servers.values()]
        bounds = sorted(self._rng.sample(range(1, KEYS), 3))
        starts = [0, *bounds]
        ends = [*(b - 1 for b in bounds), KEYS - 1]
        layout = [
            (start, end, self._rng.choice(lives))
            for start, end in zip(starts, ends)
        ]
        if self._granter.ranges and not all(
            self._granter.may_give(owner, start, end, self._now)
            for start, end, owner in layout
        ):
            return
        self._proposed = layout, self._granter.propose(layout, self._now)

    def _write(self):
        """Apply what was proposed; the host may not learn of it in time."""
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
        """Let another host take over, at once or after a pause."""
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
        self._late = [late for late in self._late if late.server is not old]
        if self._rng.random() < 0.5:
            self._granter.note_ended(old.life)

    def _order(self):
        for order in self._granter.due(self._now):
            life = (
                order.segment.owner
                if isinstance(order, granting.Grant)
                else order.life
            )
            server = self._servers[life[0]]
            self._granter.note_pending(order, self._now)
            if not self._granter.is_current(order, self._now):
                self._fail(order, False)
                continue
            self._granter.note_sent(order, self._now)
            if server.life != life:
                self._fail(order, False)
                continue
            self._carry_out(order, server)

    def _carry_out(self, order, server):
        kind = self._rng.choices(
            ('done', 'answer lost', 'late', 'never'), (70, 10, 12, 8)
        )[0]
        if kind == 'done':
            self._apply(order, server, self._now)
            return
        arrived_at = self._now + self._rng.uniform(0, UNANSWERED_S)
        if kind == 'answer lost':
            self._change(order, server, arrived_at)
        elif kind == 'late':
            self._late.append(
                Late(
                    self._now + self._rng.uniform(2, LATE_S),
                    arrived_at,
                    order,
                    server,
                )
            )
        if self._rng.random() < 0.2:
            # The host is lost before it learns that no answer comes.
            self._change_granter()
        else:
            self._now += UNANSWERED_S
            self._fail(order, True)

    def _apply(self, order, server, arrived_at):
        is_taken = self._change(order, server, arrived_at)
        if not isinstance(order, granting.Grant):
            self._granter.note_released(order, 'state')
        elif is_taken:
            self._granter.note_granted(order, self._now, self._now)
        else:
            self._granter.note_grant_failed(
                order, self._now, was_sent=False, is_stale=True
            )

    def _change(self, order, server, arrived_at):
        if not isinstance(order, granting.Grant):
            server.release(order.segment)
            return True
        taken = server.grant(order.segment, order.hold_s, arrived_at)
        if taken:
            self._check_tokens(order.segment, server.life)
        return taken

    def _check_tokens(self, segment, life):
        for key in range(segment.start, segment.end + 1):
            tokens = self._tokens.setdefault(key, {})
            others = [f for other, f in tokens.items() if other != life]
            assert segment.fence > max(others, default=0), (
                f'key {key}: token {segment.fence} for {life} after {tokens}'
            )
            tokens[life] = max(segment.fence, tokens.get(life, 0))

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
        due = [late for late in self._late if late.at <= self._now]
        self._late = [late for late in self._late if late.at > self._now]
        for late in due:
            if not isinstance(late.order, granting.Grant):
                late.server.release(late.order.segment)
                continue
            # A grant that arrived long ago is taken, but has run out.
            late.server.grant(
                late.order.segment, late.order.hold_s, late.arrived_at
            )

    def _check(self):
        assert key_map.KEY_COUNT > KEYS
        for key in range(KEYS):
            holders = [
                server.life
                for server in self._servers.values()
                if server.holds(key, self._now)
            ]
            assert len(holders) <= 1, f'key {key} at {holders}: {self._now}'
