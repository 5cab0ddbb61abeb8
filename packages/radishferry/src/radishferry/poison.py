"""Detect poison requests, which crash each server that runs them.

A request that is in flight when a server crashes becomes a suspect. A server
runs at most one suspect at a time, next to requests that are not suspect, so a
second crash identifies the request that caused it. A suspect that runs to
completion without a crash is cleared. Running each suspect alone on a server
would also rule out a second crash caused by another request, but it would
empty all slots for each innocent request that was in flight at a crash.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

import xxhash

#: How long a fingerprint is kept after its last crash, in seconds.
EXPIRY_S = 600.0
#: Number of crashes after which a fingerprint is refused.
CRASH_LIMIT = 2
#: Maximum number of fingerprints kept.
MAX_FINGERPRINTS = 4096


class Verdict(enum.Enum):
    """State whether a request may be sent to a server."""

    CLEAR = 'clear'
    #: May be sent; it is the only suspect on the server.
    SUSPECT = 'suspect'
    #: Must wait until the other suspect on the server has ended.
    WAIT = 'wait'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True)
class Fingerprint:
    """Identify requests that are equal.

    :ivar body_hash: 64-bit hash of the body.
    """

    service: str
    kind: str
    key: str
    body_hash: int


@dataclasses.dataclass(frozen=True)
class Record:
    """Describe a fingerprint to other hosts and to operators.

    :ivar crashes: Ids of the crashes at which it was in flight, at most
        :data:`CRASH_LIMIT`.
    :ivar expires_in_s: Seconds until the record expires.
    """

    fingerprint: Fingerprint
    crashes: tuple[str, ...]
    expires_in_s: float

    @property
    def refused(self) -> bool:
        """Return whether the fingerprint is refused."""
        return len(self.crashes) >= CRASH_LIMIT


class _CrashHistory:
    __slots__ = ('crashes', 'expires_at')

    def __init__(self):
        self.crashes = ()
        self.expires_at = 0.0

    def add(self, crash, expires_at):
        known = crash in self.crashes
        if not known and len(self.crashes) < CRASH_LIMIT:
            self.crashes += (crash,)
        self.expires_at = max(self.expires_at, expires_at)
        return not known


def hash_body(body: bytes) -> int:
    """Return the hash of a body for :class:`Fingerprint`."""
    return xxhash.xxh64_intdigest(body)


class PoisonDetector:
    """Track requests in flight and the fingerprints present at crashes."""

    def __init__(self, *, max_fingerprints: int = MAX_FINGERPRINTS):
        self._max_fingerprints = max_fingerprints
        self._histories = collections.OrderedDict()
        self._in_flight = {}

    def check(
        self, server: str, fingerprint: Fingerprint, now: float
    ) -> Verdict:
        """Decide whether a request may be sent to a server.

        :param server: Name of the server.
        :param now: Seconds.
        """
        history = self._find(fingerprint, now)
        if history is None:
            return Verdict.CLEAR
        if len(history.crashes) >= CRASH_LIMIT:
            return Verdict.REFUSED
        in_flight = self._in_flight.get(server, ())
        if any(self._find(other, now) for other, _ in in_flight):
            return Verdict.WAIT
        return Verdict.SUSPECT

    def start(self, server: str, fingerprint: Fingerprint, now: float):
        """Record that a request is sent to a server."""
        in_flight = self._in_flight.setdefault(server, [])
        in_flight.append((fingerprint, now))

    def finish(
        self,
        server: str,
        fingerprint: Fingerprint,
        now: float,
        *,
        ran: bool = True,
    ):
        """Record that a request in flight has ended without a crash.

        :param ran: Whether it ran to completion, which clears it of crashes
            recorded before it started. A fingerprint that is already
            refused is not cleared.
        """
        started_at = self._remove(server, fingerprint)
        history = self._histories.get(fingerprint)
        if not ran or started_at is None or history is None:
            return
        recorded_at = history.expires_at - EXPIRY_S
        refused = len(history.crashes) >= CRASH_LIMIT
        if started_at >= recorded_at and not refused:
            del self._histories[fingerprint]

    def crash(self, server: str, crash: str, now: float) -> list[Record]:
        """Record the crash of a server.

        :param crash: Id that all hosts use for this crash, such as server and
            boot id, so that a crash that is reported twice counts once.
        :returns: Records to push to the other hosts.
        """
        in_flight = self._in_flight.pop(server, ())
        fingerprints = dict.fromkeys(f for f, _ in in_flight)
        for fingerprint in fingerprints:
            self._add_crashes(fingerprint, (crash,), now + EXPIRY_S, now)
        return [
            _record(fingerprint, self._histories[fingerprint], now)
            for fingerprint in fingerprints
            if fingerprint in self._histories
        ]

    def merge(self, records: list[Record], now: float):
        """Merge records of another host, which may arrive in any order.

        :param now: Seconds.
        """
        for record in records:
            expires_in_s = min(record.expires_in_s, EXPIRY_S)
            if expires_in_s > 0:
                self._add_crashes(
                    record.fingerprint,
                    record.crashes,
                    now + expires_in_s,
                    now,
                )

    def records(self, now: float) -> list[Record]:
        """Return all unexpired records, for operators and joining hosts."""
        return [
            _record(fingerprint, history, now)
            for fingerprint, history in self._histories.items()
            if history.expires_at > now
        ]

    def _find(self, fingerprint, now):
        history = self._histories.get(fingerprint)
        if history is None or history.expires_at > now:
            return history
        del self._histories[fingerprint]
        return None

    def _add_crashes(self, fingerprint, crashes, expires_at, now):
        history = self._find(fingerprint, now) or _CrashHistory()
        added = [history.add(crash, expires_at) for crash in crashes]
        if any(added):
            self._histories[fingerprint] = history
            self._histories.move_to_end(fingerprint)
        if len(self._histories) > self._max_fingerprints:
            self._evict_one()

    def _evict_one(self):
        # A refused fingerprint is evicted only when no suspect is left.
        for fingerprint, history in self._histories.items():
            if len(history.crashes) < CRASH_LIMIT:
                break
        else:
            fingerprint = next(iter(self._histories))
        del self._histories[fingerprint]

    def _remove(self, server, fingerprint):
        in_flight = self._in_flight.get(server, [])
        for index, (other, started_at) in enumerate(in_flight):
            if other == fingerprint:
                del in_flight[index]
                return started_at
        return None


def _record(fingerprint, history, now):
    return Record(fingerprint, history.crashes, history.expires_at - now)
