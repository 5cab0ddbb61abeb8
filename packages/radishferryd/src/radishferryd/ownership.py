"""Run the coordinators of this host and carry out their actions."""

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
#: Seconds until a lease request counts as unanswered.
LEASE_TIMEOUT_S = 0.2
#: Most connections to a server for lease requests; a request that was given
#: up may still be closing.
LEASE_CONNECTIONS = 4
#: Seconds without a turn of the loop after which a pause is logged.  Servers
#: refuse the terms that the host lost meanwhile.
PAUSE_S = 0.25
#: Seconds between repeated requests to a host to take a server over.
HAND_OVER_INTERVAL_S = 0.5
#: Seconds after the start in which a lease that a former process of this
#: host renewed may not have lapsed.
FENCE_MEMORY_S = lease.LEASE_TTL_S + lease.LAPSE_MARGIN_S
#: Seconds without a report on a server after which its first host takes it
#: over although another host was said to act, and seconds until the next host
#: does.  What a host knows of a process that has ended can be stale.
UNREPORTED_S = 3.0
NEXT_HOST_S = 1.0


@dataclasses.dataclass
class Owned:
    """Hold what this host keeps for one server."""

    service: manifest.Service
    server: manifest.Server
    coordinator: coordinator_module.Coordinator
    dispatcher: dispatch.ServerDispatcher
    client: http_client.JsonClient
    hand_over_to: str = ''
    is_retiring: bool = False
    handed_over_at: float = float('-inf')
    since: float = float('-inf')


class Ownership:
    """Coordinate servers for this host.

    The owner of this object, the application, passes messages in and offers
    the connections out; see :class:`radishferryd.app.App`.
    """

    def __init__(self, app):
        """Begin without servers.

        :param app: Offers ``poller``, ``scheduler``, ``host_name``,
            ``table``, ``routes``, ``spread``, ``links``, ``membership``,
            ``observer_for(service, server)`` and ``counters``.
        """
        self._app = app
        self._owned = {}
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
            actions.ReplyReleased: self._messages.reply_released,
            actions.QuerySuccessors: self._messages.query_successors,
            actions.PromoteStandby: self._messages.promote_standby,
            actions.StopWork: self._stop_work,
            actions.StartWork: self._start_work,
            actions.RangesTaken: self._ranges_taken,
            actions.HandOver: self._hand_over,
        }
        app.scheduler.call_every(TICK_S, self._tick)

    @property
    def owned(self) -> dict[str, Owned]:
        """Return what is kept for each server, by its name."""
        return self._owned

    def dispatcher(self, server) -> dispatch.ServerDispatcher | None:
        """Return the dispatcher of a server this host coordinates."""
        owned = self._owned.get(server)
        if owned is None or not owned.coordinator.term:
            return None
        return owned.dispatcher

    def configure(self, manifest):
        """Add and remove servers by a manifest.

        :param manifest: The :class:`~radishferry.manifest.Manifest`.
        """
        wanted = {
            server.name: (service, server)
            for service in manifest.services
            for server in service.servers
            if server.state != 'lost'
        }
        for name, owned in self._owned.items():
            # A server that left the manifest is kept until its ranges are
            # released; nobody else could release them.
            owned.is_retiring = name not in wanted
            if not owned.is_retiring:
                owned.service, owned.server = wanted[name]
                owned.dispatcher.reconfigure(owned.service, owned.server)

    def coordinators_assigned(self, service, assignments):
        """Take the coordinator assignments of a service.

        :param service: The :class:`~radishferry.manifest.Service`.
        :param assignments: Server name to
            :class:`~radishferry.assignment.CoordinatorAssignment`.
        """
        now = self._app.scheduler.now()
        for name, found in assignments.items():
            server = service.server(name)
            is_mine = self._app.host_name in found.hosts
            if server is None or server.state == 'lost':
                continue
            if name not in self._owned:
                if not is_mine:
                    continue
                self._add(service, server)
            owned = self._owned[name]
            self._run(
                owned,
                owned.coordinator.ranges_assigned(
                    self._app.routes.assignments(service.name), now
                ),
            )
            self._run(
                owned,
                owned.coordinator.assigned(
                    found, now, is_other_live=self._is_other_live(name)
                ),
            )

    def ranges_assigned(self, service_name, rows):
        """Take range assignments of a service.

        :param rows: Range id to
            :class:`~radishferry.assignment.RangeAssignment`.
        """
        now = self._app.scheduler.now()
        for owned in self._of_service(service_name):
            self._run(owned, owned.coordinator.ranges_assigned(rows, now))

    def route_seen(self, service_name, range_id, epoch):
        """Take a route that another host announced."""
        for owned in self._of_service(service_name):
            owned.coordinator.route_seen(range_id, epoch)

    def hand_over_all(self):
        """Hand every server over, because the host stops."""
        for name, owned in list(self._owned.items()):
            if not owned.coordinator.term:
                continue
            hosts = owned.coordinator.hosts
            owned.hand_over_to = self._live_successor(hosts)
            self._hand_over_again(name, owned)

    @property
    def is_handing_over(self) -> bool:
        """Tell whether a server is being handed to another host."""
        return any(
            o.hand_over_to and o.coordinator.term for o in self._owned.values()
        )

    @property
    def is_idle(self) -> bool:
        """Tell whether no request waits or runs here."""
        return all(o.dispatcher.is_idle for o in self._owned.values())

    # Messages of peers.

    def release_request(self, host, message):
        """Take a ``ReleaseRequest``."""
        owned = self._owned.get(message.server)
        if owned is None:
            return
        self._run(
            owned,
            owned.coordinator.release_requested(
                host, message.range_id, message.epoch, self._now()
            ),
        )

    def released(self, host, message):
        """Take a ``Released``."""
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
        """Take a ``Promote``."""
        owned = self._owned.get(message.server)
        if owned is None:
            return
        self._run(
            owned,
            owned.coordinator.promoted(
                message.server_term, message.epochs, self._now()
            ),
        )

    def loss_query(self, host, message):
        """Answer a ``LossQuery``."""
        if self._now() < self._started_at + FENCE_MEMORY_S:
            # A former process of this host may have sent a fence and
            # renewals that still hold.  The query is repeated.
            return
        owned = self._owned.get(message.server)
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
        """Take a ``LossReply``."""
        owned = self._owned.get(message.server)
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
        """Take a ``TakeOver``."""
        for name, term in zip(message.servers, message.terms):
            owned = self._owned.get(name)
            if owned is None:
                continue
            LOG.info('ownership: %s hands %s over.', host, name)
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
            for owned in self._owned.values()
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
        )
        owned = Owned(service, server, coordinator, dispatcher, client)
        owned.since = self._now()
        dispatcher.probe = functools.partial(self._probe, owned)
        self._owned[server.name] = owned

    def _probe(self, owned):
        self._run(owned, owned.coordinator.probe(self._now()))

    def _remove(self, name):
        owned = self._owned.pop(name)
        self._run(owned, owned.coordinator.stand_down())
        owned.client.close()
        owned.dispatcher.pool.close()

    def _tick(self):
        now = self._now()
        was_paused = now - self._last_tick > PAUSE_S
        self._last_tick = now
        for name, owned in list(self._owned.items()):
            coordinator = owned.coordinator
            if was_paused and coordinator.term:
                LOG.warning('ownership: Resumed after a pause.')
                was_paused = False
            if coordinator.state == 'waiting':
                if self._should_take_over(name, coordinator):
                    LOG.info('ownership: Taking over %s.', name)
                    self._app.metrics.takeovers.inc(owned.service.name)
                    self._run(owned, coordinator.take_over(now))
                continue
            self._hand_over_again(name, owned)
            self._run(owned, coordinator.tick(now))
            if owned.is_retiring and coordinator.holds_nothing:
                LOG.info('ownership: %s is not in the manifest.', name)
                self._remove(name)

    def _is_other_live(self, name):
        if self._app.links.has_wrong_key:
            # The others are live, but would not hear of a takeover.
            return True
        known = self._app.routes.coordinator_of(name)
        if known is None or known[0] == self._app.host_name:
            return False
        return self._app.membership.is_live(known[0], self._now())

    def _should_take_over(self, name, coordinator):
        hosts = coordinator.hosts
        me = self._app.host_name
        if me not in hosts or self._app.is_stopping:
            return False
        if self._app.links.has_wrong_key or not coordinator.can_take_over:
            return False
        now = self._now()
        is_live = self._app.membership.is_live
        host, term = self._app.routes.coordinator_of(name) or ('', 0)
        my_term = coordinator.base_term + hosts.index(me)
        if my_term < term:
            return False
        reported_at = self._app.planner.reported_at(name)
        silent_s = now - max(reported_at, self._owned[name].since)
        if silent_s > UNREPORTED_S + NEXT_HOST_S * hosts.index(me):
            return True
        if host not in ('', me) and (is_live(host, now) or my_term == term):
            return False
        # Hosts whose terms are used up cannot act although they are live.
        return not any(
            is_live(earlier, now)
            for number, earlier in enumerate(hosts, coordinator.base_term)
            if term < number < my_term
        )

    def _live_successor(self, hosts):
        now = self._now()
        me = self._app.host_name
        later = hosts[hosts.index(me) + 1 :] if me in hosts else ()
        return next(
            (h for h in later if self._app.membership.is_live(h, now)), ''
        )

    def _hand_over_again(self, name, owned):
        host = owned.hand_over_to
        now = self._now()
        if not host or now < owned.handed_over_at + HAND_OVER_INTERVAL_S:
            return
        if not self._app.membership.is_live(host, now):
            owned.hand_over_to = ''
            self._run(owned, owned.coordinator.confirm_term(now))
            return
        term = owned.coordinator.term
        message = ttypes.TakeOver(owned.service.name, [name], [term])
        if not self._app.links.send(host, 'take_over', message):
            return
        LOG.info('ownership: Handing %s over to %s.', name, host)
        owned.handed_over_at = now
        owned.coordinator.hand_over(host)

    def _run(self, owned, todo):
        for action in todo:
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
            todo = coordinator.lease_failed(now, refused=refused)
        elif result.status == 200 and isinstance(result.body, dict):
            todo = coordinator.lease_answered(_answer(seq, result), now)
            todo += self._yield_to_higher_term(owned)
        elif result.status == 409 and isinstance(result.body, dict):
            todo = coordinator.lease_refused(seq, result.body['term'], now)
            if not coordinator.term:
                LOG.warning(
                    'ownership: %s refused term of this host; its term is %d.',
                    owned.server.name,
                    result.body['term'],
                )
                self._messages.announce_refusal(owned, result.body['term'])
        else:
            todo = coordinator.lease_failed(now)
        if boot_id and coordinator.boot_id not in (None, boot_id):
            owned.dispatcher.crashed(f'{owned.server.name}/{boot_id}')
        self._run(owned, todo)
        if coordinator.term:
            owned.dispatcher.pump()

    def _yield_to_higher_term(self, owned):
        # A restarted server accepts a term that was superseded.  All other
        # hosts go by the higher one and would send no messages here.
        known = self._app.routes.coordinator_of(owned.server.name)
        if known is None or known[1] <= owned.coordinator.term:
            return []
        return owned.coordinator.stand_down()

    def _read_baseline(self, owned, action):
        # The term may be raised meanwhile.
        takeovers = owned.coordinator.takeovers

        def done(result):
            if owned.coordinator.takeovers != takeovers:
                return
            if not isinstance(result, list):
                self._app.scheduler.call_later(
                    1.0, lambda: self._retry_baseline(owned, action, takeovers)
                )
                return
            rows = self._app.state.take_rows(result)
            self._run(
                owned,
                owned.coordinator.baseline_read(
                    rows.get(owned.service.name, {}), self._now()
                ),
            )

        self._app.table.read(f'ranges/{owned.service.name}/', done)

    def _retry_baseline(self, owned, action, takeovers):
        acts = owned.coordinator.term
        if acts and owned.coordinator.takeovers == takeovers:
            self._read_baseline(owned, action)

    def _stop_work(self, owned, action):
        LOG.info(
            'ownership: No work is sent to %s, state %s.',
            owned.server.name,
            owned.coordinator.state,
        )
        if action.give_up:
            owned.hand_over_to = ''
            owned.dispatcher.give_up()
        if action.is_lost:
            owned.dispatcher.abandon()

    def _start_work(self, owned, action):
        LOG.info('ownership: %s takes work.', owned.server.name)
        owned.dispatcher.pump()

    def _ranges_taken(self, owned, action):
        owned.dispatcher.observer.ranges_taken(action.range_ids, self._now())

    def _hand_over(self, owned, action):
        owned.hand_over_to = action.host


def _answer(seq, result):
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
