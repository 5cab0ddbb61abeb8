"""Show how requests of a simulated day ended, by time and by service.

Run it with ``python -m radishferry_testing.users.losses FILE``, where FILE
is the output of the users' benchmark with the logs of all hosts.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import json
import pathlib
import re

import defopt

#: Log line of a host: simulated seconds, name of the host, JSON object.
_LOG_LINE = re.compile(r'\s*(-?\d+(?:\.\d+)?) (\S+) (\{.*\})\s*$')
#: Event that a host logs at the end of each routed request.
_END_EVENT = 'request: Ended.'
#: Outcome of a request that a server answered.
_ANSWERED = 'answered'
#: Maximum number of outcomes in a table; the others share a column.
_MAX_COLUMNS = 10


@dataclasses.dataclass(frozen=True)
class EndedRequest:
    """Record how a request of a caller ended.

    :ivar at_s: Simulated seconds since the start of the traffic.
    :ivar outcome: ``in time``, ``late``, ``failed`` for a failure of the
        server, or the host's reason.
    """

    at_s: float
    route: str
    service: str
    outcome: str


def read(lines):
    """Yield the ended requests in the output of a simulated day.

    :param lines: Lines of text; those that are no log lines of a host are
        skipped.
    """
    for line in lines:
        match = _LOG_LINE.match(line)
        if match is None:
            continue
        try:
            fields = json.loads(match[3])
        except ValueError:
            # The line was truncated when its process was killed.
            continue
        if fields.get('event') == _END_EVENT:
            yield EndedRequest(
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
    # The host logs ``routine`` as true for an answer in time.
    return 'in time' if fields.get('routine') else 'late'


def count_by_window(ended, window_s):
    """Count outcomes by the time window in which the requests ended.

    :param float window_s: Length of a window, in seconds.
    :returns: Counters by the start of the window in seconds, in order.
    """
    counts = collections.defaultdict(collections.Counter)
    for request in ended:
        counts[request.at_s // window_s * window_s][request.outcome] += 1
    return dict(sorted(counts.items()))


def table(counts, first_column):
    """Return the lines of a table, the most frequent outcomes first.

    :param counts: Counters by the value of the first column.
    """
    totals = sum(counts.values(), collections.Counter())
    columns = [name for name, _ in totals.most_common(_MAX_COLUMNS)]
    yield '  '.join((f'{first_column:>10}', *columns, 'other'))
    for value, counter in counts.items():
        other = sum(counter.values()) - sum(counter[name] for name in columns)
        cells = [f'{counter[name]:>{len(name)}}' for name in columns]
        yield '  '.join((f'{value:>10}', *cells, f'{other:>5}'))


def count_by_service(ended):
    """Count outcomes by service."""
    counts = collections.defaultdict(collections.Counter)
    for request in ended:
        counts[request.service][request.outcome] += 1
    return dict(counts)


def main(path: pathlib.Path, *, window_s: float = 2.0):
    """Print outcomes by time and by service.

    :param path: Output of the benchmark.
    :param window_s: Length of a window, in seconds.
    """
    with path.open(errors='replace') as lines:
        ended = list(read(lines))
    if not ended:
        raise SystemExit(
            f'{path}: no line of a host has the event "{_END_EVENT}"'
        )
    for line in itertools.chain(
        table(count_by_window(ended, window_s), 'second'),
        ('',),
        table(count_by_service(ended), 'service'),
    ):
        print(line)


if __name__ == '__main__':
    defopt.run(main)
