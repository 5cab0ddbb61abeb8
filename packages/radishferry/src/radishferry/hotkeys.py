"""Measure which keys and ranges get the most requests."""

from __future__ import annotations

import collections
import heapq
import math

#: Time constant of the decay of counts, in seconds.
DECAY_S = 10.0
#: Keys that one sketch keeps after it was pruned.  A key with more than one
#: in 512 of the requests of a sketch is never pruned.
CAPACITY = 512
#: Hot keys kept when reports are merged.
MAX_MERGED = 1024


class HotKeySketch:
    """Count requests by key and by range, older ones with less weight.

    Counts the keys of one service by the space-saving algorithm: a key that
    is new after others were pruned may be as frequent as the most frequent of
    those.  Pruning drops half of the keys at a time, which makes a record
    O(1) amortised.

    Counts decay whenever they are read; read them about once a second.

    :param float now: Time in seconds.
    :param int capacity: Number of keys kept; up to twice as many are held.
    """

    def __init__(self, now, capacity=CAPACITY):
        self._capacity = capacity
        self._decayed_at = now
        # The counts divided by this are rates.  It decays like the counts,
        # so that rates are right from the start and between decays.
        self._span_s = 0.0
        self._counts = {}
        self._errors = {}
        self._pruned = 0.0
        self._ranges = collections.Counter()

    def record(self, range_id, key_hash):
        """Count one request.

        :param int range_id: Range of the key.
        :param int key_hash: Result of ``keyspace.key_hash``.
        """
        self._ranges[range_id] += 1.0
        counts = self._counts
        if key_hash in counts:
            counts[key_hash] += 1.0
            return
        counts[key_hash] = self._pruned + 1.0
        if self._pruned:
            self._errors[key_hash] = self._pruned
        if len(counts) > 2 * self._capacity:
            self._prune()

    def top(self, now, count):
        """Return the keys with the most requests, the highest rate first.

        :param float now: Time in seconds.
        :param int count: Largest number of keys.
        :returns: List of ``(key_hash, requests_per_s)``.  A rate is at most
            the true one, as it leaves out what may be due to other keys.
        """
        self._decay(now)
        if not self._span_s:
            return []
        certain = (
            (counted - self._errors.get(key_hash, 0.0), key_hash)
            for key_hash, counted in self._counts.items()
        )
        return [
            (key_hash, counted / self._span_s)
            for counted, key_hash in heapq.nlargest(count, certain)
            if counted > 0
        ]

    def range_loads(self, now):
        """Return the requests per second of each range that had any.

        :param float now: Time in seconds.
        """
        self._decay(now)
        if not self._span_s:
            return {}
        return {
            range_id: counted / self._span_s
            for range_id, counted in self._ranges.items()
        }

    def _prune(self):
        order = heapq.nlargest(
            self._capacity + 1, self._counts.items(), key=lambda kv: kv[1]
        )
        # Counts are upper bounds of what a key had, so the largest one that
        # is dropped bounds what any dropped key had.
        self._pruned = max(self._pruned, order.pop()[1])
        self._counts = dict(order)
        self._errors = {
            key_hash: error
            for key_hash, error in self._errors.items()
            if key_hash in self._counts
        }

    def _decay(self, now):
        elapsed = now - self._decayed_at
        if elapsed <= 0:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed / DECAY_S)
        # Requests since the last decay count in full: they and the time they
        # took enter with the same weight.
        self._span_s = (self._span_s + elapsed) * factor
        self._pruned *= factor
        self._counts = _scaled(self._counts, factor)
        self._errors = _scaled(self._errors, factor)
        self._ranges = collections.Counter(_scaled(self._ranges, factor))


def merge_top(reports, count=MAX_MERGED):
    """Return the rates of the keys with the most requests overall.

    :param reports: Results of :meth:`HotKeySketch.top` of the coordinators of
        a service.  A key that moved is reported by both, its rates add up.
    :param int count: Largest number of keys.
    :returns: Mapping of key hash to requests per second.
    """
    rates = collections.Counter()
    for report in reports:
        for key_hash, rate in report:
            rates[key_hash] += rate
    return dict(heapq.nlargest(count, rates.items(), key=lambda kv: kv[1]))


def merge_loads(reports):
    """Return the sum of results of :meth:`HotKeySketch.range_loads`."""
    loads = collections.Counter()
    for report in reports:
        loads.update(report)
    return dict(loads)


#: Count below which a key or a range is forgotten.
LEAST_COUNT = 0.01


def _scaled(counts, factor):
    return {
        name: counted * factor
        for name, counted in counts.items()
        if counted * factor >= LEAST_COUNT
    }
