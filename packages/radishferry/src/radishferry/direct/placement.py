"""Divide the keys of a service over its servers."""

from __future__ import annotations

import collections
import dataclasses
import itertools

from radishferry.direct import key_map

#: Ranges into which all servers together divide the keys at first. Busy
#: keys lie close to one another, so that many narrow ranges dealt in turn
#: spread them before any load has been seen.
INITIAL_RANGES = 352
#: Fewest ranges of one server at first.
MIN_RANGES_PER_SERVER = 3
#: Load of a server in relation to its fair share above which ranges move.
OVERLOAD_RATIO = 1.2
#: Use of a server's slots below which its load does not matter.
IDLE_USE = 0.35
#: Moves of one plan while no server is short of slots.
MAX_MOVES = 6
#: Moves of one plan while a server is.
MAX_URGENT_MOVES = 60
#: Use of a server's slots above which it is short of them.
SHORT_USE = 0.7
#: Part of a server's capacity that a key must take to be hot.
HOT_KEY_USE = 0.4
#: Keys that are looked at as hot ones in a plan.
MAX_HOT_KEYS = 3
#: Factor by which another server must be faster to be worth the move of a
#: hot key.
HOT_KEY_GAIN = 1.25
#: Seconds for which a range stays after it has moved.
REST_S = 2.5


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Describe what one server can take.

    :ivar per_s: Requests a second with all its slots in use.
    """

    life: tuple[str, int]
    per_s: float


@dataclasses.dataclass(frozen=True)
class Plan:
    """Hold a layout and what it is based on.

    :ivar layout: Tuples of start, end and owner.
    :ivar moves: Ranges that change their owner.
    :ivar busiest_use: Part of its slots that the busiest server needed.
    :ivar mean_use: Part of all slots that was needed.
    """

    layout: tuple[tuple[int, int, tuple[str, int]], ...]
    moves: int
    busiest_use: float
    mean_use: float


def initial(lives):
    """Return a layout that deals narrow ranges in turn.

    :param lives: Lives of the servers.
    :returns: Tuples of start, end and owner.
    """
    lives = sorted(lives)
    each = max(MIN_RANGES_PER_SERVER, INITIAL_RANGES // len(lives))
    count = each * len(lives)
    bounds = [key_map.KEY_COUNT * i // count for i in range(count + 1)]
    return [
        (bounds[i], bounds[i + 1] - 1, lives[i % len(lives)])
        for i in range(count)
    ]


def layout_of(ranges):
    """Return the layout of the ranges of a granter."""
    return [(found.start, found.end, found.owner) for found in ranges]


def evacuate(ranges, losing, capacities, loads, may_give):
    """Return a layout without the servers that leave.

    :param ranges: Ranges of a granter.
    :param losing: Lives that are to own nothing any more.
    :param capacities: :class:`Capacity` of each server that stays.
    :param loads: A :class:`~radishferry.direct.key_rates.LoadMap`.
    :param may_give: Tells whether a life may get a range.
    """
    room = _Room(ranges, capacities, loads)
    layout = []
    for found in ranges:
        owner = found.owner
        if owner in losing:
            owner = room.emptiest(found.start, found.end, may_give) or owner
            room.add(owner, found.start, found.end)
        layout.append((found.start, found.end, owner))
    return layout


def rebalance(ranges, capacities, loads, may_give, now):
    """Return a layout that relieves the busiest servers.

    :returns: A :class:`Plan`.
    """
    room = _Room(ranges, capacities, loads)
    pieces = [
        [found.start, found.end, found.owner, found.moved_at]
        for found in ranges
    ]
    busiest_use, mean_use = room.busiest_use, room.mean_use
    moves = _fill_empty(pieces, room, loads, may_give, now)
    moves += _move_hot_keys(pieces, room, loads, may_give, now)
    stuck = set()
    while moves < (MAX_URGENT_MOVES if room.is_short else MAX_MOVES):
        busiest = room.busiest(stuck)
        if busiest is None:
            break
        target = room.least_used()
        excess = room.excess(busiest)
        wanted = min(excess, -room.excess(target))
        if wanted <= 0 or not _move(
            pieces, busiest, target, wanted, room, loads, may_give, now
        ):
            stuck.add(busiest)
            continue
        moves += 1
    layout = tuple(tuple(piece[:3]) for piece in pieces)
    return Plan(layout, moves, busiest_use, mean_use)


def _fill_empty(pieces, room, loads, may_give, now):
    """Give servers without keys half of a fair number of busy ranges.

    A server that joins while no other one is short of slots would otherwise
    stay empty and be cold when it is needed.
    """
    counts = collections.Counter(piece[2] for piece in pieces)
    empty = [life for life in room.lives if not counts[life]]
    if not empty:
        return 0
    wanted = max(1, len(pieces) // (2 * len(room.lives)))
    candidates = sorted(
        (
            piece
            for piece in pieces
            if piece[0] < piece[1] and now - piece[3] >= REST_S
        ),
        key=lambda piece: -loads.load(piece[0], piece[1]),
    )
    moves = 0
    for piece, target in zip(candidates, itertools.cycle(empty)):
        start, end, owner, _ = piece
        if moves >= wanted * len(empty):
            break
        # The last range of an owner stays, so that none is emptied.
        if counts[owner] < 2 or not may_give(target, start, end):
            continue
        counts[owner] -= 1
        piece[2:] = [target, now]
        room.add(owner, start, end, sign=-1)
        room.add(target, start, end)
        moves += 1
    return moves


def _move_hot_keys(pieces, room, loads, may_give, now):
    """Give each hot key to the fastest server that is not busy with one."""
    moves = 0
    for key, rate in loads.hottest(MAX_HOT_KEYS):
        index = next(i for i, piece in enumerate(pieces) if piece[1] >= key)
        start, end, owner, moved_at = pieces[index]
        capacity = room.capacity(owner)
        if rate < HOT_KEY_USE * capacity or now - moved_at < REST_S:
            continue
        target = room.fastest(capacity * HOT_KEY_GAIN)
        if target is None or not may_give(target, key, key):
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
        room.add(owner, key, key, sign=-1)
        room.add(target, key, key)
        moves += 1
    return moves


def _move(pieces, source, target, wanted, room, loads, may_give, now):
    best = None
    for index, (start, end, owner, moved_at) in enumerate(pieces):
        if owner != source or now - moved_at < REST_S:
            continue
        if not may_give(target, start, end):
            continue
        load = loads.load(start, end)
        if load <= 0.05 * wanted:
            continue
        # A whole range that fits is best, else the smallest one is cut.
        fits = load <= 1.25 * wanted
        rank = (fits, load if fits else -load)
        if best is None or rank > best[0]:
            best = (rank, index, load, fits)
    if best is None:
        return False
    _, index, load, fits = best
    start, end, owner, moved_at = pieces[index]
    if not fits:
        cut = loads.split(start, end, wanted)
        if cut < start:
            # The first key alone is too much; what lies behind it moves.
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
    if loads.load(*moved) <= 0.05 * wanted:
        return False
    room.add(source, *moved, sign=-1)
    room.add(target, *moved)
    return True


class _Room:
    """Follow the load of each server while a plan is made."""

    def __init__(self, ranges, capacities, loads):
        self._loads = loads
        self._capacity = {c.life: c.per_s for c in capacities}
        self._load = dict.fromkeys(self._capacity, 0.0)
        # A small part of the load follows the number of keys, so that
        # servers without any load get some.
        self._total = 0.0
        self._total_capacity = sum(self._capacity.values()) or 1.0
        for found in ranges:
            self.add(found.owner, found.start, found.end)
        self._total = sum(self._load.values())

    def _weight(self, start, end):
        keys = (end - start + 1) / key_map.KEY_COUNT
        return self._loads.load(start, end) + 0.02 * keys

    def add(self, life, start, end, sign=1):
        if life in self._load:
            self._load[life] += sign * self._weight(start, end)

    def excess(self, life):
        """Return the load above the fair share, in requests a second."""
        return self._load[life] - self.mean_use * self._capacity[life]

    @property
    def is_short(self):
        """Tell whether a server has too few slots."""
        return any(self._use(life) > SHORT_USE for life in self._load)

    @property
    def lives(self):
        return tuple(self._load)

    @property
    def busiest_use(self):
        return max(map(self._use, self._load), default=0.0)

    @property
    def mean_use(self):
        return self._total / self._total_capacity

    def capacity(self, life):
        return self._capacity.get(life, 0.0)

    def fastest(self, at_least):
        """Return the fastest server with room, None if none is so fast."""
        return max(
            (
                life
                for life, capacity in self._capacity.items()
                if capacity >= at_least and self._use(life) < SHORT_USE
            ),
            key=lambda life: self._capacity[life],
            default=None,
        )

    def _use(self, life):
        return self._load[life] / self._capacity[life]

    def busiest(self, stuck):
        found = max(
            (life for life in self._load if life not in stuck),
            key=self._use,
            default=None,
        )
        if found is None:
            return None
        use = self._use(found)
        if use < IDLE_USE or use < self.mean_use * OVERLOAD_RATIO:
            return None
        return found

    def least_used(self):
        return min(self._load, key=self._use)

    def emptiest(self, start, end, may_give):
        return min(
            (life for life in self._load if may_give(life, start, end)),
            key=lambda life: (
                (self._load[life] + self._weight(start, end))
                / self._capacity[life]
            ),
            default=None,
        )
