"""Spread groups of busy keys over servers with few slots.

A group of neighbouring keys that suddenly gets a large part of the traffic
belongs to a few servers, since each owns ranges of keys. The parts of it that
these cannot serve are cut into narrow ranges, one for each server with room,
in one plan, so that each key changes its owner once.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import heapq

from radishferry.direct import key_map

#: Slots up to which a server counts as small: a few busy keys are more than
#: it can serve. Larger ones are relieved by :mod:`placement` alone.
MAX_SLOTS = 3
#: Use of its slots above which a server is relieved. With 3 slots, the mean
#: wait at 0.7 is about half of the service time.
SATURATED_USE = 0.7
#: Use up to which other servers are filled, relative to the mean use; a group
#: that is spread evenly over all of them leaves each at the mean.
LEVEL_RATIO = 1.15
#: Lowest such use. Below it, servers have no queue to speak of, and fewer
#: servers take the group.
MIN_LEVEL = 0.5
#: Ratio of the requests for each key of a range to those of all keys from
#: which on it counts as busy. Its server is relieved of it down to the level,
#: of other ranges only until it is not saturated: these have many keys.
BUSY_RATIO = 4.0
#: Smallest load that is worth a move, as a share of the capacity of the
#: server that gets it.
MIN_GAIN = 0.04
#: Share of the mean rate of the requested keys of a range below which the keys
#: at its begin and end stay with their owner.
BUSY_SHARE = 0.5
#: Share of the use of its server that a key must at most cause at another one
#: to be moved there, if it exceeds the room of every server.
ALONE_GAIN = 0.8
#: Seconds after a move during which a range stays at a server that can do its
#: work: a group is busy for about that long, and its rates are uncertain at
#: first.
COOLDOWN_S = 5.0
#: Highest number of moves in one plan: two orders for each, and a row in the
#: message to all hosts.
MAX_MOVES = 200
#: Number of ranges at which none is cut any more; a row of the store holds
#: about twice as many.
MAX_RANGES = 1400


def spread(
    pieces, server_loads, loads, may_assign, now, least_cooldown_s
) -> int:
    """Move busy narrow ranges away from servers that are saturated.

    The busiest servers are relieved first, of the ranges with the most
    requests for each key: moves are priced by the number of keys.

    :param pieces: Lists of start, end, owner and time of the last move;
        changed in place.
    :param server_loads: Loads of the servers while a plan is computed.
    :param loads: A :class:`~radishferry.direct.key_rates.LoadMap`.
    :param may_assign: Function of an incarnation, a start and an end that
        returns whether it may own this range.
    :param least_cooldown_s: Seconds after a move during which a range stays
        even at a server that cannot do its work.
    :returns: Number of ranges that change their owner.
    """
    sources = sorted(
        (
            incarnation
            for incarnation in server_loads.incarnations
            if server_loads.use(incarnation) > SATURATED_USE
        ),
        key=server_loads.use,
        reverse=True,
    )
    if not sources:
        return 0
    level = max(MIN_LEVEL, LEVEL_RATIO * server_loads.mean_use)
    rooms = _Rooms(server_loads, level)
    usual_density = loads.load(0, key_map.KEY_COUNT - 1) / key_map.KEY_COUNT
    by_owner = {source: [] for source in sources}
    kept = []
    for piece in pieces:
        by_owner.get(piece[2], kept).append(piece)
    moved = []
    for source in sources:
        own = by_owner[source]
        own.sort(key=lambda piece: -_density(piece, loads))
        cooldown_s = (
            least_cooldown_s if server_loads.use(source) > 1 else COOLDOWN_S
        )
        for piece in own:
            if (
                now - piece[3] < cooldown_s
                or len(moved) >= MAX_MOVES
                or len(pieces) + 2 * len(moved) >= MAX_RANGES
            ):
                kept.append(piece)
                continue
            is_busy = _density(piece, loads) >= BUSY_RATIO * usual_density
            cut = _cut(
                piece,
                level if is_busy else SATURATED_USE,
                rooms,
                server_loads,
                loads,
                may_assign,
            )
            for found in cut:
                if found[2] != source:
                    found[3] = now
                    moved.append(found)
                else:
                    kept.append(found)
    pieces[:] = sorted(kept + moved)
    return len(moved)


def _density(piece, loads):
    return loads.load(piece[0], piece[1]) / (piece[1] - piece[0] + 1)


def _cut(piece, level, rooms, server_loads, loads, may_assign):
    """Return the parts of a range, with their owners."""
    start, end, source, moved_at = piece
    parts = []
    # The quiet keys between busy ones move as well, since each part of a range
    # is renewed by an order of its own.
    busy_first, busy_last = loads.busy_bounds(
        start, end, BUSY_SHARE * loads.mean_rate(start, end)
    )
    while start <= busy_last:
        excess = server_loads.load(source) - level * server_loads.capacity(
            source
        )
        found = rooms.most()
        if excess <= 0 or found is None:
            break
        room, target = found
        least = MIN_GAIN * server_loads.capacity(target)
        if room < least:
            break
        first = max(start, busy_first)
        last = loads.split(first, busy_last, max(least, min(room, excess)))
        last = max(first, last)
        load = loads.load(first, last)
        use = (server_loads.load(target) + load) / server_loads.capacity(
            target
        )
        if (
            load < least
            or not may_assign(target, first, last)
            # A single key that is more than the room of any server.
            or (load > room and use > ALONE_GAIN * server_loads.use(source))
        ):
            # Joined with the part before it, if that stays as well.
            if parts and parts[-1][2] == source:
                start = parts.pop()[0]
            parts.append([start, last, source, moved_at])
            start = last + 1
            continue
        if first > start:
            parts.append([start, first - 1, source, moved_at])
        parts.append([first, last, target, moved_at])
        server_loads.add(source, first, last, sign=-1)
        server_loads.add(target, first, last)
        rooms.update(target)
        start = last + 1
    if start <= end:
        if parts and parts[-1][2] == source:
            start = parts.pop()[0]
        parts.append([start, end, source, moved_at])
    return parts


class _Rooms:
    """Find the server with the most room below a level of use."""

    def __init__(self, server_loads, level):
        self._server_loads = server_loads
        self._level = level
        self._heap = [
            (-self._room(incarnation), incarnation)
            for incarnation in server_loads.incarnations
        ]
        heapq.heapify(self._heap)

    def _room(self, incarnation):
        return self._level * self._server_loads.capacity(
            incarnation
        ) - self._server_loads.load(incarnation)

    def most(self):
        """Return the room in requests a second and its server, or None."""
        if not self._heap or self._heap[0][0] >= 0:
            return None
        room, incarnation = self._heap[0]
        return -room, incarnation

    def update(self, incarnation):
        """Take the new load of the server that :meth:`most` returned."""
        heapq.heapreplace(self._heap, (-self._room(incarnation), incarnation))
