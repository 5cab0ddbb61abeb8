"""Combine the pauses that servers have requested from single hosts."""

from __future__ import annotations

from radishferry.direct import unlisted


class PauseShares:
    """Track the share of hosts from which each server wants no requests."""

    def __init__(self):
        self._pause_ends = {}

    def note(self, incarnation, host, until):
        """Record that a server wants no requests from a host for a while.

        :param until: When the pause ends, in seconds.
        """
        # The dict keeps the latest ones last.
        paused = self._pause_ends.pop(incarnation, {})
        paused[host] = until
        self._pause_ends[incarnation] = paused
        if len(self._pause_ends) > unlisted.MAX_UNLISTED:
            del self._pause_ends[next(iter(self._pause_ends))]

    def share(self, incarnation, hosts, now) -> float:
        """Return the share of hosts that a server has paused, 0 to 1.

        :param int hosts: Number of hosts of the deployment.
        """
        paused = self._pause_ends.get(incarnation)
        if not paused:
            return 0.0
        for host in [h for h, until in paused.items() if until <= now]:
            del paused[host]
        if not paused:
            del self._pause_ends[incarnation]
        return min(1.0, len(paused) / max(1, hosts))
