"""Tell the loss of a host's own links from the failure of servers.

One failed connection does not show whether the server has died or the links
of this host are cut. Failures at several servers, while no server answers,
are evidence for the second.
"""

from __future__ import annotations

import math

#: Different servers that must fail, while no server answers or accepts a
#: connection in between, before the links of this host count as the cause.
#: Fewer servers may have crashed at the same time.
MIN_FAILED_SERVERS = 3
#: Seconds for which no server may have answered or accepted a connection, in
#: addition. When some servers crash, the others go on answering.
MIN_SILENCE_S = 0.3
#: Seconds after which a failure is no evidence any more.
EVIDENCE_S = 5.0


class Reachability:
    """Decide whether this host is isolated, which is cut off from all servers.

    A host whose open connections still work while new ones fail is not
    isolated; :meth:`fails_to_connect` tells about it.
    """

    def __init__(self):
        self._failed_at = {}
        self._connect_failed_at = {}
        self._reached_at = -math.inf
        self._is_isolated = False
        self._isolated_at = -math.inf
        self._restored_at = -math.inf

    @property
    def is_isolated(self) -> bool:
        """Return whether this host is cut off from all servers."""
        return self._is_isolated

    @property
    def isolated_at(self) -> float:
        """Return when the last isolation was detected, in seconds."""
        return self._isolated_at

    @property
    def restored_at(self) -> float:
        """Return when the last isolation ended, in seconds."""
        return self._restored_at

    @property
    def failed_servers(self) -> int:
        """Return how many servers failed since one was last reached."""
        return len(self._failed_at)

    def silence_s(self, now) -> float:
        """Return the seconds since any server was last reached."""
        return now - self._reached_at

    def fails_to_connect(self, now) -> bool:
        """Return whether new connections fail at several servers.

        That is so if no connect has succeeded since the first of them failed,
        whether or not answers arrive on open connections.
        """
        recent = [
            at
            for at in self._connect_failed_at.values()
            if _is_recent(at, now)
        ]
        return len(recent) >= MIN_FAILED_SERVERS

    def note_connected(self, now) -> bool:
        """Record that a server accepted a connection.

        :returns: Whether this host was isolated until now.
        """
        self._connect_failed_at.clear()
        return self._note_reached(now)

    def note_answered(self, sent_at, now) -> bool:
        """Record that a server answered.

        :param sent_at: When the request was sent, in seconds. The answer to a
            request from before an isolation may have been delayed by the loss.
        :returns: Whether this host was isolated until now.
        """
        if self._is_isolated and sent_at < self._isolated_at:
            return False
        return self._note_reached(now)

    def note_connect_failed(self, incarnation, known_servers, now) -> bool:
        """Record that a connection to a server could not be opened.

        :param incarnation: Identifies the server.
        :param known_servers: Number of servers of all services.
        :returns: Whether this host counts as isolated from now on.
        """
        self._connect_failed_at[incarnation] = now
        return self.note_unacknowledged(incarnation, known_servers, now)

    def note_unacknowledged(self, incarnation, known_servers, now) -> bool:
        """Record that a server acknowledged none of the sent bytes.

        The parameters are those of :meth:`note_connect_failed`.
        """
        self._failed_at[incarnation] = now
        if self._is_isolated:
            return False
        self._failed_at = {
            failed: at
            for failed, at in self._failed_at.items()
            if _is_recent(at, now)
        }
        needed = max(1, min(MIN_FAILED_SERVERS, known_servers))
        if len(self._failed_at) < needed:
            return False
        if self.silence_s(now) < MIN_SILENCE_S:
            return False
        self._is_isolated = True
        self._isolated_at = now
        return True

    def _note_reached(self, now):
        self._reached_at = now
        self._failed_at.clear()
        if not self._is_isolated:
            return False
        self._is_isolated = False
        self._restored_at = now
        return True


def _is_recent(at, now):
    return now - at <= EVIDENCE_S
