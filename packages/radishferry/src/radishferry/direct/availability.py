"""Decide which servers may get new requests, and say why others may not.

This is the one place that knows the states of a server that do not depend on
a single host: whether it is leaving, whether its data centre is evacuated, and
whether it is cold. Selection, admission, the granting host and the command
that explains a route all ask it.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import dataclasses
import enum
import logging
import math
import typing

from radishferry.direct import unlisted

LOG = logging.getLogger(__name__)

#: Seconds by which the end of a warm-up may move between two reads of the
#: same entry without a new warm-up having begun: the age of an entry varies
#: by a heartbeat and by the delay with which the store shows it.
WARMUP_JITTER_S = 2.0
#: Share of the requests a second that a cold server tolerates which all hosts
#: together send to it. The hosts do not coordinate, and the permits that they
#: have saved up may be used in the same second.
COLD_SHARE = 0.75
#: Share of the time in which an evacuation has to be complete for which the
#: owner of a key still gets requests for it. Until then the key has usually
#: been moved; the rest of the time is for hosts that learn of it late.
OWNER_SHARE = 0.4


#: Maximum number of servers that one log line names.
MAX_LOGGED_SERVERS = 5


class Reason(enum.Enum):
    """Name why a server may get no request."""

    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    COLD = 'cold'
    PAUSED = 'paused'
    UNREACHABLE = 'unreachable'
    RATE_LIMITED = 'rate-limited'
    FULL = 'full'


@dataclasses.dataclass(frozen=True)
class Available:
    """State that a server may get a request."""

    is_available: typing.ClassVar[bool] = True


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """State that a server may get no request now.

    :ivar until: When that ends, in seconds; infinite if it is not known.
    """

    reason: Reason
    until: float = math.inf
    is_available: typing.ClassVar[bool] = False


Availability = typing.Union[Available, Unavailable]

_AVAILABLE = Available()


@dataclasses.dataclass(frozen=True)
class WarmupLimit:
    """Describe what the servers of a service tolerate while they are cold.

    :ivar duration_s: Seconds for which a server is cold after its start.
    :ivar per_s: Requests a second that it tolerates from all hosts together.
    """

    duration_s: float
    per_s: float


class ServerAvailability:
    """Track evacuated data centres and cold servers."""

    def __init__(self, now, registry, evacuate_within_s=math.inf):
        """Start without any.

        :param now: Returns the time in seconds.
        :param registry: A :class:`~radishferry.direct.registry.Registry`.
        :param evacuate_within_s: Seconds after the request for an evacuation
            within which the last request must have been sent.
        """
        self._now = now
        self._registry = registry
        self._owner_s = OWNER_SHARE * evacuate_within_s
        self._limits = {}
        self._evacuated = {}
        self._cold_until = {}
        self._unlisted = unlisted.UnlistedServers()
        #: Incremented by each change; candidates are cached until then.
        self._revision = 0
        self._cache = {}

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose servers get no requests."""
        return frozenset(self._evacuated)

    @property
    def cold_count(self) -> int:
        """Return the number of servers that are cold."""
        return sum(1 for s in self._registry.all() if self.cold_s(s))

    def warmup_limit(self, service) -> WarmupLimit | None:
        """Return what cold servers of a service tolerate, None if anything."""
        return self._limits.get(service)

    def set_warmup_limits(self, limits):
        """Replace the limits of cold servers.

        :param limits: :class:`WarmupLimit` by service; a service that is
            missing has none.
        """
        self._limits = dict(limits)
        self._revision += 1

    def set_evacuated(self, data_centres):
        """Replace the data centres whose servers get no requests.

        The servers of a data centre that is taken back may have become cold
        in the meantime, and their entries tell so only later.

        :returns: The servers that count as cold since this call.
        """
        now = self._now()
        wanted = frozenset(data_centres)
        returned = self.evacuated - wanted
        added = wanted - self.evacuated
        cold = tuple(
            server
            for server in self._registry.all()
            if server.data_centre in returned
            and server.service in self._limits
        )
        self._evacuated = {
            data_centre: self._evacuated.get(data_centre, now)
            for data_centre in wanted
        }
        for server in cold:
            duration_s = self._limits[server.service].duration_s
            self._cold_until[server.incarnation] = now + duration_s
        self._revision += 1
        for data_centre in sorted(added):
            LOG.warning(
                'availability: Data centre %s is evacuated.', data_centre
            )
        for data_centre in sorted(returned):
            LOG.warning(
                'availability: Data centre %s is taken back; its servers '
                'count as cold.',
                data_centre,
            )
        return cold

    def note_servers(self, servers, read_at):
        """Record which servers are cold.

        One whose entry vanishes is still cold if it returns: the entry does
        not tell that its data centre has just been taken back.

        :param servers: All known servers.
        :param read_at: When their entries were read, in seconds.
        :returns: The servers that have become cold, or returned as such.
        """
        now = self._now()
        returned = self._forget_warm(servers, now)
        cold_until = {
            incarnation: until
            for incarnation, until in self._cold_until.items()
            if until > now
        }
        became_cold = []
        for server in servers:
            known = self._cold_until.get(server.incarnation, -math.inf)
            until = known
            if server.warmup_s > 0:
                until = read_at + server.warmup_s
                # An entry that is read again shows the same warm-up.
                if now < known and until < known + WARMUP_JITTER_S:
                    until = known
            if until > now:
                cold_until[server.incarnation] = until
                if known <= now or server.incarnation in returned:
                    became_cold.append(server)
        if became_cold:
            LOG.info(
                'availability: %d servers have become cold.',
                len(became_cold),
                extra={
                    'cold': len(cold_until),
                    'examples': ' '.join(
                        server.server_id
                        for server in became_cold[:MAX_LOGGED_SERVERS]
                    ),
                },
            )
        self._cold_until = cold_until
        self._revision += 1
        return tuple(became_cold)

    def _forget_warm(self, servers, now):
        """Forget servers without an entry, unless they are still cold.

        :returns: Incarnations whose entries have returned.
        """
        returned = self._unlisted.update(
            self._cold_until, {server.incarnation for server in servers}, now
        )
        for incarnation in self._unlisted.take_expired(
            lambda known: self._cold_until[known] > now, now
        ):
            del self._cold_until[incarnation]
        return returned

    def cold_s(self, server) -> float:
        """Return the seconds for which a server is still cold, 0 if it isn't.

        A server whose service does not limit requests to cold servers is only
        slower.
        """
        now = self._now()
        until = self._cold_until.get(server.incarnation, -math.inf)
        return max(0.0, until - now)

    def check(self, server) -> Availability:
        """Return whether a server may get new requests."""
        if server.is_leaving:
            return Unavailable(Reason.LEAVING)
        if server.data_centre in self._evacuated:
            return Unavailable(Reason.EVACUATED)
        until = self._cold_until.get(server.incarnation, -math.inf)
        if until > self._now() and server.service in self._limits:
            return Unavailable(Reason.COLD, until)
        return _AVAILABLE

    def may_own(self, server) -> bool:
        """Return whether the owner of a key still gets requests for it.

        A leaving server gets none, even before its keys have been moved. In a
        data centre that is evacuated an owner gets them for a while, so that
        they are served until the keys have been moved.
        """
        if server.is_leaving:
            return False
        since = self._evacuated.get(server.data_centre)
        return since is None or self._now() - since < self._owner_s

    def candidates(self, service):
        """Return the servers of a service that may get new requests.

        Cold servers are left out unless no warm one is left.

        :returns: Tuple of :class:`~radishferry.direct.registry.Server`.
        """
        now = self._now()
        cached = self._cache.get(service)
        state = self._revision, self._registry.revision
        if cached is not None and cached[0] == state and now < cached[1]:
            return cached[2]
        checked = [
            (server, self.check(server))
            for server in self._registry.servers_of(service)
        ]
        found = tuple(s for s, state_ in checked if state_.is_available)
        cold = [
            (server, found_.until)
            for server, found_ in checked
            if not found_.is_available and found_.reason is Reason.COLD
        ]
        valid_until = min((until for _, until in cold), default=math.inf)
        if not found:
            found = tuple(server for server, _ in cold)
        self._cache[service] = state, valid_until, found
        return found
