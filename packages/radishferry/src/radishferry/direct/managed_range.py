"""Follow who may hold one range of keys, and until when."""

from __future__ import annotations

import math

from radishferry.direct import key_map

#: Seconds for which a grant holds. It bridges a change of the granting host
#: (two seconds of its right, and the takeover), and is the outage of a
#: server's keys when it dies without a sign.
HOLD_S = 4.0
#: Factor by which the clock of a server may run slow.
SLOW_CLOCK = 1.02
#: Seconds added to the end of a hold for the way of an order that got no
#: answer, and for a sender that was paused.
HOLD_MARGIN_S = 0.5
#: Seconds after a grant with the usual hold for which its server may hold the
#: keys.
USUAL_S = HOLD_S * SLOW_CLOCK + HOLD_MARGIN_S
#: Seconds after it was sent by which an order has arrived or is lost: its
#: connection is reset after 0.8 s without an answer.
ARRIVAL_S = 1.0
#: Shortest hold that is worth an order, in seconds.
MIN_HOLD_S = 0.5


class Managed:
    """Follow one range of keys."""

    def __init__(self, start, end, owner, fence, exposures=None):
        self.start = start
        self.end = end
        self.owner = owner
        self.fence = fence
        #: Until when each life may hold the range, in seconds.
        self.exposures = dict(exposures or {})
        #: Latest end of a hold that the owner may get while the row with the
        #: next owner is being written.
        self.hold_limit = math.inf
        #: Grant that was sent last and has no answer, with the ends of the
        #: hold of its server with it and without it.
        self.last_sent = None
        self.handover = ''
        self.confirmed_until = 0.0
        self.next_at = 0.0
        self.release_at = {}
        #: Lives that have answered a release since the owner changed. They
        #: take no grant from before it any more.
        self.released = frozenset()
        self.moved_at = -1e9
        self.is_refused = False

    @property
    def previous(self):
        """Return the lives other than the owner that may hold the range."""
        return tuple(life for life in self.exposures if life != self.owner)

    def segment(self, fence=None) -> key_map.Segment:
        """Return the range as others see it."""
        return key_map.Segment(
            self.start,
            self.end,
            self.owner,
            self.fence if fence is None else fence,
            self.previous,
        )

    def allowed_hold_s(self, hold_s, now) -> float:
        """Return how long a grant may hold that is sent now."""
        if self.hold_limit == math.inf:
            return hold_s
        return min(
            hold_s, (self.hold_limit - now - HOLD_MARGIN_S) / SLOW_CLOCK
        )

    def covers(self, segment) -> bool:
        """Tell whether an order was about exactly this range."""
        return (self.start, self.end) == (segment.start, segment.end)

    def part(self, start, end) -> Managed:
        """Return a copy for a part of the range."""
        copy = Managed(start, end, self.owner, self.fence, self.exposures)
        copy.hold_limit = self.hold_limit
        copy.last_sent = self.last_sent
        copy.handover = self.handover
        copy.confirmed_until = self.confirmed_until
        copy.next_at = self.next_at
        copy.release_at = dict(self.release_at)
        copy.released = self.released
        copy.moved_at = self.moved_at
        return copy
