"""Run the coordinators of this host and execute their actions."""

from __future__ import annotations

import dataclasses
import functools
import logging
import time
import typing

from radishferry import actions
from radishferry import coordinator as coordinator_module
from radishferry import lease
from radishferryd import dispatch
from radishferryd import http_client
from radishferryd import owner_messages
from radishferryd.gen import ttypes

if typing.TYPE_CHECKING:
    from radishferry import manifest

LOG = logging.getLogger(__name__)

#: Seconds between calls of ``Coordinator.tick``.
TICK_S = 0.01
#: Timeout of a lease request, in seconds.
LEASE_TIMEOUT_S = 0.2
#: Maximum number of connections to a server for lease requests.  The
#: connection of a request that timed out may still be closing.
LEASE_CONNECTIONS = 4
#: Largest answer of a server about its lease, in bytes: some tens of bytes for
#: each range. A faulty server may send endless data.
MAX_LEASE_BYTES = 1048576
#: Seconds between ticks of the event loop above which a pause of the process
#: is logged.  Servers then refuse the terms that the host lost meanwhile.
PAUSE_THRESHOLD_S = 0.25
#: Seconds after which a request to a host to take over a server is repeated.
HANDOVER_RETRY_S = 0.5
#: Seconds after the start during which a lease that an earlier process of
#: this host renewed may still be valid.
PREVIOUS_LEASE_S = lease.LEASE_TTL_S + lease.EXPIRY_MARGIN_S
#: Seconds without a load report on a server after which the first host in its
#: list takes it over even if another host was announced as its coordinator:
#: the announcement may come from a process that has since ended.  Each later
#: host in the list waits ``TAKEOVER_STAGGER_S`` longer.
REPORT_TIMEOUT_S = 3.0
TAKEOVER_STAGGER_S = 1.0


@dataclasses.dataclass
class CoordinatedServer:
    """Keep the coordinator of one server and the objects that serve it."""

    service: manifest.Service
    server: manifest.Server
    coordinator: coordinator_module.Coordinator
    dispatcher: dispatch.ServerDispatcher
    client: http_client.JsonClient
    hand_over_to: str = ''
    is_retiring: bool = False
    handover_sent_at: float = float('-inf')
    added_at: float = float('-inf')


class Ownership:
    """Coordinate servers for this host.

    The application creates this object, passes received messages to it and
    provides the connections for sending; see :class:`radishferryd.app.App`.
    """

    def __init__(self, app):
        """Initialise without servers.

        :param app: Provides ``poller``, ``scheduler``, ``host_name``,
            ``is_stopping``, ``table``, ``routes``, ``broadcaster``, ``links``,
            ``membership``, ``metrics``, ``planner``, ``state`` and
            ``observer_for(service, server)``.
        """
        self._app = app
        self._coordinated = {}
        self._started_at = app.scheduler.now()
        self._last_tick = app.scheduler.now()
        self._messages = owner_messages.OwnerMessages(app, self)
        self._handlers = {
            actions.SendLease: self._send_lease,
            actions.ReadBaseline: self._read_baseline,
            actions.AnnounceCoordinator: self._messages.announce_coordinator,
            actions.AnnounceRoutes: self._messages.announce_routes,
            actions.AnnounceOrphans: self._messages.announce_orphans,
            actions.RequestRelease: self._messages.request_release,
            actions.ConfirmRelease: self._messages.confirm_release,
            actions.QuerySuccessors: self._messages.query_successors,
            actions.PromoteStandby: self._messages.promote_standby,
            actions.StopWork: self._stop_work,
            actions.StartWork: self._start_work,
            actions.RangesActivated: self._ranges_activated,
            actions.HandOver: self._hand_over,
        }
        app.scheduler.call_every(TICK_S, self._tick)

    @property
    def coordinated(self) -> dict[str, CoordinatedServer]:
        """Return the record of each server, by server name."""
        return self._coordinated

    def dispatcher(self, server) -> dispatch.ServerDispatcher | None:
        """Return the dispatcher of a server that this host coordinates.

        :returns: None while this host does not coordinate the server.
        """
        owned = self._coordinated.get(server)
        if owned is None or not owned.coordinator.term:
            return None
        return owned.dispatcher

    def configure(self, manifest):
        """Update the coordinated servers and retire those that were removed.

        A server is retired when the manifest no longer has it.

        :param manifest: The :class:`~radishferry.manifest.Manifest`.
        """
        wanted = {
            server.name: (service, server)
            for service in manifest.services
            for server in service.servers
            if server.state != 'lost'
        }
        for name, owned in self._coordinated.items():
            # A server that was removed from the manifest is kept until its
            # ranges are released, because no other host can release them.
            owned.is_retiring = name not in wanted
            if not owned.is_retiring:
                owned.service, owned.server = wanted[name]
                owned.dispatcher.reconfigure(owned.service, owned.server)

    def coordinators_assigned(self, service, assignments):
        """Apply the coordinator assignments of a service.

        :param service: The :class:`~radishferry.manifest.Service`.
        :param assignments: Server name to
            :class:`~radishferry.assignment.CoordinatorAssignment`.
        """
        now = self._app.scheduler.now()
        for name, assigned in assignments.items():
            server = service.server(name)
            is_assigned_here = self._app.host_name in assigned.hosts
            if server is None or server.state == 'lost':
                continue
            if name not in self._coordinated:
                if not is_assigned_here:
                    continue
                self._add(service, server)
            owned = self._coordinated[name]
            self._run(
                owned,
                owned.coordinator.ranges_assigned(
                    self._app.routes.assignments(service.name), now
                ),
            )
            self._run(
                owned,
                owned.coordinator.assigned(
                    assigned, now, is_other_live=self._is_other_live(name)
                ),
            )

    def ranges_assigned(self, service_name, rows):
        """Apply range assignments of a service.

        :param rows: Range id to
            :class:`~radishferry.assignment.RangeAssignment`.
        """
        now = self._app.scheduler.now()
        for owned in self._of_service(service_name):
            self._run(owned, owned.coordinator.ranges_assigned(rows, now))

    def route_seen(self, service_name, range_id, epoch):
        """Handle a route that another host announced."""
        for owned in self._of_service(service_name):
            owned.coordinator.route_seen(range_id, epoch)

    def hand_over_all(self):
        """Hand all servers over to other hosts before this host stops."""
        for name, owned in list(self._coordinated.items()):
            if not owned.coordinator.term:
                continue
            hosts = owned.coordinator.hosts
            owned.hand_over_to = self._live_successor(hosts)
            self._send_handover(name, owned)

    @property
    def is_handing_over(self) -> bool:
        """Return whether a server is being handed over to another host."""
        return any(
            o.hand_over_to and o.coordinator.term
            for o in self._coordinated.values()
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no request is queued or in flight."""
        return all(o.dispatcher.is_idle for o in self._coordinated.values())

    # Messages of peers.

    def release_request(self, host, message):
        """Handle a ``ReleaseRequest``."""
        owned = self._coordinated.get(message.server)
        if owned is None:
            return
        self._run(
            owned,
            owned.coordinator.release_requested(
                host, message.range_id, message.epoch, self._now()
            ),
        )

    def released(self, host, message):
        """Handle a ``Released``."""
        for owned in self._of_service(message.service_name):
            self._run(
                owned,
                owned.coordinator.released(
                    message.server,
                    message.range_id,
                    message.epoch,
                    self._now(),
                ),
            )

    def promote(self, host, message):
        """Handle a ``Promote``."""
        owned = self._coordinated.get(message.server)
        if owned is None:
            return
        self._run(
            owned,
            owned.coordinator.promotion_requested(
                message.server_term, message.epochs, self._now()
            ),
        )

    def loss_query(self, host, message):
        """Answer a ``LossQuery``."""
        if self._now() < self._started_at + PREVIOUS_LEASE_S:
            # An earlier process of this host may have fenced the server and
            # renewed a lease that is still valid.  The sender repeats the
            # query.
            return
        owned = self._coordinated.get(message.server)
        fenced_term = owned.coordinator.fenced_term if owned else 0
        base_term = owned.coordinator.base_term if owned else 0
        reply = ttypes.LossReply(
            message.service_name,
            message.server,
            message.query_id,
            fenced_term > message.term,
            base_term,
        )
        self._app.links.send(host, 'loss_reply', reply)

    def loss_reply(self, host, message):
        """Handle a ``LossReply``."""
        owned = self._coordinated.get(message.server)
        if owned is None:
            return
        self._run(
            owned,
            owned.coordinator.successor_replied(
                host,
                message.query_id,
                message.has_fenced,
                message.base_term,
                self._now(),
            ),
        )

    def take_over(self, host, message):
        """Handle a ``TakeOver``."""
        for name, term in zip(message.servers, message.terms):
            owned = self._coordinated.get(name)
            if owned is None:
                continue
            LOG.info('ownership: %s is handing over %s.', host, name)
            self._run(
                owned,
                owned.coordinator.take_over(self._now(), handover_term=term),
            )

    # Private.

    def _now(self):
        return self._app.scheduler.now()

    def _of_service(self, service_name):
        return [
            owned
            for owned in self._coordinated.values()
            if owned.service.name == service_name
        ]

    def _add(self, service, server):
        app = self._app
        coordinator = coordinator_module.Coordinator(
            server.name,
            app.host_name,
            service.ranges,
            time.time_ns() // 1_000_000,
        )
        dispatcher = dispatch.ServerDispatcher(
            app.poller,
            app.scheduler,
            service,
            server,
            coordinator,
            app.observer_for(service, server),
        )
        client = http_client.JsonClient(
            app.poller,
            app.scheduler,
            server.socket_address,
            limit=LEASE_CONNECTIONS,
            max_bytes=MAX_LEASE_BYTES,
        )
        owned = CoordinatedServer(
            service, server, coordinator, dispatcher, client
        )
        owned.added_at = self._now()
        dispatcher.probe = functools.partial(self._probe, owned)
        self._coordinated[server.name] = owned

    def _probe(self, owned):
        self._run(owned, owned.coordinator.probe(self._now()))

    def _remove(self, name):
        owned = self._coordinated.pop(name)
        self._run(owned, owned.coordinator.stand_down())
        owned.client.close()
        owned.dispatcher.pool.close()

    def _tick(self):
        now = self._now()
        was_paused = now - self._last_tick > PAUSE_THRESHOLD_S
        self._last_tick = now
        for name, owned in list(self._coordinated.items()):
            coordinator = owned.coordinator
            if was_paused and coordinator.term:
                LOG.warning(
                    'ownership: The process was paused; '
                    'servers may have new coordinators.'
                )
                was_paused = False
            if coordinator.state == 'waiting':
                if self._should_take_over(name, coordinator):
                    LOG.info('ownership: Taking over %s.', name)
                    self._app.metrics.takeovers.inc(owned.service.name)
                    self._run(owned, coordinator.take_over(now))
                continue
            self._send_handover(name, owned)
            self._run(owned, coordinator.tick(now))
            if owned.is_retiring and coordinator.holds_nothing:
                LOG.info('ownership: Removed %s, not in the manifest.', name)
                self._remove(name)

    def _is_other_live(self, name):
        if self._app.links.has_wrong_key:
            # The other hosts are live but reject the links of this one, so
            # they would not learn of a takeover.
            return True
        known = self._app.routes.coordinator_of(name)
        if known is None or known[0] == self._app.host_name:
            return False
        return self._app.membership.is_live(known[0], self._now())

    def _should_take_over(self, name, coordinator):
        hosts = coordinator.hosts
        this_host = self._app.host_name
        if this_host not in hosts or self._app.is_stopping:
            return False
        if self._app.links.has_wrong_key or not coordinator.can_take_over:
            return False
        now = self._now()
        is_live = self._app.membership.is_live
        host, term = self._app.routes.coordinator_of(name) or ('', 0)
        own_term = coordinator.base_term + hosts.index(this_host)
        if own_term < term:
            return False
        reported_at = self._app.planner.reported_at(name)
        silent_s = now - max(reported_at, self._coordinated[name].added_at)
        if silent_s > REPORT_TIMEOUT_S + TAKEOVER_STAGGER_S * hosts.index(
            this_host
        ):
            return True
        if host not in ('', this_host) and (
            is_live(host, now) or own_term == term
        ):
            return False
        # A live host whose terms are used up cannot coordinate the server.
        return not any(
            is_live(earlier, now)
            for number, earlier in enumerate(hosts, coordinator.base_term)
            if term < number < own_term
        )

    def _live_successor(self, hosts):
        now = self._now()
        this_host = self._app.host_name
        later = (
            hosts[hosts.index(this_host) + 1 :] if this_host in hosts else ()
        )
        return next(
            (h for h in later if self._app.membership.is_live(h, now)), ''
        )

    def _send_handover(self, name, owned):
        host = owned.hand_over_to
        now = self._now()
        if not host or now < owned.handover_sent_at + HANDOVER_RETRY_S:
            return
        if not self._app.membership.is_live(host, now):
            owned.hand_over_to = ''
            self._run(owned, owned.coordinator.adopt_reserved_term(now))
            return
        term = owned.coordinator.term
        message = ttypes.TakeOver(owned.service.name, [name], [term])
        if not self._app.links.send(host, 'take_over', message):
            return
        LOG.info('ownership: Handing over %s to %s.', name, host)
        owned.handover_sent_at = now
        owned.coordinator.hand_over(host)

    def _run(self, owned, pending):
        for action in pending:
            self._handlers[type(action)](owned, action)

    def _send_lease(self, owned, action):
        body = {
            'term': action.term,
            'seq': action.seq,
            'expires_at_ms': action.expires_at_ms,
            'ranges': None,
            'boot_id': action.boot_id,
        }
        if action.ranges is not None:
            body['ranges'] = {str(r): e for r, e in action.ranges.items()}
        done = functools.partial(self._lease_done, owned, action.seq)
        owned.client.call('POST', '/lease', body, LEASE_TIMEOUT_S, done)

    def _lease_done(self, owned, seq, result):
        now = self._now()
        coordinator = owned.coordinator
        boot_id = coordinator.boot_id
        if isinstance(result, http_client.JsonFailure):
            refused = not result.was_sent
            if refused and boot_id and coordinator.state == 'serving':
                owned.dispatcher.crashed(f'{owned.server.name}/{boot_id}')
            pending = coordinator.lease_failed(now, connection_refused=refused)
        elif result.status == 200 and isinstance(result.body, dict):
            pending = coordinator.lease_answered(
                _lease_answer(seq, result), now
            )
            pending += self._yield_to_higher_term(owned)
        elif result.status == 409 and isinstance(result.body, dict):
            pending = coordinator.lease_refused(seq, result.body['term'], now)
            if not coordinator.term:
                LOG.warning(
                    'ownership: %s refused the term of this host; '
                    'the server has term %d.',
                    owned.server.name,
                    result.body['term'],
                )
                self._messages.announce_refusal(owned, result.body['term'])
        else:
            pending = coordinator.lease_failed(now)
        if boot_id and coordinator.boot_id not in (None, boot_id):
            owned.dispatcher.crashed(f'{owned.server.name}/{boot_id}')
        self._run(owned, pending)
        if coordinator.term:
            owned.dispatcher.pump()

    def _yield_to_higher_term(self, owned):
        # A restarted server accepts a superseded term.  All other hosts
        # follow the higher term and would send no messages to this host.
        known = self._app.routes.coordinator_of(owned.server.name)
        if known is None or known[1] <= owned.coordinator.term:
            return []
        return owned.coordinator.stand_down()

    def _read_baseline(self, owned, action):
        # The answer is ignored if this host has taken the server over again,
        # under a higher term, since the read began.
        takeovers = owned.coordinator.takeovers

        def done(result):
            if owned.coordinator.takeovers != takeovers:
                return
            if not isinstance(result, list):
                self._app.scheduler.call_later(
                    1.0, lambda: self._retry_baseline(owned, action, takeovers)
                )
                return
            rows = self._app.state.apply_rows(result)
            self._run(
                owned,
                owned.coordinator.baseline_read(
                    rows.get(owned.service.name, {}), self._now()
                ),
            )

        self._app.table.read(f'ranges/{owned.service.name}/', done)

    def _retry_baseline(self, owned, action, takeovers):
        is_active = owned.coordinator.term
        if is_active and owned.coordinator.takeovers == takeovers:
            self._read_baseline(owned, action)

    def _stop_work(self, owned, action):
        LOG.info(
            'ownership: Stopped sending work to %s, state %s.',
            owned.server.name,
            owned.coordinator.state,
        )
        if action.refuse_queued:
            owned.hand_over_to = ''
            owned.dispatcher.refuse_queued()
        if action.is_lost:
            owned.dispatcher.abandon()

    def _start_work(self, owned, action):
        LOG.info('ownership: Started sending work to %s.', owned.server.name)
        owned.dispatcher.pump()

    def _ranges_activated(self, owned, action):
        owned.dispatcher.observer.ranges_activated(
            action.range_ids, self._now()
        )

    def _hand_over(self, owned, action):
        owned.hand_over_to = action.host


def _lease_answer(seq, result):
    body = result.body
    return coordinator_module.LeaseAnswer(
        lease.ClockReading(
            body['clock_ms'], result.sent_at, result.received_at
        ),
        body['boot_id'],
        seq,
        body['previous_term'],
        {int(r): e for r, e in body['ranges'].items()},
    )
