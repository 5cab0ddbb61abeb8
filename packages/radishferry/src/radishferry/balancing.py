"""Balance requests that any server of their service can run."""

from __future__ import annotations

import random
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

#: Mean latency assumed before any request has ended, in seconds.
INITIAL_LATENCY_S = 0.01
#: Weight of one request in the exponential moving averages of the latency and
#: the failure rate of a server.
SMOOTHING_FACTOR = 1 / 5
#: Weight of one request in the moving average of the latency of all servers.
MEAN_SMOOTHING_FACTOR = 1 / 20
#: Half-life with which a latency that is not measured again decays towards a
#: value below the mean latency, in seconds.
LATENCY_HALF_LIFE_S = 5.0
#: Fraction of the mean latency towards which it decays. Below 1, so that a
#: server that was slow gets requests again.
DECAY_TARGET_FACTOR = 0.9
#: Increase of the cost at a failure rate of 1, as a multiple of the cost.
FAILURE_PENALTY = 10
#: Exponent of the ratio of two scores that gives the odds between their
#: servers; the higher it is, the more often the better one is chosen. At 50
#: requests/s, each of four equal servers receives 21 to 30% with 2, and 18 to
#: 31% if the better one is always chosen.
SCORE_EXPONENT = 2
#: Consecutive failures after which a server is ejected.
MAX_CONSECUTIVE_FAILURES = 3
#: Failure rate above which a server is ejected.
MAX_FAILURE_RATE = 0.5
#: Initial and maximum time before an ejected server is probed, in seconds.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0
#: Time after which a probe without an answer is followed by another one, in
#: seconds.
PROBE_TIMEOUT_S = 5.0
#: Factor by which the cost of a server of another data centre must be lower.
REMOTE_FACTOR = 2
#: Maximum increase of the cost by a load hint, as a factor. Hints may be
#: wrong, so they only decide between servers with similar costs.
HINT_WEIGHT = 0.5
#: Age from which a hint has no effect, in seconds.
HINT_MAX_AGE_S = 2.0


class Candidate(typing.Protocol):
    """Describe a server that can be chosen, such as ``manifest.Server``."""

    name: str
    data_centre: str


class _ServerStats:
    __slots__ = (
        'in_flight',
        'latency',
        'measured_at',
        'failure_rate',
        'failures',
        'ejected',
        'backoff',
        'probe_at',
        'probing',
        'hint',
        'hinted_at',
    )

    def __init__(self):
        self.in_flight = 0
        self.latency = None
        self.measured_at = 0.0
        self.failure_rate = 0.0
        self.failures = 0
        self.ejected = False
        self.backoff = INITIAL_BACKOFF_S
        self.probe_at = 0.0
        self.probing = False
        self.hint = 0.0
        self.hinted_at = 0.0


class ServerChooser:
    """Choose servers of one service by their latency, failures and load.

    :param data_centre: Data centre that gets the requests; its servers are
        preferred.
    :param slots: Number of requests that one server runs concurrently.
    :param rng: Source of random numbers.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        slots: int = 6,
        rng: random.Random | None = None,
    ):
        self._slots = max(1, slots)
        self._data_centre = data_centre
        self._random = (rng or random.Random()).random
        self._stats = {}
        self._mean_latency = INITIAL_LATENCY_S

    def choose(self, candidates: Sequence[Candidate], now: float) -> str:
        """Return the name of the server for the next request.

        Of two random servers of the own data centre, the one with the lower
        score is more likely to be chosen. A server chosen in the same way
        among the other data centres replaces it if its cost is much lower. An
        ejected server receives one request as a probe when its backoff has
        expired. When all servers are ejected, they are all used.

        :param candidates: Servers that may run the request.
        :param now: Time in seconds.
        :raises ValueError: There is no candidate.
        """
        if not candidates:
            raise ValueError('no server to choose from')
        local, remote = [], []
        for server in candidates:
            stats = self._stats_of(server.name)
            if stats.ejected:
                if now >= stats.probe_at:
                    stats.probe_at = now + PROBE_TIMEOUT_S
                    stats.probing = True
                    return server.name
                continue
            is_local = server.data_centre == self._data_centre
            (local if is_local else remote).append((server.name, stats))
        if not local and not remote:
            local = [(s.name, self._stats_of(s.name)) for s in candidates]
        local_choice = self._choose_of_two(local, now)
        remote_choice = self._choose_of_two(remote, now)
        if local_choice is None:
            return remote_choice[0]
        if remote_choice is None or self._prefers_local(
            local_choice[1], remote_choice[1], now
        ):
            return local_choice[0]
        return remote_choice[0]

    def started(self, name: str):
        """Record that a request is sent to a server."""
        self._stats_of(name).in_flight += 1

    def finished(self, name: str, latency: float, failed: bool, now: float):
        """Record that a request has ended.

        :param latency: Seconds from sending it to the end of the response.
        :param failed: Whether the server failed to serve it.
        :param now: Time in seconds.
        """
        stats = self._stats_of(name)
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.failure_rate += SMOOTHING_FACTOR * (failed - stats.failure_rate)
        if not failed:
            mean = self._mean_latency
            self._mean_latency = mean + MEAN_SMOOTHING_FACTOR * (
                latency - mean
            )
            self._record_latency(stats, latency, now)
            self._record_success(stats)
            return
        # A quick error says nothing about the latency of successful requests.
        if latency > self._latency(stats, now):
            self._record_latency(stats, latency, now)
        stats.failures += 1
        self._record_failure(stats, now)

    def cancelled(self, name: str):
        """Record that the caller cancelled a request.

        This does not affect the latency or the failure rate of the server.

        :param name: Name of the server.
        """
        stats = self._stats_of(name)
        stats.in_flight = max(0, stats.in_flight - 1)

    def record_load(self, name: str, busy: int, slots: int, now: float):
        """Record the load that a server reports.

        :param busy: Number of running and waiting requests.
        :param slots: Total number of slots.
        :param now: Time of the report, in seconds.
        """
        stats = self._stats_of(name)
        stats.hint = min(1.0, max(0.0, busy / slots)) if slots > 0 else 0.0
        stats.hinted_at = now

    def retain(self, names: Iterable[str]):
        """Discard the statistics of all servers but these."""
        kept = set(names)
        self._stats = {
            name: stats for name, stats in self._stats.items() if name in kept
        }

    def _stats_of(self, name):
        stats = self._stats.get(name)
        if stats is None:
            stats = self._stats[name] = _ServerStats()
        return stats

    def _record_latency(self, stats, latency, now):
        current = self._latency(stats, now)
        if stats.latency is None:
            current = latency
        stats.latency = current + SMOOTHING_FACTOR * (latency - current)
        stats.measured_at = now

    def _record_success(self, stats):
        stats.failures = 0
        # Only a probe ends the ejection: responses to requests sent before the
        # ejection may still arrive.
        if stats.probing:
            stats.probing = stats.ejected = False
            stats.failure_rate = 0.0
            stats.backoff = INITIAL_BACKOFF_S

    def _record_failure(self, stats, now):
        if stats.ejected:
            if stats.probing:
                stats.probing = False
                stats.backoff = min(2 * stats.backoff, MAX_BACKOFF_S)
                stats.probe_at = now + stats.backoff
            return
        too_many = stats.failures >= MAX_CONSECUTIVE_FAILURES
        if too_many or stats.failure_rate > MAX_FAILURE_RATE:
            stats.ejected = True
            stats.probe_at = now + stats.backoff

    def _choose_of_two(self, servers, now):
        """Return the name and statistics of a server, None without servers."""
        if not servers:
            return None
        count = len(servers)
        index = int(self._random() * count)
        first = servers[index]
        if count == 1:
            return first
        other = int(self._random() * (count - 1))
        second = servers[other + (other >= index)]
        first_score = self._score(first[1], now) ** SCORE_EXPONENT
        second_score = self._score(second[1], now) ** SCORE_EXPONENT
        draw = self._random() * (first_score + second_score)
        return second if draw < first_score else first

    def _score(self, stats, now):
        return self._cost(stats, now) * (stats.in_flight + 1)

    def _prefers_local(self, local, remote, now):
        # Requests in flight up to the number of slots do not favour another
        # data centre; requests that wait for a slot do.
        local_queue = max(1.0, (local.in_flight + 1) / self._slots)
        remote_queue = max(1.0, (remote.in_flight + 1) / self._slots)
        local_cost = self._cost(local, now) * local_queue
        return (
            local_cost
            <= REMOTE_FACTOR * self._cost(remote, now) * remote_queue
        )

    def _cost(self, stats, now):
        """Return the latency, increased for failures and reported load."""
        cost = self._latency(stats, now)
        cost *= 1 + FAILURE_PENALTY * stats.failure_rate
        age = max(0.0, now - stats.hinted_at)
        if stats.hint and age < HINT_MAX_AGE_S:
            freshness = 1 - age / HINT_MAX_AGE_S
            cost *= 1 + HINT_WEIGHT * stats.hint * freshness
        return cost

    def _latency(self, stats, now):
        mean = self._mean_latency
        if stats.latency is None:
            return mean
        base = mean * DECAY_TARGET_FACTOR
        age = max(0.0, now - stats.measured_at)
        remaining = 0.5 ** (age / LATENCY_HALF_LIFE_S)
        return base + (stats.latency - base) * remaining
