"""Decide which host may grant keys.

The right to grant is a row of the store with an end on the store's clock.
The holder counts from when it sent the renewal, and others wait until the
store's clock has passed the end, so that two hosts never have the right at
once.
"""

from __future__ import annotations

import dataclasses

import orjson

#: Seconds for which the right to grant lasts. A holder that the store turns
#: away cannot move keys, and nobody else can until this time is over; a store
#: that is slow answers within 0.3 s.
TERM_S = 2.0
#: Seconds between renewals; leaves time for a second attempt.
RENEW_S = 0.6
#: Seconds by which the holder stops before its right ends, for the drift of
#: clocks and for orders on their way.
SAFETY_S = 0.4


@dataclasses.dataclass(frozen=True)
class Term:
    """Hold the row of the host that may grant.

    :ivar host: Name of the host, empty after it has given the right up.
    :ivar address: Where it listens for other hosts, as ``ip:port``.
    :ivar incarnation: Distinguishes restarts of the host.
    :ivar until_store_s: End on the store's clock in seconds; 0 if it is not
        known.
    :ivar nonce: Distinguishes the writes of one host.
    :ivar has_usual_holds: Whether a host that has given the right up has
        given no longer holds than usual.
    """

    host: str
    address: str
    incarnation: int
    until_store_s: float
    nonce: int
    has_usual_holds: bool = False

    def encode(self) -> bytes:
        """Return the value of the row."""
        return orjson.dumps(dataclasses.asdict(self))

    def has_ended(self, store_s: float) -> bool:
        """Tell whether another host may take the right.

        :param store_s: Time of the store's clock, at the latest now.
        """
        return not self.host or store_s > self.until_store_s


def decode(value: bytes) -> Term | None:
    """Return the term in a row, None if it cannot be read."""
    try:
        fields = orjson.loads(value)
        return Term(
            str(fields['host']),
            str(fields['address']),
            int(fields['incarnation']),
            float(fields['until_store_s']),
            int(fields['nonce']),
            fields.get('has_usual_holds') is True,
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


class StoreClock:
    """Estimate the store's clock from its answers."""

    def __init__(self):
        self._offset = None
        self._latest_offset = None

    def note(self, store_s: float, sent_at: float, now: float):
        """Take the time of an answer.

        The offset is a lower bound: the store read its clock before the
        answer came, so the estimate is never ahead of it.
        """
        offset = store_s - now
        if self._offset is None or offset > self._offset:
            self._offset = offset
        latest = store_s - sent_at
        if self._latest_offset is None or latest < self._latest_offset:
            self._latest_offset = latest

    def estimate(self, now: float) -> float:
        """Return the store's time, which may in truth be later."""
        return now + self._offset

    def latest(self, now: float) -> float:
        """Return the store's time, which may in truth be earlier."""
        return now + self._latest_offset

    def passed_at(self, store_s: float) -> float:
        """Return when the store's clock has passed a time at the latest."""
        return store_s - self._offset
