"""Stop the process without interrupting requests."""

from __future__ import annotations

import logging

from radishferryd import events

LOG = logging.getLogger(__name__)

#: Seconds for which a stopping host still accepts callers, until the load
#: balancer has detected that it is not ready.
STOP_GRACE_S = 1.0
#: Seconds after the grace period at which a stopping host exits even if
#: requests are open.
STOP_LIMIT_S = 60.0
#: Seconds between checks for completion.
STOP_CHECK_S = 0.05


class Shutdown:
    """Hand servers over, finish open requests and exit."""

    def __init__(self, app):
        """Prepare the shutdown, which :meth:`begin` starts.

        :param app: Provides ``scheduler``, ``ownership``, ``gateway``,
            ``links``, ``close_callers`` and ``fire``.
        """
        self._app = app
        self._close_callers_at = None

    @property
    def has_begun(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._close_callers_at is not None

    def begin(self):
        """Start a planned stop."""
        if self.has_begun:
            return
        app = self._app
        LOG.info('app: A planned stop begins.')
        self._close_callers_at = app.scheduler.now() + STOP_GRACE_S
        app.fire(events.stopping())
        app.ownership.hand_over_all()
        app.scheduler.call_every(STOP_CHECK_S, self._continue)

    def _continue(self):
        app = self._app
        now = app.scheduler.now()
        if now < self._close_callers_at:
            return
        app.close_callers()
        for connection in list(app.gateway.connections):
            if connection.is_idle:
                connection.close()
        is_done = (
            not app.gateway.connections
            and not app.gateway.open_requests
            and app.ownership.is_idle
            and not app.ownership.is_handing_over
        )
        if is_done or now > self._close_callers_at + STOP_LIMIT_S:
            LOG.info('app: Stopped.')
            app.links.close()
            raise SystemExit(0)
