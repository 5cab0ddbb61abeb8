"""Generate the page that lists which faults are tested at which steps."""

from __future__ import annotations

import importlib.resources
import pathlib
import re

import orjson

from radishferry import chart
from radishferry_testing import arguments
from radishferry_testing.experiments import ownership

#: State charts whose states and transitions are steps.
CHARTS = ('coordinator',)
#: Steps that are not part of a state chart.
OTHER_STEPS = (
    'request: queued',
    'request: sent to server',
    'request: answered',
    'request: answer streaming',
    'planned move',
    'manifest submission',
    'planned stop',
)
FAULTS = (
    'process killed',
    'process paused and returned',
    'cut from peers',
    'cut from the table',
    'table slow',
    'write applied, answer lost',
    'server frozen and returned',
    'competing operator',
)
PAGE = 'docs/fault-matrix.rst'
_HEAD = """\
Fault matrix
============

``python -m radishferry_testing.fault_matrix`` writes this page from the state
charts and ``fault_matrix.json``.  A cell is *proved* by a scenario or an
experiment, *impossible* for the reason given, or *open*.

The random sequences prove a cell when a coordinator took its step while the
fault lasted, or up to 0.5 s after, and all invariants held in every sequence.
The faults count for any host, except cuts, which are those of the host that
took the step, and freezes, which are those of its server.
"""


def steps() -> list[str]:
    """Return the steps, which are the rows of the table."""
    names = []
    for name in CHARTS:
        transitions = sorted(chart.transitions(name))
        states = sorted({s for a in transitions for s in (a[0], a[2])})
        names += [f'{name}: {state}' for state in states]
        names += dict.fromkeys(
            f'{name}: {a} to {b}' for a, _, b in transitions
        )
    return [*names, *OTHER_STEPS]


def load() -> dict:
    """Return a mapping of step to fault to a list of kind and text."""
    files = importlib.resources.files('radishferry_testing')
    return orjson.loads((files / 'fault_matrix.json').read_bytes())


def findings(cells, features) -> list[str]:
    """Return the errors in the table.

    :param cells: Result of :func:`load`.
    :param features: Directory of the features.
    """
    errors = [f'{step}: unknown step' for step in cells if step not in steps()]
    for step in steps():
        for fault in FAULTS:
            kind, text = cells.get(step, {}).get(fault, ('missing', ''))
            error = _cell_error(kind, text, features)
            if error:
                errors.append(f'{step}, {fault}: {error}')
    return errors


def _cell_error(kind, text, features):
    if kind == 'missing':
        return 'no cell'
    if kind not in ('proved', 'impossible', 'open'):
        return f'unknown kind {kind!r}'
    if not text:
        return 'no text'
    if kind == 'proved' and not _evidence_exists(text, features):
        return f'{text!r} does not exist'
    return ''


def _evidence_exists(text, features):
    place, _, name = text.partition(': ')
    if place == 'experiment':
        return name in ownership.EXPERIMENTS
    path = pathlib.Path(features) / place
    if not path.is_file():
        return False
    pattern = rf'^ *Scenario(?: Outline)?: {re.escape(name)}$'
    return bool(re.search(pattern, path.read_text(), re.MULTILINE))


def render(cells) -> str:
    """Return the text of the page."""
    lines = [_HEAD]
    counts = {}
    for step in steps():
        lines += [step, '-' * len(step), '']
        for fault in FAULTS:
            kind, text = cells[step][fault]
            counts[kind] = counts.get(kind, 0) + 1
            lines += [f'{fault}', f'    *{kind}*: {text}', '']
    total = ', '.join(f'{n} {kind}' for kind, n in sorted(counts.items()))
    lines.insert(1, f'Cells: {total}.\n')
    return '\n'.join(lines)


def main(*, page: str = PAGE):
    """Write the page.

    :param page: Path of the page.
    """
    pathlib.Path(page).write_text(render(load()), encoding='utf-8')


if __name__ == '__main__':
    arguments.run(main)
