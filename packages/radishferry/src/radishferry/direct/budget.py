"""Limit how many requests are sent again to another server."""

from __future__ import annotations

import collections

#: Share of its allowance that a host uses, since hosts count separately.
SAFETY_FACTOR = 0.7


class RetryBudget:
    """Limit resends in proportion to the requests of a service.

    All hosts share one allowance for each service: a ratio of its requests
    plus a fixed number. Each host applies the ratio to its own requests and
    uses an equal part of the fixed number, so the hosts need no messages.
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        """Initialise an unused budget.

        :param ratio: Resends allowed for each request in the window.
        :param slack: Further resends allowed in the window, for all hosts
            together.
        :param window_s: Length of the window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._hosts = 1
        self._requests = collections.defaultdict(collections.deque)
        self._resends = collections.defaultdict(collections.deque)

    def set_hosts(self, count: int):
        """Set the number of hosts that share the fixed allowance."""
        self._hosts = max(1, count)

    def note_request(self, service: str, now: float):
        """Count a request of a caller."""
        self._requests[service].append(now)

    def forget_request(self, service: str):
        """Stop counting the newest request, which another host counts."""
        if self._requests[service]:
            self._requests[service].pop()

    def allows(self, service: str, now: float) -> bool:
        """Return whether one more resend is allowed, without counting it."""
        requests = self._trim(self._requests[service], now)
        resends = self._trim(self._resends[service], now)
        allowed = SAFETY_FACTOR * (
            self._ratio * requests + self._slack / self._hosts
        )
        return resends + 1 <= allowed

    def note_resend(self, service: str, now: float):
        """Count a resend."""
        self._resends[service].append(now)

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
