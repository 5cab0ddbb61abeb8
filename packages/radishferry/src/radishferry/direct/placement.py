"""Distribute the keys of a service over its servers."""

from __future__ import annotations

import collections
import dataclasses
import itertools

from radishferry.direct import hot_groups
from radishferry.direct import key_map

#: Number of ranges in the initial layout. Busy keys lie close to one another,
#: so many narrow ranges that are assigned round robin spread them before any
#: load has been measured.
INITIAL_RANGES = 352
#: Lowest number of ranges for each server in the initial layout.
MIN_RANGES_PER_SERVER = 3
#: Ratio of a server's load to its fair share above which ranges move.
OVERLOAD_RATIO = 1.2
#: Use of a server's slots below which it is not relieved.
IDLE_USE = 0.35
#: Highest number of moves in one plan while no server is saturated.
MAX_MOVES = 6
#: Highest number of moves in one plan while a server is saturated.
MAX_URGENT_MOVES = 60
#: Use of a server's slots above which it counts as saturated.
SATURATED_USE = 0.7
#: Share of its server's capacity that a key must use to count as hot.
HOT_KEY_USE = 0.4
#: Highest number of keys that one plan considers as hot.
MAX_HOT_KEYS = 3
#: Factor by which another server must be faster to be given a hot key.
HOT_KEY_GAIN = 1.25
#: Smallest load of a range that is moved, as a share of the load that the
#: target should get, and as a share of the mean load of the source's ranges;
#: the lower of the two counts. A server with hundreds of ranges has none with
#: a large share of its load.
MIN_MOVED_SHARE = 0.05
MIN_RANGE_SHARE = 0.5
#: Seconds after a move during which a range is not moved again.
MOVE_COOLDOWN_S = 2.5


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Describe the capacity of one server.

    :ivar per_s: Requests a second that it can run with all slots in use.
    """

    incarnation: tuple[str, int]
    per_s: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """Hold a layout and the load that it is based on.

    :ivar layout: Tuples of start, end and owner.
    :ivar moves: Number of ranges that change their owner.
    :ivar busiest_use: Use of the slots of the busiest server, as a ratio.
    :ivar mean_use: Use of all slots together, as a ratio.
    """

    layout: tuple[tuple[int, int, tuple[str, int]], ...]
    moves: int
    busiest_use: float
    mean_use: float

    @property
    def facts(self) -> dict:
        """Return the log fields that describe the plan."""
        return {
            'moves': self.moves,
            'busiest_use': round(self.busiest_use, 3),
            'mean_use': round(self.mean_use, 3),
        }


def initial_layout(incarnations):
    """Return an initial layout that assigns narrow ranges round robin.

    :param incarnations: Incarnations of the servers.
    :returns: Tuples of start, end and owner.
    """
    incarnations = sorted(incarnations)
    per_server = max(
        MIN_RANGES_PER_SERVER, INITIAL_RANGES // len(incarnations)
    )
    count = per_server * len(incarnations)
    bounds = [key_map.KEY_COUNT * i // count for i in range(count + 1)]
    return [
        (bounds[i], bounds[i + 1] - 1, incarnations[i % len(incarnations)])
        for i in range(count)
    ]


def layout_of(ranges):
    """Return the layout of the ranges of a granter."""
    return [(managed.start, managed.end, managed.owner) for managed in ranges]


def evacuate(ranges, leaving, capacities, loads, may_assign):
    """Return a layout that moves ranges away from some servers.

    All of their ranges are moved, as far as other servers may own them.

    :param ranges: Ranges of a granter.
    :param leaving: Incarnations that must not own keys any more.
    :param capacities: :class:`Capacity` of each server that stays.
    :param loads: A :class:`~radishferry.direct.key_rates.LoadMap`.
    :param may_assign: Function of an incarnation, a start and an end that
        returns whether it may own this range.
    """
    server_loads = _ServerLoads(ranges, capacities, loads)
    layout = []
    for managed in ranges:
        owner = managed.owner
        if owner in leaving:
            owner = (
                server_loads.least_used_with(
                    managed.start, managed.end, may_assign
                )
                or owner
            )
            server_loads.add(owner, managed.start, managed.end)
        layout.append((managed.start, managed.end, owner))
    return layout


def rebalance(
    ranges, capacities, loads, may_assign, now, *, spreads_groups=False
):
    """Return a layout that relieves the busiest servers.

    :param spreads_groups: Whether only saturated servers are relieved, and
        groups of busy keys are cut into narrow ranges, see
        :mod:`radishferry.direct.hot_groups`.
    :returns: A :class:`Plan`.
    """
    server_loads = _ServerLoads(ranges, capacities, loads)
    pieces = [
        [managed.start, managed.end, managed.owner, managed.moved_at]
        for managed in ranges
    ]
    busiest_use, mean_use = server_loads.busiest_use, server_loads.mean_use
    moves = _fill_empty_servers(pieces, server_loads, loads, may_assign, now)
    moves += _move_hot_keys(pieces, server_loads, loads, may_assign, now)
    if spreads_groups:
        moves += hot_groups.spread(
            pieces, server_loads, loads, may_assign, now, MOVE_COOLDOWN_S
        )
    else:
        moves += _level(pieces, server_loads, loads, may_assign, now, moves)
    layout = tuple(tuple(piece[:3]) for piece in pieces)
    return Plan(layout, moves, busiest_use, mean_use)


def _level(pieces, server_loads, loads, may_assign, now, earlier_moves):
    """Move ranges from the busiest servers to the least used ones.

    :param earlier_moves: Moves of the plan so far, which count as well.
    :returns: Number of moves.
    """
    moves = earlier_moves
    excluded = set()
    while moves < (
        MAX_URGENT_MOVES if server_loads.is_saturated else MAX_MOVES
    ):
        busiest = server_loads.busiest(excluded)
        if busiest is None:
            break
        target = server_loads.least_used()
        excess = server_loads.excess(busiest)
        wanted_load = min(excess, -server_loads.excess(target))
        if wanted_load <= 0 or not _move_range(
            pieces,
            busiest,
            target,
            wanted_load,
            server_loads,
            loads,
            may_assign,
            now,
        ):
            excluded.add(busiest)
            continue
        moves += 1
    return moves - earlier_moves


def _fill_empty_servers(pieces, server_loads, loads, may_assign, now):
    """Move busy ranges to servers without any, half a fair share to each.

    A server that joins while no other one is saturated would otherwise stay
    empty, and be cold when it is needed.
    """
    counts = collections.Counter(piece[2] for piece in pieces)
    empty = [
        incarnation
        for incarnation in server_loads.incarnations
        if not counts[incarnation]
    ]
    if not empty:
        return 0
    moves_per_server = max(
        1, len(pieces) // (2 * len(server_loads.incarnations))
    )
    candidates = sorted(
        (
            piece
            for piece in pieces
            if piece[0] < piece[1] and now - piece[3] >= MOVE_COOLDOWN_S
        ),
        key=lambda piece: -loads.load(piece[0], piece[1]),
    )
    moves = 0
    for piece, target in zip(candidates, itertools.cycle(empty)):
        start, end, owner, _ = piece
        if moves >= moves_per_server * len(empty):
            break
        # No owner gives its last range away.
        if counts[owner] < 2 or not may_assign(target, start, end):
            continue
        counts[owner] -= 1
        piece[2:] = [target, now]
        server_loads.add(owner, start, end, sign=-1)
        server_loads.add(target, start, end)
        moves += 1
    return moves


def _move_hot_keys(pieces, server_loads, loads, may_assign, now):
    """Move each hot key to the fastest server that is not saturated."""
    moves = 0
    for key, rate in loads.hottest(MAX_HOT_KEYS):
        index = next(i for i, piece in enumerate(pieces) if piece[1] >= key)
        start, end, owner, moved_at = pieces[index]
        capacity = server_loads.capacity(owner)
        if rate < HOT_KEY_USE * capacity or now - moved_at < MOVE_COOLDOWN_S:
            continue
        target = server_loads.fastest(capacity * HOT_KEY_GAIN)
        if target is None or not may_assign(target, key, key):
            continue
        pieces[index : index + 1] = [
            piece
            for piece in (
                [start, key - 1, owner, moved_at],
                [key, key, target, now],
                [key + 1, end, owner, moved_at],
            )
            if piece[0] <= piece[1]
        ]
        server_loads.add(owner, key, key, sign=-1)
        server_loads.add(target, key, key)
        moves += 1
    return moves


def _move_range(
    pieces, source, target, wanted_load, server_loads, loads, may_assign, now
):
    best = None
    min_load = _min_moved_load(pieces, source, wanted_load, loads)
    for index, (start, end, owner, moved_at) in enumerate(pieces):
        if owner != source or now - moved_at < MOVE_COOLDOWN_S:
            continue
        if not may_assign(target, start, end):
            continue
        load = loads.load(start, end)
        if load <= min_load:
            continue
        # A whole range of suitable load is best, else the one with the
        # smallest load is split.
        fits = load <= 1.25 * wanted_load
        rank = (fits, load if fits else -load)
        if best is None or rank > best[0]:
            best = (rank, index, load, fits)
    if best is None:
        return False
    _, index, load, fits = best
    start, end, owner, moved_at = pieces[index]
    if not fits:
        cut = loads.split(start, end, wanted_load)
        if cut < start:
            # The first key alone exceeds the wanted load; the keys after it
            # move instead.
            first = start
            if first == end:
                return False
            pieces[index : index + 1] = [
                [first, first, owner, moved_at],
                [first + 1, end, target, now],
            ]
            moved = (first + 1, end)
        else:
            pieces[index : index + 1] = [
                [start, cut, target, now],
                [cut + 1, end, owner, moved_at],
            ]
            moved = (start, cut)
    else:
        pieces[index][2:] = [target, now]
        moved = (start, end)
    if loads.load(*moved) <= min_load:
        return False
    server_loads.add(source, *moved, sign=-1)
    server_loads.add(target, *moved)
    return True


def _min_moved_load(pieces, source, wanted_load, loads):
    range_loads = [
        loads.load(start, end)
        for start, end, owner, _ in pieces
        if owner == source
    ]
    mean = sum(range_loads) / len(range_loads)
    return min(MIN_MOVED_SHARE * wanted_load, MIN_RANGE_SHARE * mean)


class _ServerLoads:
    """Track the load of each server while a plan is computed."""

    def __init__(self, ranges, capacities, loads):
        self._loads = loads
        self._capacity = {c.incarnation: c.per_s for c in capacities}
        self._load = dict.fromkeys(self._capacity, 0.0)
        # A small part of the load is proportional to the number of keys, so
        # that keys are spread also where no load was measured.
        self._total = 0.0
        self._total_capacity = sum(self._capacity.values()) or 1.0
        for managed in ranges:
            self.add(managed.owner, managed.start, managed.end)
        self._total = sum(self._load.values())

    def _weight(self, start, end):
        keys = (end - start + 1) / key_map.KEY_COUNT
        return self._loads.load(start, end) + 0.02 * keys

    def add(self, incarnation, start, end, sign=1):
        if incarnation in self._load:
            self._load[incarnation] += sign * self._weight(start, end)

    def excess(self, incarnation):
        """Return the load beyond the fair share, in requests a second."""
        return (
            self._load[incarnation]
            - self.mean_use * self._capacity[incarnation]
        )

    @property
    def is_saturated(self):
        """Return whether any server is saturated."""
        return any(
            self.use(incarnation) > SATURATED_USE for incarnation in self._load
        )

    @property
    def incarnations(self):
        return tuple(self._load)

    @property
    def busiest_use(self):
        return max(map(self.use, self._load), default=0.0)

    @property
    def mean_use(self):
        return self._total / self._total_capacity

    def capacity(self, incarnation):
        return self._capacity.get(incarnation, 0.0)

    def fastest(self, min_capacity):
        """Return the fastest server that is not saturated.

        :param min_capacity: Least capacity in requests a second.
        :returns: None if no server has this capacity.
        """
        return max(
            (
                incarnation
                for incarnation, capacity in self._capacity.items()
                if capacity >= min_capacity
                and self.use(incarnation) < SATURATED_USE
            ),
            key=lambda incarnation: self._capacity[incarnation],
            default=None,
        )

    def load(self, incarnation):
        return self._load[incarnation]

    def use(self, incarnation):
        return self._load[incarnation] / self._capacity[incarnation]

    def busiest(self, excluded):
        candidate = max(
            (
                incarnation
                for incarnation in self._load
                if incarnation not in excluded
            ),
            key=self.use,
            default=None,
        )
        if candidate is None:
            return None
        use = self.use(candidate)
        if use < IDLE_USE or use < self.mean_use * OVERLOAD_RATIO:
            return None
        return candidate

    def least_used(self):
        return min(self._load, key=self.use)

    def least_used_with(self, start, end, may_assign):
        return min(
            (
                incarnation
                for incarnation in self._load
                if may_assign(incarnation, start, end)
            ),
            key=lambda incarnation: (
                (self._load[incarnation] + self._weight(start, end))
                / self._capacity[incarnation]
            ),
            default=None,
        )
