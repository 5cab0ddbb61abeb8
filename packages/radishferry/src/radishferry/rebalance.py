"""Choose range moves that balance the load of servers.

The thresholds have hysteresis: moves start only when the load of a server is
outside a wide band around the mean and continue until all loads are inside a
narrow one, so that small changes of load cause no moves.  Each move lowers
the sum of the squares of the loads by a minimum, so that repeated plans for
the same loads terminate.
"""

from __future__ import annotations

#: Loads relative to the mean beyond which moves start.  The target is 1.25;
#: the difference is a margin for load changes between two plans.
START_ABOVE = 1.2
START_BELOW = 0.8
#: Loads relative to the mean at which moves end.
END_ABOVE = 1.08
END_BELOW = 0.92
#: Minimum decrease of the sum of squares by one move, relative to the square
#: of the mean.  A smaller gain does not justify a new grant.
MIN_GAIN = 2.5e-5
#: Maximum load that one plan moves, relative to the mean load of a server.
#: Adding one server to 22 may move at most 1.3/22 of the keys.
MAX_MOVED_LOAD = 1.25


def moves(loads, weights, movable, fill_only):
    """Yield each move as ``(range_id, server)`` and update the loads.

    :param loads: ``server_loads.ServerLoads`` of the plan so far.
    :param weights: Mapping of range id to requests per second.
    :param movable: Ids of the ranges that may move.
    :param bool fill_only: Whether only servers without ranges receive any,
        because the load of the ranges is not known.
    """
    mean = loads.mean
    if not mean or not _should_start(loads, mean, fill_only):
        return
    budget = MAX_MOVED_LOAD * mean
    movable = set(movable)
    initially_empty = {
        s for s in loads.heaviest_first() if not loads.ranges(s)
    }
    while True:
        receiver = loads.lightest()
        if fill_only and receiver not in initially_empty:
            return
        chosen = _best_move(loads, weights, movable, mean, budget)
        if chosen is None:
            return
        range_id, donor = chosen
        loads.remove(range_id, donor)
        loads.add(range_id, receiver)
        movable.remove(range_id)
        budget -= weights[range_id]
        yield range_id, receiver


def _should_start(loads, mean, fill_only):
    servers = loads.heaviest_first()
    if fill_only:
        return any(not loads.ranges(server) for server in servers)
    if loads.load(servers[-1]) < START_BELOW * mean:
        return True
    # No move can lower the load of a server with a single range.
    return any(
        loads.load(server) > START_ABOVE * mean
        and len(loads.ranges(server)) > 1
        for server in servers
    )


def _best_move(loads, weights, movable, mean, budget):
    lightest = loads.load(loads.lightest())
    for donor in loads.heaviest_first():
        is_overloaded = loads.load(donor) > END_ABOVE * mean
        if not is_overloaded and lightest >= END_BELOW * mean:
            return None
        gap = loads.load(donor) - lightest
        candidates = [
            (weights[r] * (gap - weights[r]), -r)
            for r in loads.ranges(donor) & movable
            if weights[r] < min(gap, budget)
        ]
        gain, negative_id = max(candidates, default=(0.0, 0))
        if gain >= MIN_GAIN * mean**2:
            return -negative_id, donor
    return None
