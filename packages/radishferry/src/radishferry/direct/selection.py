"""Choose the server of a request by load, speed and health."""

from __future__ import annotations

import dataclasses
import math
import random

#: Weight of a new sample in the moving average of service times.
SPEED_WEIGHT = 0.08
#: Weight of a new sample in the moving average of failures.
FAILURE_WEIGHT = 0.15
#: Seconds after which the failures of a server count half; servers recover
#: while nobody sends to them.
FAILURE_HALF_LIFE_S = 4.0
#: Seconds after which a reported load counts half; a report is the state of
#: the queue at one moment, and jobs last some 100 ms.
REPORT_HALF_LIFE_S = 0.25
#: Seconds between two reports after which the newer one makes half of the
#: usual load; the troubles that fill queues last some seconds.
USUAL_HALF_LIFE_S = 1.0
#: Seconds without a report after which the usual load counts half.
USUAL_FADING_S = 2.0
#: Freshness of all reports of a data centre below which they tell nothing of
#: its other servers.
MIN_FRESHNESS = 0.1
#: First pause after a connection failure, in seconds; doubled with each one
#: in a row.
FIRST_PAUSE_S = 0.4
#: Longest pause after connection failures, in seconds. The keys of a server
#: wait for it, and a new attempt costs one connection.
LONGEST_PAUSE_S = 1.6
#: Longest pause that a server may ask for, in seconds. A server that asks for
#: a day by mistake would otherwise be lost until it starts again; after this
#: time one request tries it.
LONGEST_ASKED_PAUSE_S = 60.0
#: Cost of sending to another data centre for each byte of an answer, in
#: seconds of waiting; 90 kB weigh as much as three usual answers.
FAR_COST_S_PER_BYTE = 6e-6
#: Least cost of another data centre for any request, in seconds.
FAR_COST_S = 0.03
#: Part of the expected time by which equal servers differ for a host. Each
#: host has an order of its own, so that few servers get its requests and
#: connections are reused, and all servers get equal shares of all hosts.
PREFERENCE_SPREAD = 0.07
#: The same from one request to the next.
RANDOM_SPREAD = 0.03
#: Part of the expected time that a server with all slots in use costs more
#: than an idle one, so that hosts with the same preference part.
BUSY_SPREAD = 0.1
#: Cost of another data centre as a part of the expected time: as much as
#: equal servers can differ, so that no request crosses by chance.
FAR_COST_SHARE = PREFERENCE_SPREAD + RANDOM_SPREAD + BUSY_SPREAD
#: Factor on the service time of a server that has just started.
WARMUP_FACTOR = 2.0
#: Factor on the cost of a server in the own data centre that has not
#: answered this host yet, so that servers that join are tried early.
UNTRIED_FACTOR = 0.2
#: Hosts that try a server early. A few suffice to give it work, and hundreds
#: would open a connection each and ask it at once.
TRYING_HOSTS = 12
#: Waiting requests for each slot above which a server takes no more.
MAX_WAITING_PER_SLOT = 2.5


@dataclasses.dataclass
class ServerStats:
    """Follow one server as this host sees it.

    :ivar preference: Place of the server in the order of this host, 0 to 1.
    :ivar in_flight: Requests of this host without an answer.
    :ivar service_s: Moving average of the time that a request takes on an
        idle slot; 0 before the first sample.
    """

    slots: int
    preference: float = 0.5
    in_flight: int = 0
    service_s: float = 0.0
    samples: int = 0
    _failure: float = 0.0
    _failure_at: float = 0.0
    _others: float = 0.0
    _usual_others: float = 0.0
    _reported_at: float = -math.inf
    _connection_failures: int = 0
    _paused_until: float = -math.inf
    _asked_until: float = -math.inf
    _needs_trial: bool = False

    def note_report(self, running, waiting, slots, now):
        """Take the load that the server told with an answer."""
        self.slots = slots or self.slots
        others = max(0.0, running + waiting - self.in_flight)
        gap = now - self._reported_at
        weight = min(0.5, 1 - 0.5 ** (gap / USUAL_HALF_LIFE_S))
        self._usual_others += weight * (others - self._usual_others)
        self._others = others
        self._reported_at = now

    def note_answer(self, elapsed_s, waiting, now):
        """Count an answer.

        :param elapsed_s: Seconds from the send to the answer.
        :param waiting: Requests that waited at the server at its end; the
            time tells the speed of the server only when there are none.
        """
        self._connection_failures = 0
        self._paused_until = -math.inf
        # Requests that were sent before a pause end during it.
        if now >= self._asked_until:
            self._needs_trial = False
        self._note_failure(0.0, now)
        if not waiting:
            self.samples += 1
            weight = max(SPEED_WEIGHT, 1 / self.samples)
            self.service_s += weight * (elapsed_s - self.service_s)

    def note_failure(self, now):
        """Count a request that the server failed or turned away."""
        self._note_failure(1.0, now)

    def note_sent(self, now):
        """Count a request; the first one after a pause goes alone."""
        self.in_flight += 1
        if self._connection_failures or self._needs_trial:
            self._paused_until = now + FIRST_PAUSE_S

    def note_connection_failure(self, now):
        """Count an attempt to connect that failed, and pause.

        A connection that breaks is no reason for a pause: servers reset
        single connections and go on.
        """
        self._note_failure(1.0, now)
        self._connection_failures += 1
        pause = FIRST_PAUSE_S * 2 ** (self._connection_failures - 1)
        self._paused_until = now + min(LONGEST_PAUSE_S, pause)

    def note_asked_pause(self, pause_s, now):
        """Note that the server wants no request for some seconds.

        The first request after it goes alone.
        """
        pause_s = min(LONGEST_ASKED_PAUSE_S, pause_s)
        self._asked_until = max(self._asked_until, now + pause_s)
        self._needs_trial = True

    def asked_pause_s(self, now) -> float:
        """Return the seconds for which the server still wants no request."""
        return max(0.0, self._asked_until - now)

    def is_paused(self, now) -> bool:
        """Tell whether the server is to be left alone.

        Connections to it failed just now, or it has asked for a pause.
        """
        return now < max(self._paused_until, self._asked_until)

    def failure_share(self, now) -> float:
        """Return the part of recent requests that failed, 0 to 1."""
        age = max(0.0, now - self._failure_at)
        return self._failure * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def load(self, now) -> float:
        """Return the estimated number of requests at the server.

        The reported load of other hosts fades towards the usual one: a queue
        that was long in all reports is long between them too. The requests
        of this host are added.
        """
        age = max(0.0, now - self._reported_at)
        usual = self._usual_others * 0.5 ** (age / USUAL_FADING_S)
        news = self._others - usual
        others = usual + news * 0.5 ** (age / REPORT_HALF_LIFE_S)
        return others + self.in_flight

    def freshness(self, now) -> float:
        """Return how far the last report still tells the load, 0 to 1."""
        age = max(0.0, now - self._reported_at)
        return 0.5 ** (age / USUAL_FADING_S)

    def expected_s(self, usual_s, now, prior_use=0.0) -> float:
        """Return the expected time of one more request in seconds.

        :param usual_s: Service time of the service, used while the server's
            own is not known.
        :param prior_use: Load for each slot that is assumed as far as the
            last report of the server is old.
        """
        service = self.service_s if self.samples >= 3 else usual_s
        load = self.load(now)
        load += (1 - self.freshness(now)) * prior_use * self.slots
        waiting = max(0.0, load + 1 - self.slots)
        return service * (1 + waiting / self.slots)

    def is_full(self, now) -> bool:
        """Tell whether the queue of the server is long."""
        return self.load(now) >= self.slots * (1 + MAX_WAITING_PER_SLOT)

    def _note_failure(self, value, now):
        share = self.failure_share(now)
        self._failure = share + FAILURE_WEIGHT * (value - share)
        self._failure_at = now


@dataclasses.dataclass(frozen=True)
class Choice:
    """Name the chosen server.

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
    :param stats_of: Returns the :class:`ServerStats` of a server.
    :param usual_s: Service time of the service in seconds.
    :param data_centre: Data centre of this host.
    :param answer_bytes: Usual size of an answer.
    :param hosts: Hosts of the deployment.
    :param skip: Lives that have had the request already.
    """
    best = None
    best_cost = math.inf
    candidates = [
        (server, stats_of(server))
        for server in servers
        if server.life not in skip
    ]
    uses = _usual_uses(candidates, now)
    for server, stats in candidates:
        if stats.is_paused(now):
            continue
        expected = stats.expected_s(usual_s, now, uses[server.data_centre])
        if server.warmup_s > 0:
            expected *= WARMUP_FACTOR
        # A failed request costs a second attempt.
        failing = stats.failure_share(now)
        cost = expected / max(0.05, 1 - failing)
        is_far = server.data_centre != data_centre
        is_untried = not (stats.samples or stats.in_flight or failing)
        if (
            is_untried
            and not is_far
            and stats.preference * hosts < TRYING_HOSTS
        ):
            cost *= UNTRIED_FACTOR
        cost *= 1 + _spread(stats, now)
        if is_far:
            cost += max(FAR_COST_S, FAR_COST_SHARE * expected)
            cost += FAR_COST_S_PER_BYTE * answer_bytes
        if stats.is_full(now):
            cost += 10.0
        if cost < best_cost:
            best, best_cost = Choice(server, expected), cost
    return best


def _usual_uses(candidates, now):
    """Return the reported load for each slot by data centre.

    With hundreds of hosts each of them hears of one server every few
    seconds, and the others are as busy as those it has heard of.
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
