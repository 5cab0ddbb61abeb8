"""Decide for how long what is known of a server outlives its entry.

An entry may vanish and return while its server runs on: the server is cut off
from the store for a moment, the store returns from an older copy, or an
operator takes its service out of the configuration and puts it back. The same
incarnation is then still held to what it has asked for.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

#: Seconds after which nothing is kept of a server that is not listed. A limit
#: has no end of its own; pauses and usual warm-ups are much shorter.
MAX_UNLISTED_S = 600.0
#: Highest number of incarnations that are kept without an entry; those that
#: have been missing for the longest time are dropped. The largest deployment
#: has about 330 servers.
MAX_UNLISTED = 1024


class UnlistedServers:
    """Track the incarnations that are known but not listed."""

    def __init__(self):
        #: Since when each one is missing, in seconds, the oldest first.
        self._since = {}

    def __contains__(self, incarnation):
        return incarnation in self._since

    def __iter__(self):
        return iter(self._since)

    def update(self, known, listed, now):
        """Record which of the known incarnations are listed now.

        :param known: All incarnations of which something is known.
        :param listed: Set of the incarnations that are listed.
        :returns: Seconds for which each one that is listed again was missing,
            by incarnation.
        """
        returned = {
            incarnation: now - since
            for incarnation, since in self._since.items()
            if incarnation in listed
        }
        missing = (
            (incarnation, self._since.get(incarnation, now))
            for incarnation in known
            if incarnation not in listed
        )
        self._since = dict(sorted(missing, key=lambda item: item[1]))
        return returned

    def take_expired(self, is_needed, now):
        """Return the incarnations to forget, and cease to track them.

        :param is_needed: Called with an incarnation; returns whether what is
            known of it still has an effect on what it may be sent.
        """
        excess = len(self._since) - MAX_UNLISTED
        expired = [
            incarnation
            for position, (incarnation, since) in enumerate(
                self._since.items()
            )
            if position < excess
            or now - since > MAX_UNLISTED_S
            or not is_needed(incarnation)
        ]
        for incarnation in expired:
            del self._since[incarnation]
        return expired
