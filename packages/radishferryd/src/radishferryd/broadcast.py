"""Broadcast control messages to all hosts through the relays."""

from __future__ import annotations

import logging

from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

#: Value of ``hops``: the receiver does not forward the message.
FINAL = 0
#: Value of ``hops``: the relay of the sender's data centre forwards the
#: message to the relays of the other data centres.
TO_RELAYS = 1
#: Value of ``hops``: the relay of another data centre forwards the message to
#: the hosts of its data centre.
TO_DATA_CENTRE = 2


class Broadcaster:
    """Broadcast messages to the hosts of the data centre and other relays."""

    def __init__(self, app):
        """Initialise.

        :param app: Provides ``links``, ``membership``, ``scheduler``,
            ``host_name``, ``data_centre``, ``directory`` and
            ``state``.
        """
        self._app = app

    def announce(self, routes, coordinators, orphans):
        """Announce active routes, coordinators and orphans of this host."""
        delta = ttypes.RouteDelta(routes, coordinators, orphans, FINAL)
        self._app.state.apply_route_delta(delta)
        self.send('route_delta', delta)

    def send(self, name, message):
        """Send a message to every host.

        :param name: Field of ``Frame``.
        :param message: A struct with a field ``hops``.
        """
        app = self._app
        relay = app.membership.relay(app.data_centre, app.scheduler.now())
        for host in self._local_hosts():
            message.hops = TO_RELAYS if host == relay else FINAL
            app.links.send(host, name, message)
        if relay == app.host_name:
            self._send_to_relays(name, message)

    def send_local(self, name, message):
        """Send a message to every host of the data centre."""
        message.hops = FINAL
        for host in self._local_hosts():
            self._app.links.send(host, name, message)

    def forward(self, name, message):
        """Forward a received message as its ``hops`` says."""
        hops = message.hops
        if hops == TO_RELAYS:
            self._send_to_relays(name, message)
        elif hops == TO_DATA_CENTRE:
            message.hops = FINAL
            for host in self._local_hosts():
                self._app.links.send(host, name, message)
        message.hops = hops

    def hops_for(self, host) -> int:
        """Return the ``hops`` of a message that is sent to one host only."""
        info = self._app.membership.info(host)
        if info is not None and info.data_centre != self._app.data_centre:
            return TO_DATA_CENTRE
        return FINAL

    def _send_to_relays(self, name, message):
        app = self._app
        now = app.scheduler.now()
        message.hops = TO_DATA_CENTRE
        for data_centre in app.membership.data_centres():
            relay = app.membership.relay(data_centre, now)
            if data_centre != app.data_centre and relay:
                app.links.send(relay, name, message)

    def _local_hosts(self):
        app = self._app
        return [
            info.name
            for info in app.directory.infos
            if info.data_centre == app.data_centre
            and info.name != app.host_name
        ]
