"""Recognise requests that crash the servers that run them."""

from __future__ import annotations

import collections

#: Crashes after which equal requests are refused.
CRASHES_OF_POISON = 3
#: Seconds after the last crash for which they are refused.
EXPIRY_S = 60.0
#: Seconds within which a server must be found dead after a connection broke
#: under a request; a reset alone is no crash.
CONFIRM_S = 1.5
#: Most fingerprints kept; the oldest give way.
MAX_FINGERPRINTS = 512


class CrashCounts:
    """Count the crashes at which a request was in flight.

    The granting host adds up what all hosts have seen.
    """

    def __init__(self):
        self.counts = collections.Counter()
        self.on_change = []
        self._at = {}
        self._new = []
        self._broken = collections.defaultdict(list)

    def note_broken(self, life, fingerprint, now):
        """Note a request whose connection broke while the server ran it."""
        self._broken[life].append((fingerprint, now))

    def note_dead(self, life, now):
        """Note that nothing listens at a server's address any more."""
        found = self._broken.pop(life, ())
        fingerprints = {f for f, at in found if now - at < CONFIRM_S}
        if not fingerprints:
            return
        self._new.extend(fingerprints)
        self.merge(fingerprints, now)

    def take_new(self):
        """Return the fingerprints of crashes since the last call."""
        found, self._new = self._new, []
        return found

    def merge(self, fingerprints, now):
        """Add crashes."""
        for fingerprint in fingerprints:
            self.counts[fingerprint] += 1
            self._at[fingerprint] = now
        changed = {f: self.counts[f] for f in fingerprints}
        self._trim()
        for callback in self.on_change:
            callback(changed)

    def adopt(self, counts, now):
        """Take the sums of the granting host."""
        for fingerprint, count in counts.items():
            self.counts[fingerprint] = max(count, self.counts[fingerprint])
            self._at[fingerprint] = now
        self._trim()

    def is_poison(self, fingerprint, now) -> bool:
        """Tell whether equal requests have crashed several servers."""
        return (
            self.counts.get(fingerprint, 0) >= CRASHES_OF_POISON
            and now - self._at[fingerprint] < EXPIRY_S
        )

    def _trim(self):
        excess = len(self.counts) - MAX_FINGERPRINTS
        for fingerprint in sorted(self._at, key=self._at.get)[
            : max(0, excess)
        ]:
            del self.counts[fingerprint]
            del self._at[fingerprint]
