"""Fakes for the servers of a coordinator and their answers."""

from __future__ import annotations

import itertools

from radishferry import actions
from radishferry import assignment
from radishferry import coordinator
from radishferry import lease
from radishferry_testing import server_lease

RANGES = 8
HOSTS = ('h1', 'h2', 'h3')
BASE_TERM = 10
STEP_S = 0.01


class FakeServer:
    """Answer lease requests as the test server does, with its lease."""

    def __init__(self, name, offset_ms=0.0):
        self.name = name
        self.boots = itertools.count(1)
        self.offset_ms = offset_ms
        self.restart(offset_ms)

    def restart(self, offset_ms):
        self.lease = server_lease.ServerLease()
        self.boot_id = f'{self.name}{next(self.boots)}'
        self.offset_ms = offset_ms

    def clock_ms(self, now):
        return now * 1000 + self.offset_ms

    def holds(self, now):
        return self.lease.held(self.clock_ms(now))

    def handle(self, action, now):
        """Return whether a lease request is accepted, and the answer body."""
        clock_ms = self.clock_ms(now)
        expires_at_ms, ranges = action.expires_at_ms, action.ranges
        if action.boot_id not in ('', self.boot_id):
            expires_at_ms, ranges = 0.0, None
        accepted = self.lease.grant(
            clock_ms, action.term, action.seq, expires_at_ms, ranges
        )
        held = self.lease.held(clock_ms)
        previous = self.lease.previous_term
        body = (clock_ms, self.boot_id, self.lease.term, previous, held)
        return accepted, body


def deliver(target, action, answer, sent_at, now):
    """Pass the answer of a server to a coordinator."""
    accepted, (clock_ms, boot_id, term, previous, held) = answer
    if not accepted:
        return target.lease_refused(action.seq, term, now)
    reading = lease.ClockReading(clock_ms, sent_at, now)
    return target.lease_answered(
        coordinator.LeaseAnswer(reading, boot_id, action.seq, previous, held),
        now,
    )


class Host:
    """Run one coordinator against a fake server, without delays."""

    def __init__(self, name, server, world):
        self.world = world
        self.server = server
        self.coordinator = coordinator.Coordinator(
            server.name, name, RANGES, 1
        )
        self.log = []
        self.sent = []
        self.is_reachable = True

    def run(self, pending):
        pending = list(pending)
        while pending:
            action = pending.pop(0)
            self.log.append(action)
            if not isinstance(action, actions.SendLease):
                continue
            self.sent.append(action)
            now = self.world.now
            if self.is_reachable:
                answer = self.server.handle(action, now)
                pending += deliver(self.coordinator, action, answer, now, now)
            else:
                pending += self.coordinator.lease_failed(now)

    def wait(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.world.now += STEP_S
            self.run(self.coordinator.tick(self.world.now))

    def of(self, name):
        """Return the logged actions of the class with this name."""
        return [a for a in self.log if type(a).__name__ == name]


def assigned(hosts=HOSTS, base_term=BASE_TERM):
    return assignment.CoordinatorAssignment(tuple(hosts), base_term)
