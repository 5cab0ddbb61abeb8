"""Estimate how many requests a second each server can run."""

from __future__ import annotations

import collections
import dataclasses

from radishferry.direct import pause_shares
from radishferry.direct import placement
from radishferry.direct import selection

#: Seconds of answers averaged for the speed of a server, as a number of
#: answers.
SPEED_ANSWERS = 60.0
#: Service time assumed before servers have answered, in seconds, and the
#: number of answers that it counts for: short requests are answered first,
#: so that the first answers alone show servers as too fast.
DEFAULT_SERVICE_S = 0.1
DEFAULT_ANSWERS = 100
#: Narrowest and widest speed taken for a server in relation to the others.
MIN_SPEED, MAX_SPEED = 0.4, 4.0
#: Least part of a server's capacity that is counted while all hosts have to
#: spare it; its keys move to others by their load.
MIN_CAPACITY_SHARE = 0.05


@dataclasses.dataclass
class _Speed:
    """Average the service time of one server over its last answers."""

    total_s: float = 0.0
    answers: float = 0.0

    def note(self, total_s, answers):
        self.total_s += total_s
        self.answers += answers
        if self.answers > SPEED_ANSWERS:
            keep = SPEED_ANSWERS / self.answers
            self.total_s *= keep
            self.answers *= keep

    @property
    def mean_s(self):
        return self.total_s / self.answers if self.answers else 0.0


class Capacities:
    """Learn the speeds of servers from what hosts report."""

    def __init__(self):
        self._speeds = collections.defaultdict(_Speed)
        self._pauses = pause_shares.PauseShares()

    def note_speed(self, server_id, total_s, answers):
        """Count answers of a server.

        :param total_s: Seconds that all of them took together.
        :param int answers: Number of answers.
        """
        self._speeds[server_id].note(total_s, answers)

    def note_pause(self, life, host, pause_s, now):
        """Note that a server wants no request from a host.

        :param pause_s: Seconds from now.
        """
        pause_s = min(pause_s, selection.LONGEST_ASKED_PAUSE_S)
        self._pauses.note(life, host, now + pause_s)

    def of(self, servers, hosts, now):
        """Return a :class:`~radishferry.direct.placement.Capacity` for each.

        :param servers: :class:`~radishferry.direct.registry.Server` of one
            service.
        :param int hosts: Hosts of the deployment.
        """
        known = [
            self._speeds[server.server_id]
            for server in servers
            if server.server_id in self._speeds
        ]
        usual_s = (
            DEFAULT_SERVICE_S * DEFAULT_ANSWERS
            + sum(speed.total_s for speed in known)
        ) / (DEFAULT_ANSWERS + sum(speed.answers for speed in known))
        return [
            placement.Capacity(
                server.life,
                server.slots
                * self._wanted_share(server, hosts, now)
                / (usual_s * self._relative(server, usual_s)),
            )
            for server in servers
        ]

    def _wanted_share(self, server, hosts, now):
        """Return which part of all requests a server wants at present."""
        paused = self._pauses.share(server.life, hosts, now)
        return max(MIN_CAPACITY_SHARE, 1 - paused)

    def _relative(self, server, usual_s):
        speed = self._speeds.get(server.server_id)
        if speed is None or not speed.answers:
            return 1.0
        # Few answers say little, so the average counts in as well.
        weight = speed.answers / (speed.answers + 10)
        relative = 1 + weight * (speed.mean_s / usual_s - 1)
        return min(MAX_SPEED, max(MIN_SPEED, relative))
