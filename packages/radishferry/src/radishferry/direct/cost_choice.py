"""Choose servers with few slots by the cost of a request and their loads.

The work of a choice does not depend on the number of servers: a few
candidates are drawn, and the one with the least cost is taken. All hosts get
the same loads at about the same time. If each took the least loaded server,
their requests would meet there until the next heartbeat.
"""

from __future__ import annotations

import dataclasses
import random

from radishferry.direct import selection
from radishferry.direct import server_loads

#: Number of candidates. More than two make the requests of all hosts meet at
#: the servers that were idle when they last reported.
CANDIDATES = 2
#: Draws after which the search for candidates ends; then all servers are
#: compared if there is none.
MAX_DRAWS = 14
#: Share of the servers at which the preference of a host halves. Each host
#: draws the first ones of its own order more often, so that it reuses
#: connections; all hosts together draw all equally.
PREFERRED_SHARE = 0.003
#: Exponent with which draws decrease with the time that a server takes. At 1
#: all servers would get equal use; fast ones get more, since a request that
#: runs on a slow one is late even if it never waits.
SPEED_EXPONENT = 1.25
#: Share of the draws of a server without a free slot that count.
BUSY_SHARE = 0.5
#: Seconds between two looks at the speed of the fastest server.
FASTEST_S = 2.0


@dataclasses.dataclass
class _Order:
    """Hold the servers of one service in the order of this host.

    :ivar near: Servers of the data centre of this host.
    :ivar far: Servers of the others.
    :ivar fastest: Relative time of the fastest of them.
    """

    servers: tuple
    near: list
    far: list
    fastest: float = 1.0
    looked_at: float = 0.0


class CostChoice:
    """Choose servers for the services whose loads are shared."""

    def __init__(self, loads, stats_of, data_centre):
        """Start without servers.

        :param loads: The
            :class:`~radishferry.direct.server_loads.SharedLoads` of this
            host.
        :param stats_of: Function that returns the
            :class:`~radishferry.direct.selection.ServerStats` of a server.
        :param data_centre: Data centre of this host.
        """
        self._loads = loads
        self._stats_of = stats_of
        self._data_centre = data_centre
        self._orders = {}

    def acts_on(self, servers, now) -> bool:
        """Return whether the servers are chosen by shared loads.

        :param servers: Candidates of one service.
        """
        return (
            bool(servers)
            and servers[0].slots <= server_loads.MAX_SLOTS
            and not self._loads.is_stale(now)
        )

    def choose(
        self,
        service,
        servers,
        *,
        work,
        answer_bytes,
        now,
        hosts=1,
        skip=(),
    ) -> selection.Choice | None:
        """Return the best one of a few servers.

        :param servers: Tuple of the candidates.
        :param work: The :class:`~radishferry.direct.work.WorkEstimate` of the
            request.
        :returns: None if the draws found no server that may get a request.

        For the other parameters see :func:`selection.choose`.
        """
        order = self._order(service, servers, now)
        best = None
        best_cost = float('inf')
        for group in (order.near, order.far):
            for server, stats in self._draw(group, order, skip, now):
                expected_s = stats.expected_s(work.mean_s, now)
                expected_s += _long_rest_s(stats, work, now)
                if server.warmup_s > 0:
                    expected_s *= selection.WARMUP_FACTOR
                cost = selection.cost_s(
                    server,
                    stats,
                    expected_s,
                    data_centre=self._data_centre,
                    answer_bytes=answer_bytes,
                    now=now,
                    hosts=hosts,
                )
                if cost < best_cost:
                    best = selection.Choice(server, expected_s)
                    best_cost = cost
            if best is not None and self._has_free_slot(best.server, now):
                break
        return best

    def _has_free_slot(self, server, now):
        stats = self._stats_of(server)
        return stats.load(now) < stats.slots

    def _draw(self, group, order, skip, now):
        """Yield a few servers of a group and their statistics."""
        found = set()
        for _ in range(MAX_DRAWS if group else 0):
            draw = (1 + 1 / PREFERRED_SHARE) ** random.random() - 1
            server = group[int(draw * PREFERRED_SHARE * len(group))]
            if server.incarnation in found or server.incarnation in skip:
                continue
            stats = self._stats_of(server)
            relative_time = stats.shared.relative_time if stats.shared else 1.0
            share = min(1.0, order.fastest / relative_time) ** SPEED_EXPONENT
            if stats.load(now) >= stats.slots:
                share *= BUSY_SHARE
            if random.random() > share:
                continue
            if stats.is_paused(now) or stats.permit_wait_s(now):
                continue
            found.add(server.incarnation)
            yield server, stats
            if len(found) >= CANDIDATES:
                return

    def _order(self, service, servers, now):
        order = self._orders.get(service)
        if order is None or (
            order.servers is not servers and order.servers != servers
        ):
            ranked = sorted(
                servers, key=lambda server: self._stats_of(server).preference
            )
            near = [s for s in ranked if s.data_centre == self._data_centre]
            far = [s for s in ranked if s.data_centre != self._data_centre]
            order = self._orders[service] = _Order(servers, near, far)
        order.servers = servers
        if now - order.looked_at > FASTEST_S:
            order.looked_at = now
            order.fastest = min(
                (
                    stats.shared.relative_time
                    for server in servers
                    if (stats := self._stats_of(server)).shared is not None
                ),
                default=1.0,
            )
        return order


def _long_rest_s(stats, work, now):
    """Return the wait behind requests of this host that have run for long.

    Their expected rest is longer than that of requests which have just begun,
    for which the load stands.

    :returns: Seconds.
    """
    if not stats.outstanding or stats.shared is None:
        return 0.0
    relative_time = stats.shared.relative_time
    rest_s = sum(
        max(0.0, work.rest_s((now - sent_at) / relative_time) - work.mean_s)
        for sent_at in (attempt.sent_at for attempt in stats.outstanding)
    )
    return rest_s * relative_time / stats.slots
