"""Count the crashes of servers during which a request was in flight.

A request that was in flight when a server crashed is only a suspect: other
requests were in flight at the same server, and it may have crashed by itself.
Two things tell a request that crashes its servers from the others. It is never
completed, and it crashes servers one after another: each time it is sent after
the crash before.
"""

from __future__ import annotations

import collections
import dataclasses
import logging
import math

import xxhash

LOG = logging.getLogger(__name__)

#: Crashes one after another after which identical requests are refused.
CRASH_LIMIT = 3
#: Seconds after the last crash for which identical requests are refused.
EXPIRY_S = 60.0
#: Crashes from which the granting host tells all hosts, so that they report
#: when such a request is completed. Most requests that are in flight at a
#: crash never are at another one, and telling hundreds of hosts about them
#: would delay the messages about leases.
SHARED_CRASHES = 2
#: Maximum number of fingerprints kept; those with the fewest crashes, and of
#: these the oldest, are evicted.
MAX_FINGERPRINTS = 512


def fingerprint(head, key, body_parts) -> int:
    """Return a hash that is the same for identical requests.

    :param head: Head of the request, a
        :class:`~radishferryd.http_message.Head`.
    :param key: Key of a request to a keyed service, else None.
    :param body_parts: The body in parts, wherever it is divided.
    """
    parts = (head.method, head.header('host'), head.target)
    if key is not None:
        parts += (str(key),)
    digest = xxhash.xxh64(' '.join(parts).encode())
    for part in body_parts:
        digest.update(part)
    # Drop one bit, since messages between hosts carry signed integers.
    return digest.intdigest() >> 1


@dataclasses.dataclass(frozen=True)
class Crash:
    """Describe the loss of a connection to a server that has crashed.

    :ivar fingerprint: Of the request that was in flight on it.
    :ivar sent_at: When the request was sent, in seconds.
    :ivar lost_at: When the connection was lost, in seconds.
    """

    fingerprint: int
    sent_at: float
    lost_at: float


@dataclasses.dataclass(frozen=True)
class News:
    """Hold what a host has found out since its last report.

    :ivar crashes: Each :class:`Crash`.
    :ivar completed: Fingerprints of suspects that have been completed.
    """

    crashes: tuple = ()
    completed: tuple = ()


class _History:
    """Count the crashes of one fingerprint since it was last completed."""

    __slots__ = ('count', 'lost_at', 'noted_at', 'reported', 'ignored')

    def __init__(self):
        self.count = 0
        #: Loss of the connection at the last crash that counts.
        self.lost_at = -math.inf
        self.noted_at = -math.inf
        #: Count that the granting host last reported, and the part of it from
        #: before the request was completed here. A granting host of an older
        #: version does not learn of that.
        self.reported = 0
        self.ignored = 0

    def add(self, crash, now):
        """Count a crash, unless the request was sent before the last one.

        Several identical requests may be in flight when several servers
        crash at the same time.

        :returns: Whether it counts.
        """
        if crash.sent_at <= self.lost_at:
            return False
        self.count += 1
        self.lost_at = max(self.lost_at, crash.lost_at)
        self.noted_at = now
        return True

    def adopt(self, reported, now):
        """Raise the count to that of the granting host."""
        self.reported = reported
        self.ignored = min(self.ignored, reported)
        if reported - self.ignored > self.count:
            self.count = reported - self.ignored
            self.lost_at = self.noted_at = now

    def clear(self):
        """Forget all crashes, since the request has been completed."""
        self.count = 0
        self.ignored = self.reported


class CrashCounts:
    """Count the crashes that requests may have caused.

    The granting host adds up the crashes that all hosts have observed, and
    tells them its counts.
    """

    def __init__(self):
        self._histories = {}
        self._crashes = collections.deque(maxlen=MAX_FINGERPRINTS)
        self._completed = {}
        #: Called with the counts that have changed, by fingerprint.
        self.on_change = []

    @property
    def counts(self) -> dict[int, int]:
        """Return the crashes by fingerprint."""
        return {
            fingerprint: history.count
            for fingerprint, history in self._histories.items()
            if history.count
        }

    @property
    def shared_counts(self) -> dict[int, int]:
        """Return the counts that all hosts are told."""
        return {
            fingerprint: count
            for fingerprint, count in self.counts.items()
            if count >= SHARED_CRASHES
        }

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is known that was at a crash."""
        return bool(self._histories)

    def note_crash(self, crash, now):
        """Record a crash that this host has observed."""
        self._crashes.append(crash)
        self.merge((crash,), now)

    def note_completed(self, fingerprint):
        """Record that a server has completed a request."""
        history = self._histories.get(fingerprint)
        if history is not None and history.count:
            self._completed[fingerprint] = None
            self.forget((fingerprint,))

    def take_new(self, now) -> News:
        """Return and clear what was recorded since the last call.

        Forgets old suspects.
        """
        self._histories = {
            fingerprint: history
            for fingerprint, history in self._histories.items()
            if history.count >= CRASH_LIMIT
            or now - history.noted_at < EXPIRY_S
        }
        found = News(tuple(self._crashes), tuple(self._completed))
        self._crashes.clear()
        self._completed = {}
        return found

    def merge(self, crashes, now):
        """Count crashes."""
        changed = {}
        for crash in crashes:
            history = self._histories.setdefault(crash.fingerprint, _History())
            if history.add(crash, now):
                changed[crash.fingerprint] = history.count
                self._log_limit(crash.fingerprint, history)
        self._evict()
        self._notify({f: n for f, n in changed.items() if n >= SHARED_CRASHES})

    def forget(self, fingerprints):
        """Clear the counts of requests that have been completed."""
        changed = {}
        for fingerprint in fingerprints:
            history = self._histories.get(fingerprint)
            if history is None:
                continue
            if history.count >= SHARED_CRASHES:
                changed[fingerprint] = 0
            history.clear()
        self._notify(changed)

    def adopt(self, counts, now):
        """Adopt the counts of the granting host.

        :param counts: Crashes by fingerprint, 0 for requests that have been
            completed.
        """
        self.forget([f for f, count in counts.items() if not count])
        for fingerprint, count in counts.items():
            history = self._histories.setdefault(fingerprint, _History())
            was_poison = history.count >= CRASH_LIMIT
            history.adopt(count, now)
            if not was_poison:
                self._log_limit(fingerprint, history)
        self._evict()

    def is_poison(self, fingerprint, now) -> bool:
        """Return whether identical requests have crashed several servers."""
        history = self._histories.get(fingerprint)
        return (
            history is not None
            and history.count >= CRASH_LIMIT
            and now - history.noted_at < EXPIRY_S
        )

    def count_poison(self, now) -> int:
        """Return the number of fingerprints whose requests are refused."""
        return sum(self.is_poison(found, now) for found in self._histories)

    def _notify(self, changed):
        if changed:
            for callback in self.on_change:
                callback(changed)

    @staticmethod
    def _log_limit(fingerprint, history):
        if history.count >= CRASH_LIMIT:
            LOG.warning(
                'crashes: Requests with fingerprint %x are refused for %d s.',
                fingerprint,
                EXPIRY_S,
                extra={'crashes': history.count},
            )

    def _evict(self):
        excess = len(self._histories) - MAX_FINGERPRINTS
        if excess <= 0:
            return
        by_value = sorted(
            self._histories,
            key=lambda f: (
                self._histories[f].count,
                self._histories[f].noted_at,
            ),
        )
        for fingerprint in by_value[:excess]:
            del self._histories[fingerprint]
