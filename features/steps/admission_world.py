"""Simulate callers, hosts and servers of one service for admission tests."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import math
import random
import types

from radishferry.direct import admission
from radishferry.direct import configuration
from radishferry.direct import key_map
from radishferry.direct import registry
from radishferry.direct import selection
from radishferryd.router import server_choice

_START_S = 100.0
_DATA_CENTRES = 'abc'


@dataclasses.dataclass(frozen=True)
class Stream:
    """Describe the requests of one route.

    :ivar spread: Standard deviation of the logarithm of the work.
    :ivar tail: Share of the requests with 7 times the work.
    :ivar change: Function from seconds since the start to the factor on the
        rate.
    :ivar repeating: Share of the callers that ignore delays and repeat every
        30 ms, 6 times.
    """

    rank: int
    target_s: float
    deadline_s: float
    per_s: float
    work_s: float
    spread: float = 0.3
    tail: float = 0.0
    change: object = lambda _: 1.0
    repeating: float = 0.0


class FormerRule:
    """Admit by the own target of a route alone, as before."""

    def note_arrival(self, *_):
        """Ignore what this rule does not use."""

    note_report = note_arrival

    def decide(self, asked, now):
        """See :meth:`radishferry.direct.admission.Admission.decide`."""
        stats, route = asked.stats, asked.route
        if stats.load(now) < stats.slots:
            allowed_s = asked.left_s
        else:
            share = 1 - 0.12 * max(0, route.priority - 1)
            allowed_s = max(
                route.target_latency_s * share,
                1.5 * asked.route_stats.service_s,
            )
        if asked.expected_s <= min(allowed_s, asked.left_s):
            return admission.Admitted()
        return admission.Refused(
            admission.Cause.QUEUE, admission.retry_after_s(asked.expected_s)
        )


@dataclasses.dataclass
class _Caller:
    stream: Stream
    route: object
    data_centre: str
    key: int
    work_s: float
    began_at: float
    repeats: bool
    attempts: int = 0


class _Server:
    """Run requests in slots, queue some and reject others."""

    def __init__(self, server, queue):
        self.server = server
        self.running = 0
        self.queue = collections.deque()
        self.queue_limit = queue


class _Host:
    """Hold the view of one host and stand in for its gateway."""

    host_count = 90

    def __init__(self, world, data_centre, rule):
        self.data_centre = data_centre
        self.admission = rule
        self.backends = self.availability = self
        self._world = world
        self._views = {}
        self.routes = {}

    def get(self, server):
        view = self._views.get(server.server_id)
        if view is None:
            stats = selection.ServerStats(
                server.slots, self._world.random.random()
            )
            view = self._views[server.server_id] = types.SimpleNamespace(
                server=server,
                stats=stats,
                in_flight_by_key=collections.Counter(),
            )
        return view

    def stats(self, server):
        return self.get(server).stats

    def owner(self, service, key):
        server = self._world.servers[key].server
        return key_map.Segment(key, key, server.incarnation, 1), server

    def candidates(self, service):
        return self._world.registered

    def cold_s(self, server):
        return 0.0

    def route_stats(self, route):
        if route.name not in self.routes:
            self.routes[route.name] = admission.RouteStats(route.kind)
        return self.routes[route.name]


class World:
    """Play the requests of some streams against one service."""

    def __init__(
        self, streams, servers, slots, is_keyed, rule, hosts=90, queue=10
    ):
        """Create the service and its hosts.

        :param rule: Function that returns the rule of a host.
        """
        self.random = random.Random(3)
        random.seed(4)
        self.now = _START_S
        self.is_keyed = is_keyed
        self.registered = [
            registry.Server(
                f's{n}', 1, 's', ('127.0.0.1', n), _DATA_CENTRES[n % 3], slots,
                False,
            )
            for n in range(servers)
        ]  # fmt: skip
        self.servers = [_Server(s, queue) for s in self.registered]
        self._by_name = {s.server.server_id: s for s in self.servers}
        # Some keys are busier than others.
        weights = [self.random.lognormvariate(0, 0.3) for _ in self.servers]
        self._key_weights = list(itertools.accumulate(weights))
        self._hosts = collections.defaultdict(list)
        for n in range(hosts):
            data_centre = _DATA_CENTRES[n % 3]
            self._hosts[data_centre].append(_Host(self, data_centre, rule()))
        self._streams = [
            (
                stream,
                configuration.Route(
                    f'r{n}',
                    'h',
                    '/',
                    configuration.Kind.SAFE,
                    (),
                    stream.deadline_s,
                    stream.target_s,
                    2,
                    stream.rank,
                ),
            )
            for n, stream in enumerate(streams)
        ]
        self._events = []
        self._number = itertools.count()
        #: Outcomes by route, data centre, second of the first attempt and
        #: one of "in time", "late" and "refused".
        self.outcomes = collections.Counter()
        self.sends = collections.Counter()

    def play(self, seconds):
        """Play the streams for some seconds and let open requests end."""
        for stream, route in self._streams:
            self._at(_START_S, self._arrive, stream, route, seconds)
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self

    def share(self, outcome, route=None, data_centre=None, seconds=None):
        """Return the share of requests with an outcome.

        :param seconds: Range of the seconds of their first attempts.
        """
        total = hits = 0
        for (name, place, second, what), count in self.outcomes.items():
            if (
                route not in (None, name)
                or data_centre not in (None, place)
                or (seconds is not None and second not in seconds)
            ):
                continue
            total += count
            hits += count * (what == outcome)
        return hits / max(1, total)

    def _at(self, when, call, *arguments):
        heapq.heappush(
            self._events, (when, next(self._number), call, arguments)
        )

    def _arrive(self, stream, route, seconds):
        age_s = self.now - _START_S
        if age_s > seconds:
            return
        rate = stream.per_s * stream.change(age_s)
        self._at(
            self.now + self.random.expovariate(rate),
            self._arrive,
            stream,
            route,
            seconds,
        )
        work_s = stream.work_s * self.random.lognormvariate(
            -(stream.spread**2) / 2, stream.spread
        )
        if self.random.random() < stream.tail:
            work_s *= 7
        (key,) = self.random.choices(
            range(len(self.servers)), cum_weights=self._key_weights
        )
        self._attempt(
            _Caller(
                stream,
                route,
                self.random.choice(_DATA_CENTRES),
                key if self.is_keyed else None,
                work_s,
                self.now,
                self.random.random() < stream.repeating,
            )
        )

    def _end(self, caller, outcome):
        self.outcomes[
            caller.route.name,
            caller.data_centre,
            int(caller.began_at - _START_S),
            outcome,
        ] += 1

    def _attempt(self, caller):
        remaining_s = caller.began_at + caller.stream.deadline_s - self.now
        if remaining_s <= 0.03:
            self._end(caller, 'refused')
            return
        caller.attempts += 1
        host = self.random.choice(self._hosts[caller.data_centre])
        stats = host.route_stats(caller.route)
        stats.note_arrival(remaining_s, self.now)
        host.admission.note_arrival('s', caller.route, stats, self.now)
        self._send(caller, host, ())

    def _send(self, caller, host, tried):
        remaining_s = caller.began_at + caller.stream.deadline_s - self.now
        decision = server_choice.choose(
            host,
            server_choice.Query(
                caller.route,
                's',
                caller.key,
                host.route_stats(caller.route),
                remaining_s,
                tried,
                remaining_s,
            ),
            self.now,
        )
        self.sends[type(decision).__name__] += 1
        if not isinstance(decision, server_choice.Send):
            self._refuse(caller, decision.retry_after_s)
            return
        view = decision.backend
        server = self._by_name[view.server.server_id]
        if len(server.queue) >= server.queue_limit:
            self._reject(caller, host, server, view, tried)
            return
        view.stats.note_sent(self.now)
        server.queue.append((caller, host, self.now))
        self._start_next(server)

    def _reject(self, caller, host, server, view, tried):
        """Handle the rejection of a full server as the host does."""
        self._report(host, server, caller.route)
        view.stats.note_failure(self.now)
        if len(tried) < caller.route.max_attempts:
            self._at(
                self.now + self.random.uniform(0.03, 0.09),
                self._send,
                caller,
                host,
                (*tried, view.server.incarnation),
            )
        else:
            self._refuse(caller, admission.retry_after_s(0.3))

    def _report(self, host, server, route):
        stats = host.stats(server.server)
        stats.note_report(
            server.running, len(server.queue), stats.slots, self.now
        )
        host.admission.note_report(
            server.server,
            stats,
            len(server.queue),
            host.route_stats(route).service_s,
            self.now,
        )

    def _start_next(self, server):
        while server.queue and server.running < server.server.slots:
            caller, host, sent_at = server.queue.popleft()
            if self.now > caller.began_at + caller.stream.deadline_s:
                host.stats(server.server).in_flight -= 1
                self._end(caller, 'refused')
                continue
            server.running += 1
            self._at(
                self.now + caller.work_s,
                self._answer,
                server,
                caller,
                host,
                sent_at,
            )

    def _answer(self, server, caller, host, sent_at):
        server.running -= 1
        self._start_next(server)
        stats = host.stats(server.server)
        self._report(host, server, caller.route)
        stats.in_flight -= 1
        elapsed_s = self.now - sent_at
        stats.note_answer(elapsed_s, len(server.queue), self.now)
        host.route_stats(caller.route).note(400, elapsed_s, len(server.queue))
        took_s = self.now - caller.began_at
        if took_s <= caller.stream.target_s:
            self._end(caller, 'in time')
        elif took_s <= caller.stream.deadline_s:
            self._end(caller, 'late')
        else:
            self._end(caller, 'refused')

    def _refuse(self, caller, retry_after_s):
        left_s = caller.began_at + caller.stream.deadline_s - self.now
        if caller.attempts >= (7 if caller.repeats else 3):
            self._end(caller, 'refused')
            return
        delay_s = min(retry_after_s, left_s / 3)
        if caller.repeats:
            delay_s = 0.03
        self._at(self.now + 0.005 + delay_s, self._attempt, caller)


def wave(amplitude, period_s):
    """Return a sine wave of the rate around 1."""
    return lambda age_s: (
        1 + amplitude * math.sin(2 * math.pi * age_s / period_s)
    )


def burst(factor, begin_s, end_s):
    """Return a rate that is higher for some time."""
    return lambda age_s: factor if begin_s <= age_s < end_s else 1.0
