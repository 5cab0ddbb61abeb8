"""Watch whether this host reaches the servers at all."""

from __future__ import annotations

import enum
import errno
import logging

from radishferry.direct import reachability
from radishferryd import net

LOG = logging.getLogger(__name__)

#: Seconds between attempts to connect to a server while this host is cut off
#: from all of them: the end of a cut is noticed after about this time.
PROBE_INTERVAL_S = 0.25
#: Timeout of such an attempt in seconds. Data centres are about 1 ms apart.
PROBE_TIMEOUT_S = 0.35
#: Seconds for which connections must fail at all servers that are tried before
#: the links of this host count as the cause, although open connections work:
#: enough to try several servers.
CONFIRM_S = 0.6


class ProbeResult(enum.Enum):
    """Classify an attempt to connect to a server."""

    REACHED = 'reached'
    #: Nothing listens at the address.
    REFUSED = 'refused'
    SILENT = 'silent'


class LinkMonitor:
    """Detect the loss and the return of this host's links to the servers.

    The links are lost if no server can be reached (the host is isolated), or
    if new connections fail at all servers while open ones work.
    """

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
        #: When several servers could not be connected, None while they can.
        self._refused_since = None
        self._is_loss_logged = False
        #: Called without arguments when the links return after a loss.
        self.on_restored = []

    @property
    def is_isolated(self) -> bool:
        """Return whether this host is cut off from all servers."""
        return self._reachability.is_isolated

    @property
    def fails_to_connect(self) -> bool:
        """Return whether new connections fail at several servers.

        They may have failed at servers that died; a connection to another one
        is tried at once.
        """
        return self._reachability.fails_to_connect(self._scheduler.now())

    @property
    def reaches_servers(self) -> bool:
        """Return whether this host can open connections to servers."""
        return not (self.is_isolated or self.fails_to_connect)

    @property
    def failed_servers(self) -> int:
        """Return how many servers failed since one was last reached."""
        return self._reachability.failed_servers

    @property
    def lost_s(self) -> float:
        """Return for how many seconds the links have been lost, 0 if not."""
        now = self._scheduler.now()
        if self.is_isolated:
            return now - self._reachability.isolated_at
        if self._refused_since is not None and self.fails_to_connect:
            return max(0.0, now - self._refused_since - CONFIRM_S)
        return 0.0

    @property
    def restored_at(self) -> float:
        """Return when the last isolation ended, in seconds."""
        return self._reachability.restored_at

    def was_isolated_since(self, since) -> bool:
        """Return whether this host was isolated at or after a time.

        :param since: In seconds.
        """
        return self.is_isolated or self.restored_at >= since

    def note_connected(self):
        """Record that a server accepted a connection."""
        lost_s = self.lost_s
        self._reachability.note_connected(self._scheduler.now())
        self._refused_since = None
        if lost_s:
            self._end_loss(lost_s)

    def note_answered(self, sent_at):
        """Record that a server answered a request or an order.

        :param sent_at: When it was sent, in seconds.
        """
        lost_s = self.lost_s
        now = self._scheduler.now()
        if self._reachability.note_answered(sent_at, now):
            self._end_loss(lost_s)

    def note_connect_failed(self, server):
        """Record that a connection to a server could not be opened."""
        is_new = self._reachability.note_connect_failed(
            *self._evidence(server)
        )
        if self.fails_to_connect and self._refused_since is None:
            self._refused_since = self._scheduler.now()
        if is_new:
            self._log_loss()
        if not self.reaches_servers and self._probe_timer is None:
            self._probe_next()

    def note_unacknowledged(self, server):
        """Record that a server acknowledged none of the sent bytes."""
        if self._reachability.note_unacknowledged(*self._evidence(server)):
            self._log_loss()
            if self._probe_timer is None:
                self._probe_next()

    def _evidence(self, server):
        known_servers = len(self._registry.all())
        return server.incarnation, known_servers, self._scheduler.now()

    def _log_loss(self):
        if self._is_loss_logged:
            return
        self._is_loss_logged = True
        found = self._reachability
        now = self._scheduler.now()
        LOG.warning(
            'links: No server can be reached; the links of this host are '
            'probably cut.'
            if found.is_isolated
            else 'links: New connections to servers fail while open ones '
            'work; the links of this host are probably cut.',
            extra={
                'failed_servers': found.failed_servers,
                'known_servers': len(self._registry.all()),
                'silent_s': round(min(found.silence_s(now), 1e6), 3),
            },
        )

    def _end_loss(self, lost_s):
        if self._is_loss_logged:
            self._is_loss_logged = False
            LOG.info(
                'links: Servers can be reached again.',
                extra={'lost_s': round(lost_s, 3)},
            )
        for callback in self.on_restored:
            callback()

    def _probe_next(self):
        """Try to connect to one server after the other until one accepts."""
        self._probe_timer = None
        if self.reaches_servers:
            self._refused_since = None
            return
        if self.lost_s:
            self._log_loss()
        if not self._probed:
            self._probed = list(self._registry.all())
        # Set first, since a probe may be answered at once.
        self._probe_timer = self._scheduler.call_later(
            PROBE_INTERVAL_S, self._probe_next
        )
        if self._probed:
            server = self._probed.pop()
            probe(
                self._poller,
                self._scheduler,
                server,
                lambda result: self._on_probed(server, result),
            )

    def _on_probed(self, server, result):
        if result is ProbeResult.REACHED:
            self.note_connected()
        elif not self.reaches_servers:
            # Keeps the evidence recent while requests are relayed.
            self.note_connect_failed(server)


class _Probe:
    """Report whether a connection could be opened, and close it."""

    def __init__(self, done):
        self._done = done

    def connected(self, connection):
        self._report(ProbeResult.REACHED)
        connection.close()

    def received(self, data):
        """Ignore data that nobody asked for."""

    def pause_producing(self):
        """Do nothing, since nothing is written."""

    def resume_producing(self):
        """See :meth:`pause_producing`."""

    def closed(self, error):
        is_refused = getattr(error, 'errno', None) == errno.ECONNREFUSED
        self._report(ProbeResult.REFUSED if is_refused else ProbeResult.SILENT)

    def _report(self, result):
        done, self._done = self._done, None
        if done is not None:
            done(result)


def probe(poller, scheduler, server, done):
    """Try to open a connection to a server, without a request.

    :param done: Called once with the :class:`ProbeResult`.
    """
    handler = _Probe(done)
    connection = net.connect(poller, server.address, handler)
    # Closing it reports the failure; after a success it has no effect.
    scheduler.call_later(PROBE_TIMEOUT_S, connection.abort)
