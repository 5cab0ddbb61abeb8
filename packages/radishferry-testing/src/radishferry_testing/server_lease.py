"""Hold the lease of a backend server and its ranges."""

from __future__ import annotations

import collections
import math


class ServerLease:
    """Accept grants in order and drop all ranges when the lease lapses.

    Times are ms on the clock of the server.
    """

    def __init__(self):
        self._seq = -1
        self._expires_at_ms = -math.inf
        self._held = {}
        self._revoked = set()
        self._lost = {}
        self._running = collections.Counter()
        self.term = -1
        self.previous_term = 0
        self.session = 0

    def grant(self, now_ms, term, seq, expires_at_ms, ranges) -> bool:
        """Take a grant; return False when it is delayed or fenced.

        :param ranges: Mapping of range id to epoch, the whole set to hold;
            None keeps the present set.
        """
        self._lapse(now_ms)
        if (term, seq) <= (self.term, self._seq):
            return False
        if term > self.term:
            self.previous_term = max(0, self.term)
        self.term, self._seq = term, seq
        if self._held or expires_at_ms > now_ms:
            self._expires_at_ms = max(self._expires_at_ms, expires_at_ms)
        if ranges is not None and now_ms < self._expires_at_ms:
            self._replace(ranges)
        return True

    def held(self, now_ms) -> dict:
        """Return the epochs of held ranges, with revoked ones at work."""
        self._lapse(now_ms)
        return dict(self._held)

    def refusal(self, now_ms, range_id, epoch) -> str:
        """Return why work may not start, or an empty string.

        :param range_id: Range of the work; None when it has none.
        """
        self._lapse(now_ms)
        if range_id is None:
            return ''
        if range_id in self._revoked or self._held.get(range_id) != epoch:
            return 'range-not-held'
        return ''

    def begin(self, range_id):
        """Note that work starts; return its session."""
        self._running[range_id] += 1
        return self.session

    def may_commit(self, now_ms, range_id, session) -> bool:
        """Return whether work has been covered by the lease until now."""
        self._lapse(now_ms)
        if range_id is None:
            return True
        return session == self.session and range_id in self._held

    def finish(self, range_id):
        """Note that work has ended."""
        self._running[range_id] -= 1
        if not self._running[range_id]:
            del self._running[range_id]
            if range_id in self._revoked:
                self._lose(range_id)

    def _replace(self, ranges):
        for range_id, epoch in ranges.items():
            if range_id in self._held:
                known = self._held[range_id]
                self._held[range_id] = max(known, epoch)
                if epoch >= known:
                    self._revoked.discard(range_id)
            elif epoch > self._lost.get(range_id, -1):
                self._held[range_id] = epoch
        for range_id in set(self._held) - set(ranges):
            self._revoked.add(range_id)
            if not self._running[range_id]:
                self._lose(range_id)

    def _lose(self, range_id):
        self._revoked.discard(range_id)
        self._lost[range_id] = self._held.pop(range_id)

    def _lapse(self, now_ms):
        if now_ms >= self._expires_at_ms and self._held:
            self.session += 1
            for range_id in list(self._held):
                self._lose(range_id)
