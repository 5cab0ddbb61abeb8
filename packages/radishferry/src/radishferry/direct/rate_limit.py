"""Share the request limit that a server names among the hosts."""

from __future__ import annotations

import dataclasses
import math
import random

#: Span in seconds over which a server counts its requests.
SPAN_S = 4.0
#: Requests that a server tolerates in a span, as a multiple of its limit, and
#: further ones.
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5.0
#: Share of the limit that the hosts use. The rest is left for hosts that count
#: too few others for a moment.
USED_SHARE = 0.9
#: Share of the tolerance above the used rate that unused permits may take up.
SAVED_SHARE = 0.8
#: Lowest limit that is applied, in requests a second. A server that names 0
#: still gets a request now and then, whose response shows when the limit ends.
MIN_LIMIT_PER_S = 0.1


@dataclasses.dataclass
class _Permits:
    """Hold the permits of one host, as of one moment.

    :ivar count: Number of permits, with fractions.
    :ivar full_at: When the permits reached their highest number, in seconds;
        inf if they have not.
    """

    count: float
    at: float
    full_at: float = math.inf


class RateLimit:
    """Limit the requests of one host to a server that names a limit.

    Each host gets permits at an equal part of the server's rate, from a random
    phase on, since the hosts do not coordinate. Permits that all hosts have
    saved up may be used at the same time, so together they must not exceed
    what the server tolerates above the rate: each host saves an equal part of
    it, or a single permit for a limited time if that part is below one.
    """

    def __init__(self, limit_per_s: float, hosts: int, now: float):
        """Create the share of one host, with less than one permit.

        :param limit_per_s: Requests a second from all hosts together.
        :param hosts: Number of hosts.
        """
        self._limit_per_s = limit_per_s
        self._hosts = max(1, hosts)
        self._permits = _Permits(random.random(), now)

    @property
    def limit_per_s(self) -> float:
        """Return the limit that the server named."""
        return self._limit_per_s

    def update(self, limit_per_s: float, hosts: int, now: float):
        """Change the limit or the number of hosts; permits are kept."""
        if (limit_per_s, hosts) != (self._limit_per_s, self._hosts):
            self._advance(now)
            self._limit_per_s = limit_per_s
            self._hosts = max(1, hosts)

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next request is permitted, or 0."""
        self._advance(now)
        missing = 1 - self._permits.count
        return max(0.0, missing / self._rate_per_s)

    def take(self, now: float):
        """Use a permit; the number may become negative."""
        self._advance(now)
        permits = self._permits
        # The next permit does not come later because this one was saved.
        kept_s = 0.0 if math.isinf(permits.full_at) else now - permits.full_at
        count = permits.count - 1 + kept_s * self._rate_per_s
        self._permits = _Permits(count, now)

    @property
    def _total_per_s(self):
        return USED_SHARE * max(MIN_LIMIT_PER_S, self._limit_per_s)

    @property
    def _rate_per_s(self):
        """Return the permits a second of this host."""
        return self._total_per_s / self._hosts

    @property
    def _saved(self):
        """Return how many unused permits all hosts together may have."""
        limit_per_s = max(MIN_LIMIT_PER_S, self._limit_per_s)
        tolerated = TOLERANCE_RATIO * SPAN_S * limit_per_s + TOLERANCE_REQUESTS
        return SAVED_SHARE * (tolerated - SPAN_S * self._total_per_s)

    def _advance(self, now):
        """Add the permits since the last call, and drop expired ones."""
        permits = self._permits
        rate = self._rate_per_s
        capacity = self._saved / self._hosts
        count = permits.count + (now - permits.at) * rate
        if capacity >= 1:
            self._permits = _Permits(min(count, capacity), now)
            return
        # A whole permit expires after the time in which all hosts together
        # get as many as they may save. The next one comes a period after this
        # one came, so that the hosts keep their phases.
        lifetime_s = self._saved / self._total_per_s
        period_s = 1 / rate
        full_at = permits.full_at
        if math.isinf(full_at) and count >= 1:
            full_at = now - (count - 1) / rate
        if math.isinf(full_at):
            self._permits = _Permits(count, now)
            return
        passed = (now - full_at) // period_s
        full_at += passed * period_s
        if now - full_at <= lifetime_s:
            self._permits = _Permits(1.0, now, full_at)
        else:
            self._permits = _Permits((now - full_at) / period_s, now)
