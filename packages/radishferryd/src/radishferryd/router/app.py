"""Build and connect the components of a direct-mode host.

Such a host sends each request straight to the server that handles it.
"""

from __future__ import annotations

import gc
import logging
import math
import resource
import signal
import time

from circuits.core import Component

from radishferryd import exception_log
from radishferryd import poller as poller_module
from radishferryd import scheduler as scheduler_module
from radishferryd.platform import store as store_module
from radishferryd.router import callers
from radishferryd.router import crashes as crashes_module
from radishferryd.router import gateway as gateway_module
from radishferryd.router import hand_over
from radishferryd.router import hub as hub_module
from radishferryd.router import knowledge as knowledge_module
from radishferryd.router import links
from radishferryd.router import memory_account
from radishferryd.router import metrics as metrics_module
from radishferryd.router import ownership as ownership_module
from radishferryd.router import relay_directory
from radishferryd.router import relay_gateway
from radishferryd.router import shutdown as shutdown_module
from radishferryd.router import spoke as spoke_module
from radishferryd.router import status_http
from radishferryd.router import store_reader
from radishferryd.router import term as term_module

LOG = logging.getLogger(__name__)

#: Ticks of the process between sweeps over the connections of callers. The
#: sweep shares the timer of the tick so that an idle process wakes up less
#: often.
SWEEP_TICKS = 2
#: Seconds for which a stopping host keeps granting long holds while the store
#: does not answer: a few ticks of its timer. Its term ends 0.95 s after the
#: other hosts are asked for their consent.
EXTEND_GRANTS_S = 0.4
#: Seconds for which hosts that all start together wait for the granting host
#: before they read the store themselves.
FIRST_START_WAIT_S = 2.0
#: The same for a host that restarts: it finds a granting host and gets its
#: first message within about 20 ms, and refuses all callers until it has a
#: configuration and a list of servers.
RESTART_WAIT_S = 0.08


class App(Component):
    """Run one host: build its components and route events between them."""

    channel = 'router'

    def __init__(self, settings, log_stream=None):
        """Create the components; :meth:`listen` opens the sockets.

        :param settings: A :class:`~radishferryd.router.settings.Settings`.
        :param log_stream: A
            :class:`~radishferryd.router.log_output.BoundedStream`, or None if
            the log is not limited.
        """
        super().__init__()
        self._settings = settings
        self._log_stream = log_stream
        self._poller = poller_module.SocketPoller().register(self)
        self._scheduler = scheduler_module.Scheduler().register(self)
        exception_log.ExceptionLog().register(self)
        self._metrics = metrics_module.Metrics()
        self._routing_state = knowledge_module.RoutingState(
            self._scheduler.now, settings.evacuation_within_s
        )
        self._crashes = crashes_module.CrashCounts()
        self._store = store_module.Store(
            self._poller, self._scheduler, settings.platform_address
        )
        self._reader = store_reader.StoreReader(
            self._store, self._scheduler, self._routing_state
        )
        self._memory = memory_account.MemoryAccount(
            settings.host_memory_mb,
            memory_account.caller_limit(_descriptors(settings)),
            self._scheduler.now,
        )
        self._gateway = gateway_module.Gateway(
            self._poller,
            self._scheduler,
            self._routing_state,
            self._crashes,
            settings,
            self._metrics,
            self._memory,
        )
        self._term = term_module.LeaderElector(
            self._store,
            self._scheduler,
            self,
            settings.host_name,
            '{}:{}'.format(*settings.listen_links),
            time.time_ns(),
            settings.host_link_mbps,
            self._store.eras,
            settings.host_is_first_start,
        )
        self._store.on_restored.append(self._reader.note_restored)
        self._ownership = ownership_module.Ownership(
            self._poller,
            self._scheduler,
            self._routing_state,
            self._term,
            settings.grants_hold_max_s,
            settings.host_name,
            lambda: self._gateway.host_count,
            self._gateway.links,
            settings.placement_spreads_groups,
        )
        self._routing_state.on_servers.append(self._ownership.servers_changed)
        self._relay_directory = relay_directory.RelayDirectory(
            self._scheduler,
            relay_directory.RelayHost(
                settings.host_name,
                settings.host_data_centre,
                settings.listen_relays,
            ),
            self.reaches_servers,
            self._set_own_relay_hosts,
        )
        self._hub = hub_module.Hub(
            self._scheduler,
            self._routing_state,
            self._ownership,
            self._crashes,
            settings.host_link_mbps,
            self._relay_directory,
            self.apply_loads,
        )
        self._spoke = spoke_module.Spoke(
            self._poller,
            self._scheduler,
            self._routing_state,
            self._reader,
            (
                settings.host_name,
                settings.host_data_centre,
                '{}:{}'.format(*settings.listen_relays),
            ),
            self,
        )
        self._isolation_hand_over = hand_over.HandOver(
            self._gateway.links,
            self._relay_directory,
            self._term,
            self._ownership,
            self.term_lost,
        )
        self._shutdown = shutdown_module.Shutdown(
            self._scheduler,
            self._gateway,
            settings.stop_grace_s,
            self._close_listeners,
            self._flush_log,
        )
        self._ticks = 0
        self._granter_timers = ()
        self._caller_listeners = ()
        self._started_at = self._scheduler.now()

    def listen(self):
        """Open the sockets and start the timers.

        :raises OSError: An address cannot be bound.
        """
        settings = self._settings
        poller, scheduler = self._poller, self._scheduler
        links.listen(poller, scheduler, settings.listen_links, self._hub)
        self._caller_listeners = (
            callers.listen(poller, settings.listen_callers, self._gateway),
            callers.listen(
                poller,
                settings.listen_relays,
                relay_gateway.RelayGateway(self._gateway),
                names_refusals=True,
            ),
        )
        status_http.listen(poller, settings.listen_ready, self)
        status_http.listen(poller, settings.listen_metrics, self)
        self._metrics.add_source(self._fill_gauges)
        scheduler.call_every(spoke_module.TICK_S, self._on_tick)
        self._spoke.wait_for_granter(
            FIRST_START_WAIT_S
            if settings.host_is_first_start
            else RESTART_WAIT_S
        )
        self._term.poll_soon()
        LOG.info(
            'app: Started.',
            extra={
                'host': settings.host_name,
                'data_centre': settings.host_data_centre,
                'callers': '{}:{}'.format(*settings.listen_callers),
                'first_start': settings.host_is_first_start,
            },
        )

    def reload(self):
        """Log that SIGHUP changes nothing.

        The settings file holds the addresses of the host and other values
        that are fixed while it runs. The rest of the configuration comes
        from the store and is applied as soon as it changes.
        """
        LOG.info('app: Ignored SIGHUP; settings apply at the next start.')

    # Called by the components.

    def needs_granter(self) -> bool:
        """Return whether this host has no link to a granting host."""
        return not self._spoke.is_linked

    def owners_read(self, rows):
        """Use the key owners that were read with the leadership row."""
        self._reader.apply_owners(rows)

    def rows_restored(self, rows):
        """Write the key owners again after a restore of the store."""
        self._ownership.rows_restored(rows)

    def granter_found(self, term):
        """Connect to the granting host."""
        self._spoke.connect(term.address)

    def granter_lost(self):
        """Look up the granting host in the store."""
        self._term.poll_soon()

    def term_taken(self):
        """Start granting keys, based on the current rows of the store."""
        if not self._granter_timers:
            call_every = self._scheduler.call_every
            self._granter_timers = (
                call_every(ownership_module.TICK_S, self._on_granting_tick),
                call_every(links.HEARTBEAT_S, self._hub.tick),
            )
        self._hub.begin(self._gateway.host_count)
        self._spoke.set_granter(True)
        self._start_granting()

    def term_lost(self):
        """Stop granting keys."""
        for timer in self._granter_timers:
            timer.cancel()
        self._granter_timers = ()
        self._ownership.end()
        self._hub.end()
        self._spoke.set_granter(False)

    def note_store_answer(self, answer) -> bool:
        """Record whether the store answered.

        :returns: Whether the answer is usable.
        """
        return self._reader.note_answer(answer)

    def set_host_count(self, count):
        """Set the number of hosts in the deployment."""
        if count != self._gateway.host_count:
            self._gateway.set_host_count(count)

    def adopt_crash_counts(self, counts):
        """Raise the crash counts to those of the granting host."""
        self._crashes.adopt(counts, self._scheduler.now())

    def take_load(self):
        """Return the load seen by this host since the last call."""
        return self._gateway.take_load()

    def reaches_servers(self) -> bool:
        """Return whether this host reaches servers, and does not stop."""
        return (
            self._gateway.links.reaches_servers
            and not self._shutdown.has_begun
        )

    def set_relay_hosts(self, hosts):
        """Set the hosts to which requests may be relayed.

        :param hosts: Tuples of name, data centre and address.
        """
        self._gateway.relays.set_hosts(hosts)

    def apply_loads(self, loads):
        """Use the loads of servers as merged by the granting host."""
        self._gateway.apply_loads(loads)

    def _set_own_relay_hosts(self, hosts):
        self.set_relay_hosts(
            [(host.name, host.data_centre, host.address) for host in hosts]
        )

    def repeat_announcements(self):
        """Queue all announcements of servers for the next load report."""
        self._gateway.announcements.resend_all()

    def _start_granting(self):
        """Read the current owners and take over granting from there."""

        def handle(answer):
            if not self._term.holds:
                return
            if self.note_store_answer(answer):
                self._ownership.begin(answer.rows, self._had_usual_holds())
            else:
                self._scheduler.call_later(0.2, self._start_granting)

        self._store.read(store_reader.OWN_TABLE, handle)

    def _had_usual_holds(self):
        """Return whether the previous granting host gave no long holds."""
        term = self._term
        return term.previous_had_usual_holds or (
            self._spoke.announced_holds.had_usual_holds(term.previous_version)
        )

    # Timers.

    def _on_granting_tick(self):
        self._term.tick()
        self._ownership.tick()
        self._hub.announce_renewal()

    def _on_tick(self):
        self._spoke.tick()
        self._isolation_hand_over.check()
        if not self._gateway.is_stopping:
            # A stopping host breaks off no request before its end.
            self._gateway.hang_monitor.check()
        self._report_load()
        self._ticks += 1
        if not self._ticks % SWEEP_TICKS:
            self._sweep()

    def _report_load(self):
        if self._ownership.is_active:
            self.set_host_count(self._hub.host_count)
            load = self._gateway.take_load()
            self._ownership.note_load(load.keys, load.speeds)
            self._hub.note_notices(self._settings.host_name, load.notices)
            self._hub.note_loads(load.loads)
        else:
            self._spoke.report(self._gateway.host_count)

    def _sweep(self):
        now = self._scheduler.now()
        self._gateway.backends.close_old()
        self._gateway.relays.close_old()
        self._memory.check()
        for connection in list(self._gateway.connections):
            connection.check_time(now)
        self._flush_log()

    def _flush_log(self):
        if self._log_stream is not None:
            self._log_stream.flush()

    # Status for the platform and operators.

    def is_ready(self) -> bool:
        """Return whether the host accepts requests from callers."""
        return not self._shutdown.has_begun and self._routing_state.is_complete

    def metrics(self) -> bytes:
        """Return all metrics in text format."""
        return self._metrics.render()

    def dump(self) -> dict:
        """Return the state of the process for the state dump."""
        now = self._scheduler.now()
        routing_state = self._routing_state
        configuration = routing_state.configuration
        return {
            'host': self._settings.host_name,
            'is_granter': self._ownership.is_active,
            'is_linked': self._spoke.is_linked,
            'is_isolated': self._gateway.links.is_isolated,
            'fails_to_connect': self._gateway.links.fails_to_connect,
            'is_stopping': self._shutdown.has_begun,
            'hosts': self._gateway.host_count,
            'relay_hosts': self._gateway.relays.host_count,
            'configuration': configuration.version if configuration else None,
            'registry_age_s': routing_state.registry.age(now),
            'configuration_age_s': routing_state.configuration_age_s,
            'open_requests': self._gateway.open_requests,
            'store_calls': self._store.calls,
            'store_era': self._store.eras.current,
            'evacuated': sorted(routing_state.availability.evacuated),
            'registry': [
                {
                    'server_id': server.server_id,
                    'born_ms': server.born_ms,
                    'service': server.service,
                    'address': '{}:{}'.format(*server.address),
                    'is_leaving': server.is_leaving,
                }
                for server in routing_state.registry.all()
            ],
            'servers': [
                {
                    'id': backend.server.server_id,
                    'service': backend.server.service,
                    'data_centre': backend.server.data_centre,
                    'in_flight': backend.stats.in_flight,
                    'load': backend.stats.load(now),
                    'service_s': backend.stats.service_s,
                    'failure_share': backend.stats.failure_share(now),
                    'is_paused': backend.stats.is_paused(now),
                    'asked_pause_s': backend.stats.requested_pause_s(now),
                    'connections': backend.open_connections,
                    'is_listed': self._gateway.backends.is_listed(backend),
                }
                for backend in self._gateway.backends
            ],
            'owners': {
                service: [
                    [s.start, s.end, s.owner[0], s.fence, s.is_settled]
                    for s in found.segments
                ]
                for service, found in routing_state.key_maps.items()
            },
            'poison': {
                f'{fingerprint:x}': count
                for fingerprint, count in self._crashes.counts.items()
            },
        }

    def _fill_gauges(self):
        metrics = self._metrics
        configuration = self._routing_state.configuration
        age = self._routing_state.registry.age(self._scheduler.now())
        metrics.hanging_services.set(len(self._gateway.outstanding.hanging))
        metrics.store_calls.set(self._store.calls)
        metrics.store_era.set(self._store.eras.current or 0)
        metrics.store_restores.set(self._store.eras.changes)
        for order, count in self._ownership.order_sender.counts.items():
            metrics.orders.set(count, order)
        metrics.shared_loads_age.set(
            min(1e9, self._gateway.shared_loads.age_s(self._scheduler.now()))
        )
        metrics.registry_age.set(min(age, 1e9))
        metrics.configuration_age.set(self._routing_state.configuration_age_s)
        metrics.configuration_version.set(
            configuration.version if configuration else 0
        )
        metrics.is_granter.set(int(self._ownership.is_active))
        metrics.is_isolated.set(int(self._gateway.links.is_isolated))
        metrics.fails_to_connect.set(int(self._gateway.links.fails_to_connect))
        metrics.failed_servers.set(self._gateway.links.failed_servers)
        metrics.server_crashes.set(self._gateway.crash_detector.crashes)
        metrics.poison_requests.set(
            self._crashes.count_poison(self._scheduler.now())
        )
        availability = self._routing_state.availability
        metrics.evacuated_data_centres.set(len(availability.evacuated))
        metrics.cold_servers.set(availability.cold_count)
        metrics.open_requests.set(self._gateway.open_requests)
        for kind in memory_account.Kind:
            metrics.held_bytes.set(self._memory.held(kind), kind.value)
        if self._log_stream is not None:
            metrics.dropped_lines.set(self._log_stream.dropped)

    # Planned stop.

    def begin_stop(self, signalled_at):
        """Start a planned stop that lets open requests finish.

        :param float signalled_at: When the host was told to stop, in seconds.
        """
        if self._shutdown.has_begun:
            return
        self._shutdown.begin(signalled_at)
        if self._ownership.extend_grants():
            self._scheduler.call_later(EXTEND_GRANTS_S, self._hand_over)
        else:
            self._hand_over()

    def _close_listeners(self):
        for listener in self._caller_listeners:
            listener.close()

    def _hand_over(self):
        if self._ownership.is_active:
            self._term.release(self._ownership.has_usual_holds)
            self._ownership.end()
            self._hub.announce_stop()


def _descriptors(settings):
    """Return how many descriptors the process may use."""
    if settings.host_max_fds:
        return settings.host_max_fds
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if limit == resource.RLIM_INFINITY else limit


def run(settings, log_stream=None) -> int:
    """Run the process until a planned stop ends it.

    :param settings: A :class:`~radishferryd.router.settings.Settings`.
    :param log_stream: See :class:`App`.
    :returns: Exit code.
    """
    app = App(settings, log_stream)
    try:
        app.listen()
    except OSError as exc:
        LOG.error('app: Cannot listen: %s.', exc)
        return 1
    scheduler = app._scheduler

    def stop(*_):
        signalled_at = scheduler.now()
        scheduler.call_later(0.0, lambda: app.begin_stop(signalled_at))

    def install_handlers():
        signal.signal(signal.SIGTERM, stop)
        signal.signal(
            signal.SIGHUP, lambda *_: scheduler.call_later(0.0, app.reload)
        )

    # Deferred, because circuits installs its own handlers when the loop
    # starts.
    scheduler.call_later(0.0, install_handlers)
    # Module-level objects live as long as the process; exclude them from
    # garbage collection.
    gc.collect()
    gc.freeze()
    app.run()
    return 0
