"""Collect the figures of measurements and write them as JSON, RST and SVG."""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import platform
import statistics

import matplotlib

matplotlib.use('svg')

from matplotlib import pyplot  # noqa: E402

#: Directory of the results, relative to the working directory.
DIRECTORY = 'docs/measurements'


@dataclasses.dataclass
class Results:
    """Collect the figures of one experiment.

    :ivar name: Name of the experiment and of its files.
    :ivar title: What is measured, in one sentence.
    :ivar command: Command that runs the experiment.
    :ivar targets: Figure name to the target as text.
    :ivar figures: Variant to figure name to the value of each repeat.
    :ivar notes: Paragraphs at the end of the page.
    """

    name: str
    title: str
    command: str
    targets: dict[str, str] = dataclasses.field(default_factory=dict)
    figures: dict[str, dict[str, list[float]]] = dataclasses.field(
        default_factory=dict
    )
    notes: list[str] = dataclasses.field(default_factory=list)

    def add(self, variant, values):
        """Add the figures of one repeat.

        :param values: Mapping of figure name to value; None is skipped.
        """
        figures = self.figures.setdefault(variant, {})
        for name, value in values.items():
            if value is not None:
                figures.setdefault(name, []).append(round(value, 3))

    def add_earlier(self, directory=DIRECTORY):
        """Prepend the values of the earlier run that was saved, if any."""
        path = pathlib.Path(directory) / f'{self.name}.json'
        if not path.exists():
            return
        current, self.figures = (
            self.figures,
            json.loads(path.read_text())['figures'],
        )
        for variant, figures in current.items():
            earlier = self.figures.setdefault(variant, {})
            for name, values in figures.items():
                earlier.setdefault(name, []).extend(values)

    def rows(self):
        """Yield a table row for each figure and variant.

        The columns are figure, variant, repeats, median, least, most and
        target.
        """
        names = dict.fromkeys(n for f in self.figures.values() for n in f)
        for name in names:
            for variant, figures in self.figures.items():
                values = figures.get(name)
                if values:
                    yield (
                        name,
                        variant,
                        len(values),
                        f'{statistics.median(values):g}',
                        f'{min(values):g}',
                        f'{max(values):g}',
                        self.targets.get(name, ''),
                    )

    def save(self, directory=DIRECTORY):
        """Write ``NAME.json``, ``NAME.rst`` and ``NAME.svg``."""
        base = pathlib.Path(directory)
        base.mkdir(parents=True, exist_ok=True)
        data = {'machine': machine(), **dataclasses.asdict(self)}
        text = json.dumps(data, indent=1) + '\n'
        (base / f'{self.name}.json').write_text(text)
        (base / f'{self.name}.rst').write_text(self.page())
        self._plot(base / f'{self.name}.svg')

    def page(self) -> str:
        """Return the RST page."""
        header = (
            'figure',
            'variant',
            'repeats',
            'median',
            'least',
            'most',
            'target',
        )
        lines = [self.name, '=' * len(self.name), '', self.title, '']
        lines += [f'Machine: {machine()}', '', f'Command: ``{self.command}``']
        lines += ['', '.. list-table::', '   :header-rows: 1', '']
        for row in (header, *self.rows()):
            bullets = ('*', *(' ' for _ in row[1:]))
            for bullet, cell in zip(bullets, row):
                lines.append(f'   {bullet} - {cell}'.rstrip())
        lines += ['', f'.. image:: {self.name}.svg', '']
        lines += [line for note in self.notes for line in (note, '')]
        return '\n'.join(lines).rstrip() + '\n'

    def _plot(self, path):
        names = list(
            dict.fromkeys(n for f in self.figures.values() for n in f)
        )
        figure, axes = pyplot.subplots(
            len(names), 1, figsize=(7, 1.3 * len(names) + 0.5), squeeze=False
        )
        for axis, name in zip(axes[:, 0], names):
            for index, figures in enumerate(self.figures.values()):
                values = figures.get(name, ())
                axis.plot(values, [index] * len(values), 'o', alpha=0.6)
            axis.set_yticks(range(len(self.figures)), list(self.figures))
            axis.set_ylim(-0.5, len(self.figures) - 0.5)
            axis.set_title(name, fontsize=8)
            axis.tick_params(labelsize=7)
        figure.tight_layout()
        figure.savefig(path, metadata={'Date': None})
        pyplot.close(figure)


def machine() -> str:
    """Return a line on the processor, operating system and Python."""
    model = 'unknown processor'
    for line in pathlib.Path('/proc/cpuinfo').read_text().splitlines():
        if line.startswith('model name'):
            model = line.partition(':')[2].strip()
            break
    python = platform.python_version()
    return (
        f'{model}, {os.cpu_count()} cores shared with other work, '
        f'{platform.system()} {platform.release()}, Python {python}'
    )


def percentile(values, percent) -> float | None:
    """Return a percentile by nearest rank, None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]
