"""Hold the connections to servers and choose the one for an attempt."""

from __future__ import annotations

import collections
import logging
import time
import typing
import zlib

from radishferry.direct import idle_limit
from radishferry.direct import selection
from radishferryd.platform import headers
from radishferryd.router import connections
from radishferryd.router import results

LOG = logging.getLogger(__name__)

#: Part of the connections of a server that all hosts together open.
CONNECTION_SHARE = 0.85
#: Connections that a host may always open to a server.
MIN_CONNECTIONS = 4


class Listener(typing.Protocol):
    """Take what servers announce in their answers."""

    def server_leaves(self, server) -> None:
        """Note that a server is about to stop."""

    def server_wants_pause(self, server, pause_s) -> None:
        """Note that a server wants no request for some seconds."""

    def announcement_malformed(self, server, detail) -> None:
        """Note an announcement that cannot be read."""


class Backend:
    """Hold the connections and the statistics of one server."""

    def __init__(
        self,
        poller,
        scheduler,
        server,
        limit,
        idle_limits,
        host_name='',
        listener=None,
    ):
        """Begin without a connection.

        :param server: A :class:`~radishferry.direct.registry.Server`.
        :param int limit: Most connections of this host to the server.
        :param idle_limits: An
            :class:`~radishferry.direct.idle_limit.IdleLimit`, shared by the
            backends of this host.
        :param host_name: Name of this host, which gives it an order of the
            servers that differs from those of other hosts.
        :param listener: A :class:`Listener`, None if nobody needs to know.
        """
        self._listener = listener
        self._idle_limits = idle_limits
        self._poller = poller
        self._scheduler = scheduler
        self.server = server
        self.limit = limit
        self.stats = selection.ServerStats(
            server.slots, _preference(host_name, server.server_id)
        )
        self.speed_s = 0.0
        self.speed_count = 0
        self.key_counts = collections.Counter()
        #: Requests that waited at the server at its last answer.
        self.last_waiting = 0
        self._idle = []
        self._open = set()

    @property
    def open_connections(self) -> int:
        """Return the number of connections."""
        return len(self._open)

    def send(self, attempt, is_idempotent):
        """Send an attempt on a free or a new connection.

        :returns: False when no connection is to be had.
        """
        connection = self._take(is_idempotent, attempt.request_id)
        if connection is None:
            return False
        self.stats.note_sent(self._scheduler.now())
        if attempt.key is not None:
            self.key_counts[attempt.key] += 1
        connection.send(attempt)
        return True

    def ended(self, attempt, result):
        """Count the end of an attempt.

        :param result: None when it was cancelled.
        """
        self.stats.in_flight -= 1
        if attempt.key is not None:
            self.key_counts[attempt.key] -= 1
            if not self.key_counts[attempt.key]:
                del self.key_counts[attempt.key]
        now = self._scheduler.now()
        if isinstance(result, results.Answered):
            elapsed = now - attempt.sent_at
            waiting = self.last_waiting
            self.stats.note_answer(elapsed, waiting, now)
            if result.head.status >= 500:
                self.stats.note_failure(now)
            if not waiting:
                self.speed_s += elapsed
                self.speed_count += 1
        elif isinstance(result, results.NotRun):
            if result.is_unreachable:
                self.stats.note_connection_failure(now)
            elif not result.is_misdirected:
                self.stats.note_failure(now)
        elif result is not None:
            self.stats.note_failure(now)

    def note_load(self, head):
        """Take the load that the server tells in an answer."""
        load = headers.parse_load(head.header(headers.LOAD))
        self.last_waiting = load.waiting if load else 0
        if load is not None:
            # The attempt that is ending is still counted in flight here.
            self.stats.note_report(
                load.running,
                load.waiting,
                load.slots,
                self._scheduler.now(),
            )

    def note_announcements(self, head):
        """Take what the server says in an answer about requests to come."""
        if headers.is_leaving(head) and self._listener is not None:
            self._listener.server_leaves(self.server)
        try:
            pause_s = headers.wanted_pause_s(head, time.time())
        except ValueError as exc:
            if self._listener is not None:
                self._listener.announcement_malformed(self.server, str(exc))
            return
        if not pause_s:
            return
        self.stats.note_asked_pause(pause_s, self._scheduler.now())
        if self._listener is not None:
            self._listener.server_wants_pause(self.server, pause_s)

    def note_reset(self, idle_s, took_s):
        """Take the reset of a reused connection that brought no answer.

        :param idle_s: How long it had been idle before the send.
        :param took_s: Seconds from the send to the reset.
        """
        now = self._scheduler.now()
        if self._idle_limits.note_reset(idle_s, took_s, now):
            LOG.info(
                'backends: Servers drop idle connections; they are reused '
                'for a shorter time.',
                extra={
                    'server': self.server.server_id,
                    'idle_s': round(idle_s, 3),
                    'limit_s': round(self._idle_limits.limit_s(True, now), 3),
                },
            )

    def connection_idle(self, connection):
        """Keep a connection for the next request."""
        self._idle.append(connection)

    def connection_closed(self, connection):
        """Forget a connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_old(self):
        """Close connections that have been idle for long."""
        now = self._scheduler.now()
        for connection in list(self._idle):
            if now - connection.idle_since > connection.idle_limit_s:
                self._idle.remove(connection)
                connection.close()

    def close_idle(self):
        """Close all connections without a request."""
        while self._idle:
            self._idle.pop().close()

    def _take(self, is_idempotent, request_id):
        now = self._scheduler.now()
        limit_s = self._idle_limits.limit_s(is_idempotent, now)
        if self._idle:
            # The one used last; the others grow old and are closed.
            connection = self._idle[-1]
            age = now - connection.idle_since
            # A second copy of the refusal that a request has had before
            # would be taken for the answer to its next attempt.
            is_same = connection.last_request_id == request_id
            if age <= min(limit_s, connection.idle_limit_s) and not is_same:
                return self._idle.pop()
        if len(self._open) >= self.limit:
            if not self._idle:
                return None
            self._idle.pop(0).close()
        connection = connections.Connection(
            self, self._poller, self._scheduler
        )
        self._open.add(connection)
        return connection


def _preference(host_name, server_id):
    """Return a number from 0 to 1 that a host always has for a server."""
    return zlib.crc32(f'{host_name} {server_id}'.encode()) / 0xFFFFFFFF


class Backends:
    """Hold the :class:`Backend` of each server."""

    def __init__(self, poller, scheduler, host_name='', listener=None):
        self._host_name = host_name
        self._listener = listener
        self._poller = poller
        self._scheduler = scheduler
        self._by_life = {}
        self._hosts = 1
        self._limits = {}
        self._idle_limits = idle_limit.IdleLimit()

    def __iter__(self):
        return iter(self._by_life.values())

    def configure(self, services, hosts):
        """Set how many connections each server takes.

        :param services: Services by name.
        :param hosts: Hosts that share the connections.
        """
        self._hosts = max(1, hosts)
        self._limits = {
            name: service.max_connections for name, service in services.items()
        }
        for backend in self:
            backend.limit = self._limit(backend.server.service)

    def get(self, server) -> Backend:
        """Return the backend of a server."""
        found = self._by_life.get(server.life)
        if found is None:
            found = self._by_life[server.life] = Backend(
                self._poller,
                self._scheduler,
                server,
                self._limit(server.service),
                self._idle_limits,
                self._host_name,
                self._listener,
            )
        found.server = server
        return found

    def stats(self, server) -> selection.ServerStats:
        """Return the statistics of a server."""
        return self.get(server).stats

    def keep(self, servers):
        """Drop all servers but the given ones, former lives included."""
        lives = {server.life for server in servers}
        for life in [life for life in self._by_life if life not in lives]:
            self._by_life.pop(life).close_idle()

    def close_old(self):
        """Close connections that have been idle for long."""
        for backend in self:
            backend.close_old()

    def _limit(self, service):
        total = self._limits.get(service, 64) * CONNECTION_SHARE
        return max(MIN_CONNECTIONS, int(total / self._hosts))
