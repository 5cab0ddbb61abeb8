"""Report what is wrong with an input, each finding with its place."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Finding:
    """Describe one error in an input.

    :ivar place: Where the error is, such as ``services[0].kinds[1].path``.
    :ivar message: What is wrong and what is expected, as a sentence.
    """

    place: str
    message: str

    def __str__(self):
        return f'{self.place}: {self.message}'


class FindingsError(Exception):
    """Report all findings about one input.

    :ivar findings: Tuple of :class:`Finding`.
    """

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(f) for f in self.findings))
