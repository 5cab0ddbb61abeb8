"""Dispatch the control messages of other hosts."""

from __future__ import annotations

import orjson

from radishferryd import table_service
from radishferryd import broadcast


class ControlMessages:
    """Pass each control message to the part of the process that handles it."""

    def __init__(self, app):
        """Initialise.

        :param app: Provides the parts of the process.
        """
        self._app = app
        ownership = app.ownership
        self._handlers = {
            'heartbeat': app.directory.heartbeat_received,
            'route_delta': self._handle_route_delta,
            'assignment_push': self._handle_assignment_push,
            'manifest_push': self._handle_manifest_push,
            'load_report': self._handle_load_report,
            'demand_report': self._handle_demand_report,
            'host_list_push': self._handle_host_list_push,
            'poison_push': self._handle_poison_push,
            'snapshot_request': self._handle_snapshot_request,
            'release_request': _with_host(ownership.release_request),
            'released': _with_host(ownership.released),
            'promote': _with_host(ownership.promote),
            'loss_query': _with_host(ownership.loss_query),
            'loss_reply': _with_host(ownership.loss_reply),
            'take_over': _with_host(ownership.take_over),
        }

    def handle(self, link, name, message):
        """Handle a message.

        Messages without a handler are ignored.

        :param link: The link that it arrived on.
        :param name: Field of ``Frame``.
        """
        handler = self._handlers.get(name)
        if handler is not None:
            handler(link, message)

    def _handle_route_delta(self, link, message):
        self._app.state.apply_route_delta(message)
        self._app.broadcaster.forward('route_delta', message)

    def _handle_assignment_push(self, link, message):
        self._app.state.apply_rows(
            [
                table_service.Row(
                    row.name, row.version, '', orjson.loads(row.value)
                )
                for row in message.rows
            ]
        )
        self._app.broadcaster.forward('assignment_push', message)

    def _handle_manifest_push(self, link, message):
        self._app.manifests.apply_if_newer(message.version, message.document)
        self._app.broadcaster.forward('manifest_push', message)

    def _handle_load_report(self, link, message):
        self._app.reports.handle_load_report(message)
        self._app.broadcaster.forward('load_report', message)

    def _handle_demand_report(self, link, message):
        self._app.policy.demand_reported(message)
        self._app.broadcaster.forward('demand_report', message)

    def _handle_host_list_push(self, link, message):
        self._app.directory.apply_list(orjson.loads(message.hosts))
        self._app.broadcaster.forward('host_list_push', message)

    def _handle_poison_push(self, link, message):
        self._app.policy.poison_reported(message)
        self._app.broadcaster.forward('poison_push', message)

    def _handle_snapshot_request(self, link, message):
        app = self._app
        app.state.send_to(link, broadcast.FINAL)
        if message.manifest_version < app.manifests.version:
            push = app.manifests.push_message(broadcast.FINAL)
            link.send('manifest_push', push)


def _with_host(handler):
    return lambda link, message: handler(link.host, message)
