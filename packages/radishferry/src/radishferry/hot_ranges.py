"""Choose the hot keys to split out and the cold ones to merge back."""

from __future__ import annotations

import dataclasses
import itertools

from radishferry import manifest
from radishferry import rewrites

#: Load, relative to the mean load of a server, above which a key is split out.
#: With Zipf(1.0) keys and 22 servers, about 20 keys exceed it.
SPLIT_SHARE = 0.05
#: Load relative to the mean below which a split key is merged back.  It is
#: half of ``SPLIT_SHARE``, so that a key near either threshold does not
#: alternate between both states.
MERGE_SHARE = 0.025
#: Minimum requests per second of a key that is split out.  Below it, the
#: sketch counts too few requests in its 10 s for a reliable estimate.
MIN_SPLIT_RPS = 5.0
#: Maximum number of keys split out, and of keys merged back, by one plan.
#: Each split makes one hash range wait for a new grant.
MAX_CHANGES = 64


@dataclasses.dataclass(frozen=True)
class HotKeyChanges:
    """Describe which keys are split out and which are merged back.

    :ivar splits: Mapping of range id to the hash of the key that gets it.
    :ivar merges: Range ids whose keys are merged back.
    """

    splits: dict[int, int]
    merges: tuple[int, ...]


def choose(service, rows, hot_keys, weights, mean, can_change):
    """Return the :class:`HotKeyChanges` of a plan.

    :param service: ``manifest.Service``.
    :param rows: Mapping of range id to ``RangeAssignment``.
    :param hot_keys: Mapping of key hash to requests per second.
    :param weights: Mapping of range id to requests per second.
    :param float mean: Mean requests per second of a server.
    :param can_change: Function that returns whether all holders of a row are
        available.
    """
    range_by_key = {
        found.key_hash: range_id
        for range_id, found in rows.items()
        if range_id >= service.ranges and found.owner
    }
    merges = _ranges_to_merge(rows, range_by_key, weights, mean, can_change)
    splits = _keys_to_split(
        service, rows, range_by_key, hot_keys, mean, can_change
    )
    room = manifest.MAX_HOT_KEYS - len(range_by_key)
    keys = splits[: min(room, MAX_CHANGES)]
    ids = _range_ids(service, rows, keys)
    return HotKeyChanges(dict(zip(ids, keys)), merges)


def _ranges_to_merge(rows, range_by_key, weights, mean, can_change):
    found = sorted(
        (weights[range_id], range_id)
        for range_id in range_by_key.values()
        if weights[range_id] < MERGE_SHARE * mean
        and can_change(rows[range_id])
    )
    return tuple(range_id for _, range_id in found[:MAX_CHANGES])


def _keys_to_split(service, rows, range_by_key, hot_keys, mean, can_change):
    threshold = max(SPLIT_SHARE * mean, MIN_SPLIT_RPS)
    live = {s.name for s in service.servers if s.state == 'live'}
    found = []
    for key_hash, rate in hot_keys.items():
        row = rows.get(key_hash % service.ranges)
        if rate <= threshold or key_hash in range_by_key or row is None:
            continue
        if row.owner in live and can_change(row):
            found.append((-rate, key_hash))
    return [key_hash for _, key_hash in sorted(found)]


def _range_ids(service, rows, keys):
    # A key whose retired row still lists holders gets that row back; the
    # others get the lowest free ids.
    retired = rewrites.retired_keys(rows)
    free = (
        range_id
        for range_id in itertools.count(service.ranges)
        if range_id not in rows or rewrites.is_free(rows[range_id])
    )
    return [retired[key] if key in retired else next(free) for key in keys]
