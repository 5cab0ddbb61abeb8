"""Keep at most one holder for each key of a service.

A grant is a lease: the server holds a range of keys for ``hold_s`` seconds
unless the grant is renewed. The granter knows for each range which
incarnations of servers may hold it, and until when. It grants a range to its
owner only when no other incarnation can still hold it: because that
incarnation has answered a release, has been proved to have ended, or its last
lease has expired.

This module does no I/O and reads no clock: the current time is passed in and
orders are returned. The caller sends them and reports their results.
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
#: Seconds after a failed order until it is sent again.
RETRY_S = 0.35
#: Seconds after an unanswered release during which the server is not made
#: the owner of these keys again: it may still execute the release late, after
#: a newer grant. Servers may execute an order up to 12 s late.
LATE_RELEASE_S = 13.0
#: Stands for the servers that hold keys by rows which the store has lost.
UNKNOWN_HOLDER = ('', 0)


@dataclasses.dataclass(frozen=True)
class Grant:
    """Order a server to hold a range.

    :ivar hold_s: Duration of the lease in seconds.
    :ivar handover: Token that identifies the state of the previous owner,
        empty if there is none.
    """

    service: str
    segment: key_map.Segment
    hold_s: float
    handover: str


@dataclasses.dataclass(frozen=True)
class Release:
    """Order a server to release a range.

    :ivar incarnation: The incarnation that has to release it.
    :ivar segment: The range with the fencing token of its next owner.
    """

    service: str
    segment: key_map.Segment
    incarnation: tuple[str, int]


class KeyGranter:
    """Decide which orders to send for the keys of one service."""

    def __init__(self, service: str, hold_max_s: float):
        """Initialise without any ranges.

        :param hold_max_s: Longest lease that a server accepts, in seconds.
        """
        self.service = service
        self._hold_max_s = hold_max_s
        self._ranges = []
        self._starts = []
        self._late_releases = []
        self._unknown_until = 0.0
        self.version = 0
        #: Incremented by each change that other hosts have to learn.
        self.revision = 0

    @property
    def ranges(self):
        """Return the ranges in the order of their keys."""
        return tuple(self._ranges)

    @property
    def segments(self):
        """Return the ranges as they are written to the store."""
        return tuple(managed.segment() for managed in self._ranges)

    @property
    def unsettled(self) -> int:
        """Return the number of ranges that a non-owner may still hold."""
        return sum(1 for managed in self._ranges if managed.previous)

    def load(
        self,
        segments,
        version,
        now,
        *,
        ordered_until=None,
        ends=(),
        has_usual_holds=False,
    ):
        """Load the ranges that another host has written.

        The orders of the previous host are not known here, so every
        incarnation that a row names is assumed to have got the longest lease
        with the last of them. The row may contain earlier lease ends for
        former owners.

        :param segments: Ranges of the row; a fence of 0 stands for the
            version of the row.
        :param version: Version of the row.
        :param ordered_until: Latest time at which the previous host can have
            sent an order, in seconds; None if that is not known.
        :param ends: For each segment, the lease ends of its former holders in
            seconds, as :meth:`propose` returned them.
        :param has_usual_holds: Whether the previous host is known to have
            granted no leases longer than :data:`managed_range.HOLD_S`.
        """
        last_order_at = now
        if ordered_until is not None:
            last_order_at = min(now, ordered_until + managed_range.ARRIVAL_S)
        until = last_order_at + (
            managed_range.USUAL_HELD_S if has_usual_holds else self._max_held_s
        )
        self._ranges = [
            managed_range.ManagedRange(
                s.start,
                s.end,
                s.owner,
                s.fence or version,
                {
                    s.owner: until,
                    **{
                        incarnation: min(until, end)
                        for incarnation, end in itertools.zip_longest(
                            s.previous, known_ends, fillvalue=math.inf
                        )
                    },
                },
            )
            for s, known_ends in itertools.zip_longest(
                segments, ends, fillvalue=()
            )
        ]
        self._starts = [managed.start for managed in self._ranges]
        self._unknown_until = 0.0
        self.version = version
        self.revision += 1

    def note_lost_rows(self, now):
        """Record that the store has lost rows of the previous host.

        Any server may hold any range until the leases of that host have
        ended. Higher fencing tokens than the known ones may have been used,
        so no range is granted before it has a new one.

        :param now: Seconds; the previous host sent no order later.
        """
        self._unknown_until = now + managed_range.ARRIVAL_S + self._max_held_s
        for managed in self._ranges:
            self._add_unknown_holder(managed)

    def resume(self, now):
        """Continue after another host may have granted by rows now lost.

        An owner whose lease has not ended still holds its keys, unless that
        host asked it to release them. It has then seen a higher fencing
        token and rejects the next grant, so the lease may be renewed. All
        other ranges wait for the unknown holders.

        :param now: Seconds; another host sent no order later.
        """
        confirmed_until = now + managed_range.ARRIVAL_S
        for managed in self._ranges:
            managed.hold_limit = math.inf
            managed.next_release_at = {}
            managed.next_grant_at = now
        held = [
            managed
            for managed in self._ranges
            if managed.confirmed_until > confirmed_until
            and not managed.previous
            and not managed.is_rejected
        ]
        self.note_lost_rows(now)
        for managed in held:
            del managed.held_until[UNKNOWN_HOLDER]
            managed.is_rejected = False
        self.revision += 1

    def _add_unknown_holder(self, managed):
        managed.held_until[UNKNOWN_HOLDER] = self._unknown_until
        managed.is_rejected = True

    @property
    def _max_held_s(self):
        return (
            self._hold_max_s * managed_range.SLOW_CLOCK
            + managed_range.HOLD_MARGIN_S
        )

    def propose(self, layout, now):
        """Return what to write for a new layout.

        Until the layout is committed, the leases of owners that lose keys
        are not extended beyond the ends that are written, so that a host
        that takes over can rely on these.

        :param layout: Tuples of start, end and owner that cover the same
            keys as now, or all keys the first time.
        :returns: The segments, with fence 0 where the owner changes, and for
            each segment the lease ends of its former holders in seconds.
        """
        pieces = self._split_for(layout)
        for managed in self._ranges:
            managed.hold_limit = math.inf
        for piece in pieces:
            for managed in self._overlapping(piece):
                if managed.owner != piece.owner:
                    managed.hold_limit = self._hold_limit(managed, now)
        ends = tuple(
            tuple(
                self._hold_end(piece, incarnation, now)
                for incarnation in piece.previous
            )
            for piece in pieces
        )
        return tuple(piece.segment() for piece in pieces), ends

    def _hold_limit(self, managed, now):
        if managed.confirmed_until > now:
            # The owner answers, so its lease is renewed until the row has
            # been written.
            return now + self._max_held_s
        return max(now, managed.held_until.get(managed.owner, 0.0))

    def _hold_end(self, piece, incarnation, now):
        limits = [
            managed.hold_limit
            for managed in self._overlapping(piece)
            if managed.owner == incarnation
        ]
        # A grant that was sent before the limit may still arrive, and its
        # lease is counted from its arrival.
        return (
            max([piece.held_until[incarnation], *limits])
            + managed_range.ARRIVAL_S
        )

    def commit(self, layout, version, now):
        """Apply a layout that has been written to the store.

        :param version: Version that the store gave to the row; it becomes
            the fencing token of all ranges that changed.
        """
        self._ranges = self._split_for(layout)
        self._starts = [managed.start for managed in self._ranges]
        for managed in self._ranges:
            managed.hold_limit = math.inf
            if not managed.fence:
                managed.fence = version
                managed.moved_at = now
        self.version = version
        self.revision += 1

    def _split_for(self, layout):
        if not self._ranges:
            held_until = (
                {UNKNOWN_HOLDER: self._unknown_until}
                if self._unknown_until
                else {}
            )
            return [
                managed_range.ManagedRange(start, end, owner, 0, held_until)
                for start, end, owner in layout
            ]
        pieces = []
        index = 0
        for start, end, owner in layout:
            first = start
            while first <= end:
                while self._ranges[index].end < first:
                    index += 1
                managed = self._ranges[index]
                last = min(end, managed.end)
                piece = managed.copy_part(first, last)
                # A rejected grant needs a new fencing token.
                if piece.owner != owner or managed.is_rejected:
                    if managed.owner in managed.held_until:
                        # An owner that never got the keys is not their last
                        # holder, so the state of that one stays of use.
                        piece.handover = ''
                    piece.owner = owner
                    piece.fence = 0
                    piece.confirmed_until = 0.0
                    piece.next_grant_at = 0.0
                    piece.next_release_at = {}
                    piece.released = frozenset()
                pieces.append(piece)
                first = last + 1
        return pieces

    def may_assign(self, incarnation, start, end, now) -> bool:
        """Return whether a server may be made the owner of a range.

        It may not while an unanswered release of these keys can still be
        executed late and take them away again.
        """
        self._late_releases = [
            late for late in self._late_releases if late[3] > now
        ]
        return not any(
            late[0] == incarnation and late[1] <= end and start <= late[2]
            for late in self._late_releases
        )

    def due(self, now, hold_s=managed_range.HOLD_S):
        """Return the orders to send now.

        :param hold_s: Duration of new leases in seconds.
        """
        for managed in self._ranges:
            if any(until <= now for until in managed.held_until.values()):
                self.revision += 1
                managed.held_until = {
                    incarnation: until
                    for incarnation, until in managed.held_until.items()
                    if until > now
                }
        return list(
            itertools.chain.from_iterable(
                self._orders(managed, now, hold_s) for managed in self._ranges
            )
        )

    def _orders(self, managed, now, hold_s):
        others = managed.previous
        for incarnation in others:
            if incarnation == UNKNOWN_HOLDER:
                continue
            if managed.next_release_at.get(incarnation, 0.0) <= now:
                managed.next_release_at[incarnation] = now + RETRY_S
                yield Release(self.service, managed.segment(), incarnation)
        if others or managed.next_grant_at > now or managed.is_rejected:
            return
        hold_s = managed.allowed_hold_s(min(hold_s, self._hold_max_s), now)
        if hold_s >= managed_range.MIN_HOLD_S:
            managed.next_grant_at = now + RETRY_S
            yield Grant(
                self.service, managed.segment(), hold_s, managed.handover
            )

    def has_usual_holds(self, now) -> bool:
        """Return whether no owner has a lease longer than usual.

        Former owners do not count, since their lease ends are in the row.
        """
        return all(
            managed.held_until.get(managed.owner, 0.0)
            <= now + managed_range.USUAL_HELD_S
            for managed in self._ranges
        )

    def renew_all(self, now):
        """Make every grant due for renewal in the next call of :meth:`due`."""
        for managed in self._ranges:
            managed.next_grant_at = min(managed.next_grant_at, now)

    def is_current(self, order, now) -> bool:
        """Return whether an order that was queued may still be sent.

        A grant that is sent after its keys were given to another server
        would let the former owner hold them again, or hold them beyond the
        lease end in the row that is being written.
        """
        managed = self._find(order.segment)
        if managed is None:
            return False
        if isinstance(order, Release):
            return order.incarnation in managed.previous
        allowed_s = managed.allowed_hold_s(order.hold_s, now)
        return not managed.previous and order.hold_s <= allowed_s

    def note_pending(self, order, now):
        """Record that an order is queued or in flight.

        It is not repeated meanwhile: a server answers a release only after
        it has finished the requests for these keys.
        """
        managed = self._find(order.segment)
        if managed is None:
            return
        if isinstance(order, Release):
            managed.next_release_at[order.incarnation] = now + LATE_RELEASE_S
        else:
            managed.next_grant_at = now + LATE_RELEASE_S

    def note_sent(self, order, now):
        """Record that an order is being sent to its server."""
        managed = self._find(order.segment)
        if managed is None or isinstance(order, Release):
            return
        incarnation = order.segment.owner
        before = managed.held_until.get(incarnation, 0.0)
        self._extend_hold(managed, order, now)
        managed.last_sent = order, managed.held_until[incarnation], before

    def note_granted(self, order, sent_at, now):
        """Record that a server accepted a grant.

        :returns: Whether this was the first grant of the range to this owner,
            which serves it from now on.
        """
        is_first = False
        for managed in self._overlapping(order.segment):
            if order.segment.owner in managed.released:
                continue
            managed.last_sent = None
            self._extend_hold(managed, order, now)
            if managed.fence != order.segment.fence:
                # The keys were given to another server while the order was
                # in flight, and the server that accepted it holds them until
                # it releases them.
                self.revision += 1
                continue
            # The lease that the owner may rely on is counted from the send,
            # the one that others must wait for from the answer.
            if not managed.confirmed_until:
                is_first = True
                self.revision += 1
            managed.confirmed_until = sent_at + order.hold_s
            managed.is_expiry_reported = False
            managed.handover = ''
            managed.next_grant_at = now + RENEW_S
        return is_first

    def note_grant_failed(self, order, now, *, was_sent, is_stale=False):
        """Record that a grant failed or got no usable answer.

        :param was_sent: Whether the server may still execute it.
        :param is_stale: Whether the server rejected it because it has seen a
            higher fencing token.
        """
        for managed in self._overlapping(order.segment):
            if was_sent:
                self._extend_hold(managed, order, now)
            else:
                self._undo_sent(managed, order)
            if managed.fence == order.segment.fence:
                managed.next_grant_at = min(
                    managed.next_grant_at, now + RETRY_S
                )
                managed.is_rejected = is_stale
                if is_stale and now < self._unknown_until:
                    self._add_unknown_holder(managed)

    @staticmethod
    def _undo_sent(managed, order):
        """Undo :meth:`note_sent` for an order that did not reach the server.

        A dead server would otherwise count as a holder for as long as grants
        to it are retried.
        """
        if managed.last_sent is None or managed.last_sent[0] is not order:
            return
        _, until, before = managed.last_sent
        incarnation = order.segment.owner
        if managed.held_until.get(incarnation) == until:
            managed.held_until[incarnation] = before

    def _extend_hold(self, managed, order, now):
        incarnation = order.segment.owner
        until = (
            now
            + order.hold_s * managed_range.SLOW_CLOCK
            + managed_range.HOLD_MARGIN_S
        )
        managed.held_until[incarnation] = max(
            managed.held_until.get(incarnation, 0.0), until
        )

    def note_released(self, order, handover):
        """Record that a server has released a range.

        :param handover: Token of the state for the next owner.
        """
        for managed in self._overlapping(order.segment):
            if managed.fence > order.segment.fence:
                continue
            # The server has become the owner again.
            if managed.owner == order.incarnation:
                continue
            if (
                order.segment.start <= managed.start
                and managed.end <= order.segment.end
            ):
                managed.held_until.pop(order.incarnation, None)
                managed.released |= {order.incarnation}
                self.revision += 1
                if handover and managed.owner != order.incarnation:
                    managed.handover = handover
                managed.next_grant_at = 0.0

    def note_release_failed(self, order, now, *, was_sent):
        """Record that a release failed or got no answer.

        :param was_sent: Whether the server may still execute it.
        """
        if was_sent:
            self._late_releases.append(
                (
                    order.incarnation,
                    order.segment.start,
                    order.segment.end,
                    now + LATE_RELEASE_S,
                )
            )
        for managed in self._overlapping(order.segment):
            if order.incarnation in managed.next_release_at:
                managed.next_release_at[order.incarnation] = now + RETRY_S

    def note_ended(self, incarnation, successor=None) -> bool:
        """Record the proof that an incarnation of a server has ended.

        :param successor: The incarnation that has the same id now. Orders
            contain only the id, so the successor may have executed orders
            for the former incarnation that were sent before its end was
            known.
        :returns: Whether the former incarnation may have held a range.
        """
        was_holder = False
        for managed in self._ranges:
            until = managed.held_until.pop(incarnation, None)
            if until is None:
                continue
            was_holder = True
            self.revision += 1
            managed.next_grant_at = 0.0
            if successor is not None:
                managed.held_until[successor] = max(
                    until, managed.held_until.get(successor, 0.0)
                )
        return was_holder

    def take_expired(self, now):
        """Return the ranges whose owner may no longer rely on its lease.

        Each range is returned once, until its owner gets another lease.
        """
        expired = [
            managed
            for managed in self._ranges
            if 0.0 < managed.confirmed_until <= now
            and not managed.is_expiry_reported
        ]
        for managed in expired:
            managed.is_expiry_reported = True
        return expired

    def expired_ranges(self, now):
        """Return the ranges whose owner has no lease.

        Ranges that moved within the last :data:`managed_range.HOLD_S` seconds
        are left out, since their first grant may not have arrived yet.
        """
        return [
            managed
            for managed in self._ranges
            if not managed.previous
            and managed.owner not in managed.held_until
            and managed.moved_at < now - managed_range.HOLD_S
        ]

    def rejected_ranges(self):
        """Return the ranges whose grant the owner rejected as stale.

        Another host has used a higher fencing token, so the row has to be
        written again to get a higher version.
        """
        return [managed for managed in self._ranges if managed.is_rejected]

    @property
    def holders(self) -> set[tuple[str, int]]:
        """Return the incarnations that may hold a range."""
        return set(
            itertools.chain.from_iterable(
                managed.held_until for managed in self._ranges
            )
        )

    def _find(self, segment):
        overlapping = self._overlapping(segment)
        if len(overlapping) != 1:
            return None
        (managed,) = overlapping
        is_same = managed.covers(segment) and managed.fence == segment.fence
        return managed if is_same else None

    def _overlapping(self, segment):
        first = bisect.bisect_right(self._starts, segment.start) - 1
        last = bisect.bisect_right(self._starts, segment.end)
        return self._ranges[max(0, first) : last]
