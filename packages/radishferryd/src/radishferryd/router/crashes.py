"""Detect requests that crash the servers that run them."""

from __future__ import annotations

import collections

#: Crashes after which identical requests are refused.
CRASH_LIMIT = 3
#: Seconds after the last crash for which identical requests are refused.
EXPIRY_S = 60.0
#: Seconds after a lost connection within which the server must refuse
#: connections for the loss to count as a crash. A reset alone is no crash.
CONFIRM_TIMEOUT_S = 1.5
#: Maximum number of fingerprints kept; the oldest are evicted.
MAX_FINGERPRINTS = 512


class CrashCounts:
    """Count the server crashes during which a request was in flight.

    The granting host adds up the crashes that all hosts have observed.
    """

    def __init__(self):
        self.counts = collections.Counter()
        self.on_change = []
        self._last_crash_at = {}
        self._unreported = []
        self._lost_connections = collections.defaultdict(list)

    def note_connection_lost(self, incarnation, fingerprint, now):
        """Record a request that was in flight on a lost connection."""
        self._lost_connections[incarnation].append((fingerprint, now))

    def note_server_dead(self, incarnation, now):
        """Record that nothing listens at a server's address any more."""
        found = self._lost_connections.pop(incarnation, ())
        fingerprints = {f for f, at in found if now - at < CONFIRM_TIMEOUT_S}
        if not fingerprints:
            return
        self._unreported.extend(fingerprints)
        self.merge(fingerprints, now)

    def take_new(self):
        """Return and clear the fingerprints recorded since the last call."""
        found, self._unreported = self._unreported, []
        return found

    def merge(self, fingerprints, now):
        """Add one crash for each fingerprint."""
        for fingerprint in fingerprints:
            self.counts[fingerprint] += 1
            self._last_crash_at[fingerprint] = now
        changed = {f: self.counts[f] for f in fingerprints}
        self._evict_oldest()
        for callback in self.on_change:
            callback(changed)

    def adopt(self, counts, now):
        """Raise the counts to those of the granting host."""
        for fingerprint, count in counts.items():
            self.counts[fingerprint] = max(count, self.counts[fingerprint])
            self._last_crash_at[fingerprint] = now
        self._evict_oldest()

    def is_poison(self, fingerprint, now) -> bool:
        """Return whether identical requests have crashed several servers."""
        return (
            self.counts.get(fingerprint, 0) >= CRASH_LIMIT
            and now - self._last_crash_at[fingerprint] < EXPIRY_S
        )

    def _evict_oldest(self):
        excess = len(self.counts) - MAX_FINGERPRINTS
        for fingerprint in sorted(
            self._last_crash_at, key=self._last_crash_at.get
        )[: max(0, excess)]:
            del self.counts[fingerprint]
            del self._last_crash_at[fingerprint]
