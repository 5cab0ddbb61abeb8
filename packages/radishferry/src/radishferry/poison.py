"""Find requests that crash each server that runs them.

A request in flight when a server crashes becomes a suspect. One suspect at a
time runs on a server, next to requests without suspicion, so a second crash
names the one that did it. A suspect that runs to its end without a crash is
cleared. Running a suspect with the server to itself would also protect it
from a second crash by yet another request, but it would empty all slots for
each innocent request of a crash.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

import xxhash

#: How long a fingerprint is kept after the last crash, in seconds.
EXPIRY_S = 600.0
#: Crashes after which a fingerprint is refused.
CRASHES_OF_POISON = 2
#: Most fingerprints kept.
MAX_FINGERPRINTS = 4096


class Verdict(enum.Enum):
    """Tell whether a request may be sent to a server."""

    CLEAR = 'clear'
    #: May be sent; it is the only suspect on the server.
    SUSPECT = 'suspect'
    #: Waits until the other suspect on the server has ended.
    WAIT = 'wait'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True)
class Fingerprint:
    """Identify equal requests.

    :ivar body_hash: 64-bit hash of the body.
    """

    service: str
    kind: str
    key: str
    body_hash: int


@dataclasses.dataclass(frozen=True)
class Record:
    """Describe a fingerprint to other hosts and to operators.

    :ivar crashes: Ids of the crashes it was in flight at, at most
        :data:`CRASHES_OF_POISON`.
    :ivar expires_in_s: Seconds until it is forgotten.
    """

    fingerprint: Fingerprint
    crashes: tuple[str, ...]
    expires_in_s: float

    @property
    def refused(self) -> bool:
        """Return whether the fingerprint is refused."""
        return len(self.crashes) >= CRASHES_OF_POISON


class _Suspicion:
    __slots__ = ('crashes', 'expires_at')

    def __init__(self):
        self.crashes = ()
        self.expires_at = 0.0

    def add(self, crash, expires_at):
        known = crash in self.crashes
        if not known and len(self.crashes) < CRASHES_OF_POISON:
            self.crashes += (crash,)
        self.expires_at = max(self.expires_at, expires_at)
        return not known


def hash_body(body: bytes) -> int:
    """Return the hash of a body for :class:`Fingerprint`."""
    return xxhash.xxh64_intdigest(body)


class PoisonDetector:
    """Keep the fingerprints seen at crashes, and what is in flight."""

    def __init__(self, *, max_fingerprints: int = MAX_FINGERPRINTS):
        self._max_fingerprints = max_fingerprints
        self._suspicions = collections.OrderedDict()
        self._in_flight = {}

    def check(
        self, server: str, fingerprint: Fingerprint, now: float
    ) -> Verdict:
        """Decide whether a request may be sent to a server.

        :param server: Name of the server.
        :param now: Seconds.
        """
        suspicion = self._find(fingerprint, now)
        if suspicion is None:
            return Verdict.CLEAR
        if len(suspicion.crashes) >= CRASHES_OF_POISON:
            return Verdict.REFUSED
        in_flight = self._in_flight.get(server, ())
        if any(self._find(other, now) for other, _ in in_flight):
            return Verdict.WAIT
        return Verdict.SUSPECT

    def start(self, server: str, fingerprint: Fingerprint, now: float):
        """Note that a request is sent to a server."""
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
        """Note that a request in flight has ended without a crash.

        :param ran: Whether it ran to its end, which clears it of crashes
            noted before it started. It is not cleared once it is refused.
        """
        started_at = self._remove(server, fingerprint)
        suspicion = self._suspicions.get(fingerprint)
        if not ran or started_at is None or suspicion is None:
            return
        noted_at = suspicion.expires_at - EXPIRY_S
        refused = len(suspicion.crashes) >= CRASHES_OF_POISON
        if started_at >= noted_at and not refused:
            del self._suspicions[fingerprint]

    def crash(self, server: str, crash: str, now: float) -> list[Record]:
        """Note the crash of a server.

        :param crash: Id that all hosts use for this crash, such as server
            and boot id, so that a crash reported twice counts once.
        :returns: Records to push to the other hosts.
        """
        in_flight = self._in_flight.pop(server, ())
        fingerprints = dict.fromkeys(fp for fp, _ in in_flight)
        for fingerprint in fingerprints:
            self._note(fingerprint, (crash,), now + EXPIRY_S, now)
        return [
            _record(fingerprint, self._suspicions[fingerprint], now)
            for fingerprint in fingerprints
            if fingerprint in self._suspicions
        ]

    def merge(self, records: list[Record], now: float):
        """Add what another host noted; the order of pushes is free.

        :param now: Seconds.
        """
        for record in records:
            expires_in_s = min(record.expires_in_s, EXPIRY_S)
            if expires_in_s > 0:
                self._note(
                    record.fingerprint,
                    record.crashes,
                    now + expires_in_s,
                    now,
                )

    def records(self, now: float) -> list[Record]:
        """List what is known, for operators and joining hosts."""
        return [
            _record(fingerprint, suspicion, now)
            for fingerprint, suspicion in self._suspicions.items()
            if suspicion.expires_at > now
        ]

    def _find(self, fingerprint, now):
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.expires_at > now:
            return suspicion
        del self._suspicions[fingerprint]
        return None

    def _note(self, fingerprint, crashes, expires_at, now):
        suspicion = self._find(fingerprint, now) or _Suspicion()
        added = [suspicion.add(crash, expires_at) for crash in crashes]
        if any(added):
            self._suspicions[fingerprint] = suspicion
            self._suspicions.move_to_end(fingerprint)
        if len(self._suspicions) > self._max_fingerprints:
            self._drop_one()

    def _drop_one(self):
        # Refused fingerprints stay as long as any mere suspect can go.
        for fingerprint, suspicion in self._suspicions.items():
            if len(suspicion.crashes) < CRASHES_OF_POISON:
                break
        else:
            fingerprint = next(iter(self._suspicions))
        del self._suspicions[fingerprint]

    def _remove(self, server, fingerprint):
        in_flight = self._in_flight.get(server, [])
        for index, (other, started_at) in enumerate(in_flight):
            if other == fingerprint:
                del in_flight[index]
                return started_at
        return None


def _record(fingerprint, suspicion, now):
    return Record(fingerprint, suspicion.crashes, suspicion.expires_at - now)
