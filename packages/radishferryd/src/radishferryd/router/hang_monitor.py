"""Close connections on which a server will never answer."""

from __future__ import annotations

import logging

from radishferry.direct import hangs
from radishferryd.router import results

LOG = logging.getLogger(__name__)


class HangMonitor:
    """Find requests that hang, end them, and record what that shows."""

    def __init__(self, scheduler, backends, links, outstanding, metrics):
        """Create a monitor without findings.

        :param backends: :class:`~radishferryd.router.backends.Backends`.
        :param links: The
            :class:`~radishferryd.router.link_monitor.LinkMonitor`.
        :param outstanding: The
            :class:`~radishferry.direct.outstanding.Outstanding`.
        :param metrics: A :class:`~radishferryd.router.metrics.Metrics`.
        """
        self._scheduler = scheduler
        self._backends = backends
        self._links = links
        self._outstanding = outstanding
        self._metrics = metrics

    def check(self):
        """End the requests that hang."""
        now = self._scheduler.now()
        found = [
            (backend, hung)
            for backend in self._backends
            if backend.watch
            for hung in backend.watch.find(backend.stats.service_s, now)
        ]
        for backend, hung in found:
            self._end(backend, hung, now)

    def note_unanswered(self, server, attempt):
        """Record that an attempt was given up without a byte of an answer."""
        self._note(server, attempt, hangs.Evidence.UNANSWERED)

    def _end(self, backend, hung, now):
        attempt = hung.pending
        if (
            hung.evidence is not hangs.Evidence.UNANSWERED
            and self._links.was_isolated_since(attempt.sent_at)
        ):
            # The request or its answer may have been lost with the links.
            return
        LOG.info(
            'backends: A connection to %s hangs.',
            backend.server.server_id,
            extra={
                'request_id': attempt.request_id,
                'service': backend.server.service,
                'evidence': hung.evidence.value,
                'sent_ago_s': round(now - attempt.sent_at, 3),
                'is_idempotent': attempt.is_idempotent,
            },
        )
        attempt.connection.give_up(
            results.Unknown(
                f'the server does not answer: {hung.evidence.value}'
            )
        )
        self._note(backend.server, attempt, hung.evidence)

    def _note(self, server, attempt, evidence):
        self._metrics.count_hang(evidence.value)
        if self._links.was_isolated_since(attempt.sent_at):
            return
        self._outstanding.note_hang(
            server,
            attempt.load_at_send,
            self._scheduler.now(),
            evidence is not hangs.Evidence.UNANSWERED,
        )
