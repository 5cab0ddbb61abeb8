"""Choose the keys that get a range of their own."""

from __future__ import annotations

import dataclasses
import itertools

from radishferry import manifest
from radishferry import rewrites

#: Load relative to the mean load of a server above which a key is split out.
#: With Zipf(1.0) keys and 22 servers these are about 20 keys.
SPLIT_SHARE = 0.05
#: Load relative to the mean below which a split key is merged back.  Half of
#: the other bound, so that a key near either does not alternate.
MERGE_SHARE = 0.025
#: Least requests per second of a key that is split out: below it, the sketch
#: has counted too few requests in its 10 s to tell.
LEAST_SPLIT_RPS = 5.0
#: Most keys split out and most keys merged back by one plan.  Each split
#: makes one hash range wait for a new grant.
MOST_CHANGES = 64


@dataclasses.dataclass(frozen=True)
class HotChanges:
    """Name the hot keys that change.

    :ivar hot: Mapping of range id to the hash of the key that gets it.
    :ivar cold: Range ids whose keys are merged back.
    """

    hot: dict[int, int]
    cold: tuple[int, ...]


def choose(service, rows, hot_keys, weights, mean, can_change):
    """Return the :class:`HotChanges` of a plan.

    :param service: ``manifest.Service``.
    :param rows: Mapping of range id to ``RangeAssignment``.
    :param hot_keys: Mapping of key hash to requests per second.
    :param weights: Mapping of range id to requests per second.
    :param float mean: Mean requests per second of a server.
    :param can_change: Tells whether the holders of a row are available.
    """
    split = {
        found.key_hash: range_id
        for range_id, found in rows.items()
        if range_id >= service.ranges and found.owner
    }
    cold = _cold(rows, split, weights, mean, can_change)
    hot = _hot(service, rows, split, hot_keys, mean, can_change)
    room = manifest.MAX_HOT_KEYS - len(split)
    keys = hot[: min(room, MOST_CHANGES)]
    ids = _ids(service, rows, keys)
    return HotChanges(dict(zip(ids, keys)), cold)


def _cold(rows, split, weights, mean, can_change):
    found = sorted(
        (weights[range_id], range_id)
        for range_id in split.values()
        if weights[range_id] < MERGE_SHARE * mean
        and can_change(rows[range_id])
    )
    return tuple(range_id for _, range_id in found[:MOST_CHANGES])


def _hot(service, rows, split, hot_keys, mean, can_change):
    least = max(SPLIT_SHARE * mean, LEAST_SPLIT_RPS)
    live = {s.name for s in service.servers if s.state == 'live'}
    found = []
    for key_hash, rate in hot_keys.items():
        home = rows.get(key_hash % service.ranges)
        if rate <= least or key_hash in split or home is None:
            continue
        if home.owner in live and can_change(home):
            found.append((-rate, key_hash))
    return [key_hash for _, key_hash in sorted(found)]


def _ids(service, rows, keys):
    # A key whose retired row still lists holders gets that row back; the
    # others get the lowest free ids.
    retired = rewrites.retired_keys(rows)
    free = (
        range_id
        for range_id in itertools.count(service.ranges)
        if range_id not in rows or rewrites.is_free(rows[range_id])
    )
    return [retired[key] if key in retired else next(free) for key in keys]
