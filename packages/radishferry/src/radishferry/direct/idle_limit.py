"""Decide for how long an idle connection to a server may be reused."""

from __future__ import annotations

import math

#: Longest idle time of a connection that is reused, in seconds. Servers close
#: idle connections after about 10 s, and a request must not be in flight when
#: they do.
MAX_IDLE_S = 6.0
#: The same for requests that may run only once: if a server closes an idle
#: connection on which such a request was sent, nobody knows whether it ran.
MAX_NON_IDEMPOTENT_S = 2.5
#: Ratio of the lowered limit to the idle time at which a connection was found
#: to be dropped. It had been dropped at an unknown moment before.
LOWERING_FACTOR = 0.5
#: Ratio of the limit for requests that may run only once to the lowered
#: limit; losing one of the other requests costs just a second attempt.
NON_IDEMPOTENT_FACTOR = 0.5
#: Lowest limit in seconds, so that a busy host still reuses connections.
MIN_LIMIT_S = 0.1
#: Seconds after the last loss for which the lowered limit applies. Faults
#: of this kind last about five seconds.
LOWERED_FOR_S = 6.0
#: Seconds after a send within which a reset means that the connection had
#: been dropped before: data centres are about 1 ms apart, and the connection
#: of a request that a server has begun to run breaks later.
RESET_WINDOW_S = 0.02


class IdleLimit:
    """Lower the limit while servers drop idle connections without a close."""

    def __init__(self):
        self._lowered_s = math.inf
        self._lost_at = -math.inf

    def limit_s(self, is_idempotent, now) -> float:
        """Return the longest idle time after which a connection is reused.

        :param is_idempotent: Whether the request may run more than once.
        :returns: Seconds.
        """
        longest_s = MAX_IDLE_S if is_idempotent else MAX_NON_IDEMPOTENT_S
        if now - self._lost_at > LOWERED_FOR_S:
            return longest_s
        factor = 1.0 if is_idempotent else NON_IDEMPOTENT_FACTOR
        return min(longest_s, max(MIN_LIMIT_S, self._lowered_s * factor))

    def note_reset(self, idle_s, took_s, now) -> bool:
        """Record the reset of a reused connection before any answer.

        :param idle_s: Seconds for which it had been idle before the send.
        :param took_s: Seconds from the send to the reset.
        :returns: Whether the limit is lower now.
        """
        if took_s > RESET_WINDOW_S:
            return False
        if now - self._lost_at > LOWERED_FOR_S:
            self._lowered_s = math.inf
        self._lost_at = now
        lowered_s = max(MIN_LIMIT_S, idle_s * LOWERING_FACTOR)
        if lowered_s >= self._lowered_s:
            return False
        self._lowered_s = lowered_s
        return True
