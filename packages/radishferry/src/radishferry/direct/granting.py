"""Keep at most one holder for each key of a service.

The granter knows for each range of keys which lives of servers may hold it,
and until when. It grants a range to its owner only when no other life can
hold it any more: because that life has answered a release, is proved to be
over, or its last grant has run out.

Time is an argument; orders are results. The caller carries them out and
reports what came of them.
"""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import math

from radishferry.direct import key_map
from radishferry.direct import managed_range

#: Seconds between renewals of a grant.
RENEW_S = 1.2
#: Seconds between attempts at an order that got no answer.
REPEAT_S = 0.35
#: Seconds after an unanswered release for which the server gets none of
#: these keys: it may carry the release out late, after a newer grant.
LATE_RELEASE_S = 13.0


@dataclasses.dataclass(frozen=True)
class Grant:
    """Order a server to hold a range.

    :ivar handover: Token of the state of the previous owner.
    """

    service: str
    segment: key_map.Segment
    hold_s: float
    handover: str


@dataclasses.dataclass(frozen=True)
class Release:
    """Order a server to give a range back.

    :ivar life: The life that is to release.
    :ivar segment: The range with the fencing token of its next owner.
    """

    service: str
    segment: key_map.Segment
    life: tuple[str, int]


class KeyGranter:
    """Decide on orders for the keys of one service."""

    def __init__(self, service: str, hold_max_s: float):
        """Begin without any range.

        :param hold_max_s: Longest hold that a server accepts.
        """
        self.service = service
        self._hold_max_s = hold_max_s
        self._ranges = []
        self._starts = []
        self._late_releases = []
        self.version = 0
        #: Grows with each change that other hosts have to know.
        self.revision = 0

    @property
    def ranges(self):
        """Return the ranges in the order of their keys."""
        return tuple(self._ranges)

    @property
    def segments(self):
        """Return the ranges as they are written to the store."""
        return tuple(found.segment() for found in self._ranges)

    @property
    def unsettled(self) -> int:
        """Return how many ranges another life may still hold."""
        return sum(1 for found in self._ranges if found.previous)

    def load(
        self,
        segments,
        version,
        now,
        *,
        ordered_until=None,
        ends=(),
        is_usual=False,
    ):
        """Take over from another host.

        The orders of the previous host are not known here, so every life
        that a row names may hold its range for the longest time after the
        last of them. The row may tell earlier ends for former owners.

        :param segments: Ranges of the row; a fence of 0 stands for the
            version of the row.
        :param version: Version of the row.
        :param ordered_until: When the previous host gave its last order at
            the latest, in seconds; None if that is not known.
        :param ends: For each segment, the ends of the holds of its previous
            lives in seconds, as :meth:`propose` returned them.
        :param is_usual: Whether the previous host is known to have given no
            longer holds than usual.
        """
        last_order_at = now
        if ordered_until is not None:
            last_order_at = min(now, ordered_until + managed_range.ARRIVAL_S)
        until = last_order_at + (
            managed_range.USUAL_S if is_usual else self._longest_s
        )
        self._ranges = [
            managed_range.Managed(
                s.start,
                s.end,
                s.owner,
                s.fence or version,
                {
                    s.owner: until,
                    **{
                        life: min(until, end)
                        for life, end in itertools.zip_longest(
                            s.previous, known, fillvalue=math.inf
                        )
                    },
                },
            )
            for s, known in itertools.zip_longest(segments, ends, fillvalue=())
        ]
        self._starts = [found.start for found in self._ranges]
        self.version = version
        self.revision += 1

    @property
    def _longest_s(self):
        return (
            self._hold_max_s * managed_range.SLOW_CLOCK
            + managed_range.HOLD_MARGIN_S
        )

    def propose(self, layout, now):
        """Return what to write for a new layout.

        Until it is committed, owners that are to lose keys are not made to
        hold them beyond the ends that are written, so that a host that takes
        over can rely on these.

        :param layout: Tuples of start, end and owner that cover the same
            keys as now, or all of them the first time.
        :returns: Segments, those that change their owner with fence 0, and
            for each one the ends of the holds of its previous lives in
            seconds.
        """
        pieces = self._arrange(layout)
        for found in self._ranges:
            found.hold_limit = math.inf
        for piece in pieces:
            for found in self._overlapping(piece):
                if found.owner != piece.owner:
                    found.hold_limit = self._hold_limit(found, now)
        ends = tuple(
            tuple(self._hold_end(piece, life, now) for life in piece.previous)
            for piece in pieces
        )
        return tuple(piece.segment() for piece in pieces), ends

    def _hold_limit(self, found, now):
        if found.confirmed_until > now:
            # The owner answers, and is renewed until the row is written.
            return now + self._longest_s
        return max(now, found.exposures.get(found.owner, 0.0))

    def _hold_end(self, piece, life, now):
        limits = [
            found.hold_limit
            for found in self._overlapping(piece)
            if found.owner == life
        ]
        return max([piece.exposures[life], *limits]) + managed_range.ARRIVAL_S

    def commit(self, layout, version, now):
        """Adopt a layout that has been written.

        :param version: Version that the store gave to the row; it is the
            fencing token of all ranges that changed.
        """
        self._ranges = self._arrange(layout)
        self._starts = [found.start for found in self._ranges]
        for found in self._ranges:
            found.hold_limit = math.inf
            if not found.fence:
                found.fence = version
                found.moved_at = now
        self.version = version
        self.revision += 1

    def _arrange(self, layout):
        if not self._ranges:
            return [
                managed_range.Managed(start, end, owner, 0)
                for start, end, owner in layout
            ]
        arranged = []
        index = 0
        for start, end, owner in layout:
            at = start
            while at <= end:
                while self._ranges[index].end < at:
                    index += 1
                found = self._ranges[index]
                last = min(end, found.end)
                piece = found.part(at, last)
                if piece.owner != owner or found.is_refused:
                    piece.owner = owner
                    piece.fence = 0
                    piece.handover = ''
                    piece.confirmed_until = 0.0
                    piece.next_at = 0.0
                    piece.release_at = {}
                    piece.released = frozenset()
                arranged.append(piece)
                at = last + 1
        return arranged

    def may_give(self, life, start, end, now) -> bool:
        """Tell whether no late release can take a range from a server."""
        self._late_releases = [
            late for late in self._late_releases if late[3] > now
        ]
        return not any(
            late[0] == life and late[1] <= end and start <= late[2]
            for late in self._late_releases
        )

    def due(self, now, hold_s=managed_range.HOLD_S):
        """Return the orders to carry out now.

        :param hold_s: Seconds that new grants hold.
        """
        for found in self._ranges:
            if any(until <= now for until in found.exposures.values()):
                self.revision += 1
                found.exposures = {
                    life: until
                    for life, until in found.exposures.items()
                    if until > now
                }
        return list(
            itertools.chain.from_iterable(
                self._orders(found, now, hold_s) for found in self._ranges
            )
        )

    def _orders(self, found, now, hold_s):
        others = found.previous
        for life in others:
            if found.release_at.get(life, 0.0) <= now:
                found.release_at[life] = now + REPEAT_S
                yield Release(self.service, found.segment(), life)
        if others or found.next_at > now or found.is_refused:
            return
        hold_s = found.allowed_hold_s(min(hold_s, self._hold_max_s), now)
        if hold_s >= managed_range.MIN_HOLD_S:
            found.next_at = now + REPEAT_S
            yield Grant(self.service, found.segment(), hold_s, found.handover)

    def is_usual(self, now) -> bool:
        """Tell whether no owner may hold keys for longer than usual.

        The ends of former owners stand in the row.
        """
        return all(
            found.exposures.get(found.owner, 0.0)
            <= now + managed_range.USUAL_S
            for found in self._ranges
        )

    def renew_all(self, now):
        """Renew every grant at the next look, whenever it is due."""
        for found in self._ranges:
            found.next_at = min(found.next_at, now)

    def is_current(self, order, now) -> bool:
        """Tell whether an order that has waited is still to be sent.

        A grant that is sent after its keys were given to another server
        would let the former owner hold them again, or hold them for longer
        than the row says that is being written.
        """
        found = self._find(order.segment)
        if found is None:
            return False
        if isinstance(order, Release):
            return order.life in found.previous
        allowed_s = found.allowed_hold_s(order.hold_s, now)
        return not found.previous and order.hold_s <= allowed_s

    def note_pending(self, order, now):
        """Note that an order is under way, so that it is not repeated.

        A release answers only after the work on its keys has ended.
        """
        found = self._find(order.segment)
        if found is None:
            return
        if isinstance(order, Release):
            found.release_at[order.life] = now + LATE_RELEASE_S
        else:
            found.next_at = now + LATE_RELEASE_S

    def note_sent(self, order, now):
        """Note that an order is on its way to its server."""
        found = self._find(order.segment)
        if found is None or isinstance(order, Release):
            return
        life = order.segment.owner
        before = found.exposures.get(life, 0.0)
        self._expose(found, order, now)
        found.last_sent = order, found.exposures[life], before

    def note_granted(self, order, sent_at, now):
        """Note that a server took a grant.

        :returns: Whether the range is served from now on.
        """
        is_first = False
        for found in self._overlapping(order.segment):
            if order.segment.owner in found.released:
                continue
            found.last_sent = None
            self._expose(found, order, now)
            if found.fence != order.segment.fence:
                # The keys were given to another server while the order was
                # under way, and its server holds them until it releases.
                self.revision += 1
                continue
            # Counted from the send for what the owner may rely on, and from
            # the answer for what others must wait for.
            if not found.confirmed_until:
                is_first = True
                self.revision += 1
            found.confirmed_until = sent_at + order.hold_s
            found.handover = ''
            found.next_at = now + RENEW_S
        return is_first

    def note_grant_failed(self, order, now, *, was_sent, is_stale=False):
        """Note that a grant got no usable answer.

        :param was_sent: Whether the server may carry it out.
        :param is_stale: Whether the server has seen a higher fence.
        """
        for found in self._overlapping(order.segment):
            if was_sent:
                self._expose(found, order, now)
            else:
                self._forget_sent(found, order)
            if found.fence == order.segment.fence:
                found.next_at = min(found.next_at, now + REPEAT_S)
                found.is_refused = is_stale

    @staticmethod
    def _forget_sent(found, order):
        """Undo :meth:`note_sent` for an order that reached nobody.

        A dead server would otherwise count as a holder for as long as it is
        tried in vain.
        """
        if found.last_sent is None or found.last_sent[0] is not order:
            return
        _, until, before = found.last_sent
        life = order.segment.owner
        if found.exposures.get(life) == until:
            found.exposures[life] = before

    def _expose(self, found, order, now):
        life = order.segment.owner
        until = (
            now
            + order.hold_s * managed_range.SLOW_CLOCK
            + managed_range.HOLD_MARGIN_S
        )
        found.exposures[life] = max(found.exposures.get(life, 0.0), until)

    def note_released(self, order, handover):
        """Note that a server has given a range back.

        :param handover: Token of the state for the next owner.
        """
        for found in self._overlapping(order.segment):
            if found.fence > order.segment.fence:
                continue
            if found.owner == order.life:
                continue
            if (
                order.segment.start <= found.start
                and found.end <= order.segment.end
            ):
                found.exposures.pop(order.life, None)
                found.released |= {order.life}
                self.revision += 1
                if handover and found.owner != order.life:
                    found.handover = handover
                found.next_at = 0.0

    def note_release_failed(self, order, now, *, was_sent):
        """Note that a release got no answer."""
        if was_sent:
            self._late_releases.append(
                (
                    order.life,
                    order.segment.start,
                    order.segment.end,
                    now + LATE_RELEASE_S,
                )
            )
        for found in self._overlapping(order.segment):
            if order.life in found.release_at:
                found.release_at[order.life] = now + REPEAT_S

    def note_ended(self, life, successor=None) -> bool:
        """Note the proof that a life of a server is over.

        :param successor: The life that has the same id now. Orders for the
            former one name the id only, so those that were sent before this
            was known may have been taken by the successor.
        :returns: Whether it may have held a range.
        """
        was_holder = False
        for found in self._ranges:
            until = found.exposures.pop(life, None)
            if until is None:
                continue
            was_holder = True
            self.revision += 1
            found.next_at = 0.0
            if successor is not None:
                found.exposures[successor] = max(
                    until, found.exposures.get(successor, 0.0)
                )
        return was_holder

    def lapsed(self, now):
        """Return the ranges whose owner has not been reached in time."""
        return [
            found
            for found in self._ranges
            if not found.previous
            and found.owner not in found.exposures
            and found.moved_at < now - managed_range.HOLD_S
        ]

    def refused(self):
        """Return the ranges whose grant the owner refused as too old.

        Another host has used a higher fence; only a new version helps.
        """
        return [found for found in self._ranges if found.is_refused]

    def _find(self, segment):
        found = self._overlapping(segment)
        if len(found) != 1:
            return None
        (found,) = found
        is_same = found.covers(segment) and found.fence == segment.fence
        return found if is_same else None

    def _overlapping(self, segment):
        first = bisect.bisect_right(self._starts, segment.start) - 1
        last = bisect.bisect_right(self._starts, segment.end)
        return self._ranges[max(0, first) : last]
