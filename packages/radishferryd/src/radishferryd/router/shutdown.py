"""Stop a direct-mode host within its grace period without losing requests."""

from __future__ import annotations

import logging

LOG = logging.getLogger(__name__)

#: Seconds for which a stopping host accepts new connections and requests: the
#: platform polls readiness once a second and removes a host only after two
#: negative answers.
LISTEN_S = 2.6
#: Maximum share of the grace period for which requests are accepted, so that
#: the servers have the rest of it to answer them.
MAX_LISTEN_SHARE = 0.5
#: Seconds for which a connection must be idle before a stopping host closes
#: it, so that a request already sent by the caller is not lost.
IDLE_S = 0.5
#: Seconds before the end of the grace period at which requests that are still
#: open are answered. Complete responses that wait behind them on pipelined
#: connections have to be sent before the process exits.
ANSWER_MARGIN_S = 0.6
#: Seconds before the end of the grace period at which the process exits.
EXIT_MARGIN_S = 0.4
#: Seconds between checks whether all connections have been closed.
CHECK_S = 0.05


class Shutdown:
    """Finish the requests of callers, refuse further ones, and exit.

    First the host is only not ready, and closes connections after their
    responses. When the platform has noticed that, requests are refused before
    they reach a server. Shortly before the end of the grace period those that
    are still open are answered.
    """

    def __init__(
        self, scheduler, gateway, grace_s, close_listener, before_exit
    ):
        """Prepare the shutdown, which :meth:`begin` starts.

        :param gateway: The :class:`~radishferryd.router.gateway.Gateway`.
        :param float grace_s: Seconds after which the process is killed.
        :param close_listener: Called to accept no more connections; may be
            called repeatedly.
        :param before_exit: Called when all has been logged.
        """
        self._scheduler = scheduler
        self._gateway = gateway
        self._grace_s = grace_s
        self._close_listener = close_listener
        self._before_exit = before_exit
        self._listen_s = min(LISTEN_S, grace_s * MAX_LISTEN_SHARE)
        self._begun_at = None

    @property
    def has_begun(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._begun_at is not None

    def begin(self):
        """Start a planned stop."""
        self._begun_at = self._scheduler.now()
        self._gateway.begin_stop(
            self._begun_at + self._grace_s - ANSWER_MARGIN_S
        )
        LOG.info(
            'app: A planned stop begins.',
            extra={'open_requests': self._gateway.open_requests},
        )
        self._scheduler.call_every(CHECK_S, self._continue)

    def _continue(self):
        now = self._scheduler.now()
        gateway = self._gateway
        elapsed_s = now - self._begun_at
        if elapsed_s <= self._listen_s:
            return
        self._close_listener()
        gateway.refuse_requests()
        for connection in list(gateway.connections):
            if connection.is_idle and now - connection.active_at > IDLE_S:
                connection.close()
        if now >= gateway.ends_at:
            gateway.end_requests()
        if (
            not gateway.connections
            or elapsed_s > self._grace_s - EXIT_MARGIN_S
        ):
            self._exit()

    def _exit(self):
        for connection in self._gateway.connections:
            connection.log_open_requests()
        LOG.info(
            'app: Stopped.',
            extra={'open_requests': self._gateway.open_requests},
        )
        self._before_exit()
        raise SystemExit(0)
