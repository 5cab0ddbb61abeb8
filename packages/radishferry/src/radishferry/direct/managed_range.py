"""Track which servers may hold one range of keys, and until when."""

from __future__ import annotations

import math

from radishferry.direct import key_map

#: Usual duration of a lease in seconds. It is longer than a change of the
#: granting host (a leadership term of two seconds, and the takeover), and it
#: is the time for which the keys of a server that dies unnoticed have no
#: owner.
HOLD_S = 4.0
#: Highest factor by which the clock of a server may run slow.
SLOW_CLOCK = 1.02
#: Seconds added to a lease end for the transit time of an order that got no
#: answer, and for a pause of the sending process.
HOLD_MARGIN_S = 0.5
#: Seconds after a grant of usual duration for which its server may hold the
#: keys.
USUAL_HELD_S = HOLD_S * SLOW_CLOCK + HOLD_MARGIN_S
#: Seconds after the send by which a grant has arrived or is lost: its
#: connection is reset after 0.8 s without an answer.
ARRIVAL_S = 1.0
#: Shortest lease for which a grant is sent, in seconds.
MIN_HOLD_S = 0.5


class ManagedRange:
    """Track the owner and the possible holders of one range of keys."""

    def __init__(self, start, end, owner, fence, held_until=None):
        self.start = start
        self.end = end
        self.owner = owner
        self.fence = fence
        #: For each incarnation that may hold the range, until when, in
        #: seconds.
        self.held_until = dict(held_until or {})
        #: Latest lease end that the owner may be granted while the row with
        #: the next owner is being written.
        self.hold_limit = math.inf
        #: Latest grant while it is unanswered, with the lease end of its
        #: server if the grant arrived and if it did not.
        self.last_sent = None
        #: Token of the state of the previous owner, for the first grant to
        #: the owner; empty if there is none or the owner has got it.
        self.handover = ''
        #: Until when the owner may rely on its lease, counted from the send
        #: of the grant; 0 before its first grant.
        self.confirmed_until = 0.0
        self.next_grant_at = 0.0
        self.next_release_at = {}
        #: Incarnations that have answered a release since the owner changed.
        #: They accept no grant from before it any more.
        self.released = frozenset()
        #: When the range last got a new fencing token, in seconds; long ago
        #: if it has got none since it was loaded.
        self.moved_at = -1e9
        #: Whether the owner has rejected the last grant as stale. It gets no
        #: other one until the range has a new fencing token.
        self.is_rejected = False
        #: Whether it has been reported that the lease of the owner expired.
        self.is_expiry_reported = False

    @property
    def previous(self):
        """Return the incarnations other than the owner that may hold it."""
        return tuple(
            incarnation
            for incarnation in self.held_until
            if incarnation != self.owner
        )

    def segment(self, fence=None) -> key_map.Segment:
        """Return the range as it is written and sent to other hosts."""
        return key_map.Segment(
            self.start,
            self.end,
            self.owner,
            self.fence if fence is None else fence,
            self.previous,
        )

    def allowed_hold_s(self, hold_s, now) -> float:
        """Return the longest lease that a grant sent now may give.

        :param hold_s: Wanted duration in seconds.
        """
        if self.hold_limit == math.inf:
            return hold_s
        return min(
            hold_s, (self.hold_limit - now - HOLD_MARGIN_S) / SLOW_CLOCK
        )

    def covers(self, segment) -> bool:
        """Return whether a segment is exactly this range."""
        return (self.start, self.end) == (segment.start, segment.end)

    def copy_part(self, start, end) -> ManagedRange:
        """Return a copy for a part of the range."""
        copy = ManagedRange(
            start, end, self.owner, self.fence, self.held_until
        )
        copy.hold_limit = self.hold_limit
        copy.last_sent = self.last_sent
        copy.handover = self.handover
        copy.confirmed_until = self.confirmed_until
        copy.next_grant_at = self.next_grant_at
        copy.next_release_at = dict(self.next_release_at)
        copy.released = self.released
        copy.moved_at = self.moved_at
        copy.is_expiry_reported = self.is_expiry_reported
        return copy
