"""Exchange messages between the granting host and the others."""

from __future__ import annotations

import logging

from radishferryd import net
from radishferryd import peer_codec
from radishferryd.gen.router import ttypes

LOG = logging.getLogger(__name__)

#: Seconds between beats of the granting host.
BEAT_S = 0.4
#: Seconds without a message after which a link counts as silent. Reports
#: and beats are sent at least twice in this time.
SILENCE_S = 1.2
#: Seconds after which an attempt to connect has failed.
CONNECT_TIMEOUT_S = 0.5

_CODEC = peer_codec.Codec(ttypes.Frame, ('beat', 'load_report'))


class Link:
    """Be one connection to another host."""

    def __init__(self, scheduler, owner):
        """Begin without a connection.

        :param owner: Offers ``link_opened(link)``,
            ``link_message(link, name, message)`` and
            ``link_closed(link, detail)``.
        """
        self._scheduler = scheduler
        self._owner = owner
        self._connection = None
        self._buffer = peer_codec.FrameBuffer(_CODEC)
        self._buffer.allow_large()
        self._is_open = False
        self.heard_at = scheduler.now()
        self.host = ''
        self.data_centre = ''

    @property
    def is_open(self) -> bool:
        """Tell whether messages can be sent."""
        return self._is_open

    def connect(self, poller, address):
        """Open the connection."""
        self._connection = net.connect(poller, address, self, SILENCE_S)
        self._scheduler.call_later(CONNECT_TIMEOUT_S, self._check_connected)

    def send(self, name, message):
        """Send a message; dropped when the link is closed."""
        if self._is_open:
            self._connection.write(_CODEC.encode(name, message))

    def is_silent(self, now) -> bool:
        """Tell whether the other host has not been heard for long."""
        return now - self.heard_at > SILENCE_S

    def close(self):
        """Close at once with a reset."""
        if self._connection is not None:
            self._connection.abort()

    def _check_connected(self):
        if not self._is_open and self._connection.is_open:
            self._connection.abort()

    # From the network.

    def connected(self, connection):
        """See :class:`radishferryd.net.Handler`."""
        self._connection = connection
        self._is_open = True
        self.heard_at = self._scheduler.now()
        self._owner.link_opened(self)

    def received(self, data):
        """See :class:`radishferryd.net.Handler`."""
        self.heard_at = self._scheduler.now()
        try:
            for name, message in self._buffer.feed(data):
                self._owner.link_message(self, name, message)
        except peer_codec.FrameError as exc:
            LOG.error('link: Closed the link to %s: %s.', self.host, exc)
            self._connection.abort()

    def pause_producing(self):
        """Drop the link: the other host reads too slowly to follow."""
        self._scheduler.call_later(0.0, self.close)

    def resume_producing(self):
        """See :class:`radishferryd.net.Handler`."""

    def closed(self, error):
        """See :class:`radishferryd.net.Handler`."""
        self._is_open = False
        self._owner.link_closed(self, str(error) if error else 'closed')


def listen(poller, scheduler, address, owner) -> net.Listener:
    """Accept links of other hosts.

    :raises OSError: The address cannot be bound.
    """
    return net.Listener(poller, address, lambda: Link(scheduler, owner))
