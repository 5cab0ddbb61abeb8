"""Stop the process without cutting off a request."""

from __future__ import annotations

import logging

from radishferryd import events

LOG = logging.getLogger(__name__)

#: Seconds that a stopping host still accepts callers, until the balancer has
#: noticed that it is not ready.
STOP_GRACE_S = 1.0
#: Seconds after which a stopping host ends although requests are open.
STOP_LIMIT_S = 60.0
#: Seconds between checks whether everything has ended.
STOP_CHECK_S = 0.05


class Shutdown:
    """Hand servers over, finish requests and end."""

    def __init__(self, app):
        """Begin; nothing happens before :meth:`begin`.

        :param app: Offers ``scheduler``, ``ownership``, ``gateway``,
            ``links``, ``close_callers`` and ``fire``.
        """
        self._app = app
        self._stop_at = None

    @property
    def has_begun(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._stop_at is not None

    def begin(self):
        """Begin a planned stop."""
        if self.has_begun:
            return
        app = self._app
        LOG.info('app: A planned stop begins.')
        self._stop_at = app.scheduler.now() + STOP_GRACE_S
        app.fire(events.stopping())
        app.ownership.hand_over_all()
        app.scheduler.call_every(STOP_CHECK_S, self._continue)

    def _continue(self):
        app = self._app
        now = app.scheduler.now()
        if now < self._stop_at:
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
        if is_done or now > self._stop_at + STOP_LIMIT_S:
            LOG.info('app: Stopped.')
            app.links.close()
            raise SystemExit(0)
