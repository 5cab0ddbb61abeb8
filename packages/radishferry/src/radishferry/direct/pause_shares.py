"""Merge the pauses that servers have asked of single hosts."""

from __future__ import annotations

import collections


class PauseShares:
    """Tell which part of the hosts each server wants nothing from."""

    def __init__(self):
        self._until = collections.defaultdict(dict)

    def note(self, life, host, until):
        """Note that a server wants no request from a host.

        :param until: When the pause ends, in seconds.
        """
        self._until[life][host] = until

    def share(self, life, hosts, now) -> float:
        """Return the part of the hosts that have to spare a server, 0 to 1.

        :param int hosts: Hosts of the deployment.
        """
        paused = self._until.get(life)
        if not paused:
            return 0.0
        for host in [h for h, until in paused.items() if until <= now]:
            del paused[host]
        if not paused:
            del self._until[life]
        return min(1.0, len(paused) / max(1, hosts))
