"""Report the results of a run as text and as a plot."""

from __future__ import annotations

import collections

from radishferry_testing.soak import callers
from radishferry_testing.soak import checks

#: Width of a bar of the plot, in seconds.
_BIN_S = 0.5
_GROUPS = ('served', 'refused', 'failed', 'unanswered')


def _group(status):
    if status == 200:
        return 'served'
    if status in (callers.CONNECTION_LOST, callers.NOT_SENT):
        return 'unanswered'
    return 'refused' if status in checks.NOT_RUN else 'failed'


def summary(seed, faults, calls, findings) -> str:
    """Return a summary of a run with its first findings."""
    counts = collections.Counter(_group(call.status) for call in calls)
    lines = [
        f'seed {seed}: {len(faults)} faults, {len(calls)} requests, '
        + ', '.join(f'{counts[name]} {name}' for name in _GROUPS)
        + f', {len(findings)} findings',
        *(f'  {found.guarantee}: {found.detail}' for found in findings[:20]),
    ]
    return '\n'.join(lines)


def plot(path, seed, calls, fault_log):
    """Plot the answers over time, with the faults below them.

    :param path: File to write, PNG or SVG.
    """
    # Imported here because loading takes a second and few runs plot.
    import matplotlib

    matplotlib.use('agg')
    from matplotlib import pyplot

    start = min(call.sent_at for call in calls)
    figure, (answer_axes, fault_axes) = pyplot.subplots(
        2, 1, sharex=True, figsize=(12, 7)
    )
    bins_by_group = collections.defaultdict(collections.Counter)
    for call in calls:
        index = int((call.ended_at - start) / _BIN_S)
        bins_by_group[_group(call.status)][index] += 1
    bottom = collections.Counter()
    for name in _GROUPS:
        indices = sorted(bins_by_group[name])
        answer_axes.bar(
            [index * _BIN_S for index in indices],
            [bins_by_group[name][index] for index in indices],
            _BIN_S,
            [bottom[index] for index in indices],
            label=name,
        )
        bottom.update(bins_by_group[name])
    answer_axes.set_ylabel(f'answers in {_BIN_S} s')
    answer_axes.legend()
    start_times = {}
    for at, what, fault in sorted(fault_log, key=lambda entry: entry[0]):
        if what == 'begins':
            start_times[id(fault)] = at
            continue
        began = start_times[id(fault)]
        label = f'{fault.kind} {fault.target}'
        fault_axes.barh(label, max(0.1, at - began), left=began - start)
    fault_axes.set_xlabel('seconds')
    figure.suptitle(f'soak, seed {seed}')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
