"""Choose range moves that even out the load of servers.

Moves start only when a server is outside a wide band around the mean and go
on until all are inside a narrow one, so that small changes of load move
nothing.  Each move lowers the sum of the squares of the loads by a minimum,
so that a sequence of plans for the same loads ends.
"""

from __future__ import annotations

#: Loads relative to the mean that start moves.  The target is 1.25; the rest
#: is room for what changes between two plans.
START_ABOVE = 1.2
START_BELOW = 0.8
#: Loads relative to the mean at which moves end.
END_ABOVE = 1.08
END_BELOW = 0.92
#: Least decrease of the sum of squares by one move, relative to the square of
#: the mean.  A smaller one is not worth a new grant.
LEAST_GAIN = 2.5e-5
#: Load that one plan may move, relative to the mean load of a server.  One
#: added server among 22 may move 1.3/22 of the keys.
MOST_MOVED = 1.25


def moves(loads, weights, movable, fill_only):
    """Yield ``(range_id, server)`` and update the loads accordingly.

    :param loads: ``server_loads.ServerLoads`` of the plan so far.
    :param weights: Mapping of range id to load.
    :param movable: Ids of the ranges that may move.
    :param bool fill_only: Whether only servers that own nothing are given
        ranges, because the load of ranges is not known.
    """
    mean = loads.mean
    if not mean or not _starts(loads, mean, fill_only):
        return
    left = MOST_MOVED * mean
    movable = set(movable)
    filled = {s for s in loads.heaviest_first() if not loads.ranges(s)}
    while True:
        receiver = loads.lightest()
        if fill_only and receiver not in filled:
            return
        chosen = _best(loads, weights, movable, mean, left)
        if chosen is None:
            return
        range_id, donor = chosen
        loads.remove(range_id, donor)
        loads.add(range_id, receiver)
        movable.remove(range_id)
        left -= weights[range_id]
        yield range_id, receiver


def _starts(loads, mean, fill_only):
    servers = loads.heaviest_first()
    if fill_only:
        return any(not loads.ranges(server) for server in servers)
    if loads.load(servers[-1]) < START_BELOW * mean:
        return True
    # A server with a single range cannot be relieved by any move.
    return any(
        loads.load(server) > START_ABOVE * mean
        and len(loads.ranges(server)) > 1
        for server in servers
    )


def _best(loads, weights, movable, mean, left):
    lightest = loads.load(loads.lightest())
    for donor in loads.heaviest_first():
        heavy = loads.load(donor) > END_ABOVE * mean
        if not heavy and lightest >= END_BELOW * mean:
            return None
        gap = loads.load(donor) - lightest
        fitting = [
            (weights[r] * (gap - weights[r]), -r)
            for r in loads.ranges(donor) & movable
            if weights[r] < min(gap, left)
        ]
        gain, negative_id = max(fitting, default=(0.0, 0))
        if gain >= LEAST_GAIN * mean**2:
            return -negative_id, donor
    return None
