"""Steps for the key owners known to a host."""

from __future__ import annotations

import itertools
import random

import behave

from radishferry.direct import key_map
from radishferryd.router import knowledge

_KEYS = 300


class _CountingSegment(key_map.Segment):
    """Count accesses to the bounds of ranges."""

    accesses = 0

    def __getattribute__(self, name):
        if name in ('start', 'end'):
            _CountingSegment.accesses += 1
        return super().__getattribute__(name)


def _random_segments(rng, has_gaps):
    cuts = sorted(rng.sample(range(1, _KEYS), rng.randrange(1, 25)))
    return tuple(
        key_map.Segment(
            start, end - 1, (f'i-{rng.randrange(9)}', 1), rng.randrange(9)
        )
        for start, end in itertools.pairwise((0, *cuts, _KEYS))
        if not has_gaps or rng.random() < 0.5
    )


def _owners(segments):
    """Return owner and fence of each key, one key at a time."""
    return {
        key: (segment.owner, segment.fence)
        for segment in segments
        for key in range(segment.start, segment.end + 1)
    }


@behave.given('key maps and pushes of random ranges')
def random_maps(context):
    rng = random.Random(3)
    context.cases = [
        (
            _random_segments(rng, has_gaps=rng.random() < 0.3),
            _random_segments(rng, has_gaps=True),
        )
        for _ in range(500)
    ]


@behave.then('after each push every key has the owner that was named last')
def owners_right(context):
    for known, pushed in context.cases:
        merged = knowledge.overlay(known, pushed)
        assert _owners(merged) == _owners(known) | _owners(pushed)
        for left, right in itertools.pairwise(merged):
            assert left.end < right.start, (left, right)


@behave.given('a key map of {count:d} ranges')
def large_map(context, count):
    width = key_map.KEY_COUNT // count
    context.known = tuple(
        _CountingSegment(n * width, (n + 1) * width - 1, ('i-1', 1), 1)
        for n in range(count)
    )


@behave.when('a push changes {count:d} of them')
def large_push(context, count):
    pushed = random.Random(4).sample(context.known, count)
    context.ranges = len(context.known) + count
    _CountingSegment.accesses = 0
    knowledge.overlay(context.known, pushed)


@behave.then('fewer than {count:d} comparisons per range were made')
def few_comparisons(context, count):
    assert _CountingSegment.accesses < count * context.ranges, (
        _CountingSegment.accesses
    )
