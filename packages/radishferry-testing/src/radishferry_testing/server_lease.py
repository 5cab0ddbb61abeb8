"""Track the lease of a backend server and its ranges."""

from __future__ import annotations

import collections
import math


class ServerLease:
    """Apply grants in order and drop all ranges when the lease expires.

    Times are in ms on the clock of the server.

    :ivar term: Highest term of an applied grant.
    :ivar previous_term: The term before it.
    :ivar generation: Number of times that the lease expired with held ranges.
    """

    def __init__(self):
        self._seq = -1
        self._expires_at_ms = -math.inf
        self._held = {}
        self._revoked = set()
        self._dropped = {}
        self._running = collections.Counter()
        self.term = -1
        self.previous_term = 0
        self.generation = 0

    def grant(self, now_ms, term, seq, expires_at_ms, ranges) -> bool:
        """Apply a grant; return False if it is not newer than the last one.

        A grant that is not newer than the last applied one was delayed or
        repeated, or its sender has been superseded by a higher term.

        :param ranges: Mapping of range id to epoch, the complete set to
            hold; None keeps the current set.
        """
        self._drop_if_expired(now_ms)
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
        """Return the epochs of held ranges.

        A revoked range is held until its work has finished.
        """
        self._drop_if_expired(now_ms)
        return dict(self._held)

    def refusal_reason(self, now_ms, range_id, epoch) -> str:
        """Return why work may not start, or an empty string.

        :param range_id: Range of the work; None when it has none.
        """
        self._drop_if_expired(now_ms)
        if range_id is None:
            return ''
        if range_id in self._revoked or self._held.get(range_id) != epoch:
            return 'range-not-held'
        return ''

    def begin(self, range_id):
        """Count the start of work; return the generation of the lease."""
        self._running[range_id] += 1
        return self.generation

    def may_commit(self, now_ms, range_id, generation) -> bool:
        """Return whether the lease has covered work since its start.

        :param generation: Result of :meth:`begin`.
        """
        self._drop_if_expired(now_ms)
        if range_id is None:
            return True
        return generation == self.generation and range_id in self._held

    def finish(self, range_id):
        """Count the end of work; drop its range if that was revoked."""
        self._running[range_id] -= 1
        if not self._running[range_id]:
            del self._running[range_id]
            if range_id in self._revoked:
                self._drop(range_id)

    def _replace(self, ranges):
        for range_id, epoch in ranges.items():
            if range_id in self._held:
                held_epoch = self._held[range_id]
                self._held[range_id] = max(held_epoch, epoch)
                if epoch >= held_epoch:
                    self._revoked.discard(range_id)
            elif epoch > self._dropped.get(range_id, -1):
                self._held[range_id] = epoch
        for range_id in set(self._held) - set(ranges):
            self._revoked.add(range_id)
            if not self._running[range_id]:
                self._drop(range_id)

    def _drop(self, range_id):
        self._revoked.discard(range_id)
        self._dropped[range_id] = self._held.pop(range_id)

    def _drop_if_expired(self, now_ms):
        if now_ms >= self._expires_at_ms and self._held:
            self.generation += 1
            for range_id in list(self._held):
                self._drop(range_id)
