"""Watch whether this host reaches the servers at all."""

from __future__ import annotations

import logging

from radishferry.direct import reachability
from radishferryd import net

LOG = logging.getLogger(__name__)

#: Seconds between attempts to connect to a server while this host is cut off
#: from all of them: the end of a cut is noticed after about this time.
PROBE_INTERVAL_S = 0.25
#: Timeout of such an attempt in seconds. Data centres are about 1 ms apart.
PROBE_TIMEOUT_S = 0.35


class LinkMonitor:
    """Detect the loss and the return of this host's links to the servers."""

    def __init__(self, poller, scheduler, registry):
        """Create a monitor of links that are assumed to work.

        :param registry: The :class:`~radishferry.direct.registry.Registry`.
        """
        self._poller = poller
        self._scheduler = scheduler
        self._registry = registry
        self._reachability = reachability.Reachability()
        self._probed = []
        self._probe_timer = None
        #: Called without arguments when an isolation begins and when it ends.
        self.on_isolated = []
        self.on_restored = []

    @property
    def is_isolated(self) -> bool:
        """Return whether this host is cut off from all servers."""
        return self._reachability.is_isolated

    @property
    def fails_to_connect(self) -> bool:
        """Return whether new connections fail at several servers."""
        return self._reachability.fails_to_connect(self._scheduler.now())

    @property
    def failed_servers(self) -> int:
        """Return how many servers failed since one gave a sign of life."""
        return self._reachability.failed_servers

    @property
    def isolated_s(self) -> float:
        """Return for how many seconds this host has been isolated."""
        if not self.is_isolated:
            return 0.0
        return self._scheduler.now() - self._reachability.isolated_at

    def was_isolated_since(self, since) -> bool:
        """Return whether this host was isolated at or after a time.

        :param since: In seconds.
        """
        return self.is_isolated or self.restored_at >= since

    @property
    def restored_at(self) -> float:
        """Return when the last isolation ended, in seconds."""
        return self._reachability.restored_at

    def note_connected(self):
        """Record that a server accepted a connection."""
        if self._reachability.note_connected(self._scheduler.now()):
            self._end_isolation()

    def note_answered(self, sent_at):
        """Record that a server answered a request or an order.

        :param sent_at: When it was sent, in seconds.
        """
        now = self._scheduler.now()
        if self._reachability.note_answered(sent_at, now):
            self._end_isolation()

    def note_connect_failed(self, server):
        """Record that a connection to a server could not be opened."""
        if self._reachability.note_connect_failed(*self._evidence(server)):
            self._begin_isolation()

    def note_unacknowledged(self, server):
        """Record that a server acknowledged none of the sent bytes."""
        if self._reachability.note_unacknowledged(*self._evidence(server)):
            self._begin_isolation()

    def _evidence(self, server):
        known_servers = len(self._registry.all())
        return server.incarnation, known_servers, self._scheduler.now()

    def _begin_isolation(self):
        found = self._reachability
        LOG.warning(
            'links: No server can be reached; the links of this host are '
            'probably cut.',
            extra={
                'failed_servers': found.failed_servers,
                'known_servers': len(self._registry.all()),
                'silent_s': round(
                    min(found.silence_s(self._scheduler.now()), 1e6), 3
                ),
            },
        )
        for callback in self.on_isolated:
            callback()
        self._probe_next()

    def _end_isolation(self):
        found = self._reachability
        LOG.info(
            'links: Servers can be reached again.',
            extra={
                'isolated_s': round(found.restored_at - found.isolated_at, 3)
            },
        )
        self._probe_timer.cancel()
        for callback in self.on_restored:
            callback()

    def _probe_next(self):
        """Try to connect to one server after the other until one accepts."""
        if not self._probed:
            self._probed = list(self._registry.all())
        if self._probed:
            server = self._probed.pop()
            probe(self._poller, self._scheduler, server, self._on_probed)
        self._probe_timer = self._scheduler.call_later(
            PROBE_INTERVAL_S, self._probe_next
        )

    def _on_probed(self, is_reached):
        if is_reached:
            self.note_connected()


class _Probe:
    """Report whether a connection could be opened, and close it."""

    def __init__(self, done):
        self._done = done

    def connected(self, connection):
        self._report(True)
        connection.close()

    def received(self, data):
        """Ignore data that nobody asked for."""

    def pause_producing(self):
        """Do nothing, since nothing is written."""

    def resume_producing(self):
        """See :meth:`pause_producing`."""

    def closed(self, error):
        self._report(False)

    def _report(self, is_reached):
        done, self._done = self._done, None
        if done is not None:
            done(is_reached)


def probe(poller, scheduler, server, done):
    """Try to open a connection to a server, without a request.

    :param done: Called once with whether the server accepted it.
    """
    handler = _Probe(done)
    connection = net.connect(poller, server.address, handler)
    # Closing it reports the failure; after a success it has no effect.
    scheduler.call_later(PROBE_TIMEOUT_S, connection.abort)
