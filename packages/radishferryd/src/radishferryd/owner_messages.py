"""Tell other hosts what the coordinators of this host ask for."""

from __future__ import annotations

from radishferryd.gen import ttypes


class OwnerMessages:
    """Send the messages for actions of coordinators.

    Each method but the second takes the :class:`ownership.Owned` of the
    server and the action.  A message for this host itself is handed to the
    receiver of such messages.
    """

    def __init__(self, app, receiver):
        """Begin.

        :param app: Offers ``routes``, ``spread``, ``links``, ``metrics`` and
            ``host_name``.
        :param receiver: Takes messages, as :class:`ownership.Ownership`.
        """
        self._app = app
        self._receiver = receiver

    def announce_coordinator(self, owned, action):
        """Tell all hosts who coordinates the server."""
        found = ttypes.ActiveCoordinator(
            owned.service.name,
            owned.server.name,
            self._app.host_name,
            action.term,
        )
        self._app.spread.routes([], [found], [])

    def announce_refusal(self, owned, term):
        """Tell all hosts that the terms up to one are used up."""
        # Hosts that restarted do not know that terms are used up.  The host
        # that acts under this term, if it still does, takes precedence.
        found = ttypes.ActiveCoordinator(
            owned.service.name, owned.server.name, '', term
        )
        self._app.spread.routes([], [found], [])

    def announce_routes(self, owned, action):
        """Tell all hosts which ranges are active."""
        found = [
            ttypes.ActiveRoute(
                owned.service.name, range_id, epoch, owned.server.name
            )
            for range_id, epoch in action.epochs.items()
        ]
        self._app.spread.routes(found, [], [])

    def announce_orphans(self, owned, action):
        """Tell the planner which ranges need a new epoch."""
        found = [
            ttypes.Orphan(
                owned.service.name, range_id, epoch, owned.server.name
            )
            for range_id, epoch in action.epochs.items()
        ]
        self._app.spread.routes([], [], found)

    def request_release(self, owned, action):
        """Ask for the release of a range."""
        message = ttypes.ReleaseRequest(
            owned.service.name, action.server, action.range_id, action.epoch
        )
        known = self._app.routes.coordinator_of(action.server)
        if known is None:
            return
        if known[0] == self._app.host_name:
            self._receiver.release_request(self._app.host_name, message)
        else:
            self._app.links.send(known[0], 'release_request', message)

    def reply_released(self, owned, action):
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
        """Ask successors whether they fenced the server."""
        message = ttypes.LossQuery(
            owned.service.name,
            owned.server.name,
            action.term,
            action.query_id,
        )
        for host in action.hosts:
            self._app.links.send(host, 'loss_query', message)

    def promote_standby(self, owned, action):
        """Ask for the promotion of a standby."""
        known = self._app.routes.coordinator_of(action.server)
        if known is None:
            return
        host, term = known
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
