"""Decide whether to send a request, and when a refused caller may retry.

The rule answers three questions for a request at a server: whether it can
still be in time there, whether its wait would make more urgent requests late,
and whether the service has room at all. The answers rest on what this host
alone has seen: the queues that servers report with their answers, and the
requests that came here lately. ``docs/design/admission.md`` gives the reasons.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import random
import typing

from radishferry.direct import configuration
from radishferry.direct import selection
from radishferry.direct import work

#: Lowest target that is applied, as a factor of the usual time of the route:
#: with a lower one nothing would ever be in time.
MIN_TARGET_FACTOR = 1.5
#: Share of the target latency that queued requests for one key may take up at
#: its server, so that requests for other keys are still in time there.
HOT_KEY_SHARE = 0.8
#: Shortest and longest delay after which refused callers are told to retry,
#: in seconds, before it is randomised.
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_S = 0.9
#: Weight of a new sample in the moving averages of a route.
ROUTE_WEIGHT = 0.05
#: Service time that is assumed before the first answer, in seconds.
DEFAULT_SERVICE_S = 0.1
#: Size that is assumed for answers of downloads before the first one, in
#: bytes; the guides and certificates of the users have about 90 kB.
DOWNLOAD_BYTES = 90000.0

#: Decrease of the target that :class:`TargetAdmission` applies for each rank
#: from 2 on; ranks 0, the highest, and 1 get the full target.
RANK_STEP = 0.12
#: Highest number of such steps.
MAX_RANK = 4

#: Answers of a server from which its own service time is used.
MIN_SERVICE_SAMPLES = 3
#: Seconds over which the waits that the servers of a data centre report are
#: averaged. A host of hundreds hears 5 to 10 reports a second, and waves of
#: demand rise within seconds.
WAIT_AVERAGE_S = 0.25
#: Highest weight of one report in that average.
MAX_WAIT_WEIGHT = 0.3
#: Seconds without a report after which the average counts half, so that a host
#: that refuses everything soon tries again.
WAIT_HALF_LIFE_S = 1.0
#: Seconds after which the report of one server counts half, and the average of
#: its data centre half in its place. The queue of a server with few slots
#: changes within some service times.
VIEW_HALF_LIFE_S = 0.25
#: Share of the wait in which the most urgent requests would still be in time
#: that requests of the next rank may cause, the square of it for the second
#: next and so on. With one half, the less urgent route of the pattern tests is
#: served less often than the more urgent one and as often in time.
QUEUE_SHARE = 0.5
#: Share of the wait in which the most urgent requests would be in time, up to
#: which there is room for requests that are late already.
LATE_SHARE = 0.1
#: Seconds without a request after which a route no longer competes at a host.
#: A host of hundreds gets requests of a route several times a second.
COMPETES_FOR_S = 3.0

#: Shares of the time that a caller can still wait and be in time, between
#: which a refused caller is told to return. Less is left for its own wait
#: later on.
RETRY_SHARES = 0.25, 0.75
#: Addition to these shares for each rank that goes first.
RETRY_RANK_SHARE = 0.1
#: Shares of its longest wait after which a caller that cannot be in time any
#: more is told to return.
LATE_RETRY_SHARES = 0.6, 1.0
#: Share of the remaining time up to which callers respect a delay.
MAX_RETRY_SHARE = 1 / 3
#: Shortest delay that a refused caller is told, in seconds; a queue of some
#: requests hardly changes in less.
SHORTEST_RETRY_S = 0.04

#: Seconds over which the highest remaining time of the requests of a route is
#: remembered: that of a first attempt.
DEADLINE_WINDOW_S = 30.0
#: Difference to it, as a share, up to which an attempt counts as a first one.
FIRST_ATTEMPT_SHARE = 0.01
#: Lowest share of first attempts with which the time already spent is derived
#: from the remaining time. Where callers choose deadlines of their own, few
#: have the highest one. Callers retry twice, some clients more often.
MIN_FIRST_SHARE = 0.2


class RouteStats:
    """Track the typical size, service time and deadline of a route's part."""

    def __init__(self, kind):
        """Start with the defaults for a kind of request."""
        is_download = kind is configuration.Kind.DOWNLOAD
        self.answer_bytes = DOWNLOAD_BYTES if is_download else 0.0
        self.service_s = DEFAULT_SERVICE_S
        self._full_s = self._next_full_s = 0.0
        self._window_ends_at = -math.inf
        self._arrivals = self._first_attempts = 0.0
        #: Work of the requests, for services whose loads are shared.
        self.work = work.WorkEstimate()

    def note(self, size, elapsed_s, waiting):
        """Record one answer.

        :param size: Size of the answer in bytes.
        :param elapsed_s: Seconds from the send to the answer.
        :param waiting: Number of requests in the queue of the server. The
            time is a sample of the service time only if there are none.
        """
        self.answer_bytes += ROUTE_WEIGHT * (size - self.answer_bytes)
        if not waiting:
            self.service_s += ROUTE_WEIGHT * (elapsed_s - self.service_s)

    def note_arrival(self, remaining_s, now):
        """Record for how long the caller of a request will wait.

        :param remaining_s: Seconds from its arrival.
        """
        if now >= self._window_ends_at:
            self._full_s, self._next_full_s = self._next_full_s, 0.0
            self._window_ends_at = now + DEADLINE_WINDOW_S
            self._arrivals /= 2
            self._first_attempts /= 2
        if remaining_s > self._full_s * (1 + FIRST_ATTEMPT_SHARE):
            self._arrivals = self._first_attempts = 0.0
        self._next_full_s = max(self._next_full_s, remaining_s)
        self._full_s = max(self._full_s, remaining_s)
        self._arrivals += 1
        self._first_attempts += self._is_first(remaining_s)

    def spent_s(self, remaining_s) -> float:
        """Return the seconds since the first attempt of a caller.

        :param remaining_s: Seconds for which it still waits.
        :returns: 0 if that is not known.
        """
        if self._first_attempts < MIN_FIRST_SHARE * self._arrivals:
            return 0.0
        if self._is_first(remaining_s):
            return 0.0
        return max(0.0, self._full_s - remaining_s)

    def _is_first(self, remaining_s):
        return remaining_s >= self._full_s * (1 - FIRST_ATTEMPT_SHARE)


class Cause(enum.Enum):
    """Name why a request is not admitted."""

    #: It is not expected to be in time.
    QUEUE = 'queue'
    #: Its wait would make more urgent requests late.
    RANK = 'rank'
    #: It is late already, and requests that can be in time need the room.
    LATE = 'late'


@dataclasses.dataclass(frozen=True)
class Admitted:
    """State that a request is sent."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """State that a request is refused.

    :ivar retry_after_s: Seconds after which its caller may return.
    """

    cause: Cause
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Asked:
    """Describe a request at a server.

    :ivar route: A :class:`~radishferry.direct.configuration.Route`.
    :ivar route_stats: The :class:`RouteStats` of the route and the service.
    :ivar stats: The :class:`~radishferry.direct.selection.ServerStats` of the
        server.
    :ivar data_centre: That of the server.
    :ivar expected_s: Expected time of the request there in seconds.
    :ivar left_s: Seconds until the deadline of the request.
    :ivar remaining_s: Seconds for which its caller still waits.
    :ivar is_repeated: Whether it has been sent to a server already.
    """

    service: str
    route: object
    route_stats: RouteStats
    stats: selection.ServerStats
    data_centre: str
    expected_s: float
    left_s: float
    remaining_s: float
    is_repeated: bool = False


class Rule(typing.Protocol):
    """Decide which requests are sent to the chosen server."""

    def note_arrival(self, service, route, route_stats, now) -> None:
        """Record a request of a route to a service."""

    def note_report(self, server, stats, waiting, usual_s, now) -> None:
        """Record the queue of a server that answered."""

    def keep_routes(self, names) -> None:
        """Forget the arrivals of other routes than the given ones."""

    def decide(self, asked: Asked, now) -> Admitted | Refused:
        """Return whether a request is sent to a server."""

    def key_limit(self, asked: Asked, hosts, now) -> int:
        """Return how many requests for one key a host may have at a server.

        :param hosts: Number of hosts that send to the server.
        """

    def retry_after_s(self, asked: Asked, now) -> float:
        """Return after how many seconds a refused caller may return."""


class TargetAdmission:
    """Admit what is expected to be answered within its route's target.

    Each request is judged alone, by the target of its own route, whatever else
    the service gets.
    """

    def note_arrival(self, service, route, route_stats, now):
        """Ignore the request."""

    def note_report(self, server, stats, waiting, usual_s, now):
        """Ignore the report."""

    def keep_routes(self, names):
        """Ignore the change."""

    def decide(self, asked: Asked, now) -> Admitted | Refused:
        """Return whether a request is sent to a server."""
        # Without a queue a refusal helps no other request, and only an answer
        # can show that a server that was slow has recovered.
        allowed_s = asked.left_s
        if asked.stats.load(now) >= asked.stats.slots:
            rank = min(MAX_RANK, max(0, asked.route.priority - 1))
            target_s = asked.route.target_latency_s * (1 - RANK_STEP * rank)
            least_s = MIN_TARGET_FACTOR * asked.route_stats.service_s
            allowed_s = min(allowed_s, max(target_s, least_s))
        if asked.expected_s <= allowed_s:
            return Admitted()
        return Refused(Cause.QUEUE, self.retry_after_s(asked, now))

    def key_limit(self, asked: Asked, hosts, now) -> int:
        """See :class:`Rule`."""
        return _key_limit(asked, asked.route.target_latency_s, hosts)

    def retry_after_s(self, asked: Asked, now) -> float:
        """See :class:`Rule`."""
        return retry_after_s(asked.expected_s)


class _MeanWait:
    """Average the waits that the servers of one data centre report."""

    def __init__(self):
        self._value_s = 0.0
        self._noted_at = -math.inf

    def note(self, wait_s, now):
        gap_s = now - self._noted_at
        weight = min(MAX_WAIT_WEIGHT, 1 - math.exp(-gap_s / WAIT_AVERAGE_S))
        # The average does not decay between the reports that it is made of.
        self._value_s += weight * (wait_s - self._value_s)
        self._noted_at = now

    def value_s(self, now):
        idle_s = max(0.0, now - self._noted_at - WAIT_AVERAGE_S)
        return self._value_s * 0.5 ** (idle_s / WAIT_HALF_LIFE_S)


class Admission:
    """Decide which requests a host admits to the servers of each service."""

    def __init__(self):
        """Create the rule without reports and requests."""
        self._waits = collections.defaultdict(_MeanWait)
        self._arrivals = collections.defaultdict(dict)

    def note_arrival(self, service, route, route_stats, now):
        """Record a request of a route to a service."""
        self._arrivals[service][route.name] = route, route_stats, now

    def note_report(self, server, stats, waiting, usual_s, now):
        """Record the queue of a server that answered or rejected a request.

        :param server: A :class:`~radishferry.direct.registry.Server`.
        :param stats: Its :class:`~radishferry.direct.selection.ServerStats`.
        :param waiting: Number of requests in its queue.
        :param usual_s: Typical service time of the route in seconds.
        """
        wait_s = _service_s(stats, usual_s) * waiting / max(1, stats.slots)
        self._waits[server.service, server.data_centre].note(wait_s, now)

    def keep_routes(self, names):
        """Forget the arrivals of other routes than the given ones.

        :param names: Tuples of a route's name and a service.
        """
        for service, arrivals in self._arrivals.items():
            for name in [n for n in arrivals if (n, service) not in names]:
                del arrivals[name]

    def decide(self, asked: Asked, now) -> Admitted | Refused:
        """Return whether a request is sent to a server."""
        stats = asked.stats
        target_s = _target_s(asked.route, _usual_s(asked.route_stats))
        idle_s = min(_idle_s(asked, now), asked.expected_s)
        spent_s = asked.route_stats.spent_s(asked.remaining_s)
        competition = self._competition(asked, now)
        figures = _Figures(
            wait_s=asked.expected_s - idle_s + self._unseen_wait_s(asked, now),
            spent_s=spent_s,
            slack_s=target_s - spent_s - idle_s,
            age=min(1.0, spent_s / target_s),
            has_free_slot=stats.load(now) < stats.slots,
        )
        if idle_s + figures.wait_s > asked.left_s:
            cause = Cause.QUEUE
        elif asked.is_repeated:
            # What a server may have run is brought to an end: its caller
            # could not be told that it has not run.
            is_hopeless = figures.wait_s > target_s - idle_s
            cause = Cause.QUEUE if is_hopeless else None
        elif figures.slack_s < 0:
            cause = _cause_if_late(figures, competition)
        else:
            cause = _cause_if_early(figures, competition)
        if cause is None:
            return Admitted()
        return Refused(
            cause,
            retry_delay_s(
                figures.slack_s, asked.remaining_s, competition.ranks_before
            ),
        )

    def key_limit(self, asked: Asked, hosts, now) -> int:
        """Return how many requests for one key a host may have at a server.

        A less urgent route may have no more of them than the more urgent ones.

        :param hosts: Number of hosts that send to the server.
        """
        target_s = min(
            other.target_latency_s
            for other, _ in [(asked.route, None), *self._rivals(asked, now)]
        )
        return _key_limit(asked, target_s, hosts)

    def retry_after_s(self, asked: Asked, now) -> float:
        """Return after how many seconds a refused caller may return."""
        usual_s = _usual_s(asked.route_stats)
        spent_s = asked.route_stats.spent_s(asked.remaining_s)
        slack_s = _target_s(asked.route, usual_s) - spent_s - usual_s
        ranks_before = self._competition(asked, now).ranks_before
        return retry_delay_s(slack_s, asked.remaining_s, ranks_before)

    def _unseen_wait_s(self, asked, now):
        """Return the wait to add for the age of a server's last report.

        Without a recent report its queue is expected to be as long as that of
        the others of its data centre, unless the granting host tells its load.
        """
        if asked.stats.has_shared_load(now):
            return 0.0
        mean_wait_s = self._waits[asked.service, asked.data_centre].value_s(
            now
        )
        view = asked.stats.freshness(now) ** (
            selection.BASELINE_DECAY_HALF_LIFE_S / VIEW_HALF_LIFE_S
        )
        return (1 - view) * mean_wait_s

    def _competition(self, asked, now):
        """Return what the recent requests of other routes need."""
        route = asked.route
        rivals = self._rivals(asked, now)
        return _Competition(
            min(
                _slack_s(other, stats)
                for other, stats in [(route, asked.route_stats), *rivals]
            ),
            len({other.priority for other, _ in rivals} - {route.priority}),
        )

    def _rivals(self, asked, now):
        """Return the routes with recent requests that come first, or equal.

        :returns: List of routes and their :class:`RouteStats`.
        """
        return [
            (other, stats)
            for other, stats, seen_at in self._arrivals[asked.service].values()
            if other.priority <= asked.route.priority
            and now - seen_at < COMPETES_FOR_S
        ]


@dataclasses.dataclass(frozen=True)
class _Competition:
    """Describe what other routes of a service need.

    :ivar slack_s: Seconds for which a new request of any route of the same
        rank or a more urgent one can wait and be in time.
    :ivar ranks_before: Number of more urgent ranks with recent requests.
    """

    slack_s: float
    ranks_before: int


@dataclasses.dataclass(frozen=True)
class _Figures:
    """Hold what is expected of a request at a server.

    :ivar wait_s: Expected wait at the server in seconds.
    :ivar spent_s: Seconds since the first attempt of the caller.
    :ivar slack_s: Seconds that the request can wait and be in time.
    :ivar age: Share of the target latency that is spent, 0 to 1.
    """

    wait_s: float
    spent_s: float
    slack_s: float
    age: float
    has_free_slot: bool


def _cause_if_late(figures, competition):
    """Return why a request that cannot be in time is refused, or None."""
    if not figures.has_free_slot:
        return Cause.LATE
    # Where nobody could be in time, only an answer can show that a server
    # that was slow has recovered.
    if not figures.spent_s:
        return None
    room_s = LATE_SHARE * competition.slack_s
    return None if figures.wait_s <= room_s else Cause.LATE


def _cause_if_early(figures, competition):
    """Return why a request that can be in time is refused, or None."""
    if figures.wait_s > figures.slack_s:
        return Cause.QUEUE
    # Callers that have waited longer go before newer ones.
    allowed_s = competition.slack_s * QUEUE_SHARE ** (
        competition.ranks_before * (1 - figures.age)
    )
    if figures.wait_s > allowed_s:
        return Cause.RANK if competition.ranks_before else Cause.QUEUE
    return None


def _key_limit(asked, target_s, hosts):
    service_s = asked.stats.service_s or asked.route_stats.service_s
    in_time = HOT_KEY_SHARE * target_s / service_s
    return max(1, math.ceil(asked.stats.slots * in_time / hosts))


def _service_s(stats, usual_s):
    """Return the time of a request in a slot of a server, in seconds."""
    is_known = stats.samples >= MIN_SERVICE_SAMPLES
    return stats.service_s if is_known else usual_s


def _usual_s(route_stats):
    """Return the time of a request of a route without a queue, in seconds."""
    if route_stats.work.is_known:
        return route_stats.work.mean_s
    return route_stats.service_s


def _idle_s(asked, now):
    """Return the time of a request at a server without its queue."""
    stats, usual_s = asked.stats, _usual_s(asked.route_stats)
    if stats.has_shared_load(now):
        return usual_s * stats.shared.relative_time * stats.slowdown(now)
    return _service_s(stats, asked.route_stats.service_s)


def _target_s(route, usual_s):
    return max(route.target_latency_s, MIN_TARGET_FACTOR * usual_s)


def _slack_s(route, route_stats):
    """Return how long a new request can wait and be in time, in seconds."""
    usual_s = _usual_s(route_stats)
    return _target_s(route, usual_s) - usual_s


def retry_delay_s(slack_s, remaining_s, ranks_before) -> float:
    """Return the delay of a refused caller, randomised to spread the callers.

    A caller that can still be in time is to return early enough for that,
    older ones and more urgent ones sooner than others. Others are told to
    return late, when the peak may have passed.

    :param slack_s: Seconds that it can wait and be in time, negative if it
        cannot be in time any more.
    :param remaining_s: Seconds for which it still waits.
    :param ranks_before: Number of ranks that go first.
    """
    low, high = RETRY_SHARES
    addition = min(1 - high, RETRY_RANK_SHARE * ranks_before)
    longest_s = MAX_RETRY_SHARE * remaining_s
    if slack_s * low >= SHORTEST_RETRY_S:
        delay_s = slack_s * (addition + random.uniform(low, high))
    else:
        delay_s = longest_s * random.uniform(*LATE_RETRY_SHARES)
    return max(SHORTEST_RETRY_S, min(delay_s, longest_s))


def retry_after_pause_s(pause_s) -> float:
    """Return a retry delay that ends at a random time after a server's pause.

    :param pause_s: Seconds that remain of the pause.
    :returns: Delay in seconds.
    """
    return pause_s + random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) / 2


def retry_after_s(wait_s) -> float:
    """Return a retry delay in seconds, randomised to spread the callers.

    :param wait_s: Delay before limits and randomisation, in seconds.
    """
    wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return wait_s * random.uniform(0.7, 1.3)
