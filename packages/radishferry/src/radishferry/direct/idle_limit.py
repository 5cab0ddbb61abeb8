"""Decide for how long an idle connection to a server may be reused."""

from __future__ import annotations

import math

#: Seconds for which an idle connection is reused. Servers close theirs
#: after about 10 s, and a request must not cross that close.
LONGEST_S = 6.0
#: The same for requests that may run only once, since a server that closes
#: an idle connection leaves it open whether such a request has run.
CAUTIOUS_S = 2.5
#: Part of the idle time at which a connection was lost that others may still
#: reach. What dropped it did so at an unknown moment before.
LOWERING = 0.5
#: The same for requests that may run only once; the loss of one of the
#: others costs just a second attempt.
CAUTIOUS_SHARE = 0.5
#: Least limit in seconds, so that a busy host still reuses connections.
SHORTEST_S = 0.1
#: Seconds after the last loss for which the lower limit holds. Troubles of
#: this kind last about five seconds.
MEMORY_S = 6.0
#: Seconds after a send within which a reset means that the connection had
#: been dropped before: data centres are about 1 ms apart, and a request that
#: a server began to run breaks off later.
RESET_WINDOW_S = 0.02


class IdleLimit:
    """Lower the limit when servers drop idle connections without notice."""

    def __init__(self):
        self._lowered_s = math.inf
        self._lost_at = -math.inf

    def limit_s(self, is_idempotent, now) -> float:
        """Return the longest idle time of a connection to be reused.

        :param is_idempotent: Whether the request may run more than once.
        :returns: Seconds.
        """
        longest_s = LONGEST_S if is_idempotent else CAUTIOUS_S
        if now - self._lost_at > MEMORY_S:
            return longest_s
        share = 1.0 if is_idempotent else CAUTIOUS_SHARE
        return min(longest_s, max(SHORTEST_S, self._lowered_s * share))

    def note_reset(self, idle_s, took_s, now) -> bool:
        """Take the reset of a reused connection that brought no answer.

        :param idle_s: How long it had been idle before the send.
        :param took_s: Seconds from the send to the reset.
        :returns: Whether the limit is lower now.
        """
        if took_s > RESET_WINDOW_S:
            return False
        if now - self._lost_at > MEMORY_S:
            self._lowered_s = math.inf
        self._lost_at = now
        lowered_s = max(SHORTEST_S, idle_s * LOWERING)
        if lowered_s >= self._lowered_s:
            return False
        self._lowered_s = lowered_s
        return True
