"""Show when, and for which reasons, requests of a played day were lost.

Run it with ``python -m radishferry_testing.users.losses FILE``, where FILE
is the output of the users' bench with the logs of all hosts.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import json
import pathlib
import re

import defopt

#: A line of a host: simulated seconds, name of the host, JSON object.
_LINE = re.compile(r'\s*(-?\d+(?:\.\d+)?) (\S+) (\{.*\})\s*$')
#: Event with which a host ends each routed request.
_ENDED = 'request: Ended.'
#: Outcome of an answer of a server.
_ANSWERED = 'answered'
#: Reasons shown in a table; rarer ones are summed up.
_MAX_COLUMNS = 10


@dataclasses.dataclass(frozen=True)
class Ended:
    """Describe how one request of a caller ended.

    :ivar at_s: Simulated seconds since the begin of the traffic.
    :ivar outcome: ``in time``, ``late``, ``failed`` for a failure of the
        server, or the host's reason.
    """

    at_s: float
    route: str
    service: str
    outcome: str


def read(lines):
    """Yield the ends of requests in the output of a played day.

    :param lines: Lines of text; those that no host has written are skipped.
    """
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        try:
            fields = json.loads(match[3])
        except ValueError:
            # A line that was cut when its process was killed.
            continue
        if fields.get('event') == _ENDED:
            yield Ended(
                float(match[1]),
                fields['route'],
                fields['service'],
                _outcome(fields),
            )


def _outcome(fields):
    if fields['outcome'] != _ANSWERED:
        return fields['outcome']
    if fields['status'] >= 500:
        return 'failed'
    return 'in time' if fields.get('routine') else 'late'


def by_window(ended, window_s):
    """Count outcomes by the window of time in which requests ended.

    :param float window_s: Seconds of a window.
    :returns: Counters by the begin of the window in seconds, in order.
    """
    counts = collections.defaultdict(collections.Counter)
    for each in ended:
        counts[each.at_s // window_s * window_s][each.outcome] += 1
    return dict(sorted(counts.items()))


def table(counts, first_column):
    """Return the lines of a table, the most frequent outcomes first.

    :param counts: Counters by the value of the first column.
    """
    totals = sum(counts.values(), collections.Counter())
    columns = [name for name, _ in totals.most_common(_MAX_COLUMNS)]
    yield '  '.join((f'{first_column:>10}', *columns, 'other'))
    for value, counter in counts.items():
        rest = sum(counter.values()) - sum(counter[name] for name in columns)
        cells = [f'{counter[name]:>{len(name)}}' for name in columns]
        yield '  '.join((f'{value:>10}', *cells, f'{rest:>5}'))


def by_service(ended):
    """Count outcomes by service."""
    counts = collections.defaultdict(collections.Counter)
    for each in ended:
        counts[each.service][each.outcome] += 1
    return dict(counts)


def main(path: pathlib.Path, *, window_s: float = 2.0):
    """Print outcomes by time and by service.

    :param path: Output of the bench.
    :param window_s: Seconds of a window.
    """
    with path.open(errors='replace') as lines:
        ended = list(read(lines))
    if not ended:
        raise SystemExit(f'{path}: no line of a host says "{_ENDED}"')
    for line in itertools.chain(
        table(by_window(ended, window_s), 'second'),
        ('',),
        table(by_service(ended), 'service'),
    ):
        print(line)


if __name__ == '__main__':
    defopt.run(main)
