"""Send the messages that the coordinators of this host request."""

from __future__ import annotations

from radishferryd.gen import ttypes


class OwnerMessages:
    """Send the messages for actions of coordinators.

    Each method except :meth:`announce_refusal` takes the server's
    :class:`ownership.CoordinatedServer` and the action.  A message to this
    host itself is passed directly to the receiver.
    """

    def __init__(self, app, receiver):
        """Initialise.

        :param app: Provides ``routes``, ``broadcaster``, ``links``,
            ``metrics`` and ``host_name``.
        :param receiver: Handles messages to this host, an
            :class:`ownership.Ownership`.
        """
        self._app = app
        self._receiver = receiver

    def announce_coordinator(self, owned, action):
        """Announce to all hosts that this host coordinates the server."""
        announcement = ttypes.ActiveCoordinator(
            owned.service.name,
            owned.server.name,
            self._app.host_name,
            action.term,
        )
        self._app.broadcaster.announce([], [announcement], [])

    def announce_refusal(self, owned, term):
        """Announce to all hosts that the terms up to ``term`` are used up."""
        # Hosts that restarted do not know which terms are used up.  If a host
        # still coordinates the server under this term, its announcement takes
        # precedence over this one.
        announcement = ttypes.ActiveCoordinator(
            owned.service.name, owned.server.name, '', term
        )
        self._app.broadcaster.announce([], [announcement], [])

    def announce_routes(self, owned, action):
        """Announce to all hosts which ranges are active."""
        routes = [
            ttypes.ActiveRoute(
                owned.service.name, range_id, epoch, owned.server.name
            )
            for range_id, epoch in action.epochs.items()
        ]
        self._app.broadcaster.announce(routes, [], [])

    def announce_orphans(self, owned, action):
        """Announce to the planner which ranges need a new epoch."""
        orphans = [
            ttypes.Orphan(
                owned.service.name, range_id, epoch, owned.server.name
            )
            for range_id, epoch in action.epochs.items()
        ]
        self._app.broadcaster.announce([], [], orphans)

    def request_release(self, owned, action):
        """Request the release of a range from its coordinator."""
        message = ttypes.ReleaseRequest(
            owned.service.name, action.server, action.range_id, action.epoch
        )
        coordinator = self._app.routes.coordinator_of(action.server)
        if coordinator is None:
            return
        if coordinator[0] == self._app.host_name:
            self._receiver.release_request(self._app.host_name, message)
        else:
            self._app.links.send(coordinator[0], 'release_request', message)

    def confirm_release(self, owned, action):
        """Confirm the release of a range."""
        message = ttypes.Released(
            owned.service.name,
            owned.server.name,
            action.range_id,
            action.epoch,
        )
        if action.host == self._app.host_name:
            self._receiver.released(action.host, message)
        else:
            self._app.links.send(action.host, 'released', message)

    def query_successors(self, owned, action):
        """Ask the successor hosts whether they have fenced the server."""
        message = ttypes.LossQuery(
            owned.service.name,
            owned.server.name,
            action.term,
            action.query_id,
        )
        for host in action.hosts:
            self._app.links.send(host, 'loss_query', message)

    def promote_standby(self, owned, action):
        """Request the promotion of a standby from its coordinator."""
        coordinator = self._app.routes.coordinator_of(action.server)
        if coordinator is None:
            return
        host, term = coordinator
        message = ttypes.Promote(
            owned.service.name,
            action.server,
            term,
            action.epochs,
            owned.server.name,
        )
        self._app.metrics.promotions.add(
            len(action.epochs), owned.service.name
        )
        if host == self._app.host_name:
            self._receiver.promote(host, message)
        else:
            self._app.links.send(host, 'promote', message)
