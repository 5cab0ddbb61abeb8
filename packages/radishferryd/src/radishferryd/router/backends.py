"""Pool connections to servers and track the statistics of servers."""

from __future__ import annotations

import collections
import logging
import time
import typing
import zlib

from radishferry.direct import hangs
from radishferry.direct import idle_limit
from radishferry.direct import selection
from radishferry.direct import server_loads
from radishferry.direct import unlisted
from radishferryd.platform import headers
from radishferryd.router import connections
from radishferryd.router import memory_account
from radishferryd.router import results

LOG = logging.getLogger(__name__)

#: Fraction of a server's maximum connections that all hosts together open.
CONNECTION_SHARE = 0.85
#: Minimum connection limit of a host for a server.
MIN_CONNECTIONS = 4
#: Smallest change of a server's limit that is logged and reported, as a share
#: of the limit; each response may name another one.
MIN_LIMIT_CHANGE = 0.1


class Listener(typing.Protocol):
    """Receive the announcements of servers in their responses."""

    def on_server_leaving(self, server) -> None:
        """Handle the announcement that a server is about to stop."""

    def on_pause_requested(self, server, pause_s) -> None:
        """Handle that a server asked for no requests for some seconds."""

    def on_limit_changed(self, server, limit_per_s) -> None:
        """Handle that a server named a new limit, or None without one."""

    def on_malformed_announcement(self, server, detail) -> None:
        """Handle an announcement that cannot be parsed."""

    def on_load(self, server, load) -> int:
        """Handle a load report, and return the requests left there."""

    def on_unanswered(self, server, attempt) -> None:
        """Handle that a server sent nothing in the time it was given."""


class Backend:
    """Hold the connection pool and the statistics of one server."""

    #: Whether the server is a host that takes relayed requests.
    is_relay = False

    def __init__(
        self,
        poller,
        scheduler,
        server,
        limit,
        idle_limits,
        host_name='',
        listener=None,
        hosts=1,
        links=None,
        memory=None,
    ):
        """Create the backend without a connection.

        :param server: A :class:`~radishferry.direct.registry.Server`.
        :param int limit: Maximum connections of this host to the server.
        :param idle_limits: An
            :class:`~radishferry.direct.idle_limit.IdleLimit`, shared by the
            backends of this host.
        :param host_name: Name of this host; each host prefers servers in a
            different order that depends on it.
        :param listener: A :class:`Listener`, or None.
        :param int hosts: Number of hosts of the deployment.
        :param links: The
            :class:`~radishferryd.router.link_monitor.LinkMonitor` of this
            host, or None.
        :param memory: The
            :class:`~radishferryd.router.memory_account.MemoryAccount` of the
            process, or None for no limit.
        """
        self.memory = memory or memory_account.unlimited(scheduler.now)
        self._listener = listener
        self._links = links
        self._idle_limits = idle_limits
        self._poller = poller
        self._scheduler = scheduler
        self.server = server
        self.limit = limit
        self.hosts = hosts
        self.stats = selection.ServerStats(
            server.slots, _preference(host_name, server.server_id)
        )
        #: Total over responses without a queue at the server, for the load
        #: report.
        self.service_time_s = 0.0
        self.service_time_count = 0
        self.in_flight_by_key = collections.Counter()
        #: Requests that were queued at the server at its last response.
        self.last_queue_length = 0
        self._announced_limit_per_s = None
        #: Finds requests that the server will never answer.
        self.watch = hangs.Watch()
        self._idle = []
        self._open = set()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections, idle ones included."""
        return len(self._open)

    def is_needed(self) -> bool:
        """Return whether to keep the backend of a server without an entry.

        Its requests in progress count for its load and its connections, and
        what it has asked for holds also when its entry returns.
        """
        return bool(self._open) or self.stats.is_restricted(
            self._scheduler.now()
        )

    def send(self, attempt, is_idempotent):
        """Send an attempt on an idle or a new connection.

        :returns: False if all connections are in use.
        """
        connection = self._acquire_connection(is_idempotent, attempt)
        if connection is None:
            return False
        now = self._scheduler.now()
        attempt.is_idempotent = is_idempotent
        if self.stats.is_load_known(now):
            attempt.load_at_send = self.stats.load(now)
        self.stats.note_sent(now)
        self.watch.note_sent(attempt)
        if self.stats.shared is not None:
            self.stats.outstanding.add(attempt)
        if attempt.key is not None:
            self.in_flight_by_key[attempt.key] += 1
        connection.send(attempt)
        return True

    def ended(self, attempt, result):
        """Update the statistics at the end of an attempt.

        :param result: None if it was cancelled.
        """
        self.stats.in_flight -= 1
        self.stats.outstanding.discard(attempt)
        if attempt.key is not None:
            self.in_flight_by_key[attempt.key] -= 1
            if not self.in_flight_by_key[attempt.key]:
                del self.in_flight_by_key[attempt.key]
        now = self._scheduler.now()
        self.watch.note_ended(attempt)
        if isinstance(result, results.Answered):
            self.watch.note_answered(attempt, now)
            elapsed = now - attempt.sent_at
            waiting = self.last_queue_length
            if self._was_delayed_by_loss(attempt):
                # Its time says nothing about the speed of the server.
                waiting = max(1, waiting)
            self.stats.note_answer(elapsed, waiting, now)
            if result.head.status >= 500:
                self.stats.note_failure(now)
            if not waiting:
                self.service_time_s += elapsed
                self.service_time_count += 1
        elif isinstance(result, results.NotRun):
            if result.is_unreachable:
                self.stats.note_connection_failure(now)
                if self._links is not None:
                    self._links.note_connect_failed(self.server)
            elif result.is_another_server:
                # The entry of the server is out of date, or was left by
                # another writer.
                self.stats.note_connection_failure(now)
            elif not (result.is_misdirected or result.is_host_exhausted):
                self.stats.note_failure(now)
        elif result is None:
            if (
                attempt.is_silent
                and now > attempt.answer_by
                and self._listener is not None
            ):
                self._listener.on_unanswered(self.server, attempt)
        else:
            self.stats.note_failure(now)
            if result.is_unacknowledged and self._links is not None:
                self._links.note_unacknowledged(self.server)

    def _was_delayed_by_loss(self, attempt):
        """Return whether this host was isolated after it sent an attempt."""
        links = self._links
        return links is not None and attempt.sent_at < links.restored_at

    def note_connected(self):
        """Record that the server accepted a connection."""
        if self._links is not None:
            self._links.note_connected()

    def note_answering(self, attempt):
        """Record that the server answers an attempt."""
        if self._links is not None:
            self._links.note_answered(attempt.sent_at)

    def note_load(self, head):
        """Record the load that the server reports in a response."""
        load = headers.parse_load(head.header(headers.LOAD))
        self.last_queue_length = load.waiting if load else 0
        if load is not None:
            # The attempt that is ending is still counted as in flight.
            self.stats.note_report(
                load.running,
                load.waiting,
                load.slots,
                self._scheduler.now(),
                load.slowdown,
            )
            if self._listener is not None:
                left = self._listener.on_load(self.server, load)
                self.watch.note_report(left, self._scheduler.now())
            if self.stats.shared is not None:
                self.stats.shared.note_seen(load.running + load.waiting)

    def note_work(self, estimate, attempt, elapsed_s):
        """Record the work of an answered request of a route.

        :param estimate: The :class:`~radishferry.direct.work.WorkEstimate` of
            the route.
        :param elapsed_s: Seconds from the send to the answer. They say
            nothing of the work if requests wait at the server.
        """
        shared = self.stats.shared
        if (
            shared is None
            or self.last_queue_length
            or self._was_delayed_by_loss(attempt)
        ):
            return
        own_s = elapsed_s / self.stats.slowdown(self._scheduler.now())
        if not attempt.is_overdue:
            shared.note_sample(own_s / estimate.mean_s)
        estimate.note(own_s / shared.relative_time)

    def note_announcements(self, head):
        """Handle what the server announces in a response."""
        if headers.is_leaving(head) and self._listener is not None:
            self._listener.on_server_leaving(self.server)
        self._note_limit(head)
        try:
            pause_s = headers.retry_after_s(head, time.time())
        except ValueError as exc:
            if self._listener is not None:
                self._listener.on_malformed_announcement(self.server, str(exc))
            return
        if not pause_s:
            return
        self.stats.note_requested_pause(pause_s, self._scheduler.now())
        if self._listener is not None:
            self._listener.on_pause_requested(self.server, pause_s)

    def _note_limit(self, head):
        if head.status == headers.MISDIRECTED:
            # May be the response of another server at the address.
            return
        try:
            limit_per_s = headers.limit_per_s(head)
        except ValueError as exc:
            if self._listener is not None:
                self._listener.on_malformed_announcement(self.server, str(exc))
            return
        self.stats.note_limit(limit_per_s, self.hosts, self._scheduler.now())
        if not _is_similar(limit_per_s, self._announced_limit_per_s):
            self._announced_limit_per_s = limit_per_s
            if self._listener is not None:
                self._listener.on_limit_changed(self.server, limit_per_s)

    def note_reset(self, idle_s, took_s):
        """Record the reset of a reused connection before any response.

        :param idle_s: Seconds for which it was idle before the send.
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
        """Return a connection to the pool."""
        self._idle.append(connection)

    def connection_closed(self, connection):
        """Remove a connection from the pool."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close_old(self):
        """Close connections that exceed their idle limit."""
        now = self._scheduler.now()
        for connection in list(self._idle):
            if now - connection.idle_since > connection.idle_limit_s:
                self._idle.remove(connection)
                connection.close()

    def close_idle(self):
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _acquire_connection(self, is_idempotent, attempt):
        now = self._scheduler.now()
        limit_s = self._idle_limits.limit_s(is_idempotent, now)
        if self._idle:
            # Take the most recently used connection, so that the others
            # expire.
            connection = self._idle[-1]
            age = now - connection.idle_since
            # A late duplicate of the refusal of an earlier attempt of this
            # request would be mistaken for the response to the next one.
            was_used_by_request = (
                connection in attempt.used_connections
                or connection.last_request_id == attempt.request_id
            )
            if (
                age <= min(limit_s, connection.idle_limit_s)
                and not was_used_by_request
            ):
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


def _is_similar(limit_per_s, other_per_s):
    """Return whether two limits, or None for none, are about the same."""
    if limit_per_s is None or other_per_s is None:
        return limit_per_s is other_per_s
    return abs(limit_per_s - other_per_s) <= MIN_LIMIT_CHANGE * other_per_s


def _preference(host_name, server_id):
    """Return a stable hash of a host and a server, scaled to 0 to 1."""
    return zlib.crc32(f'{host_name} {server_id}'.encode()) / 0xFFFFFFFF


class Backends:
    """Hold a :class:`Backend` for each incarnation of a server.

    It outlives the entry of the server as long as it is needed, see
    :mod:`radishferry.direct.unlisted`.
    """

    def __init__(
        self,
        poller,
        scheduler,
        host_name='',
        listener=None,
        links=None,
        backend_class=Backend,
        shared_loads=None,
        memory=None,
    ):
        """Create the backends of this host, none at first.

        :param memory: See :class:`Backend`.
        """
        self._memory = memory
        self._backend_class = backend_class
        self._shared_loads = shared_loads
        self._host_name = host_name
        self._listener = listener
        self._links = links
        self._poller = poller
        self._scheduler = scheduler
        self._by_incarnation = {}
        self._unlisted = unlisted.UnlistedServers()
        self._hosts = 1
        self._limits = {}
        self._idle_limits = idle_limit.IdleLimit()

    def __iter__(self):
        return iter(self._by_incarnation.values())

    def configure(self, services, hosts):
        """Set the connection limits of this host.

        :param services: Services by name.
        :param hosts: Number of hosts that share each server's connections.
        """
        self._hosts = max(1, hosts)
        self._limits = {
            name: service.max_connections for name, service in services.items()
        }
        for backend in self:
            backend.limit = self._limit(backend.server.service)
            backend.hosts = self._hosts

    def get(self, server) -> Backend:
        """Return the backend of a server, and create it if necessary."""
        found = self._by_incarnation.get(server.incarnation)
        if found is None:
            found = self._by_incarnation[server.incarnation] = (
                self._backend_class(
                    self._poller,
                    self._scheduler,
                    server,
                    self._limit(server.service),
                    self._idle_limits,
                    self._host_name,
                    self._listener,
                    self._hosts,
                    self._links,
                    self._memory,
                )
            )
            self._share_load(found)
        found.server = server
        return found

    def stats(self, server) -> selection.ServerStats:
        """Return the statistics of a server."""
        return self.get(server).stats

    def is_listed(self, backend) -> bool:
        """Return whether the server of a backend has an entry."""
        return backend.server.incarnation not in self._unlisted

    def keep(self, servers):
        """Drop the backends of other servers, unless they are still needed.

        :param servers: All listed servers.
        """
        returned = self._unlisted.update(
            self._by_incarnation,
            {server.incarnation for server in servers},
            self._scheduler.now(),
        )
        for incarnation, missing_s in returned.items():
            self._note_returned(self._by_incarnation[incarnation], missing_s)
        self._drop_unneeded()

    def close_old(self):
        """Close connections that exceed their idle limit."""
        for backend in self:
            backend.close_old()
        self._drop_unneeded()

    def _drop_unneeded(self):
        """Drop backends of servers without an entry that are not needed."""
        for incarnation in self._unlisted:
            self._by_incarnation[incarnation].close_idle()
        for incarnation in self._unlisted.take_expired(
            lambda known: self._by_incarnation[known].is_needed(),
            self._scheduler.now(),
        ):
            del self._by_incarnation[incarnation]

    def _note_returned(self, backend, missing_s):
        self._share_load(backend)
        server = backend.server
        pause_s = backend.stats.requested_pause_s(self._scheduler.now())
        limit_per_s = backend.stats.limit_per_s
        if pause_s or limit_per_s is not None:
            LOG.info(
                'backends: %s is listed again; what it has asked for holds.',
                server.server_id,
                extra={
                    'service': server.service,
                    'born_ms': server.born_ms,
                    'missing_s': round(missing_s, 3),
                    'pause_s': round(pause_s, 3),
                    'limit_per_s': limit_per_s,
                },
            )

    def _share_load(self, backend):
        """Use the load of a server with few slots that all hosts share."""
        server = backend.server
        if (
            self._shared_loads is not None
            and server.slots <= server_loads.MAX_SLOTS
        ):
            backend.stats.shared = self._shared_loads.entry(server.server_id)

    def forget_failures(self):
        """Forget the failures of all servers.

        Called when this host reaches the servers again after its own links
        were the cause of the failures.
        """
        for backend in self:
            backend.stats.forget_failures()

    def _limit(self, service):
        total = self._limits.get(service, 64) * CONNECTION_SHARE
        return max(MIN_CONNECTIONS, int(total / self._hosts))
