"""Report the state of the process to operators."""

from __future__ import annotations

from radishferryd import state_dump


class Inspection:
    """Collect the state of the components of the process."""

    def __init__(self, app):
        """Create the inspection.

        :param app: Provides the components of the process.
        """
        self._app = app

    def is_ready(self):
        """Return whether the host can route requests."""
        if self._app.is_stopping or self._app.manifest is None:
            return False
        if self._app.links.has_wrong_key:
            return False
        return all(
            self._app.routes.assignments(service.name)
            for service in self._app.manifest.services
            if service.servers
        )

    def status(self):
        """Return a summary of this host's view."""
        now = self._app.scheduler.now()
        return {
            'host': self._app.host_name,
            'data_centre': self._app.data_centre,
            'incarnation': self._app.incarnation,
            'ready': self.is_ready(),
            'stopping': self._app.is_stopping,
            'manifest_version': self._app.manifests.version,
            'peer_bytes_sent': self._app.links.sent_bytes,
            'relay': self._app.membership.relay(self._app.data_centre, now),
            'hosts': [
                {
                    'name': info.name,
                    'data_centre': info.data_centre,
                    'state': info.state,
                    'live': self._app.membership.is_live(info.name, now),
                }
                for info in self._app.directory.infos
            ],
            'services': [
                self._service_status(service)
                for service in (
                    self._app.manifest.services if self._app.manifest else ()
                )
            ],
        }

    def _service_status(self, service):
        assigned = {
            range_id: assignment
            for range_id, assignment in self._app.routes.assignments(
                service.name
            ).items()
            if assignment.owner
        }
        ranges = {
            range_id: active
            for range_id in assigned
            if (active := self._app.routes.active(service.name, range_id))
        }
        counts = {}
        for _, server in ranges.values():
            counts[server] = counts.get(server, 0) + 1
        return {
            'name': service.name,
            'ranges': len(assigned),
            'active_ranges': len(ranges),
            'servers': [
                {
                    'name': server.name,
                    'data_centre': server.data_centre,
                    'state': server.state,
                    'coordinator': self._app.routes.coordinator_of(
                        server.name
                    ),
                    'ranges': counts.get(server.name, 0),
                }
                for server in service.servers
            ],
        }

    def dump(self):
        """Return the whole state of this process."""
        now = self._app.scheduler.now()
        return state_dump.to_jsonable(
            {
                'status': self.status(),
                'servers': self._servers(now),
                'ranges': self._ranges(),
                'hot_keys': self._hot_keys(),
                'routes': self._app.routes.export_snapshot(),
                'links': {
                    'outbound': {
                        host: link.is_ready
                        for host, link in self._app.links.outbound.items()
                    },
                    'inbound': sorted(
                        link.host for link in self._app.links.inbound
                    ),
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
                    for name, owned in self._app.ownership.coordinated.items()
                },
                'open_requests': self._app.gateway.open_requests,
                'policy': self._app.policy.dump(),
            }
        )

    def _services(self):
        manifest = self._app.manifest
        return manifest.services if manifest else ()

    def _servers(self, now):
        return [
            {'service': service.name, **server}
            for service in self._services()
            for server in self._service_status(service)['servers']
        ]

    def _ranges(self):
        routes = self._app.routes
        return {
            service.name: [
                {
                    'range': range_id,
                    'owner': assignment.owner,
                    'epoch': assignment.epoch,
                    'standby': assignment.standby,
                    'active': routes.active(service.name, range_id),
                }
                for range_id, assignment in sorted(
                    routes.assignments(service.name).items()
                )
            ]
            for service in self._services()
        }

    def _hot_keys(self):
        routes = self._app.routes
        return {
            service.name: [
                {
                    'key_hash': f'{assignment.key_hash:016x}',
                    'range': range_id,
                    'owner': assignment.owner,
                }
                for range_id, assignment in sorted(
                    routes.assignments(service.name).items()
                )
                if assignment.key_hash is not None and assignment.owner
            ]
            for service in self._services()
        }

    def fill_gauges(self):
        """Set the gauges that are computed before each rendering."""
        metrics = self._app.metrics
        metrics.manifest_version.set(self._app.manifests.version)
        ready = [
            link for link in self._app.links.outbound.values() if link.is_ready
        ]
        metrics.peer_links.set(len(ready))
        waiting = {}
        in_flight = {}
        for owned in self._app.ownership.coordinated.values():
            name = owned.service.name
            queue = owned.dispatcher.queue
            waiting[name] = waiting.get(name, 0) + queue.waiting
            in_flight[name] = in_flight.get(name, 0) + queue.in_flight
        for name, count in waiting.items():
            metrics.queue_waiting.set(count, name)
            metrics.in_flight.set(in_flight[name], name)
