"""Assemble the components of the process."""

from __future__ import annotations

import gc
import logging
import signal
import time

from circuits.core import Component

from radishferry import membership as membership_module
from radishferry import outcomes
from radishferry import routing
from radishferryd import admin
from radishferryd import control_messages
from radishferryd import control_state
from radishferryd import events
from radishferryd import exception_log
from radishferryd import gateway as gateway_module
from radishferryd import host_directory
from radishferryd import http_server
from radishferryd import inspection
from radishferryd import manifests
from radishferryd import metrics as metrics_module
from radishferryd import ownership as ownership_module
from radishferryd import peer
from radishferryd import planner as planner_module
from radishferryd import table_service
from radishferryd import policy
from radishferryd import poller as poller_module
from radishferryd import reports
from radishferryd import scheduler as scheduler_module
from radishferryd import shutdown
from radishferryd import broadcast
from radishferryd import state_dump
from radishferryd import streams
from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

_MESSAGES_TO_ENTRY_HOST = frozenset(
    ('response_head', 'response_chunk', 'refused')
)
_MESSAGES_TO_COORDINATOR = frozenset(
    ('request_head', 'request_chunk', 'cancel')
)


class App(Component):
    """Run an entry host."""

    channel = 'control'

    def __init__(self, settings):
        """Create the components; :meth:`listen` opens the sockets.

        :param settings: A :class:`~radishferryd.settings.Settings`.
        """
        super().__init__()
        self.settings = settings
        self.host_name = settings.host_name
        self.data_centre = settings.host_data_centre
        self.incarnation = time.time_ns() // 1_000_000
        self.poller = poller_module.SocketPoller().register(self)
        self.scheduler = scheduler_module.Scheduler().register(self)
        self.metrics = metrics_module.Metrics()
        self.routes = routing.RouteTable()
        self.membership = membership_module.Membership(
            self.host_name, self.data_centre
        )
        self.table = table_service.HttpPlatform(
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
        self.broadcaster = broadcast.Broadcaster(self)
        self.manifest = None
        self.manifests = manifests.Manifests(self, self._apply_manifest)
        self.policy = policy.Policy(self)
        self.gateway = gateway_module.Gateway(
            self, self.policy.budget, self.policy.chooser
        )
        self.ownership = ownership_module.Ownership(self)
        self.planner = planner_module.Planner(self).register(self)
        self.state = control_state.ControlState(self)
        self.directory = host_directory.HostDirectory(self)
        self.reports = reports.Reports(self)
        self.inspection = inspection.Inspection(self)
        self.shutdown = shutdown.Shutdown(self)
        self._control_messages = control_messages.ControlMessages(self)
        self._outbound = {}
        self._inbound = {}
        self._caller_listener = None
        exception_log.ExceptionLog().register(self)

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.shutdown.has_begun

    def listen(self):
        """Open the sockets and start the components.

        :raises OSError: An address cannot be bound.
        """
        settings = self.settings
        self.links.listen(settings.listen_peers)
        self._caller_listener = http_server.listen(
            self.poller, settings.listen_callers, self.gateway
        )
        admin.Admin(
            settings.listen_admin, settings.admin_token, _Operations(self)
        ).register(self)
        state_dump.DumpOnSignal(self.inspection.dump).register(self)
        self.metrics.add_source(self.inspection.fill_gauges)
        self.directory.start()
        self.reports.start()
        self.manifests.load()

    def close_callers(self):
        """Stop accepting connections of callers."""
        self._caller_listener.close()

    # Handling of requests.

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
        """Return the streams that this host opened on a link."""
        outbound = self._outbound.get(link)
        if outbound is None:
            outbound = self._outbound[link] = streams.OutboundStreams(link)
        return outbound

    def observer_for(self, service, server):
        """Return the observer of the jobs of a server."""
        return self.policy.observer(service, server)

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

    # Events of links; see radishferryd.peer.LinkOwner.

    def link_opened(self, link):
        """Exchange state with a host after the link was established."""
        self.directory.link_opened(link)
        if not link.is_initiator:
            self._inbound[link] = streams.InboundStreams(link, self)
            return
        self.state.send_to(link, self.broadcaster.hops_for(link.host))
        link.send(
            'snapshot_request',
            ttypes.SnapshotRequest(self.manifests.version),
        )

    def link_closed(self, link):
        """End the streams of a link."""
        outbound = self._outbound.pop(link, None)
        inbound = self._inbound.pop(link, None)
        host = link.target or link.host
        self.directory.link_closed(link)
        if outbound is not None:
            outbound.fail(f'the connection to {host} was lost')
        if inbound is not None:
            inbound.fail()

    def message(self, link, name, message):
        """Handle a message of a peer."""
        if name in _MESSAGES_TO_COORDINATOR:
            self._inbound[link].message(name, message)
        elif name in _MESSAGES_TO_ENTRY_HOST:
            self.outbound_streams(link).message(name, message)
        elif name == 'credit':
            if link.is_initiator:
                self.outbound_streams(link).message(name, message)
            else:
                self._inbound[link].message(name, message)
        else:
            self._control_messages.handle(link, name, message)

    def _apply_manifest(self, manifest):
        self.manifest = manifest
        for service in manifest.services:
            self.routes.set_range_count(service.name, service.ranges)
        self.gateway.configure(manifest)
        self.policy.configure(manifest)
        self.ownership.configure(manifest)
        self.state.manifest_applied()
        self.fire(events.manifest_applied(manifest))


class _Operations:
    """Implement :class:`radishferryd.operations.Operations`."""

    def __init__(self, app):
        self._app = app
        self.is_ready = app.inspection.is_ready
        self.status = app.inspection.status
        self.dump = app.inspection.dump
        self.metrics = app.metrics.render
        self.poison = app.policy.poison
        self.submit_manifest = app.manifests.submit
        self.stop = app.shutdown.begin

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
        app.scheduler.call_later(0.0, app.shutdown.begin)

    app.scheduler.call_later(
        0.0, lambda: signal.signal(signal.SIGTERM, on_signal)
    )
    # Objects created by imports live as long as the process. Garbage
    # collections that traversed them blocked the event loop for 20 to 27 ms
    # under load.
    gc.collect()
    gc.freeze()
    app.run()
    return 0
