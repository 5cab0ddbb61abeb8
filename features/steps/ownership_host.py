"""Run the ownership of one host against the fakes of a simulated world."""

from __future__ import annotations

import itertools

import orjson

from radishferry import actions
from radishferry import coordinator
from radishferry import hosts
from radishferry import membership
from radishferry import routing
from radishferryd import control_state
from radishferryd import events
from radishferryd import host_directory
from radishferryd import ownership
from radishferryd import planner
from radishferryd import table_service
from radishferryd import broadcast
from radishferryd.gen import ttypes

WORK_INTERVAL_S = 0.03
#: Seconds without a heartbeat after which a link is closed; see
#: ``radishferryd.host_directory``.
LINK_SILENT_S = host_directory.LINK_SILENT_S


class Null:
    """Accept every call and attribute."""

    is_idle = True

    def __getattr__(self, name):
        return self

    def __call__(self, *args, **kwargs):
        return None


class Scheduler:
    """Run the timers of one process."""

    def __init__(self, host, process):
        self._host = host
        self._process = process

    def now(self):
        return self._host.world.now

    def call_later(self, delay_s, callback):
        host = self._host
        process = self._process
        host.world.at(
            self.now() + delay_s,
            lambda: host.run(process, ('timer',), callback),
        )

    def call_every(self, interval_s, callback):
        def again():
            self.call_later(interval_s, again)
            callback()

        self.call_later(interval_s, again)


class Manifests:
    version = 1

    def apply_if_newer(self, version, document):
        """Ignore manifests; the world has only one."""


class Client:
    """Send lease requests over the simulated network."""

    def __init__(self, host, server):
        self._host = host
        self._server = server

    def call(self, method, target, body, timeout_s, done):
        ranges = body['ranges']
        if ranges is not None:
            ranges = {int(r): e for r, e in ranges.items()}
        action = actions.SendLease(
            body['term'],
            body['seq'],
            body['expires_at_ms'],
            ranges,
            body['boot_id'],
        )
        self._host.world.lease(self._host, self._server, action, done)

    def close(self):
        """Do nothing."""


class Ownership(ownership.Ownership):
    """Use the fakes of the world in place of sockets."""

    def _add(self, service, server):
        host = self._app.host
        server_coordinator = coordinator.Coordinator(
            server.name,
            host.name,
            service.ranges,
            int(host.world.now * 1000),
        )
        self._coordinated[server.name] = ownership.CoordinatedServer(
            service,
            server,
            server_coordinator,
            Null(),
            Client(host, server.name),
            added_at=host.world.now,
        )


class Links:
    """Keep one connection to each other live host."""

    has_wrong_key = False

    def __init__(self, host):
        self._host = host
        self._numbers = itertools.count()
        self.connections = {}
        self.heard_at = {}

    def send(self, target, name, message):
        number = self.connections.get(target)
        if number is None:
            return False
        self._host.world.send(self._host.name, target, number, name, message)
        return True

    def open_missing(self, app):
        world = self._host.world
        for target in world.host_names:
            other = world.hosts[target]
            if target == self._host.name or target in self.connections:
                continue
            if (
                world.is_partitioned(self._host.name, target)
                or other.is_paused
            ):
                continue
            if other.app is None:
                continue
            self.connections[target] = (
                self._host.process,
                next(self._numbers),
            )
            self.heard_at[target] = world.now
            app.link_opened(target)

    def drop(self, target):
        self.connections.pop(target, None)


class _Link:
    """Send to one host."""

    def __init__(self, links, target):
        self._links = links
        self._target = target

    def send(self, name, message):
        self._links.send(self._target, name, message)


def _rows(message):
    return [
        table_service.Row(row.name, row.version, '', orjson.loads(row.value))
        for row in message.rows
    ]


class App:
    """Provide ``Ownership`` and ``Planner`` with the parts of the process."""

    host_name = property(lambda self: self.host.name)
    data_centre = 'd0'
    is_stopping = False
    metrics = Null()

    _take_incarnation = host_directory.HostDirectory._take_incarnation

    def __init__(self, host, process):
        self.host = host
        self.world = host.world
        self.table = self
        self._app = self
        self._incarnations = {}
        self.incarnation = int(self.world.now * 1000)
        self.scheduler = Scheduler(host, process)
        self.links = Links(host)
        self.manifests = Manifests()
        self.manifest = None
        self.routes = routing.RouteTable()
        self.membership = membership.Membership(host.name, 'd0')
        self.infos = [
            hosts.HostInfo(name, 'd0', '') for name in self.world.host_names
        ]
        self.directory = self
        self.policy = self
        self.broadcaster = broadcast.Broadcaster(self)
        self.state = control_state.ControlState(self)
        self.ownership = Ownership(self)
        self.planner = planner.Planner(self)
        self.membership.hosts_listed(self.infos, self.world.now)
        self.apply_manifest()
        self.scheduler.call_every(0.1, self._heartbeat)
        self.scheduler.call_every(0.5, self._report)
        self.scheduler.call_every(WORK_INTERVAL_S, self._work)

    def apply_manifest(self):
        service = self.world.service()
        self.manifest = Manifest(service)
        self.routes.set_range_count(service.name, service.ranges)
        self.ownership.configure(self.manifest)
        self.state.manifest_applied()
        self.planner.manifest_applied(self.manifest)

    def demand(self, service_name):
        return planner.Demand()

    def fire(self, event):
        if isinstance(event, events.rows_applied):
            self.planner.rows_applied(*event.args)

    def read(self, prefix, done):
        self.world.call_table(self.host, lambda t: t.read(prefix), done)

    def transact(self, conditions, writes, done):
        self.world.call_table(
            self.host, lambda t: t.transact(conditions, writes), done
        )

    # Messages.

    def message(self, source, name, message):
        if name == 'heartbeat':
            self.links.heard_at[source] = self.world.now
            self.membership.heartbeat(source, message, self.world.now)
        elif name == 'load_report':
            for load in message.loads:
                self.planner.server_reported(load)
        elif name == 'snapshot_request':
            self._send_state(source)
        elif name == 'route_delta':
            self.state.apply_route_delta(message)
            self.broadcaster.forward(name, message)
        elif name == 'assignment_push':
            self.state.apply_rows(_rows(message))
            self.broadcaster.forward(name, message)
        else:
            getattr(self.ownership, name)(source, message)

    def link_opened(self, target):
        self.membership.link_opened(target, self.world.now)
        self._send_state(target)
        self.links.send(target, 'snapshot_request', 1)

    def _send_state(self, target):
        self.state.send_to(_Link(self.links, target), broadcast.FINAL)

    def _heartbeat(self):
        now = self.world.now
        self.membership.set_shared_hosts(self.world.host_names)
        for target in list(self.links.connections):
            if now - self.links.heard_at[target] > LINK_SILENT_S:
                self.links.drop(target)
                self.membership.link_lost(target, now)
        self.links.open_missing(self)
        for target in list(self.links.connections):
            self.links.send(target, 'heartbeat', self.incarnation)
        for change in self.membership.changes(now):
            self._on_host_change(change)

    def _on_host_change(self, change):
        if isinstance(change, hosts.HostDown):
            self.links.drop(change.name)
        elif isinstance(change, hosts.RelayChanged):
            if change.name == self.host_name:
                for target in list(self.links.connections):
                    self.links.send(target, 'snapshot_request', 1)
                    self._send_state(target)
        self.planner.hosts_changed([change])

    def _report(self):
        loads = [
            ttypes.ServerLoad('lots', name, 0, 0, owned.coordinator.state)
            for name, owned in self.ownership.coordinated.items()
            if owned.coordinator.term
        ]
        for load in loads:
            self.planner.server_reported(load)
        self.broadcaster.send('load_report', ttypes.LoadReport(loads, 0))

    def _work(self):
        for name, owned in self.ownership.coordinated.items():
            server_coordinator = owned.coordinator
            if not server_coordinator.can_send_work(self.world.now):
                continue
            for range_id, epoch in server_coordinator.active.items():
                self.world.work(
                    self.host, name, server_coordinator.term, range_id, epoch
                )


class Manifest:
    """Contain the only service of the world."""

    def __init__(self, service):
        self.services = (service,)

    def service(self, name):
        return self.services[0]


class Host:
    """Run, pause, kill and restart the process of one host."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.process = 0
        self.app = None
        self.is_paused = False
        self._backlog = {}
        world.at(world.now, self._start)

    def run(self, process, channel, call):
        if process != self.process or self.app is None:
            return
        if self.is_paused:
            self._backlog.setdefault(channel, []).append(call)
            return
        call()

    def toggle_paused(self):
        self.is_paused = not self.is_paused
        if self.is_paused:
            return
        # Channels are delivered in random order, the messages of each channel
        # in the order of arrival.
        backlog, self._backlog = self._backlog, {}
        channels = list(backlog)
        self.world.random.shuffle(channels)
        for channel in channels:
            for call in backlog[channel]:
                self.run(self.process, channel, call)

    def toggle_alive(self):
        self.is_paused = False
        self._backlog = {}
        if self.app is None:
            self._start()
            return
        self.process += 1
        self.app = None

    def stop(self):
        if self.app is not None and not self.is_paused:
            self.app.is_stopping = True
            self.app.ownership.hand_over_all()

    def recover(self):
        if self.is_paused:
            self.toggle_paused()
        if self.app is not None and self.app.is_stopping:
            self.toggle_alive()
        if self.app is None:
            self.toggle_alive()

    def _start(self):
        self.process += 1
        self.app = App(self, self.process)
