"""Choose the server of a request by load, speed and health."""

from __future__ import annotations

import dataclasses
import math
import random

from radishferry.direct import rate_limit
from radishferry.direct import server_loads

#: Weight of a new sample in the moving average of service times.
SPEED_WEIGHT = 0.08
#: Weight of a new sample in the moving average of failures.
FAILURE_WEIGHT = 0.15
#: Seconds after which the failures of a server count half, since it may
#: recover while nobody sends to it.
FAILURE_HALF_LIFE_S = 4.0
#: Seconds after which a reported load counts half; a report is a snapshot of
#: the queue, and requests take about 100 ms.
REPORT_HALF_LIFE_S = 0.25
#: Seconds between two reports after which the newer one has a weight of one
#: half in the baseline load; the faults that fill queues last some seconds.
BASELINE_HALF_LIFE_S = 1.0
#: Seconds without a report after which the baseline load counts half.
BASELINE_DECAY_HALF_LIFE_S = 2.0
#: Lowest freshness of a report that says something about the load at a
#: moment: an age of a second, in which a queue of a dozen requests is worked
#: off.
KNOWN_FRESHNESS = 0.7
#: Total freshness of the reports from a data centre below which they are not
#: used to estimate the load of its other servers.
MIN_FRESHNESS = 0.1
#: Backoff after a connection failure, in seconds; doubled with each further
#: failure in a row.
INITIAL_BACKOFF_S = 0.4
#: Longest backoff after connection failures, in seconds. Requests for the
#: keys of the server wait for its end, and a new attempt costs one connection.
MAX_BACKOFF_S = 1.6
#: Longest pause that a server may request, in seconds; after it one request
#: probes the server. A server that requests a pause of a day by mistake would
#: otherwise get no requests until it restarts.
MAX_REQUESTED_PAUSE_S = 60.0
#: Cost of sending to another data centre for each byte of the answer, in
#: seconds of waiting; 90 kB cost 0.54 s, as much as three usual answers.
REMOTE_COST_S_PER_BYTE = 6e-6
#: Lowest cost of another data centre for any request, in seconds.
REMOTE_COST_S = 0.03
#: Largest share of the expected time that the preference of a host adds to
#: the cost of a server. Each host prefers servers in an order of its own, so
#: that its requests go to few servers and reuse connections, while all hosts
#: together use all servers equally.
PREFERENCE_SPREAD = 0.07
#: Largest share of the expected time that is added at random for each request.
RANDOM_SPREAD = 0.03
#: Share of the expected time by which a server with all slots in use costs
#: more than an idle one, so that hosts with the same preference diverge.
BUSY_SPREAD = 0.1
#: Cost of another data centre as a share of the expected time: the largest
#: difference between equal servers, so that no request goes there by chance.
REMOTE_COST_SHARE = PREFERENCE_SPREAD + RANDOM_SPREAD + BUSY_SPREAD
#: Factor on the service time of a server that has just started.
WARMUP_FACTOR = 2.0
#: Factor on the cost of a server in the data centre of this host that has not
#: answered it yet, so that new servers are tried early.
UNTRIED_FACTOR = 0.2
#: Number of hosts that try a new server early. A few suffice to give it work;
#: hundreds would each open a connection and send to it at once.
EARLY_HOSTS = 12
#: Seconds after which the slowdown of a machine that a server reported counts
#: half; it changes several times a second.
SLOWDOWN_HALF_LIFE_S = 0.2
#: Largest slowdown of a machine that counts, so that one report never keeps a
#: server from getting requests.
MAX_SLOWDOWN = 4.0
#: Exponent with which the expected time grows as the slots of a server with a
#: shared load fill up. The load is an estimate, and a request may have to wait
#: although it is below the number of slots.
USE_EXPONENT = 2.5
#: Queued requests for each slot above which a server counts as full.
MAX_WAITING_PER_SLOT = 2.5


@dataclasses.dataclass
class ServerStats:
    """Track the load, speed and health of one server as seen by this host.

    :ivar preference: Fixed place of the server in the preference order of
        this host, from 0 (preferred most) to 1.
    :ivar in_flight: Number of requests of this host without an answer.
    :ivar service_s: Moving average of the time that a request takes on a
        free slot, in seconds; 0 before the first sample.
    :ivar shared: What all hosts together know of the server, a
        :class:`~radishferry.direct.server_loads.SharedLoad`, None if its load
        is not shared.
    :ivar outstanding: Attempts of this host without an answer.
    """

    slots: int
    preference: float = 0.5
    in_flight: int = 0
    service_s: float = 0.0
    samples: int = 0
    shared: server_loads.SharedLoad | None = None
    outstanding: set = dataclasses.field(default_factory=set)
    _slowdown: float = 1.0
    _failure_average: float = 0.0
    _failure_at: float = 0.0
    _reported_others: float = 0.0
    _baseline_others: float = 0.0
    _reported_at: float = -math.inf
    _connection_failures: int = 0
    _backoff_until: float = -math.inf
    _requested_pause_until: float = -math.inf
    _needs_probe: bool = False
    _rate_limit: rate_limit.RateLimit | None = None
    _cold_limit: rate_limit.RateLimit | None = None
    _cold_until: float = -math.inf

    @property
    def limit_per_s(self) -> float | None:
        """Return the requests a second that the server takes, if limited."""
        limit = self._rate_limit
        return limit.limit_per_s if limit is not None else None

    def note_limit(self, limit_per_s, hosts, now):
        """Record the limit that the server named in a response.

        :param limit_per_s: Requests a second that it takes from all hosts
            together, None if it named no limit.
        :param hosts: Number of hosts of the deployment.
        """
        if limit_per_s is None:
            self._rate_limit = None
        elif self._rate_limit is None:
            self._rate_limit = rate_limit.RateLimit(limit_per_s, hosts, now)
        else:
            self._rate_limit.update(limit_per_s, hosts, now)

    def permit_wait_s(self, now) -> float:
        """Return the seconds until the server's limits permit a request."""
        return max(
            (limit.wait_s(now) for limit in self._limits(now)), default=0.0
        )

    def limit_while_cold(self, limit_per_s, hosts, until, now):
        """Limit the requests of this host to a server that is cold.

        :param limit_per_s: Requests a second from all hosts together.
        :param until: When the warm-up ends, in seconds.
        """
        self._cold_limit = rate_limit.RateLimit(limit_per_s, hosts, now)
        self._cold_until = until

    def _limits(self, now):
        if self._rate_limit is not None:
            yield self._rate_limit
        if now < self._cold_until:
            yield self._cold_limit

    def note_report(self, running, waiting, slots, now, slowdown=1.0):
        """Record the load that the server reported with an answer.

        :param running: Number of requests in its slots.
        :param waiting: Number of requests in its queue.
        :param slots: Number of its slots, 0 if it did not report them.
        :param slowdown: Time that work takes on its machine at this moment,
            relative to its usual time.
        """
        self.slots = slots or self.slots
        self._slowdown = min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, slowdown))
        others = max(0.0, running + waiting - self.in_flight)
        gap = now - self._reported_at
        weight = min(0.5, 1 - 0.5 ** (gap / BASELINE_HALF_LIFE_S))
        self._baseline_others += weight * (others - self._baseline_others)
        self._reported_others = others
        self._reported_at = now

    def note_answer(self, elapsed_s, waiting, now):
        """Record an answer.

        :param elapsed_s: Seconds from the send to the answer.
        :param waiting: Number of requests in the queue of the server when it
            answered. The time is a sample of the server's speed only if there
            are none.
        """
        self._connection_failures = 0
        self._backoff_until = -math.inf
        # Answers during a requested pause are to requests from before it,
        # and do not count as its probe.
        if now >= self._requested_pause_until:
            self._needs_probe = False
        self._note_failure(0.0, now)
        if not waiting:
            self.samples += 1
            weight = max(SPEED_WEIGHT, 1 / self.samples)
            self.service_s += weight * (elapsed_s - self.service_s)

    def note_failure(self, now):
        """Record a request that failed or that the server rejected."""
        self._note_failure(1.0, now)

    def note_sent(self, now):
        """Record that a request is sent.

        The first one after a pause or backoff is a probe: no other request
        follows for :data:`INITIAL_BACKOFF_S`, or until it is answered.
        """
        self.in_flight += 1
        for limit in self._limits(now):
            limit.take(now)
        if self._connection_failures or self._needs_probe:
            self._backoff_until = now + INITIAL_BACKOFF_S

    def note_connection_failure(self, now):
        """Record a failed attempt to connect, and back off.

        A connection that breaks later is no reason to back off: servers reset
        single connections and keep working.
        """
        self._note_failure(1.0, now)
        self._connection_failures += 1
        pause = INITIAL_BACKOFF_S * 2 ** (self._connection_failures - 1)
        self._backoff_until = now + min(MAX_BACKOFF_S, pause)

    def forget_failures(self):
        """Forget failures whose cause was not the server, and end a backoff.

        A pause that the server has requested goes on.
        """
        self._connection_failures = 0
        self._backoff_until = -math.inf
        self._failure_average = 0.0

    def note_requested_pause(self, pause_s, now):
        """Record that the server has requested a pause of some seconds.

        The first request after it is a probe.
        """
        pause_s = min(MAX_REQUESTED_PAUSE_S, pause_s)
        self._requested_pause_until = max(
            self._requested_pause_until, now + pause_s
        )
        self._needs_probe = True

    def requested_pause_s(self, now) -> float:
        """Return the seconds that remain of the requested pause."""
        return max(0.0, self._requested_pause_until - now)

    def is_paused(self, now) -> bool:
        """Return whether no request may be sent to the server now.

        That is so during a backoff after connection failures and during a
        pause that the server has requested.
        """
        return now < max(self._backoff_until, self._requested_pause_until)

    def is_restricted(self, now) -> bool:
        """Return whether anything limits the requests to the server.

        That is a pause, a limit, a warm-up or a backoff. Load, speed and
        failures only rank servers, and the next answers show them again.
        """
        return (
            self._needs_probe
            or self.is_paused(now)
            or next(self._limits(now), None) is not None
        )

    def failure_share(self, now) -> float:
        """Return the share of recent requests that failed, 0 to 1."""
        age = max(0.0, now - self._failure_at)
        return self._failure_average * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def load(self, now) -> float:
        """Return the estimated number of requests at the server.

        The load that other hosts cause is the reported one, decaying towards
        its baseline: a queue that was long in all reports is also long
        between them. The requests of this host are added.
        """
        if self.has_shared_load(now):
            return self._shared_load(now)
        age = max(0.0, now - self._reported_at)
        baseline = self._baseline_others * 0.5 ** (
            age / BASELINE_DECAY_HALF_LIFE_S
        )
        deviation = self._reported_others - baseline
        others = baseline + deviation * 0.5 ** (age / REPORT_HALF_LIFE_S)
        return others + self.in_flight

    def has_shared_load(self, now) -> bool:
        """Return whether the granting host has told the load of late."""
        return self.shared is not None and self.shared.is_fresh(now)

    def _shared_load(self, now):
        """Return the load from the newest report to this or another host."""
        shared = self.shared
        if self._reported_at > shared.told_at:
            load, seen_at = self._reported_others, self._reported_at
        else:
            load = max(0.0, shared.load - self.in_flight)
            seen_at = shared.told_at
        return shared.expected_load(load, seen_at, now) + self.in_flight

    def slowdown(self, now) -> float:
        """Return the slowdown of the machine that is expected now."""
        age = max(0.0, now - self._reported_at)
        weight = 0.5 ** (age / SLOWDOWN_HALF_LIFE_S)
        return 1 + (self._slowdown - 1) * weight

    def freshness(self, now) -> float:
        """Return the weight of the last report by its age, 0 to 1."""
        age = max(0.0, now - self._reported_at)
        return 0.5 ** (age / BASELINE_DECAY_HALF_LIFE_S)

    def is_load_known(self, now) -> bool:
        """Return whether a report says something about the load now."""
        return (
            self.has_shared_load(now) or self.freshness(now) >= KNOWN_FRESHNESS
        )

    def expected_s(self, usual_s, now, prior_use=0.0) -> float:
        """Return the expected time of one more request in seconds.

        :param usual_s: Typical service time of the route in seconds, used
            while that of the server is not known.
        :param prior_use: Load for each slot that is assumed in place of the
            last report as that gets older.
        """
        if self.has_shared_load(now):
            return self._shared_expected_s(usual_s, now)
        service = self.service_s if self.samples >= 3 else usual_s
        load = self.load(now)
        load += (1 - self.freshness(now)) * prior_use * self.slots
        waiting = max(0.0, load + 1 - self.slots)
        return service * (1 + waiting / self.slots)

    def _shared_expected_s(self, work_s, now):
        load = self.load(now)
        use = min(1.0, load / self.slots) ** USE_EXPONENT
        waiting = use * max(1.0, load + 1 - self.slots)
        service_s = work_s * self.shared.relative_time * self.slowdown(now)
        return service_s * (1 + waiting / self.slots)

    def is_full(self, now) -> bool:
        """Return whether the queue reaches :data:`MAX_WAITING_PER_SLOT`."""
        return self.load(now) >= self.slots * (1 + MAX_WAITING_PER_SLOT)

    def _note_failure(self, value, now):
        share = self.failure_share(now)
        self._failure_average = share + FAILURE_WEIGHT * (value - share)
        self._failure_at = now


@dataclasses.dataclass(frozen=True)
class Choice:
    """Describe the server that was chosen for a request.

    :ivar expected_s: Expected time of the request in seconds.
    """

    server: object
    expected_s: float


def choose(
    servers,
    stats_of,
    *,
    usual_s,
    data_centre,
    answer_bytes,
    now,
    hosts=1,
    skip=(),
) -> Choice | None:
    """Return the server with the least expected cost.

    :param servers: Candidates, :class:`~radishferry.direct.registry.Server`.
    :param stats_of: Function that returns the :class:`ServerStats` of a
        server.
    :param usual_s: Typical service time of the route in seconds.
    :param data_centre: Data centre of this host.
    :param answer_bytes: Typical size of an answer in bytes.
    :param hosts: Number of hosts of the deployment.
    :param skip: Incarnations to which the request has been sent already.
    :returns: None if no candidate may get a request now.
    """
    best = None
    best_cost = math.inf
    candidates = [
        (server, stats_of(server))
        for server in servers
        if server.incarnation not in skip
    ]
    uses = _mean_uses(candidates, now)
    for server, stats in candidates:
        if stats.is_paused(now) or stats.permit_wait_s(now):
            continue
        expected = stats.expected_s(usual_s, now, uses[server.data_centre])
        if server.warmup_s > 0:
            expected *= WARMUP_FACTOR
        cost = cost_s(
            server,
            stats,
            expected,
            data_centre=data_centre,
            answer_bytes=answer_bytes,
            now=now,
            hosts=hosts,
        )
        if cost < best_cost:
            best, best_cost = Choice(server, expected), cost
    return best


def cost_s(
    server, stats, expected_s, *, data_centre, answer_bytes, now, hosts
) -> float:
    """Return the cost of a request at a server, in seconds of waiting.

    :param expected_s: Expected time of the request there in seconds; for the
        other parameters see :func:`choose`.
    """
    # A failed request costs a second attempt.
    failure_share = stats.failure_share(now)
    cost = expected_s / max(0.05, 1 - failure_share)
    is_remote = server.data_centre != data_centre
    is_untried = not (
        stats.samples
        or stats.in_flight
        or failure_share
        or stats.has_shared_load(now)
    )
    if is_untried and not is_remote and stats.preference * hosts < EARLY_HOSTS:
        cost *= UNTRIED_FACTOR
    cost *= 1 + _spread(stats, now)
    if is_remote:
        cost += max(REMOTE_COST_S, REMOTE_COST_SHARE * expected_s)
        cost += REMOTE_COST_S_PER_BYTE * answer_bytes
    if stats.is_full(now):
        # More than the usual costs, so that full servers are chosen last.
        cost += 10.0
    return cost


def _mean_uses(candidates, now):
    """Return the mean reported load for each slot by data centre.

    With hundreds of hosts, each host gets a report of a server only every
    few seconds. Servers without a recent report are assumed to be as busy as
    the others of their data centre.
    """
    totals = {}
    for server, stats in candidates:
        total = totals.setdefault(server.data_centre, [0.0, 0.0])
        weight = stats.freshness(now)
        total[0] += weight * stats.load(now) / max(1, stats.slots)
        total[1] += weight
    return {
        data_centre: use / weight if weight > MIN_FRESHNESS else 0.0
        for data_centre, (use, weight) in totals.items()
    }


def _spread(stats, now):
    use = min(1.0, stats.load(now) / max(1, stats.slots))
    return (
        PREFERENCE_SPREAD * stats.preference
        + RANDOM_SPREAD * random.random()
        + BUSY_SPREAD * use
    )
