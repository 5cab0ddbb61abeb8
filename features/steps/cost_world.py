"""Pattern of requests of many hosts to servers with few slots.

It knows arrivals, work, slots, queues and the delays of reports and
heartbeats, and nothing else of the network.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import heapq
import math
import random

from radishferry.direct import cost_choice
from radishferry.direct import registry
from radishferry.direct import selection
from radishferry.direct import server_loads
from radishferry.direct import work
from radishferryd.router import backends

HOSTS = 90
QUEUE = 10
REPORT_S, BEAT_S = 0.3, 0.4
WARMUP_S = 15.0
#: Spells in which a machine takes 3 times as long, and their period.
SPELL_S, SPELL_PERIOD_S, SPELL_FACTOR = 0.4, 2.0, 3.0

#: Kinds of requests: requests a second, mean work in seconds, spread, share
#: and factor of the tail, target latency in seconds.
KINDS = {
    'short': (170, 0.096, 0.5, 0.01, 5, 0.41),
    'wide': (90, 0.17, 0.8, 0.01, 3, 0.61),
    'tailed': (90, 0.16, 0.3, 0.03, 7, 0.51),
}


@dataclasses.dataclass(eq=False)
class Request:
    """Represent a request at a server."""

    host: Host
    number: int
    kind: str
    sent_at: float
    work_s: float
    is_overdue: bool = False


class Host:
    """Hold what one host knows of the servers."""

    def __init__(self, name, servers):
        self.shared = server_loads.SharedLoads()
        self.stats = {
            server.server_id: selection.ServerStats(
                server.slots, backends._preference(name, server.server_id)
            )
            for server in servers
        }
        self.work = collections.defaultdict(work.WorkEstimate)
        self.usual_s = collections.defaultdict(lambda: 0.1)
        self.cost_choice = cost_choice.CostChoice(
            self.shared, self.stats_of, 'a'
        )

    def stats_of(self, server):
        """Return the statistics of a server."""
        return self.stats[server.server_id]

    def share(self, servers):
        """Use the loads of the other hosts."""
        for server in servers:
            self.stats_of(server).shared = self.shared.entry(server.server_id)


class World:
    """Send requests of some kinds, and record how long they take."""

    def __init__(self, servers, slots, speeds, *, seed, rate=1.0):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.servers = tuple(
            registry.Server(name, 1, 's', ('::1', 1), 'a', slots, False)
            for name in self._names(servers)
        )
        self.speeds = [speeds[n % len(speeds)] for n in range(servers)]
        self.phases = [
            self.rng.random() * SPELL_PERIOD_S for _ in self.servers
        ]
        self.hosts = [Host(name, self.servers) for name in self._names(HOSTS)]
        self.merged = server_loads.MergedLoads()
        self.rate = rate
        self.has_spells = False
        self.slow_from = math.inf
        self.slow = ()
        self.running = [0] * servers
        self.queues = [collections.deque() for _ in self.servers]
        self.got = collections.Counter()
        self.sent = collections.Counter()
        self.took_s = collections.defaultdict(list)
        self.now = 0.0
        self._events = []
        self._order = 0

    def run(self, seconds, choose):
        """Run the pattern after a warm-up.

        :param choose: Function of host, kind and time that returns a server,
            or None.
        """
        end = self.now + WARMUP_S + seconds
        self._measured_from = self.now + WARMUP_S
        self._choose = choose
        for kind in KINDS:
            self._at(self.now, self._arrive, kind)
        self._at(self.now + REPORT_S, self._report)
        self._at(self.now + BEAT_S, self._beat)
        while self._events and self.now < end:
            self.now, _, action, *args = heapq.heappop(self._events)
            action(*args)

    @property
    def in_time(self):
        """Return the share of requests answered within their target."""
        in_time = sum(
            bisect.bisect(sorted(took_s), KINDS[kind][5])
            for kind, took_s in self.took_s.items()
        )
        return in_time / sum(self.sent.values())

    @property
    def p99_s(self):
        """Return the 99th percentile of the time of an answer."""
        took_s = sorted(sum(self.took_s.values(), []))
        return took_s[int(0.99 * len(took_s))]

    def _names(self, count):
        return [f'i-{self.rng.getrandbits(32):08x}' for _ in range(count)]

    def _at(self, time, action, *args):
        self._order += 1
        heapq.heappush(self._events, (time, self._order, action, *args))

    def _arrive(self, kind):
        per_s, mean_s, spread, tail, factor, _ = KINDS[kind]
        rng = self.rng
        gap_s = rng.expovariate(per_s * self.rate)
        self._at(self.now + gap_s, self._arrive, kind)
        work_s = mean_s * rng.lognormvariate(-spread * spread / 2, spread)
        work_s *= factor if rng.random() < tail else 1
        host = rng.choice(self.hosts)
        server = self._choose(host, kind, self.now) or rng.choice(self.servers)
        number = self.servers.index(server)
        if self.now > self._measured_from:
            self.sent[kind] += 1
            self.got[number] += 1
        stats = host.stats_of(server)
        stats.note_sent(self.now)
        request = Request(host, number, kind, self.now, work_s)
        stats.outstanding.add(request)
        if self.running[number] < server.slots:
            self._start(request)
        elif len(self.queues[number]) < QUEUE:
            self.queues[number].append(request)
        else:
            stats.in_flight -= 1
            stats.outstanding.discard(request)
            stats.note_failure(self.now)

    def _start(self, request):
        number = request.number
        self.running[number] += 1
        work_s = request.work_s * self.speeds[number]
        if number in self.slow and self.now >= self.slow_from:
            work_s *= 12
        at = self.now
        while work_s > 0:
            phase = (at + self.phases[number]) % SPELL_PERIOD_S
            is_spell = self.has_spells and phase < SPELL_S
            left_s = (SPELL_S if is_spell else SPELL_PERIOD_S) - phase + 1e-6
            factor = SPELL_FACTOR if is_spell else 1.0
            step_s = min(left_s, work_s * factor)
            at += step_s
            work_s -= step_s / factor if step_s < work_s * factor else work_s
        self._at(at, self._end, request)

    def _end(self, request):
        host, number, kind = request.host, request.number, request.kind
        server = self.servers[number]
        self.running[number] -= 1
        if self.queues[number]:
            self._start(self.queues[number].popleft())
        took_s = self.now - request.sent_at
        if request.sent_at > self._measured_from:
            self.took_s[kind].append(took_s)
        stats = host.stats_of(server)
        stats.in_flight -= 1
        stats.outstanding.discard(request)
        waiting = len(self.queues[number])
        phase = (self.now + self.phases[number]) % SPELL_PERIOD_S
        slowdown = SPELL_FACTOR if self.has_spells and phase < SPELL_S else 1.0
        stats.note_report(
            self.running[number], waiting, server.slots, self.now, slowdown
        )
        stats.note_answer(took_s, waiting, self.now)
        if not waiting:
            host.usual_s[kind] += 0.05 * (took_s - host.usual_s[kind])
        if stats.shared is not None:
            stats.shared.note_seen(self.running[number] + waiting)
            if not waiting:
                estimate = host.work[kind]
                own_s = took_s / stats.slowdown(self.now)
                if not request.is_overdue:
                    stats.shared.note_sample(own_s / estimate.mean_s)
                estimate.note(own_s / stats.shared.relative_time)

    def _report(self):
        for host in self.hosts:
            for stats in host.stats.values():
                for request in stats.outstanding if stats.shared else ():
                    work_s = host.work[request.kind].mean_s
                    stats.shared.note_running(request, work_s, self.now)
            self.merged.note(host.shared.take_new(), self.now)
        self._at(self.now + REPORT_S, self._report)

    def _beat(self):
        ids = [server.server_id for server in self.servers]
        changes = self.merged.take_changes([ids], len(ids), self.now)
        for host in self.hosts:
            host.shared.apply(changes, self.now)
        self._at(self.now + BEAT_S, self._beat)


def by_cost(world):
    """Share loads, and return the choice by cost."""
    for host in world.hosts:
        host.share(world.servers)

    def choose(host, kind, now):
        choice = host.cost_choice.choose(
            's',
            world.servers,
            work=host.work[kind],
            answer_bytes=400,
            now=now,
            hosts=HOSTS,
        )
        return choice and choice.server

    return choose


def least_loaded(world):
    """Return the choice by what each host sees itself."""

    def choose(host, kind, now):
        choice = selection.choose(
            world.servers,
            host.stats_of,
            usual_s=host.usual_s[kind],
            data_centre='a',
            answer_bytes=400,
            now=now,
            hosts=HOSTS,
        )
        return choice and choice.server

    return choose


def two_random(world):
    """Return the choice of the one of two servers with fewer own requests."""

    def choose(host, kind, now):
        return min(
            world.rng.sample(world.servers, 2),
            key=lambda server: host.stats_of(server).in_flight,
        )

    return choose
