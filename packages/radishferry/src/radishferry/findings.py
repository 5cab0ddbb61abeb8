"""Collect what is wrong with an input, each finding with its place."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Finding:
    """Name one fault of an input.

    :ivar place: Where the fault is, such as ``services[0].kinds[1].path``.
    :ivar message: What is wrong and what is expected, as a sentence.
    """

    place: str
    message: str

    def __str__(self):
        return f'{self.place}: {self.message}'


class FindingsError(Exception):
    """Report every finding of an input together.

    :ivar findings: Tuple of :class:`Finding`.
    """

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(f) for f in self.findings))
