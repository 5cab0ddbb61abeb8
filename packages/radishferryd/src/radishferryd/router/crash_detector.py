"""Find out whether a server has crashed when a connection to it is lost."""

from __future__ import annotations

import logging

from radishferryd.router import crashes
from radishferryd.router import link_monitor

LOG = logging.getLogger(__name__)

#: Seconds after the loss of a connection until the server is tried. The
#: connections and the listener of a process that dies are closed one after
#: another.
PROBE_DELAY_S = 0.01
#: Seconds between two attempts to connect to a server that does not answer.
PROBE_INTERVAL_S = 0.25
#: Seconds after the loss of a connection within which the server must refuse
#: another one for the loss to count as a crash. Servers that crash are back
#: after some seconds. A lost connection alone is no crash.
CONFIRM_TIMEOUT_S = 1.5
#: Seconds after a refused connection until a crash of the server is counted:
#: within them a host that lost its own links notices that.
ISOLATION_CHECK_S = 0.6
#: Maximum number of requests that one log line names.
MAX_LOGGED_FINGERPRINTS = 8


class CrashDetector:
    """Try servers to which connections with a request in flight were lost.

    The host that sent the request has to find out itself: later requests
    mostly go to other servers, since those cost less than one that has failed,
    and other hosts do not know which requests were lost.
    """

    def __init__(self, poller, scheduler, links, counts):
        """Create a detector.

        :param links: The
            :class:`~radishferryd.router.link_monitor.LinkMonitor` of this
            host.
        :param counts: The
            :class:`~radishferryd.router.crashes.CrashCounts` of this host.
        """
        self._poller = poller
        self._scheduler = scheduler
        self._links = links
        self._counts = counts
        #: Number of crashes at which requests of this host were in flight.
        self.crashes = 0
        #: Losses by incarnation, while that is not known to have crashed.
        self._losses = {}
        #: Losses at servers that refused a connection, until it is known that
        #: this host was not isolated.
        self._unconfirmed = []

    @property
    def needs_completions(self) -> bool:
        """Return whether completed requests have to be reported."""
        return bool(
            self._losses or self._unconfirmed or self._counts.has_suspects
        )

    def note_connection_lost(self, server, fingerprint, sent_at):
        """Record the loss of a connection on which a request was in flight.

        :param server: A :class:`~radishferry.direct.registry.Server`.
        :param fingerprint: Of the request.
        :param sent_at: When the request was sent, in seconds.
        """
        loss = crashes.Crash(fingerprint, sent_at, self._scheduler.now())
        is_first = server.incarnation not in self._losses
        self._losses.setdefault(server.incarnation, []).append(loss)
        if is_first:
            self._schedule_probe(server, PROBE_DELAY_S)

    def note_completed(self, fingerprint):
        """Record that a server has completed a request."""
        for losses in (self._unconfirmed, *self._losses.values()):
            losses[:] = [x for x in losses if x.fingerprint != fingerprint]
        self._counts.note_completed(fingerprint)

    def note_refused(self, server):
        """Record that nothing listens at a server's address any more."""
        refused_at = self._scheduler.now()
        losses = self._recent_losses(server)
        self._losses.pop(server.incarnation, None)
        if losses:
            self._unconfirmed.extend(losses)
            self._scheduler.call_later(
                ISOLATION_CHECK_S,
                lambda: self._confirm(server, losses, refused_at),
            )

    def _recent_losses(self, server):
        now = self._scheduler.now()
        return [
            loss
            for loss in self._losses.get(server.incarnation, ())
            if now - loss.lost_at < CONFIRM_TIMEOUT_S
        ]

    def _schedule_probe(self, server, delay_s):
        self._scheduler.call_later(delay_s, lambda: self._probe(server))

    def _probe(self, server):
        if server.incarnation not in self._losses:
            return
        started_at = self._scheduler.now()
        link_monitor.probe(
            self._poller,
            self._scheduler,
            server,
            lambda result: self._on_probed(server, result, started_at),
        )

    def _on_probed(self, server, result, started_at):
        if result is link_monitor.ProbeResult.REACHED:
            self._links.note_connected()
            # The server lived when the probe began.
            losses = [
                loss
                for loss in self._recent_losses(server)
                if loss.lost_at > started_at
            ]
        else:
            self._links.note_connect_failed(server)
            if result is link_monitor.ProbeResult.REFUSED:
                self.note_refused(server)
                return
            losses = self._recent_losses(server)
        if losses:
            self._losses[server.incarnation] = losses
            self._schedule_probe(server, PROBE_INTERVAL_S)
        else:
            self._losses.pop(server.incarnation, None)

    def _confirm(self, server, losses, refused_at):
        """Count a crash, unless the links of this host are the cause.

        A host whose connections are reset and refused by all servers counts
        as isolated only some failures later.
        """
        # Those of requests that have been completed meanwhile are gone.
        found = [loss for loss in losses if loss in self._unconfirmed]
        for loss in found:
            self._unconfirmed.remove(loss)
        if self._links.was_isolated_since(refused_at):
            if found and not self._links.is_isolated:
                # The host has reached another server since, so the server is
                # tried once more.
                self._losses.setdefault(server.incarnation, []).extend(found)
                self._schedule_probe(server, PROBE_DELAY_S)
            return
        self.crashes += 1
        LOG.info(
            'crashes: %s has crashed; %d requests were in flight.',
            server.server_id,
            len(losses),
            extra={
                'born_ms': server.born_ms,
                'service': server.service,
                'suspects': len(found),
                'fingerprints': ' '.join(
                    f'{loss.fingerprint:x}'
                    for loss in found[:MAX_LOGGED_FINGERPRINTS]
                ),
            },
        )
        for loss in found:
            self._counts.note_crash(loss, self._scheduler.now())
