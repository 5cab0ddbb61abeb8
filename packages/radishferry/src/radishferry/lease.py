"""Track the expiry of a server's lease from the coordinator's side."""

from __future__ import annotations

import dataclasses

#: Time to live of a lease, in seconds.
LEASE_TTL_S = 0.6
#: Time between renewals, in seconds.
RENEW_INTERVAL_S = 0.15
#: Added to the upper bound of the expiry, in seconds.  Covers clock drift and
#: work that ends right at the expiry.
EXPIRY_MARGIN_S = 0.05


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """Describe one reading of a server's clock.

    :ivar clock_ms: The server's monotonic clock, in milliseconds.
    :ivar sent_at: When the request was sent, in seconds.
    :ivar received_at: When the answer arrived, in seconds.
    """

    clock_ms: float
    sent_at: float
    received_at: float


class LeaseTimer:
    """Maintain a lower and an upper bound of the expiry of a lease.

    The server reads its clock between ``sent_at`` and ``received_at`` of the
    response that carries the reading.  A renewal asks for that reading plus
    the time to live, so the lease expires between ``sent_at`` and
    ``received_at`` plus the time to live, however long the renewal itself
    takes.
    """

    def __init__(self):
        self._reading = None
        self._requested = None
        self._valid_until = 0.0
        self._latest_expiry = 0.0

    @property
    def valid_until(self) -> float:
        """Return the time until which work may be sent, in seconds.

        0 when none is known.
        """
        return self._valid_until

    @property
    def latest_expiry(self) -> float:
        """Return the time by which the lease has expired, in seconds.

        0 when none is known.
        """
        return self._latest_expiry

    @property
    def expires_at_ms(self) -> float:
        """Return the expiry to request, on the server's clock in ms.

        0 before the first clock reading; it does not extend the lease.
        """
        if self._reading is None:
            return 0.0
        return self._reading.clock_ms + LEASE_TTL_S * 1000

    def sent(self):
        """Record that a renewal for :attr:`expires_at_ms` is being sent."""
        self._requested = self._reading
        if self._reading is not None:
            self._raise_latest_expiry(self._reading)

    def answered(self, reading: ClockReading):
        """Process the response to the last request.

        :param reading: The clock reading in the response.
        """
        if self._requested is not None:
            self._valid_until = self._requested.sent_at + LEASE_TTL_S
        else:
            # This is the response to the fence.  The former coordinator
            # can no longer renew, and its last renewal used an earlier clock
            # reading than this one.
            self._raise_latest_expiry(reading)
        self._requested = None
        self._reading = reading

    def forget_clock(self):
        """Discard the clock reading of a server process that has ended."""
        self._reading = None
        self._requested = None
        self._valid_until = 0.0

    def discard_expired(self, now):
        """Reset the lower bound of the expiry if it has passed."""
        if self._valid_until <= now:
            self._valid_until = 0.0

    def _raise_latest_expiry(self, reading):
        latest_expiry = reading.received_at + LEASE_TTL_S + EXPIRY_MARGIN_S
        self._latest_expiry = max(self._latest_expiry, latest_expiry)
