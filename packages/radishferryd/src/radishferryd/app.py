"""Wire the parts of the process together."""

from __future__ import annotations

import gc
import itertools
import logging
import signal
import time

from circuits.core import Component
import orjson

from radishferry import assignment
from radishferry import hosts as hosts_module
from radishferry import membership as membership_module
from radishferry import outcomes
from radishferry import routing
from radishferryd import admin
from radishferryd import events
from radishferryd import gateway as gateway_module
from radishferryd import http_server
from radishferryd import manifests
from radishferryd import metrics as metrics_module
from radishferryd import ownership as ownership_module
from radishferryd import peer
from radishferryd import planner as planner_module
from radishferryd import platform
from radishferryd import policy
from radishferryd import poller as poller_module
from radishferryd import scheduler as scheduler_module
from radishferryd import spread as spread_module
from radishferryd import state_dump
from radishferryd import streams
from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

#: Seconds without an answer to heartbeats after which a link is closed.
LINK_SILENT_S = 0.3
#: Seconds between readings of the host list by a relay and by others.
HOSTS_RELAY_S = 1.0
HOSTS_OTHER_S = 10.0
#: Seconds between reports of servers to the hosts of the data centre.
REPORT_S = 0.5
#: Seconds that a stopping host still accepts callers, until the balancer has
#: noticed that it is not ready.
STOP_GRACE_S = 1.0
#: Seconds after which a stopping host ends although requests are open.
STOP_LIMIT_S = 60.0
#: Rows in one push, so that a frame stays below its limit.
ROWS_PER_PUSH = 8
#: Routes in one push.
ROUTES_PER_PUSH = 2000

_STREAM_TO_ENTRY = frozenset(('response_head', 'response_chunk', 'refused'))
_STREAM_TO_COORDINATOR = frozenset(('request_head', 'request_chunk', 'cancel'))


class App(Component):
    """Be one entry host."""

    channel = 'control'

    def __init__(self, settings):
        """Build the parts; :meth:`listen` opens the sockets.

        :param settings: A :class:`~radishferryd.settings.Settings`.
        """
        super().__init__()
        self.settings = settings
        self.host_name = settings.host_name
        self.data_centre = settings.host_data_centre
        self.incarnation = time.time_ns() // 1_000_000
        self.is_stopping = False
        self.poller = poller_module.SocketPoller().register(self)
        self.scheduler = scheduler_module.Scheduler().register(self)
        self.metrics = metrics_module.Metrics()
        self.routes = routing.RouteTable()
        self.membership = membership_module.Membership(
            self.host_name, self.data_centre
        )
        self.table = platform.HttpPlatform(
            self.poller,
            self.scheduler,
            settings.platform_address,
            settings.platform_timeout_ms / 1000,
            self.host_name,
        )
        self.links = peer.LinkPool(
            self.poller,
            self.scheduler,
            self,
            ttypes.Challenge(
                self.host_name, self.data_centre, self.incarnation
            ),
            settings.peers_shared_key.encode(),
        )
        self.spread = spread_module.Spread(self)
        self.manifest = None
        self.manifests = manifests.Manifests(self, self._apply_manifest)
        self.policy = policy.Policy(self)
        self.gateway = gateway_module.Gateway(
            self, self.policy.budget, self.policy.chooser
        )
        self.ownership = ownership_module.Ownership(self)
        self.planner = planner_module.Planner(self).register(self)
        self._host_infos = {}
        self._rows = {}
        self._outbound = {}
        self._inbound = {}
        self._answered_at = {}
        self._sequence = itertools.count(1)
        self._hosts_due_at = 0.0
        self._callers = None
        self._admin = None
        self._stop_at = None

    @property
    def host_infos(self):
        """Return the hosts of the platform's list."""
        return list(self._host_infos.values())

    def listen(self):
        """Open the sockets and begin.

        :raises OSError: An address cannot be bound.
        """
        settings = self.settings
        self.links.listen(settings.listen_peers)
        self._callers = http_server.listen(
            self.poller, settings.listen_callers, self.gateway
        )
        self._admin = admin.Admin(
            settings.listen_admin, settings.admin_token, _Operations(self)
        ).register(self)
        state_dump.DumpOnSignal(self.dump).register(self)
        self.metrics.add_source(self._fill_gauges)
        self.scheduler.call_every(
            membership_module.HEARTBEAT_S, self._heartbeat
        )
        self.scheduler.call_every(REPORT_S, self._report)
        self.scheduler.call_every(0.2, self._read_hosts_if_due)
        self.manifests.load()

    # Requests.

    def dispatch(self, request, sink):
        """Run a request on a server that this host coordinates."""
        dispatcher = self.ownership.dispatcher(request.server)
        if dispatcher is None or not self._is_current_range(request):
            sink.on_refused(
                outcomes.Refusal(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.STALE_ROUTE,
                    0.2,
                    f'{self.host_name} does not coordinate '
                    f'{request.server} for this key.',
                )
            )
            return None
        return dispatcher.begin(request, sink)

    def begin(self, request, sink):
        """See :class:`radishferryd.streams.Dispatcher`."""
        return self.dispatch(request, sink)

    def outbound_streams(self, link) -> streams.OutboundStreams:
        """Return the streams that this host began on a link."""
        found = self._outbound.get(link)
        if found is None:
            found = self._outbound[link] = streams.OutboundStreams(link)
        return found

    def observer_for(self, service, server):
        """Return what follows the jobs of a server."""
        return self.policy.observer(service, server)

    def demand(self, service_name):
        """Return the measured load of a service."""
        return self.policy.demand(service_name)

    def _is_current_range(self, request):
        # A hot key that was split out must not be served in its old range.
        if request.range_id < 0 or not request.key:
            return True
        service = self.manifest and self.manifest.service(request.service)
        if service is None or not service.keyed:
            return True
        return request.range_id == self.routes.range_of(
            request.service, policy.key_hash(request.key)
        )

    # Control state.

    def take_route_delta(self, delta):
        """Merge routes, coordinators and orphans."""
        for found in delta.coordinators:
            self.routes.set_coordinator(found.server, found.host, found.term)
        for found in delta.routes:
            self.routes.apply_route(
                found.service_name, found.range_id, found.epoch, found.server
            )
            self.ownership.route_seen(
                found.service_name, found.range_id, found.epoch
            )
        if delta.orphans:
            self.planner.orphans_reported(delta.orphans)

    def take_rows(self, rows):
        """Merge rows of the table.

        :param rows: List of :class:`~radishferryd.platform.Row`.
        :returns: Service name to range assignments by range id, of all the
            rows given.
        """
        given = {}
        newer = [
            row for row in rows if row.version > self.row_version(row.name)
        ]
        for row in newer:
            self._rows[row.name] = row
        for row in rows:
            kind, service, _ = row.name.split('/', 2)
            if kind == 'ranges':
                found = assignment.unpack_ranges(row.value)
                given.setdefault(service, {}).update(found)
        ranges, coordinators = self._unpacked(newer)
        for service, found in ranges.items():
            self.routes.apply_assignments(service, found)
            self.ownership.ranges_assigned(service, found)
        for service, found in coordinators.items():
            self._assign_coordinators(service, found)
        if newer:
            self.fire(events.rows_applied(ranges, coordinators))
        return given

    def push_rows(self, rows):
        """Tell all hosts about rows that this host wrote."""
        for push in _row_pushes(rows):
            self.spread.send('assignment_push', push)

    def row_version(self, name) -> int:
        """Return the version of a row known here, 0 for none."""
        row = self._rows.get(name)
        return row.version if row else 0

    def row_value(self, name):
        """Return the value of a row known here, None for none."""
        row = self._rows.get(name)
        return row.value if row else None

    def _unpacked(self, rows):
        ranges = {}
        coordinators = {}
        for row in rows:
            kind, service, _ = row.name.split('/', 2)
            if kind == 'ranges':
                found = assignment.unpack_ranges(row.value)
                ranges.setdefault(service, {}).update(found)
            elif kind == 'coordinators':
                found = assignment.unpack_coordinators(row.value)
                coordinators.setdefault(service, {}).update(found)
        return ranges, coordinators

    def _assign_coordinators(self, service_name, found):
        service = self.manifest and self.manifest.service(service_name)
        if service is not None:
            self.ownership.coordinators_assigned(service, found)

    def _apply_manifest(self, manifest):
        self.manifest = manifest
        for service in manifest.services:
            self.routes.declare(service.name, service.ranges)
        self.gateway.configure(manifest)
        self.policy.configure(manifest)
        self.ownership.configure(manifest)
        _, coordinators = self._unpacked(self._rows.values())
        for service, found in coordinators.items():
            self._assign_coordinators(service, found)
        self.fire(events.manifest_applied(manifest))

    # Links; see radishferryd.peer.LinkOwner.

    def link_opened(self, link):
        """Exchange state with a host that was just connected."""
        now = self.scheduler.now()
        self.membership.link_opened(link.host, now)
        self._answered_at[link] = now
        if not link.is_initiator:
            self._inbound[link] = streams.InboundStreams(link, self)
            return
        self._send_state(link, self.spread.hops_for(link.host))
        link.send(
            'snapshot_request',
            ttypes.SnapshotRequest(self.manifests.version),
        )

    def link_closed(self, link):
        """End the streams of a link."""
        self._answered_at.pop(link, None)
        outbound = self._outbound.pop(link, None)
        inbound = self._inbound.pop(link, None)
        host = link.target or link.host
        if host:
            self.membership.link_lost(host, self.scheduler.now())
        if outbound is not None:
            outbound.fail(f'the connection to {host} was lost')
        if inbound is not None:
            inbound.fail()

    def message(self, link, name, message):
        """Take a message of a peer."""
        if name in _STREAM_TO_COORDINATOR:
            self._inbound[link].message(name, message)
        elif name in _STREAM_TO_ENTRY:
            self.outbound_streams(link).message(name, message)
        elif name == 'credit':
            if link.is_initiator:
                self.outbound_streams(link).message(name, message)
            else:
                self._inbound[link].message(name, message)
        else:
            self._MESSAGES[name](self, link, message)

    def _on_heartbeat(self, link, message):
        now = self.scheduler.now()
        self._answered_at[link] = now
        self.membership.heartbeat(link.host, message.incarnation, now)
        if message.answered_sequence == 0:
            link.send('heartbeat', self._own_heartbeat(message.sequence))
        if message.manifest_version > self.manifests.version:
            link.send(
                'snapshot_request',
                ttypes.SnapshotRequest(self.manifests.version),
            )

    def _on_route_delta(self, link, message):
        self.take_route_delta(message)
        self.spread.forward('route_delta', message)

    def _on_assignment_push(self, link, message):
        self.take_rows(
            [
                platform.Row(
                    row.name, row.version, '', orjson.loads(row.value)
                )
                for row in message.rows
            ]
        )
        self.spread.forward('assignment_push', message)

    def _on_manifest_push(self, link, message):
        self.manifests.offer(message.version, message.document)
        self.spread.forward('manifest_push', message)

    def _on_load_report(self, link, message):
        self._take_load_report(message)
        self.spread.forward('load_report', message)

    def _on_demand_report(self, link, message):
        self.policy.demand_reported(message)
        self.spread.forward('demand_report', message)

    def _on_host_list_push(self, link, message):
        self._take_hosts(orjson.loads(message.hosts))
        self.spread.forward('host_list_push', message)

    def _on_poison_push(self, link, message):
        self.policy.poison_reported(message)
        self.spread.forward('poison_push', message)

    def _on_snapshot_request(self, link, message):
        self._send_state(link, spread_module.FINAL)
        if message.manifest_version < self.manifests.version:
            link.send(
                'manifest_push', self.manifests.push(spread_module.FINAL)
            )
        if self.membership.is_relay(self.scheduler.now()):
            for push in _row_pushes(list(self._rows.values())):
                link.send('assignment_push', push)

    def _on_owner_message(name):  # noqa: N805
        def handle(self, link, message):
            getattr(self.ownership, name)(link.host, message)

        return handle

    _MESSAGES = {
        'heartbeat': _on_heartbeat,
        'route_delta': _on_route_delta,
        'assignment_push': _on_assignment_push,
        'manifest_push': _on_manifest_push,
        'load_report': _on_load_report,
        'demand_report': _on_demand_report,
        'host_list_push': _on_host_list_push,
        'poison_push': _on_poison_push,
        'snapshot_request': _on_snapshot_request,
        'release_request': _on_owner_message('release_request'),
        'released': _on_owner_message('released'),
        'promote': _on_owner_message('promote'),
        'loss_query': _on_owner_message('loss_query'),
        'loss_reply': _on_owner_message('loss_reply'),
        'take_over': _on_owner_message('take_over'),
    }

    def _send_state(self, link, hops):
        routes, coordinators = self._own_announcements()
        if self.membership.is_relay(self.scheduler.now()):
            routes, coordinators = self._all_announcements()
            for push in _row_pushes(list(self._rows.values())):
                push.hops = hops
                link.send('assignment_push', push)
        link.send('route_delta', ttypes.RouteDelta([], coordinators, [], hops))
        for start in range(0, len(routes), ROUTES_PER_PUSH):
            part = routes[start : start + ROUTES_PER_PUSH]
            link.send('route_delta', ttypes.RouteDelta(part, [], [], hops))

    def _own_announcements(self):
        routes = []
        coordinators = []
        for name, owned in self.ownership.owned.items():
            term = owned.coordinator.term
            if not term:
                continue
            service = owned.service.name
            coordinators.append(
                ttypes.ActiveCoordinator(service, name, self.host_name, term)
            )
            routes.extend(
                ttypes.ActiveRoute(service, range_id, epoch, name)
                for range_id, epoch in owned.coordinator.active.items()
            )
        return routes, coordinators

    def _all_announcements(self):
        snapshot = self.routes.export_snapshot()
        routes = [
            ttypes.ActiveRoute(service, int(range_id), epoch, server)
            for service, found in snapshot['services'].items()
            for range_id, (epoch, server) in found['routes'].items()
        ]
        coordinators = [
            ttypes.ActiveCoordinator('', server, host, term)
            for server, (host, term) in snapshot['coordinators'].items()
        ]
        return routes, coordinators

    # Hosts.

    def _own_heartbeat(self, answered=0):
        return ttypes.Heartbeat(
            next(self._sequence),
            answered,
            self.incarnation,
            'leaving' if self.is_stopping else 'live',
            self.manifests.version,
        )

    def _heartbeat(self):
        now = self.scheduler.now()
        heartbeat = self._own_heartbeat()
        self.membership.set_shared_hosts(
            {
                host
                for owned in self.ownership.owned.values()
                for host in owned.coordinator.hosts
            }
        )
        for host in self._linked_hosts():
            link = self.links.link(host)
            if link is None or not link.is_ready:
                continue
            if now - self._answered_at.get(link, now) > LINK_SILENT_S:
                LOG.warning('peer: %s does not answer.', host)
                self.links.drop(host)
                continue
            link.send('heartbeat', heartbeat)
        changes = self.membership.changes(now)
        if changes:
            self._on_host_changes(changes)

    def _linked_hosts(self):
        hosts = set(self.membership.neighbours())
        # Links to coordinators stay open, so that no request has to wait
        # for one.
        for service in self.manifest.services if self.manifest else ():
            for server in service.servers:
                known = self.routes.coordinator_of(server.name)
                if known is not None:
                    hosts.add(known[0])
        hosts.discard(self.host_name)
        return sorted(hosts)

    def _on_host_changes(self, changes):
        for change in changes:
            LOG.info('membership: %s.', change)
            if isinstance(change, hosts_module.HostDown):
                self.links.drop(change.name)
            elif isinstance(change, hosts_module.RelayChanged):
                self._on_relay_changed(change)
        self.fire(events.hosts_changed(changes))

    def _on_relay_changed(self, change):
        if change.name != self.host_name:
            return
        # The former relay may have left messages undelivered.
        self._hosts_due_at = 0.0
        for host in self._linked_hosts():
            link = self.links.link(host)
            if link is not None and link.is_ready:
                link.send(
                    'snapshot_request',
                    ttypes.SnapshotRequest(self.manifests.version),
                )
                self._send_state(link, self.spread.hops_for(host))

    def _read_hosts_if_due(self):
        now = self.scheduler.now()
        if now < self._hosts_due_at:
            return
        is_relay = self.membership.is_relay(now)
        known = bool(self._host_infos)
        self._hosts_due_at = now + (
            HOSTS_RELAY_S if is_relay or not known else HOSTS_OTHER_S
        )

        def done(result):
            if isinstance(result, platform.Unavailable):
                self._hosts_due_at = self.scheduler.now() + HOSTS_RELAY_S
                return
            if self._take_hosts(result) and is_relay:
                push = ttypes.HostListPush(orjson.dumps(result))
                self.spread.send('host_list_push', push)

        self.table.read_hosts(done)

    def _take_hosts(self, listed):
        infos = {
            h['name']: hosts_module.HostInfo(
                h['name'], h['data_centre'], h['address'], h['state']
            )
            for h in listed
        }
        if infos == self._host_infos:
            return False
        self._host_infos = infos
        self.links.set_addresses(
            {
                name: _address(info.address)
                for name, info in infos.items()
                if name != self.host_name
            }
        )
        self.membership.hosts_listed(
            list(infos.values()), self.scheduler.now()
        )
        self.fire(events.hosts_changed([]))
        return True

    # Reports.

    def _report(self):
        loads = [
            ttypes.ServerLoad(
                owned.service.name,
                name,
                owned.dispatcher.queue.in_flight,
                owned.dispatcher.queue.waiting,
                owned.coordinator.state,
            )
            for name, owned in self.ownership.owned.items()
            if owned.coordinator.term
        ]
        if loads:
            report = ttypes.LoadReport(loads)
            self._take_load_report(report)
            self.spread.send('load_report', report)
        for report in self.policy.demand_reports():
            self.policy.demand_reported(report)
            self.spread.send('demand_report', report)

    def _take_load_report(self, report):
        for load in report.loads:
            self.planner.server_reported(load)
            self.policy.load_reported(load)

    def _fill_gauges(self):
        metrics = self.metrics
        metrics.manifest_version.set(self.manifests.version)
        ready = [k for k in self.links.outbound.values() if k.is_ready]
        metrics.peer_links.set(len(ready))
        waiting = {}
        in_flight = {}
        for owned in self.ownership.owned.values():
            name = owned.service.name
            queue = owned.dispatcher.queue
            waiting[name] = waiting.get(name, 0) + queue.waiting
            in_flight[name] = in_flight.get(name, 0) + queue.in_flight
        for name, count in waiting.items():
            metrics.queue_waiting.set(count, name)
            metrics.in_flight.set(in_flight[name], name)

    # Operations; see radishferryd.operations.Operations.

    def is_ready(self):
        """Tell whether the host can route requests."""
        if self.is_stopping or self.manifest is None:
            return False
        return all(
            self.routes.assignments(service.name)
            for service in self.manifest.services
            if service.servers
        )

    def status(self):
        """Return a summary of this host's view."""
        now = self.scheduler.now()
        return {
            'host': self.host_name,
            'data_centre': self.data_centre,
            'incarnation': self.incarnation,
            'ready': self.is_ready(),
            'stopping': self.is_stopping,
            'manifest_version': self.manifests.version,
            'relay': self.membership.relay(self.data_centre, now),
            'hosts': [
                {
                    'name': info.name,
                    'data_centre': info.data_centre,
                    'state': info.state,
                    'live': self.membership.is_live(info.name, now),
                }
                for info in self.host_infos
            ],
            'services': [
                self._service_status(service)
                for service in (
                    self.manifest.services if self.manifest else ()
                )
            ],
        }

    def _service_status(self, service):
        ranges = {
            range_id: found
            for range_id in self.routes.assignments(service.name)
            if (found := self.routes.active(service.name, range_id))
        }
        held = {}
        for _, server in ranges.values():
            held[server] = held.get(server, 0) + 1
        return {
            'name': service.name,
            'ranges': len(self.routes.assignments(service.name)),
            'active_ranges': len(ranges),
            'servers': [
                {
                    'name': server.name,
                    'data_centre': server.data_centre,
                    'state': server.state,
                    'coordinator': self.routes.coordinator_of(server.name),
                    'ranges': held.get(server.name, 0),
                }
                for server in service.servers
            ],
        }

    def dump(self):
        """Return the whole state of this process."""
        now = self.scheduler.now()
        return state_dump.to_jsonable(
            {
                'status': self.status(),
                'routes': self.routes.export_snapshot(),
                'links': {
                    'outbound': {
                        host: link.is_ready
                        for host, link in self.links.outbound.items()
                    },
                    'inbound': sorted(k.host for k in self.links.inbound),
                },
                'coordinators': {
                    name: {
                        'state': owned.coordinator.state,
                        'term': owned.coordinator.term,
                        'hosts': owned.coordinator.hosts,
                        'active': owned.coordinator.active,
                        'orphans': owned.coordinator.orphans,
                        'lease_margin_s': owned.coordinator.lease_margin(now),
                        'in_flight': owned.dispatcher.queue.in_flight,
                        'waiting': owned.dispatcher.queue.waiting,
                    }
                    for name, owned in self.ownership.owned.items()
                },
                'open_requests': self.gateway.open_requests,
                'policy': self.policy.dump(),
            }
        )

    def render_metrics(self):
        """Return the metrics in the Prometheus text format."""
        return self.metrics.render()

    def poison(self):
        """Return the poison fingerprints."""
        return self.policy.poison()

    def submit_manifest(self, text, done):
        """See :class:`radishferryd.operations.Operations`."""
        self.manifests.submit(text, done)

    def stop_gracefully(self):
        """Begin a planned stop."""
        if self.is_stopping:
            return
        self.is_stopping = True
        LOG.info('app: A planned stop begins.')
        self.fire(events.stopping())
        self._stop_at = self.scheduler.now() + STOP_GRACE_S
        self.ownership.hand_over_all()
        self.scheduler.call_every(0.05, self._continue_stop)

    def _continue_stop(self):
        now = self.scheduler.now()
        if now < self._stop_at:
            return
        self._callers.close()
        for connection in list(self.gateway.connections):
            if connection.is_idle:
                connection.close()
        is_idle = not self.gateway.open_requests and self.ownership.is_idle
        is_idle = is_idle and not self.ownership.is_acting
        is_idle = is_idle and not self.gateway.connections
        if is_idle or now > self._stop_at + STOP_LIMIT_S:
            LOG.info('app: Stopped.')
            self.links.close()
            raise SystemExit(0)


class _Operations:
    """Offer the operations of the application to the admin listener."""

    def __init__(self, app):
        self._app = app
        self.is_ready = app.is_ready
        self.status = app.status
        self.dump = app.dump
        self.metrics = app.render_metrics
        self.poison = app.poison
        self.submit_manifest = app.submit_manifest
        self.stop = app.stop_gracefully

    def manifest(self):
        document = self._app.manifests.document
        return document.text if document else None


def run(settings) -> int:
    """Run the process until it is stopped.

    :param settings: A :class:`~radishferryd.settings.Settings`.
    :returns: Exit code.
    """
    app = App(settings)
    try:
        app.listen()
    except OSError as exc:
        LOG.error('app: Cannot listen: %s.', exc)
        return 1

    def on_signal(signum, frame):
        app.scheduler.call_later(0.0, app.stop_gracefully)

    app.scheduler.call_later(
        0.0, lambda: signal.signal(signal.SIGTERM, on_signal)
    )
    # The objects of the modules stay for ever. A collection that visits them
    # stopped the loop for 20 to 27 ms in the middle of a load.
    gc.collect()
    gc.freeze()
    app.run()
    return 0


def _address(text):
    ip, _, port = text.rpartition(':')
    return ip, int(port)


def _row_pushes(rows):
    return [
        ttypes.AssignmentPush(
            [
                ttypes.Row(row.name, row.version, orjson.dumps(row.value))
                for row in rows[start : start + ROWS_PER_PUSH]
            ],
            spread_module.FINAL,
        )
        for start in range(0, len(rows), ROWS_PER_PUSH)
    ]
