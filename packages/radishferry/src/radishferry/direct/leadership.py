"""Decide which host has the leadership, the right to grant keys.

Leadership is a lease: a row of the store that names the granting host and the
end of its term on the store's clock. That host counts its term from when it
sent the renewal, and others wait until the store's clock has passed the end,
so that two hosts can never grant at the same time.
"""

from __future__ import annotations

import dataclasses

import orjson

from radishferry import field_checks
from radishferry.direct import eras

#: Duration of a term in seconds. Short, since no host can move keys until the
#: term of a host that the store rejects has ended; long enough to renew at a
#: slow store, which answers within 0.3 s.
TERM_S = 2.0
#: Seconds between renewals; leaves time to retry one before the term ends.
RENEW_S = 0.6
#: Seconds before the end of its term at which the granting host stops
#: granting, to allow for clock drift and for orders in flight.
SAFETY_S = 0.4


@dataclasses.dataclass(frozen=True)
class Term:
    """Describe a term of leadership, as its row of the store holds it.

    :ivar host: Name of the granting host, empty after it has resigned.
    :ivar address: Where it listens for other hosts, as ``ip:port``.
    :ivar incarnation: Distinguishes restarts of the host.
    :ivar until_store_s: End on the store's clock in seconds; 0 if it is not
        known.
    :ivar nonce: Distinguishes the writes of one host.
    :ivar has_usual_holds: Whether a host that has resigned has granted no
        leases of keys that are longer than usual.
    :ivar era: Era of the store for which the row was written, None if the
        store names none or the host runs an older version.
    """

    host: str
    address: str
    incarnation: int
    until_store_s: float
    nonce: int
    has_usual_holds: bool = False
    era: int | None = None

    def encode(self) -> bytes:
        """Return the value of the row."""
        return orjson.dumps(dataclasses.asdict(self))

    def has_ended(self, store_clock_s: float) -> bool:
        """Return whether another host may become the granting host.

        :param store_clock_s: Lower bound of the time on the store's clock.
        """
        return not self.host or store_clock_s > self.until_store_s


def decode(value: bytes) -> Term | None:
    """Return the term in a row, None if it cannot be decoded."""
    try:
        fields = orjson.loads(value)
        if field_checks.check_address(fields['address']):
            return None
        return Term(
            str(fields['host']),
            fields['address'],
            int(fields['incarnation']),
            float(fields['until_store_s']),
            int(fields['nonce']),
            fields.get('has_usual_holds') is True,
            fields.get('era') if _is_era(fields.get('era')) else None,
        )
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
        return None


def _is_era(value):
    return field_checks.is_integer(value) and 0 <= value <= eras.MAX_ERA


class StoreClock:
    """Bound the time on the store's clock by the times in its answers."""

    def __init__(self):
        self._min_offset = None
        self._max_offset = None

    def note(self, store_clock_s: float, sent_at: float, now: float):
        """Take the time in an answer.

        The store read its clock between the send of the request and the
        arrival of the answer. These two give an upper and a lower bound of
        the offset between its clock and the local one.

        :param store_clock_s: Time of the store's clock in seconds.
        :param sent_at: When the request was sent, in local seconds.
        :param now: When the answer arrived, in local seconds.
        """
        min_offset = store_clock_s - now
        if self._min_offset is None or min_offset > self._min_offset:
            self._min_offset = min_offset
        max_offset = store_clock_s - sent_at
        if self._max_offset is None or max_offset < self._max_offset:
            self._max_offset = max_offset

    def earliest(self, now: float) -> float:
        """Return a lower bound of the store's time; it is never ahead."""
        return now + self._min_offset

    def latest(self, now: float) -> float:
        """Return an upper bound of the store's time; it is never behind."""
        return now + self._max_offset

    def passed_at(self, store_clock_s: float) -> float:
        """Return by when the store's clock has certainly passed a time.

        :returns: Local seconds.
        """
        return store_clock_s - self._min_offset
