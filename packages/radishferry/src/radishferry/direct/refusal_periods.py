"""Find out when a service begins and ends to refuse requests of a rank."""

from __future__ import annotations

import dataclasses

#: Longest gap in seconds between the refusals with which a period begins.
BEGIN_GAP_S = 1.0
#: Number of refusals with which a period begins. A single one may be due to
#: one busy server.
BEGIN_REFUSALS = 3
#: Seconds without a refusal after which a period has ended. Periods of a
#: service at its limit would otherwise end and begin with each request.
QUIET_S = 3.0


@dataclasses.dataclass(frozen=True)
class Change:
    """Describe the begin or the end of a period of refusals.

    :ivar refused: Requests that were refused in a period that has ended.
    """

    service: str
    rank: int
    has_begun: bool
    refused: int = 0


class RefusalPeriods:
    """Track for each service and rank whether requests are being refused."""

    def __init__(self):
        """Start without a refusal."""
        #: Refusals, time of the last one and whether the period has been
        #: reported, by service and rank.
        self._open = {}

    def note(self, service, rank, is_refused, now) -> Change | None:
        """Record a request that was refused or admitted.

        :returns: The change of state that it shows, if any.
        """
        name = service, rank
        count, last_at, is_reported = self._open.get(name, (0, now, False))
        quiet_s = QUIET_S if is_reported else BEGIN_GAP_S
        if count and now - last_at > quiet_s:
            del self._open[name]
            if is_reported:
                if is_refused:
                    self._open[name] = 1, now, False
                return Change(service, rank, False, count)
            count = 0
        if not is_refused:
            return None
        count += 1
        begins = not is_reported and count >= BEGIN_REFUSALS
        self._open[name] = count, now, is_reported or begins
        return Change(service, rank, True) if begins else None
