"""Judge the rule OWNER from the recorded events of the upstreams."""

import bisect
import collections
import itertools

#: Seconds for which two upstreams may hold the same keys.
BOUND_S = 0.5


def _holds(events):
    """Return the edges of the ranges, and intervals by range and upstream."""
    orders = [e for e in events if e[1] in ('grant', 'release')]
    edges = sorted(
        {e[3] for e in orders} | {e[4] + 1 for e in orders}
    )
    holds = collections.defaultdict(list)
    for event in orders:
        at, kind, server, first, last = event[:5]
        for index in range(
            bisect.bisect_left(edges, first), bisect.bisect_left(edges, last + 1)
        ):
            found = holds[index, server]
            if kind == 'release':
                if found:
                    found[-1][1] = min(found[-1][1], at)
                continue
            until = at + event[6]
            if found and found[-1][1] >= at:
                found[-1][1] = max(found[-1][1], until)
            else:
                found.append([at, until])
    return edges, holds


def broken(events):
    """Return a line for each two upstreams that held the same keys."""
    edges, holds = _holds(events)
    end = max(event[0] for event in events)
    by_range = collections.defaultdict(list)
    for (index, server), intervals in holds.items():
        by_range[index].extend((server, *found) for found in intervals)
    lines = []
    for index, found in sorted(by_range.items()):
        for one, other in itertools.combinations(found, 2):
            begin = max(one[1], other[1])
            both_s = min(one[2], other[2], end) - begin
            if one[0] != other[0] and both_s > BOUND_S:
                first, last = edges[index], edges[index + 1] - 1
                lines.append(
                    f'OWNER: {one[0]} and {other[0]} both hold keys {first} '
                    f'to {last} from {begin:.3f} s on, for {both_s:.2f} s'
                    + _runs(events, (one[0], other[0]), first, last, begin, begin + both_s)
                )
    return lines


def _runs(events, servers, first, last, begin, end):
    counts = collections.Counter(
        event[2]
        for event in events
        if event[1] == 'run'
        and event[4] is not None
        and event[2] in servers
        and first <= event[4] <= last
        and begin <= event[0] <= end
    )
    text = ', '.join(f'{name} began {n}' for name, n in counts.items())
    return f'; {text}' if text else ''


def given_while_at_work(events):
    """Return a line for each key given away on which another is at work.

    Only while the hold of the one at work would not have run out.
    """
    lines = []
    running = {}
    until = collections.defaultdict(dict)
    for event in sorted(events, key=lambda found: found[0]):
        at, kind = event[:2]
        if kind == 'run' and event[4] is not None:
            running[event[2], event[3]] = (event[4], at)
        elif kind == 'run-end':
            running.pop((event[2], event[3]), None)
        elif kind == 'grant':
            server, first, last, _, hold_s = event[2:7]
            for (other, request_id), (key, began) in running.items():
                if other == server or not first <= key <= last:
                    continue
                left_s = max(
                    (
                        end - at
                        for (low, high), end in until[other].items()
                        if low <= key <= high
                    ),
                    default=0.0,
                )
                if left_s > 0:
                    lines.append(
                        f'OWNER: {server} was given keys {first} to {last} at '
                        f'{at:.3f} s; {other} was at work on key {key} '
                        f'({request_id}) since {began:.3f} s, its hold would '
                        f'have run for {left_s:.2f} s more'
                    )
            until[server][first, last] = at + hold_s
    return lines
