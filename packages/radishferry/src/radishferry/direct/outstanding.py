"""Bound what all hosts have outstanding at servers that hang when full.

No configuration says that the servers of a service never answer a request
that they cannot queue, or how long their queue is. Both are learned from what
this host sees: requests that hang, and the loads that the servers report. The
bound applies only to services at whose servers requests have hung.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import dataclasses
import logging
import math

from radishferry.direct import availability

LOG = logging.getLogger(__name__)

#: Proven hangs after which the servers of a service count as hanging.
MIN_PROVEN = 2
#: Requests without an answer at the end of the time that their server was
#: given that count likewise. One such request may be a lost answer, several
#: at one server a fault of that server.
MIN_UNANSWERED = 3
#: Number of servers at which they must have been.
MIN_UNANSWERED_SERVERS = 2
#: Seconds for which such requests are counted together.
EVIDENCE_WINDOW_S = 30.0
#: Queue positions for each slot that are assumed while no longer queue has
#: been reported.
DEFAULT_QUEUE_PER_SLOT = 2.5
#: Queue positions for each slot that remain however often requests hang: with
#: fewer, a server would be idle between the requests of many hosts.
MIN_QUEUE_PER_SLOT = 1.0
#: Share of the longest queue seen that remains likewise.
MIN_QUEUE_SHARE = 0.5
#: Share of the queue that remains after a request has hung.
SHRINK = 0.8
#: Seconds between two reductions; one full server makes several requests hang
#: at once.
SHRINK_INTERVAL_S = 2.0
#: Positions by which the queue grows each second.
GROWTH_PER_S = 0.1
#: Most by which the assumed queue exceeds the longest one seen.
MAX_OVER_SEEN = 1.25
#: Times its even part of the bound that a host may use at a server of which
#: it has no fresh report. Callers are spread unevenly over hosts.
OWN_SHARE_FACTOR = 4.0
#: Least number of such requests.
MIN_OWN = 2
#: Reports of a single request, without any of none, after which reports are
#: taken to count the request whose answer brings them.
MIN_SINGLE_REPORTS = 30


@dataclasses.dataclass
class _Service:
    """Hold what is known of the servers of a service.

    :ivar longest_queue: Most requests that a server reported as waiting.
    :ivar queue: Assumed length of the queue at ``changed_at``, None before
        the service is found to hang.
    """

    longest_queue: int = 0
    reports_of_none: int = 0
    reports_of_one: int = 0
    proven: int = 0
    unanswered: list = dataclasses.field(default_factory=list)
    queue: float | None = None
    changed_at: float = -math.inf
    shrunk_at: float = -math.inf


class Outstanding:
    """Learn which services hang, and bound what their servers get."""

    def __init__(self, hosts=1):
        """Start without knowledge.

        :param hosts: Number of hosts of the deployment.
        """
        self.hosts = hosts
        self._services = {}

    @property
    def hanging(self) -> tuple[str, ...]:
        """Return the services whose servers hang when they are full."""
        return tuple(
            name
            for name, service in self._services.items()
            if service.queue is not None
        )

    def is_hanging(self, service) -> bool:
        """Return whether the servers of a service hang when they are full."""
        known = self._services.get(service)
        return known is not None and known.queue is not None

    def note_report(self, service, running, waiting) -> int:
        """Record a load that a server reports with an answer.

        :returns: Requests at the server without the one that was answered.
        """
        known = self._services.setdefault(service, _Service())
        known.longest_queue = max(known.longest_queue, waiting)
        total = running + waiting
        known.reports_of_none += total == 0
        known.reports_of_one += total == 1
        counts_answered = (
            not known.reports_of_none
            and known.reports_of_one >= MIN_SINGLE_REPORTS
        )
        return max(0, total - counts_answered)

    def note_hang(self, server, load, now, is_proven):
        """Record a request that hangs, or that a server left unanswered.

        :param server: A :class:`~radishferry.direct.registry.Server`.
        :param load: Load of the server as this host assumed it when it sent
            the request, None without a fresh report.
        :param is_proven: False if the only sign is that no answer came in the
            time that the server was given.
        """
        known = self._services.setdefault(server.service, _Service())
        if known.queue is not None:
            self._shrink(known, server.slots, load, now)
            return
        if not is_proven and load is not None and load < server.slots:
            # A server with a free slot is not full.
            return
        known.unanswered = [
            (at, incarnation)
            for at, incarnation in known.unanswered
            if now - at < EVIDENCE_WINDOW_S
        ]
        if is_proven:
            known.proven += 1
        else:
            known.unanswered.append((now, server.incarnation))
        servers = {incarnation for _, incarnation in known.unanswered}
        if known.proven < MIN_PROVEN and not (
            len(known.unanswered) >= MIN_UNANSWERED
            and len(servers) >= MIN_UNANSWERED_SERVERS
        ):
            return
        known.queue = max(
            known.longest_queue, DEFAULT_QUEUE_PER_SLOT * server.slots
        )
        known.changed_at = known.shrunk_at = now
        LOG.warning(
            'outstanding: Servers of %s do not answer requests beyond their '
            'queue; requests to full ones are held back.',
            server.service,
            extra={
                'proven': known.proven,
                'unanswered': len(known.unanswered),
                'queue': round(known.queue, 1),
            },
        )

    def limit(self, service, slots, now) -> float:
        """Return how many requests a server may have, those of all hosts.

        :param slots: Slots of the server.
        :returns: Infinite for a service that is not known to hang.
        """
        known = self._services.get(service)
        if known is None or known.queue is None:
            return math.inf
        return slots + self._queue(known, slots, now)

    def check(self, server, stats, usual_s, now):
        """Return whether a server may get one more request.

        :param stats: The :class:`~radishferry.direct.selection.ServerStats` of
            the server.
        :param usual_s: Typical service time in seconds, used while that of
            the server is not known.
        :returns: :class:`~radishferry.direct.availability.Available` or
            :class:`~radishferry.direct.availability.Unavailable`.
        """
        if not self.is_hanging(server.service):
            return availability.Available()
        limit = self.limit(server.service, stats.slots, now)
        over = stats.load(now) + 1 - limit
        if not stats.is_load_known(now):
            own = max(
                MIN_OWN, math.ceil(OWN_SHARE_FACTOR * limit / self.hosts)
            )
            over = max(over, stats.in_flight + 1 - own)
        if over <= 0:
            return availability.Available()
        service_s = stats.service_s or usual_s
        return availability.Unavailable(
            availability.Reason.FULL,
            now + service_s * max(1.0, over) / max(1, stats.slots),
        )

    def _shrink(self, known, slots, load, now):
        """Assume a shorter queue after a request hung below the bound."""
        if load is None or now - known.shrunk_at < SHRINK_INTERVAL_S:
            return
        queue = self._queue(known, slots, now)
        known.queue = SHRINK * queue
        known.changed_at = known.shrunk_at = now

    def _queue(self, known, slots, now):
        least = max(
            MIN_QUEUE_PER_SLOT * slots, MIN_QUEUE_SHARE * known.longest_queue
        )
        most = max(
            MAX_OVER_SEEN * known.longest_queue, DEFAULT_QUEUE_PER_SLOT * slots
        )
        grown = known.queue + GROWTH_PER_S * (now - known.changed_at)
        return min(most, max(least, grown))
