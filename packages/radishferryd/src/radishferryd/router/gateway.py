"""Route the requests of callers and record their outcomes."""

from __future__ import annotations

import collections
import dataclasses
import logging
import math

from radishferry.direct import admission
from radishferry.direct import announcements
from radishferry.direct import availability
from radishferry.direct import budget as budget_module
from radishferry.direct import cost_choice
from radishferry.direct import outstanding as outstanding_module
from radishferry.direct import refusal_periods
from radishferry.direct import server_loads
from radishferryd import net
from radishferryd.platform import headers
from radishferryd.router import backends as backends_module
from radishferryd.router import crash_detector
from radishferryd.router import crashes as crashes_module
from radishferryd.router import hang_monitor
from radishferryd.router import link_monitor
from radishferryd.router import memory_account
from radishferryd.router import relays as relays_module
from radishferryd.router import requests
from radishferryd.router import results

LOG = logging.getLogger(__name__)

#: Seconds after which callers may retry at a host without configuration.
STARTING_RETRY_S = 0.5
#: Seconds for which a caller may take next to nothing of its responses when
#: all connections to a server are in use: longer than a lost packet or a full
#: link delays one that reads.
UNREAD_RESPONSE_S = 3.0
#: Seconds for which the servers' responses to callers that were ended may
#: still occupy connections: responses to requests that run once are read.
FREEING_S = 1.0

#: Outcomes of requests that were refused for want of room.
_OVERLOAD_OUTCOMES = frozenset(
    reason.value
    for reason in (
        results.Reason.OVERLOADED,
        results.Reason.OUTRANKED,
        results.Reason.TOO_LATE,
        results.Reason.HOT_KEY,
        results.Reason.FULL,
    )
)


@dataclasses.dataclass(frozen=True)
class Observations:
    """Hold what a host has observed since its last load report.

    :ivar keys: Keys of requests by service.
    :ivar speeds: Tuples of server id, total service time in seconds and
        number of responses, for responses of servers with an empty queue.
    :ivar crashes: What is new of requests in flight at crashes of servers,
        :class:`~radishferryd.router.crashes.News`.
    :ivar notices: A :class:`~radishferry.direct.announcements.Notice` for
        each server that has announced something.
    :ivar loads: :class:`~radishferry.direct.server_loads.Loads` of servers
        with few slots.
    """

    keys: dict
    speeds: list
    crashes: crashes_module.News
    notices: list
    loads: server_loads.Loads


class Gateway:
    """Start the requests of callers and provide their shared state."""

    def __init__(
        self,
        poller,
        scheduler,
        routing_state,
        crashes,
        settings,
        metrics,
        memory=None,
    ):
        """Create the gateway without connections.

        :param routing_state: A
            :class:`~radishferryd.router.knowledge.RoutingState`.
        :param crashes: A :class:`~radishferryd.router.crashes.CrashCounts`.
        :param settings: A :class:`~radishferryd.router.settings.Settings`.
        :param metrics: A :class:`~radishferryd.router.metrics.Metrics`.
        :param memory: The
            :class:`~radishferryd.router.memory_account.MemoryAccount` of the
            process, or None for no limit.
        """
        self.memory = memory or memory_account.unlimited(scheduler.now)
        self.scheduler = scheduler
        self.connections = set()
        #: Whether connections close after their next response.
        self.is_stopping = False
        #: When a stopping host begins to refuse requests, and when it answers
        #: those that are still open; infinite if it does not stop.
        self.refuses_at = math.inf
        self.ends_at = math.inf
        self.host_count = settings.retry_hosts
        self.data_centre = settings.host_data_centre
        self.links = link_monitor.LinkMonitor(
            poller, scheduler, routing_state.registry
        )
        #: Loads and speeds of servers with few slots.
        self.shared_loads = server_loads.SharedLoads()
        self._shares_loads = settings.balancing_shares_loads
        self._has_stale_loads = True
        self.backends = backends_module.Backends(
            poller,
            scheduler,
            settings.host_name,
            self,
            self.links,
            shared_loads=(self.shared_loads if self._shares_loads else None),
            memory=self.memory,
        )
        self.cost_choice = cost_choice.CostChoice(
            self.shared_loads, self.backends.stats, self.data_centre
        )
        self.links.on_restored.append(self.backends.forget_failures)
        self.relays = relays_module.Relays(
            poller,
            scheduler,
            settings.host_name,
            settings.host_data_centre,
            self.links,
            routing_state,
            self.memory,
        )
        self.announcements = announcements.Announcements()
        self.admission: admission.Rule = (
            admission.Admission()
            if settings.admission_by_rank
            else admission.TargetAdmission()
        )
        self._refusal_periods = refusal_periods.RefusalPeriods()
        self.budget = budget_module.RetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self._routing_state = routing_state
        self._crashes = crashes
        self.crash_detector = crash_detector.CrashDetector(
            poller, scheduler, self.links, crashes
        )
        self.outstanding = outstanding_module.Outstanding()
        self.hang_monitor = hang_monitor.HangMonitor(
            scheduler, self.backends, self.links, self.outstanding, metrics
        )
        self._metrics = metrics
        self._stats = {}
        self._callers_ended_at = -math.inf
        self._keys = collections.defaultdict(list)
        self._waiting = collections.defaultdict(dict)
        self.open_requests = 0
        #: Requests of other hosts among them.
        self.open_relayed_requests = 0
        self.set_host_count(self.host_count)
        routing_state.on_configuration.append(self._on_configuration)
        routing_state.on_servers.append(self._on_servers)
        routing_state.on_owners.append(self._on_owners)

    @property
    def limits(self):
        """Return the configured limits for callers."""
        return self._routing_state.limits

    @property
    def configuration_version(self) -> int:
        """Return the version in force, 0 without a configuration."""
        configuration = self._routing_state.configuration
        return configuration.version if configuration is not None else 0

    @property
    def newest_configuration_version(self) -> int:
        """Return the highest version that this host knows to be in force."""
        return self._routing_state.newest_version

    @property
    def is_outdated(self) -> bool:
        """Return whether a newer configuration is known to be in force."""
        return self._routing_state.is_outdated

    @property
    def accepts_requests(self) -> bool:
        """Return whether further requests are sent to servers."""
        return self.now() < self.refuses_at

    @property
    def registry(self):
        """Return the registry of known servers."""
        return self._routing_state.registry

    @property
    def availability(self):
        """Return which servers may get new requests."""
        return self._routing_state.availability

    def now(self):
        """Return the time in seconds."""
        return self.scheduler.now()

    def set_host_count(self, count):
        """Divide connection limits and retry budgets among the hosts."""
        self.host_count = max(1, count)
        self.budget.set_hosts(self.host_count)
        self.outstanding.hosts = self.host_count
        self._update_connection_limits()

    # Planned stop.

    def begin_stop(self, refuses_at, ends_at):
        """Close connections after their next response.

        :param float refuses_at: When further requests will be refused.
        :param float ends_at: When open requests will be answered.
        """
        self.is_stopping = True
        self.refuses_at = refuses_at
        self.ends_at = ends_at

    def refuse_incomplete_requests(self):
        """Refuse the requests that are being received."""
        for connection in list(self.connections):
            connection.refuse_incomplete(self.stop_refusal())

    def end_requests(self):
        """Answer all open requests, since the host is about to exit."""
        for connection in list(self.connections):
            connection.end_requests()

    def stop_refusal(self):
        """Return the refusal of a request that comes too late in a stop."""
        return results.Refusal(
            503,
            results.Reason.STOPPING,
            'The host stops.',
            admission.retry_after_s(0.0),
        )

    # Called by caller connections.

    def begin(self, slot, origin=None):
        """Route a request that has been received, and start it.

        :param origin: The :class:`~radishferryd.router.relay_headers.Origin`
            of a request that another host has relayed.
        :returns: The request, None if it was refused.
        """
        configuration = self._routing_state.configuration
        if not self._routing_state.is_complete:
            self.refuse(
                slot,
                results.Refusal(
                    503,
                    results.Reason.NO_CONFIGURATION,
                    'The host has no configuration yet.',
                    STARTING_RETRY_S,
                ),
            )
            return None
        head = slot.head
        route = self._routing_state.routes.select(
            head.header('host'), head.target
        )
        if route is None:
            self.refuse(
                slot,
                results.Refusal(
                    404, results.Reason.NO_ROUTE, 'No route matches.'
                ),
            )
            return None
        service = self._choose_part(route, origin)
        request = requests.Request(
            self, slot, route, service, configuration, origin
        )
        if origin is None or not origin.attempts:
            self.budget.note_request(service, self.now())
        if origin is None:
            self._note_arrival(request, head)
        self.open_requests += 1
        self.open_relayed_requests += request.is_relayed
        # The slot must know its request before a response arrives.
        slot.request = request
        request.start()
        return request

    def _note_arrival(self, request, head):
        """Record a request of a caller for the rule of admission."""
        now = self.now()
        route_stats = self.route_stats(request)
        self.admission.note_arrival(
            request.service, request.route, route_stats, now
        )
        remaining_s = headers.parse_remaining_s(
            head.header(headers.REMAINING_MS)
        )
        if remaining_s is not None:
            route_stats.note_arrival(remaining_s, now)

    def _choose_part(self, route, origin):
        """Return the service of a request.

        The relaying host has chosen the part of a route already; another
        choice would change the shares of the parts.
        """
        if origin is not None and any(
            part.service == origin.service for part in route.parts
        ):
            return origin.service
        return self._routing_state.choose_part(route)

    def refused(self, slot, refusal):
        """Record a request that was refused before it was routed."""
        self._log_refusal(slot, refusal)

    def refuse(self, slot, refusal):
        """Refuse a request that has not been routed."""
        self._log_refusal(slot, refusal)
        slot.refuse(refusal)

    def _log_refusal(self, slot, refusal):
        self._metrics.count_refusal(refusal.reason.value)
        configuration = self._routing_state.configuration
        LOG.info(
            'request: Refused before routing.',
            extra={
                'request_id': slot.request_id,
                'status': refusal.status,
                'reason': refusal.reason.value,
                'path': slot.head.target[:80],
                'configuration': configuration.version
                if configuration
                else None,
            },
        )

    # Called by requests.

    def end_stalled_callers(self) -> bool:
        """End callers that hold connections to servers by reading nothing.

        :returns: Whether some have been ended, now or a moment ago, so that
            connections become free.
        """
        now = self.now()
        if self.memory.end_stalled(
            memory_account.Budget.RESPONSES,
            net.LOW_WATER_BYTES,
            UNREAD_RESPONSE_S,
        ):
            self._callers_ended_at = now
        return now - self._callers_ended_at < FREEING_S

    def note_key(self, service, key):
        """Record a request for a key, for the next load report."""
        self._keys[service].append(key)

    def take_load(self):
        """Return and clear the observations since the last call.

        :returns: :class:`Observations`.
        """
        self._check_shared_loads()
        keys, self._keys = dict(self._keys), collections.defaultdict(list)
        speeds = []
        for backend in self.backends:
            if backend.service_time_count:
                speeds.append(
                    (
                        backend.server.server_id,
                        backend.service_time_s,
                        backend.service_time_count,
                    )
                )
                backend.service_time_s, backend.service_time_count = 0.0, 0
            self._note_overdue(backend)
        return Observations(
            keys,
            speeds,
            self._crashes.take_new(self.now()),
            self.announcements.take_new(self.now()),
            self.shared_loads.take_new(),
        )

    def _note_overdue(self, backend):
        """Record requests of a server that run much longer than expected.

        A server that has become slow answers, and reports its load, late.
        """
        shared = backend.stats.shared
        if shared is None:
            return
        for attempt in backend.stats.outstanding:
            work_s = self.route_stats(attempt.sink).work.mean_s
            shared.note_running(attempt, work_s, self.now())

    def _check_shared_loads(self):
        """Log when shared loads come into use, and when they are stale."""
        is_stale = self.shared_loads.is_stale(self.now())
        if is_stale == self._has_stale_loads:
            return
        self._has_stale_loads = is_stale
        if is_stale:
            LOG.warning(
                'gateway: The loads of servers that hosts share are stale; '
                'this host relies on its own view.'
            )
        else:
            LOG.info('gateway: Uses the loads of servers that hosts share.')

    def apply_loads(self, loads):
        """Apply the loads that the granting host has told.

        :param loads: A :class:`~radishferry.direct.server_loads.Loads`.
        """
        if self._shares_loads:
            self.shared_loads.apply(loads, self.now())

    def note_answer(self, request, attempt, result):
        """Record what an answer tells about the requests of a route."""
        elapsed_s = self.now() - attempt.sent_at
        backend = attempt.backend
        stats = self.route_stats(request)
        stats.note(len(result.body), elapsed_s, backend.last_queue_length)
        backend.note_work(stats.work, attempt, elapsed_s)

    def route_stats(self, request):
        """Return the statistics of the route and service of a request."""
        name = request.route.name, request.service
        found = self._stats.get(name)
        if found is None:
            found = self._stats[name] = admission.RouteStats(
                request.route.kind
            )
        return found

    def owner(self, service, key):
        """Return the segment of a key and the server that owns it."""
        return self._routing_state.owner(service, key)

    def is_moving(self, service, key):
        """Return whether a key is being moved to another owner."""
        found = self._routing_state.key_maps.get(service)
        segment = found.find(key) if found is not None else None
        return segment is not None and not segment.is_settled

    def wait_for_owner(self, request):
        """Notify a request when the owners of its service change."""
        self._waiting[request.service][request] = None

    def stop_waiting(self, request):
        """Undo :meth:`wait_for_owner`."""
        self._waiting[request.service].pop(request, None)

    def is_poison(self, request):
        """Return whether identical requests have crashed servers."""
        if not self._crashes.has_suspects:
            return False
        return self._crashes.is_poison(request.fingerprint, self.now())

    def attempt_ended(self, request, attempt, result):
        """Record what the end of an attempt tells about crashes.

        The caller of the request may have left before.
        """
        detector = self.crash_detector
        if isinstance(result, results.Answered):
            self._note_report(request, attempt)
            if detector.needs_completions and not headers.implies_not_run(
                result.head
            ):
                detector.note_completed(request.fingerprint)
        elif isinstance(result, results.NotRun):
            if result.is_server_dead:
                detector.note_refused(attempt.server)
            elif not (result.is_unreachable or result.is_host_exhausted):
                self._note_report(request, attempt)
        elif result.is_connection_lost and not result.is_unacknowledged:
            detector.note_connection_lost(
                attempt.server, request.fingerprint, attempt.sent_at
            )

    def _note_report(self, request, attempt):
        backend = attempt.backend
        self.admission.note_report(
            attempt.server,
            backend.stats,
            backend.last_queue_length,
            self.route_stats(request).service_s,
            self.now(),
        )

    def attempt_lost(self, request, attempt, result):
        """Log a failed attempt that a server may have run."""
        LOG.info(
            'request: An attempt failed; the server may have run it.',
            extra={
                'request_id': request.request_id,
                'server': attempt.server.server_id,
                'sent_ago_s': round(self.now() - attempt.sent_at, 4),
                'detail': getattr(result, 'detail', 'server error'),
                'fingerprint': f'{request.fingerprint:x}',
            },
        )

    def attempt_refused(self, request, attempt, result):
        """Log an attempt that a server has not run."""
        segment = None
        if request.key is not None:
            segment, _ = self.owner(request.service, request.key)
        LOG.info(
            'request: A server did not run the request.',
            extra={
                'request_id': request.request_id,
                'server': attempt.server.server_id,
                'detail': result.detail,
                'key': request.key,
                'fence': segment.fence if segment else None,
                'registry_age_s': round(self.registry.age(self.now()), 3),
            },
        )

    # Announcements of servers, see backends.Listener.

    def on_server_leaving(self, server):
        """Stop sending to a server that announced that it is leaving."""
        if self.announcements.note_leaving(server.incarnation, self.now()):
            self._metrics.count_announcement('leaving')
        self._routing_state.note_leaving(server.incarnation, 0.0, 'an answer')

    def on_pause_requested(self, server, pause_s):
        """Record that a server asked for no requests for some seconds."""
        self._metrics.count_announcement('pause')
        self.announcements.note_pause(server.incarnation, pause_s, self.now())
        LOG.info(
            'backends: %s asked for a pause of %.2f s.',
            server.server_id,
            pause_s,
            extra={'service': server.service, 'born_ms': server.born_ms},
        )

    def on_limit_changed(self, server, limit_per_s):
        """Record that a server named a new limit, or None without one."""
        self._metrics.count_announcement('limit')
        self.announcements.note_limit(
            server.incarnation, limit_per_s, self.now()
        )
        named = (
            'no limit any more'
            if limit_per_s is None
            else f'a limit of {limit_per_s} requests a second'
        )
        LOG.info(
            'backends: %s names %s.',
            server.server_id,
            named,
            extra={
                'service': server.service,
                'born_ms': server.born_ms,
                'hosts': self.host_count,
            },
        )

    def on_malformed_announcement(self, server, detail):
        """Count and log an announcement that cannot be parsed."""
        self._metrics.count_announcement('malformed')
        LOG.warning(
            'backends: Ignored a malformed announcement of %s: %s.',
            server.server_id,
            detail,
        )

    def on_load(self, server, load) -> int:
        """Record a load report, and return the requests left there."""
        return self.outstanding.note_report(
            server.service, load.running, load.waiting
        )

    def on_unanswered(self, server, attempt):
        """Record that a server sent nothing in the time it was given."""
        self.hang_monitor.note_unanswered(server, attempt)

    def paused_for_s(self, service) -> float:
        """Return the time until the first server of a service ends its pause.

        :returns: Seconds, 0 unless each server has asked for a pause.
        """
        now = self.now()
        return min(
            (
                self.backends.stats(server).requested_pause_s(now)
                for server in self.availability.candidates(service)
            ),
            default=0.0,
        )

    def permit_wait_s(self, service) -> float:
        """Return the time until the limit of a server permits a request.

        :returns: Seconds, 0 if no server of the service has a limit.
        """
        now = self.now()
        return min(
            (
                wait_s
                for server in self.availability.candidates(service)
                if (wait_s := self.backends.stats(server).permit_wait_s(now))
            ),
            default=0.0,
        )

    def finished(self, request, status, outcome, detail):
        """Record and log the end of a request."""
        self.open_requests -= 1
        self.open_relayed_requests -= request.is_relayed
        now = self.now()
        took_s = now - request.arrived_at
        if request.is_relayed:
            # The relaying host counts the request of the caller.
            self._metrics.count_relay('received', outcome)
        else:
            self._metrics.count_request(
                request.service, request.route.name, outcome, took_s
            )
            self._note_admission(request, outcome, now)
        if request.relays:
            self._metrics.count_relay('sent', outcome)
        in_time = took_s <= request.route.target_latency_s
        configuration = self._routing_state.configuration
        LOG.info(
            'request: Ended.',
            extra={
                'request_id': request.request_id,
                'route': request.route.name,
                'service': request.service,
                'key': request.key,
                'status': status,
                'outcome': outcome,
                'detail': detail,
                'took_s': round(took_s, 4),
                'is_relayed': request.is_relayed,
                **request.selection_fields,
                'registry_age_s': round(self.registry.age(now), 3),
                'configuration': configuration.version,
                'routine': outcome == 'answered' and status < 500 and in_time,
            },
        )

    def _note_admission(self, request, outcome, now):
        """Count a request by its rank, and log when refusals begin or end."""
        rank = request.route.priority
        is_refused = outcome in _OVERLOAD_OUTCOMES
        self._metrics.count_admission(
            request.service, rank, outcome if is_refused else 'admitted'
        )
        change = self._refusal_periods.note(
            request.service, rank, is_refused, now
        )
        if change is not None:
            LOG.info(
                'admission: %s %s to refuse requests of rank %d.',
                change.service,
                'begins' if change.has_begun else 'has ceased',
                change.rank,
                extra={'reason': outcome, 'refused': change.refused},
            )

    # Changes of the configuration, servers and owners.

    def _on_configuration(self, configuration):
        self._update_connection_limits()
        names = {
            (route.name, part.service)
            for route in configuration.routes
            for part in route.parts
        }
        self._stats = {k: v for k, v in self._stats.items() if k in names}
        self.admission.keep_routes(names)

    def _update_connection_limits(self):
        configuration = self._routing_state.configuration
        if configuration is not None:
            self.backends.configure(configuration.services, self.host_count)

    def _on_servers(self, change):
        self.backends.keep(self.registry.all())
        self.shared_loads.keep(s.server_id for s in self.registry.all())
        self._limit_cold_servers(change.cold)
        for service in {s.service for s in change.added}:
            self._on_owners(service)

    def _limit_cold_servers(self, servers):
        """Share among the hosts what each cold server tolerates."""
        now = self.now()
        for server in servers:
            limit = self.availability.warmup_limit(server.service)
            if limit is not None:
                self.backends.stats(server).limit_while_cold(
                    availability.COLD_SHARE * limit.per_s,
                    self.host_count,
                    now + self.availability.cold_s(server),
                    now,
                )

    def _on_owners(self, service):
        for request in list(self._waiting[service]):
            request.owner_changed()
