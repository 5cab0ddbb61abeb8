"""Route the requests of callers to the coordinators of the servers."""

from __future__ import annotations

import logging

from radishferry import manifest_paths
from radishferry import outcomes
from radishferryd import entry

LOG = logging.getLogger(__name__)

#: ``Retry-After`` of a refusal because a host is unreachable, in seconds.
UNREACHABLE_RETRY_S = 0.5


class Gateway:
    """Match, route and start the requests of callers.

    Implements :class:`radishferryd.http_server.Gateway` and
    :class:`radishferryd.entry.Router`.
    """

    def __init__(self, app, budget, chooser_for):
        """Initialise without a manifest.

        :param app: Provides ``routes``, ``links``, ``scheduler``,
            ``metrics``, ``host_name``, ``is_stopping``,
            ``dispatch(request, sink)`` and ``outbound_streams(link)``.
        :param budget: A :class:`~radishferry.retries.RetryBudget`.
        :param chooser_for: Returns the server chooser of a service.
        """
        self._app = app
        self._budget = budget
        self._chooser_for = chooser_for
        self._matcher = None
        self._requests = set()
        self._connections = set()

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a complete answer."""
        return len(self._requests)

    @property
    def connections(self):
        """Return the open connections of callers."""
        return self._connections

    def configure(self, manifest):
        """Apply a manifest."""
        self._matcher = manifest_paths.PathMatcher(manifest)

    # Called by caller connections.

    def match(self, method, target):
        """See :class:`radishferryd.http_server.Gateway`."""
        return self._matcher.match(method, target)

    def is_ready(self):
        """See :class:`radishferryd.http_server.Gateway`."""
        return self._matcher is not None

    def is_stopping(self):
        """See :class:`radishferryd.http_server.Gateway`."""
        return self._app.is_stopping

    def call_later(self, delay_s, callback):
        """See :class:`radishferryd.http_server.Gateway`."""
        self._app.scheduler.call_later(delay_s, callback)

    def begin(self, request, answer):
        """See :class:`radishferryd.http_server.Gateway`."""
        entry_request = entry.EntryRequest(
            self, self._app.scheduler, self._budget, request, answer
        )
        self._requests.add(entry_request)
        return entry_request

    def finished(self, request, status, refusal):
        """See :class:`radishferryd.http_server.Gateway`."""
        metrics = self._app.metrics
        if refusal is not None:
            metrics.refusals.inc(refusal.reason.value)
        if request is None:
            return
        self._requests.discard(request)
        service = request.request.service.name
        kind = request.request.kind.name
        outcome = outcomes.Outcome.RAN
        reason = 'none'
        if refusal is not None:
            outcome, reason = refusal.outcome, refusal.reason.value
        metrics.requests.inc(service, kind, outcome.value, reason)
        elapsed = self._app.scheduler.now() - request.started_at
        metrics.latency.observe(elapsed, service, kind)

    def cancelled(self, request):
        """See :class:`radishferryd.http_server.Gateway`."""
        self._requests.discard(request)
        reason = outcomes.Reason.CANCELLED.value
        self._app.metrics.requests.inc(
            request.request.service.name,
            request.request.kind.name,
            outcomes.Outcome.UNKNOWN.value,
            reason,
        )

    def connection_opened(self, connection):
        """See :class:`radishferryd.http_server.Gateway`."""
        self._connections.add(connection)

    def connection_closed(self, connection):
        """See :class:`radishferryd.http_server.Gateway`."""
        self._connections.discard(connection)

    # Called by requests.

    def route(self, request):
        """See :class:`radishferryd.entry.Router`."""
        service = request.service
        key_hash = entry.key_hash_of(request)
        if key_hash is None:
            route = self._any_server(service)
        else:
            route = self._app.routes.lookup(service.name, key_hash)
        if route is None or not route.host:
            return None
        return route

    def connect(self, request, sink):
        """See :class:`radishferryd.entry.Router`."""
        if request.range_id < 0:
            self._chooser_for(request.service).started(request.server)
        host, _ = self._app.routes.coordinator_of(request.server)
        if host == self._app.host_name:
            return self._app.dispatch(request, sink)
        link = self._app.links.link(host)
        if link is None or not link.is_ready:
            return outcomes.Refusal(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.UNREACHABLE,
                UNREACHABLE_RETRY_S,
                f'{host}, which coordinates the server, cannot be reached.',
            )
        return self._app.outbound_streams(link).begin(request, sink)

    def ended(self, request, elapsed_s, failed):
        """See :class:`radishferryd.entry.Router`."""
        if request.range_id >= 0:
            return
        chooser = self._chooser_for(request.service)
        if failed is None:
            chooser.cancelled(request.server)
            return
        now = self._app.scheduler.now()
        chooser.finished(request.server, elapsed_s, failed, now)

    def _any_server(self, service):
        now = self._app.scheduler.now()
        candidates = self._candidates(service)
        if not candidates:
            return None
        name = self._chooser_for(service.name).choose(candidates, now)
        return _AnyServerRoute(name, self._app.routes.coordinator_of(name)[0])

    def _candidates(self, service):
        coordinator_of = self._app.routes.coordinator_of
        return [
            server
            for server in service.servers
            if server.state == 'live'
            and coordinator_of(server.name) is not None
        ]


class _AnyServerRoute:
    """Represent a route to any server of a service, without a range."""

    range_id = -1
    epoch = 0

    def __init__(self, server, host):
        self.server = server
        self.host = host
