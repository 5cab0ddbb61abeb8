"""Limit how many requests are sent to a second server."""

from __future__ import annotations

import collections

#: Part of the allowance that a host uses, since hosts count separately.
SAFETY = 0.7


class RetryBudget:
    """Limit resends to a part of the requests of a service.

    All hosts share one allowance for each service: a ratio of its requests
    and a fixed number. Each host keeps to the ratio of its own requests and
    to its part of the fixed number, so no messages are needed.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        """Begin with nothing used.

        :param ratio: Resends allowed for each request in the window.
        :param slack: Resends allowed beside, for all hosts together.
        :param window_s: Seconds over which both are counted.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._hosts = 1
        self._requests = collections.defaultdict(collections.deque)
        self._resends = collections.defaultdict(collections.deque)

    def set_hosts(self, count: int):
        """Divide the fixed allowance by a number of hosts."""
        self._hosts = max(1, count)

    def note_request(self, service: str, now: float):
        """Count a request of a caller."""
        self._requests[service].append(now)

    def allows(self, service: str, now: float) -> bool:
        """Tell whether one more resend fits; nothing is counted."""
        requests = self._trim(self._requests[service], now)
        resends = self._trim(self._resends[service], now)
        allowed = SAFETY * (self._ratio * requests + self._slack / self._hosts)
        return resends + 1 <= allowed

    def note_resend(self, service: str, now: float):
        """Count a resend."""
        self._resends[service].append(now)

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
