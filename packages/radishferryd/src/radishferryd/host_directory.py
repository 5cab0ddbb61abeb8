"""Maintain the list of hosts and exchange heartbeats with them."""

from __future__ import annotations

import itertools
import logging

import orjson

from radishferry import hosts as hosts_module
from radishferry import membership as membership_module
from radishferryd import events
from radishferryd import table_service
from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

#: Seconds without a heartbeat after which a link is closed; equals
#: ``radishferry.membership.HEARTBEAT_TIMEOUT_S``.
LINK_SILENT_S = 0.3
#: Seconds between reads of the host list by a relay and by other hosts.
RELAY_READ_INTERVAL_S = 1.0
OTHER_READ_INTERVAL_S = 10.0
#: Seconds between checks whether a read of the host list is due.
READ_CHECK_INTERVAL_S = 0.2


class HostDirectory:
    """Track the hosts, which of them are live and how to reach them."""

    def __init__(self, app):
        """Initialise without hosts.

        :param app: Provides ``host_name``, ``incarnation``, ``is_stopping``,
            ``links``, ``manifest``, ``manifests``, ``membership``,
            ``ownership``, ``routes``, ``scheduler``, ``broadcaster``,
            ``state``, ``table`` and ``fire``.
        """
        self._app = app
        self._host_infos = {}
        self._answered_at = {}
        self._incarnations = {}
        self._sequence = itertools.count(1)
        self._next_read_at = 0.0

    @property
    def infos(self):
        """Return the hosts in the platform's host list."""
        return list(self._host_infos.values())

    def start(self):
        """Start to read the host list and to send heartbeats."""
        scheduler = self._app.scheduler
        scheduler.call_every(
            membership_module.HEARTBEAT_S, self._send_heartbeats
        )
        scheduler.call_every(READ_CHECK_INTERVAL_S, self._read_hosts_if_due)

    def link_opened(self, link):
        """Handle a link that has become ready."""
        now = self._app.scheduler.now()
        self._app.membership.link_opened(link.host, now)
        self._take_incarnation(link.host, link.incarnation)
        self._answered_at[link] = now

    def link_closed(self, link):
        """Handle the end of a link."""
        self._answered_at.pop(link, None)
        host = link.target or link.host
        if host:
            now = self._app.scheduler.now()
            self._app.membership.link_lost(host, now)

    def heartbeat_received(self, link, message):
        """Handle a ``Heartbeat`` and answer it."""
        app = self._app
        now = app.scheduler.now()
        self._answered_at[link] = now
        app.membership.heartbeat(link.host, message.incarnation, now)
        if message.answered_sequence == 0:
            link.send('heartbeat', self._own_heartbeat(message.sequence))
        if message.manifest_version > app.manifests.version:
            link.send(
                'snapshot_request',
                ttypes.SnapshotRequest(app.manifests.version),
            )

    def apply_list(self, listed):
        """Apply a host list of the platform.

        :param listed: List of dicts with ``name``, ``data_centre``,
            ``address`` and ``state``.
        :returns: Whether the list has changed.
        """
        infos = {
            h['name']: hosts_module.HostInfo(
                h['name'], h['data_centre'], h['address'], h['state']
            )
            for h in listed
        }
        if infos == self._host_infos:
            return False
        self._host_infos = infos
        self._app.links.set_addresses(
            {
                name: _address(info.address)
                for name, info in infos.items()
                if name != self._app.host_name
            }
        )
        self._app.membership.hosts_listed(
            list(infos.values()), self._app.scheduler.now()
        )
        self._app.fire(events.hosts_changed([]))
        return True

    def _take_incarnation(self, host, incarnation):
        known = self._incarnations.get(host, incarnation)
        if incarnation < known:
            return
        self._incarnations[host] = incarnation
        if incarnation > known:
            self._app.routes.host_restarted(host)

    def _own_heartbeat(self, answered=0):
        return ttypes.Heartbeat(
            next(self._sequence),
            answered,
            self._app.incarnation,
            'leaving' if self._app.is_stopping else 'live',
            self._app.manifests.version,
        )

    def _send_heartbeats(self):
        now = self._app.scheduler.now()
        heartbeat = self._own_heartbeat()
        self._app.membership.set_shared_hosts(
            {
                host
                for owned in self._app.ownership.coordinated.values()
                for host in owned.coordinator.hosts
            }
        )
        # A host whose servers were taken over may still be running requests
        # of this host.
        wanted = {*self._linked_hosts(), *self._app.links.outbound}
        for host in sorted(wanted):
            link = self._app.links.link(host)
            if link is None or not link.is_ready:
                continue
            if now - self._answered_at.get(link, now) > LINK_SILENT_S:
                LOG.warning(
                    'peer: Closed the links to %s, which sends no heartbeats.',
                    host,
                )
                self._app.links.drop(host)
                continue
            link.send('heartbeat', heartbeat)
        changes = self._app.membership.changes(now)
        if changes:
            self._on_host_changes(changes)

    def _linked_hosts(self):
        hosts = set(self._app.membership.neighbours())
        # Links to coordinators are kept open, so that no request has to wait
        # for a connection.
        for service in (
            self._app.manifest.services if self._app.manifest else ()
        ):
            for server in service.servers:
                coordinator = self._app.routes.coordinator_of(server.name)
                if coordinator is not None:
                    hosts.add(coordinator[0])
        hosts -= {self._app.host_name, ''}
        return sorted(hosts)

    def _on_host_changes(self, changes):
        for change in changes:
            LOG.info('membership: %s.', change)
            if isinstance(change, hosts_module.HostDown):
                self._app.links.drop(change.name)
            elif isinstance(change, hosts_module.RelayChanged):
                self._on_relay_changed(change)
        self._app.fire(events.hosts_changed(changes))

    def _on_relay_changed(self, change):
        if change.name != self._app.host_name:
            return
        # The previous relay may have ended before it forwarded messages.
        self._next_read_at = 0.0
        for host in self._linked_hosts():
            link = self._app.links.link(host)
            if link is not None and link.is_ready:
                link.send(
                    'snapshot_request',
                    ttypes.SnapshotRequest(self._app.manifests.version),
                )
                self._app.state.send_to(
                    link, self._app.broadcaster.hops_for(host)
                )

    def _read_hosts_if_due(self):
        now = self._app.scheduler.now()
        if now < self._next_read_at:
            return
        is_relay = self._app.membership.is_relay(now)
        has_hosts = bool(self._host_infos)
        self._next_read_at = now + (
            RELAY_READ_INTERVAL_S
            if is_relay or not has_hosts
            else OTHER_READ_INTERVAL_S
        )

        def done(result):
            if isinstance(result, table_service.Unavailable):
                self._next_read_at = (
                    self._app.scheduler.now() + RELAY_READ_INTERVAL_S
                )
                return
            if self.apply_list(result) and is_relay:
                push = ttypes.HostListPush(orjson.dumps(result))
                self._app.broadcaster.send_local('host_list_push', push)

        self._app.table.read_hosts(done)


def _address(text):
    ip, _, port = text.rpartition(':')
    return ip, int(port)
