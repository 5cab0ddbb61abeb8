"""Declare, record and render metrics."""

from __future__ import annotations

import bisect
import importlib
import math

from radishferryd import metric_table


class _Recorder:
    """Hold the values of one metric by the values of its labels."""

    def __init__(self, metric):
        self._metric = metric
        self._values = {}
        if not metric.labels:
            self._values[()] = self._new()

    @staticmethod
    def _new():
        return 0

    def clear(self):
        """Drop all values, before gauges are set anew."""
        self._values.clear()

    def _admit(self, labels):
        """Return the label values under which to record.

        :raises ValueError: The number of label values is wrong.
        """
        if len(labels) != len(self._metric.labels):
            names = ', '.join(self._metric.labels)
            raise ValueError(f'{self._metric.name} has labels: {names}')
        declared = self._metric.labels.values()
        labels = tuple(
            value if not allowed or value in allowed else metric_table.OTHER
            for value, allowed in zip(labels, declared)
        )
        if labels not in self._values:
            if len(self._values) >= self._metric.max_series:
                labels = (metric_table.OTHER,) * len(labels)
            self._values.setdefault(labels, self._new())
        return labels

    def _labelled(self):
        names = tuple(self._metric.labels)
        for labels, value in self._values.items():
            yield dict(zip(names, labels)), value

    def _fill(self, collector):
        for labels, value in self._labelled():
            collector.set_value(labels, value)


class Counter(_Recorder):
    """Count events."""

    def inc(self, *labels):
        """Add 1; label values come in the declared order."""
        try:
            self._values[labels] += 1
        except KeyError:
            self._values[self._admit(labels)] += 1

    def add(self, amount, *labels):
        """Add an amount that is not negative."""
        self._values[self._admit(labels)] += amount


class Gauge(_Recorder):
    """Hold current values."""

    def set(self, value, *labels):
        """Replace a value."""
        self._values[self._admit(labels)] = value


class Histogram(_Recorder):
    """Count observations by size."""

    @staticmethod
    def _new():
        # The last two entries are the +Inf bucket and the sum.
        return [0] * (len(metric_table.LATENCY_BUCKETS_S) + 2)

    def observe(self, seconds, *labels):
        """Count one observation, in seconds."""
        values = self._values.get(labels)
        if values is None:
            values = self._values[self._admit(labels)]
        values[
            bisect.bisect_left(metric_table.LATENCY_BUCKETS_S, seconds)
        ] += 1
        values[-1] += seconds

    def _fill(self, collector):
        bounds = (*metric_table.LATENCY_BUCKETS_S, math.inf)
        for labels, values in self._labelled():
            filled = _library('histogram').Histogram(*bounds)
            total = 0
            for bound, count in zip(bounds, values):
                total += count
                filled.buckets[bound] = total
            filled.observations = total
            filled.sum = values[-1]
            collector.set_value(labels, filled)


_RECORDERS = {'counter': Counter, 'gauge': Gauge, 'histogram': Histogram}


class Metrics:
    """Record the metrics of the table, one attribute for each."""

    def __init__(self, table=metric_table.METRICS):
        """Begin at zero.

        :param table: Every :class:`~radishferryd.metric_table.Metric`.
        """
        self._sources = []
        self._table = table
        for metric in table:
            recorder = _RECORDERS[metric.kind](metric)
            setattr(self, metric.attribute, recorder)

    def add_source(self, source):
        """Call a function without arguments before each rendering.

        :param source: Sets gauges that are cheaper to read than to track.
        """
        self._sources.append(source)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for source in self._sources:
            source()
        library = _library()
        registry = library.Registry()
        for metric in self._table:
            recorder = getattr(self, metric.attribute)
            recorder._fill(_collector(metric, registry))
        content, _ = library.render(registry, [])
        return content


def _collector(metric, registry):
    options = {'registry': registry}
    if metric.kind == 'histogram':
        options['buckets'] = (*metric_table.LATENCY_BUCKETS_S, math.inf)
    cls = getattr(_library(), metric.kind.capitalize())
    return cls(metric.name, metric.help, **options)


def _library(module=''):
    # Loaded at the first rendering: it takes memory that a process whose
    # metrics nobody reads does not need.
    name = f'aioprometheus.{module}' if module else 'aioprometheus'
    return importlib.import_module(name)
