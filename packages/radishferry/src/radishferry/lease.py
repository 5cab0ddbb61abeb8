"""Track how long a server's lease lasts, seen from its coordinator."""

from __future__ import annotations

import dataclasses

#: Time to live of a lease, in seconds.
LEASE_TTL_S = 0.6
#: Time between renewals, in seconds.
RENEW_INTERVAL_S = 0.15
#: Added to the upper bound of the expiry for clock drift and for work that
#: ends at the expiry, in seconds.
LAPSE_MARGIN_S = 0.05


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """Hold one reading of a server's clock.

    :ivar clock_ms: The server's monotonic clock, in milliseconds.
    :ivar sent_at: When the request was sent, in seconds.
    :ivar received_at: When the answer arrived, in seconds.
    """

    clock_ms: float
    sent_at: float
    received_at: float


class LeaseTimer:
    """Bound the expiry of a lease from below and from above.

    The server read its clock between ``sent_at`` and ``received_at`` of the
    answer that carried it.  A renewal asks for that reading plus the time to
    live, so the expiry lies between ``sent_at`` and ``received_at`` plus the
    time to live, however long the renewal itself is under way.
    """

    def __init__(self):
        self._reading = None
        self._requested = None
        self._valid_until = 0.0
        self._lapsed_at = 0.0

    @property
    def valid_until(self) -> float:
        """Return until when work may be sent."""
        return self._valid_until

    @property
    def lapsed_at(self) -> float:
        """Return from when the lease has surely lapsed."""
        return self._lapsed_at

    @property
    def expires_at_ms(self) -> float:
        """Return the expiry to ask for, on the server's clock.

        0 while no reading of the clock is known; this extends nothing.
        """
        if self._reading is None:
            return 0.0
        return self._reading.clock_ms + LEASE_TTL_S * 1000

    def sent(self):
        """Note that a renewal for :attr:`expires_at_ms` leaves now."""
        self._requested = self._reading
        if self._reading is not None:
            self._extend_lapse(self._reading)

    def answered(self, reading: ClockReading):
        """Note the answer to the last request.

        :param reading: The clock reading in the answer.
        """
        if self._requested is not None:
            self._valid_until = self._requested.sent_at + LEASE_TTL_S
        else:
            # The answer to the fence.  A predecessor can no longer renew
            # and used an earlier reading of the clock than this one.
            self._extend_lapse(reading)
        self._requested = None
        self._reading = reading

    def forget_clock(self):
        """Drop the clock of a server process that has ended."""
        self._reading = None
        self._requested = None
        self._valid_until = 0.0

    def discard_expired(self, now):
        """Forget a lower bound that has passed."""
        if self._valid_until <= now:
            self._valid_until = 0.0

    def _extend_lapse(self, reading):
        lapsed_at = reading.received_at + LEASE_TTL_S + LAPSE_MARGIN_S
        self._lapsed_at = max(self._lapsed_at, lapsed_at)
