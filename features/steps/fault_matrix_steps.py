"""Steps for the fault matrix."""

from __future__ import annotations

import pathlib

import behave
import ownership_coverage
import ownership_sequences

from radishferry_testing import fault_matrix

ROOT = pathlib.Path(__file__).parents[2]
RANDOM = (
    'fault_matrix.feature: Random sequences reach the cells that name them'
)


@behave.then('the fault matrix has no findings')
def no_findings(context):
    found = fault_matrix.findings(fault_matrix.load(), ROOT / 'features')
    assert not found, found


@behave.then('the page of the fault matrix is what its module writes')
def page_is_current(context):
    page = (ROOT / fault_matrix.PAGE).read_text(encoding='utf-8')
    assert page == fault_matrix.render(fault_matrix.load())


@behave.then('{count:d} random sequences reach all cells that they prove')
def reach_cells(context, count):
    reached = set()
    with ownership_sequences.quiet():
        for seed in range(count):
            ownership_sequences.run(
                seed,
                watch=lambda w: ownership_coverage.Coverage(w, reached),
            )
    claimed = {
        (step, fault)
        for step, row in fault_matrix.load().items()
        for fault, (kind, text) in row.items()
        if kind == 'proved' and text == RANDOM
    }
    assert claimed <= reached, sorted(claimed - reached)
