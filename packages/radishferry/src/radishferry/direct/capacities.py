"""Estimate how many requests a second each server can run."""

from __future__ import annotations

import collections
import dataclasses
import math

from radishferry.direct import pause_shares
from radishferry.direct import placement
from radishferry.direct import rate_limit
from radishferry.direct import selection
from radishferry.direct import unlisted

#: Number of latest answers over which the service time of a server is
#: averaged.
MAX_AVERAGED_ANSWERS = 60.0
#: Service time that is assumed before servers have answered, in seconds, and
#: the number of answers that it counts for. Short requests are answered first,
#: so the first answers alone would make servers look too fast.
DEFAULT_SERVICE_S = 0.1
DEFAULT_SERVICE_ANSWERS = 100
#: Limits of the service time of a server relative to the mean of all servers.
MIN_RELATIVE_TIME, MAX_RELATIVE_TIME = 0.4, 4.0
#: Lowest share of a server's capacity that is counted while it has paused all
#: hosts; its keys move to others because of their load. Above 0, since loads
#: are divided by capacities.
MIN_CAPACITY_SHARE = 0.05
#: Share of the limit that a server names which is counted as its capacity, so
#: that the hosts have permits for most requests for the keys that it keeps.
LIMIT_SHARE = 0.8


@dataclasses.dataclass
class _MeanServiceTime:
    """Average the service time of one server over its latest answers."""

    total_s: float = 0.0
    answers: float = 0.0

    def note(self, total_s, answers):
        self.total_s += total_s
        self.answers += answers
        if self.answers > MAX_AVERAGED_ANSWERS:
            factor = MAX_AVERAGED_ANSWERS / self.answers
            self.total_s *= factor
            self.answers *= factor

    @property
    def mean_s(self):
        return self.total_s / self.answers if self.answers else 0.0


@dataclasses.dataclass(frozen=True)
class _Limit:
    limit_per_s: float | None
    named_at: float


class Capacities:
    """Estimate the capacities of servers from the reports of hosts."""

    def __init__(self):
        self._service_times = collections.defaultdict(_MeanServiceTime)
        self._pauses = pause_shares.PauseShares()
        self._limits = {}

    def note_service_time(self, server_id, total_s, answers):
        """Record answers of a server.

        :param total_s: Total service time of these answers in seconds.
        :param int answers: Number of answers.
        """
        self._service_times[server_id].note(total_s, answers)

    def note_pause(self, incarnation, host, pause_s, now):
        """Record that a server wants no requests from a host for a while.

        :param pause_s: Length of the pause from now, in seconds.
        """
        pause_s = min(pause_s, selection.MAX_REQUESTED_PAUSE_S)
        self._pauses.note(incarnation, host, now + pause_s)

    def note_limit(self, incarnation, limit_per_s, named_at):
        """Record the limit that a server named in a response to a host.

        :param limit_per_s: Requests a second from all hosts together, None if
            the limit has ended.
        :param named_at: When the host received the response, in seconds; an
            older response than the last one is ignored.
        """
        known = self._limits.get(incarnation)
        if known is not None and known.named_at > named_at:
            return
        # The dict keeps the latest ones last.
        self._limits.pop(incarnation, None)
        self._limits[incarnation] = _Limit(limit_per_s, named_at)
        if len(self._limits) > unlisted.MAX_UNLISTED:
            del self._limits[next(iter(self._limits))]

    def estimate(self, servers, hosts, now):
        """Return a :class:`~radishferry.direct.placement.Capacity` for each.

        :param servers: :class:`~radishferry.direct.registry.Server` of one
            service.
        :param int hosts: Number of hosts of the deployment.
        """
        known = [
            self._service_times[server.server_id]
            for server in servers
            if server.server_id in self._service_times
        ]
        usual_s = (
            DEFAULT_SERVICE_S * DEFAULT_SERVICE_ANSWERS
            + sum(service_time.total_s for service_time in known)
        ) / (
            DEFAULT_SERVICE_ANSWERS
            + sum(service_time.answers for service_time in known)
        )
        return [
            placement.Capacity(
                server.incarnation,
                min(
                    self._limit_capacity(server),
                    server.slots
                    * self._available_share(server, hosts, now)
                    / (usual_s * self._relative_time(server, usual_s)),
                ),
            )
            for server in servers
        ]

    def _limit_capacity(self, server):
        """Return the requests a second that a server's limit leaves."""
        known = self._limits.get(server.incarnation)
        if known is None or known.limit_per_s is None:
            return math.inf
        return LIMIT_SHARE * max(rate_limit.MIN_LIMIT_PER_S, known.limit_per_s)

    def _available_share(self, server, hosts, now):
        """Return the share of a server's capacity that it offers now."""
        paused = self._pauses.share(server.incarnation, hosts, now)
        return max(MIN_CAPACITY_SHARE, 1 - paused)

    def _relative_time(self, server, usual_s):
        service_time = self._service_times.get(server.server_id)
        if service_time is None or not service_time.answers:
            return 1.0
        # A few answers are not representative, so the average of all servers
        # counts as ten more.
        weight = service_time.answers / (service_time.answers + 10)
        relative = 1 + weight * (service_time.mean_s / usual_s - 1)
        return min(MAX_RELATIVE_TIME, max(MIN_RELATIVE_TIME, relative))
