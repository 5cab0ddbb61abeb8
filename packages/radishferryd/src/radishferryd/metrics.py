"""Record and render metrics."""

from __future__ import annotations

import bisect
import importlib
import math

from radishferryd import metric_table


class _Recorder:
    """Store the values of one metric by label values."""

    def __init__(self, metric):
        self._metric = metric
        self._values = {}
        if not metric.labels:
            self._values[()] = self._initial_value()

    @staticmethod
    def _initial_value():
        return 0

    def clear(self):
        """Remove all values, so that stale series disappear."""
        self._values.clear()

    def _admit_labels(self, labels):
        """Return the label values to record under, and create their series.

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
            self._values.setdefault(labels, self._initial_value())
        return labels

    def _labelled_values(self):
        names = tuple(self._metric.labels)
        for labels, value in self._values.items():
            yield dict(zip(names, labels)), value

    def _fill(self, collector):
        for labels, value in self._labelled_values():
            collector.set_value(labels, value)


class Counter(_Recorder):
    """Count events."""

    def inc(self, *labels):
        """Add 1.

        :param labels: Label values in the declared order.
        """
        try:
            self._values[labels] += 1
        except KeyError:
            self._values[self._admit_labels(labels)] += 1

    def add(self, amount, *labels):
        """Add an amount that is not negative."""
        self._values[self._admit_labels(labels)] += amount


class Gauge(_Recorder):
    """Record current values."""

    def set(self, value, *labels):
        """Replace a value."""
        self._values[self._admit_labels(labels)] = value


class Histogram(_Recorder):
    """Count observations in buckets."""

    @staticmethod
    def _initial_value():
        # The last two entries are the +Inf bucket and the sum.
        return [0] * (len(metric_table.LATENCY_BUCKETS_S) + 2)

    def observe(self, seconds, *labels):
        """Count one observation, in seconds."""
        values = self._values.get(labels)
        if values is None:
            values = self._values[self._admit_labels(labels)]
        values[
            bisect.bisect_left(metric_table.LATENCY_BUCKETS_S, seconds)
        ] += 1
        values[-1] += seconds

    def _fill(self, collector):
        bounds = (*metric_table.LATENCY_BUCKETS_S, math.inf)
        for labels, values in self._labelled_values():
            histogram = _import_library('histogram').Histogram(*bounds)
            total = 0
            for bound, count in zip(bounds, values):
                total += count
                histogram.buckets[bound] = total
            histogram.observations = total
            histogram.sum = values[-1]
            collector.set_value(labels, histogram)


_RECORDERS = {'counter': Counter, 'gauge': Gauge, 'histogram': Histogram}


class Metrics:
    """Record the declared metrics, one attribute for each metric."""

    def __init__(self, table=metric_table.METRICS):
        """Create the metrics with initial values.

        :param table: Every :class:`~radishferryd.metric_table.Metric`.
        """
        self._sources = []
        self._table = table
        for metric in table:
            recorder = _RECORDERS[metric.kind](metric)
            setattr(self, metric.attribute, recorder)

    def add_source(self, source):
        """Add a function that is called before each rendering.

        :param source: Called without arguments; sets gauges that are cheaper
            to compute on demand than to keep up to date.
        """
        self._sources.append(source)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for source in self._sources:
            source()
        library = _import_library()
        registry = library.Registry()
        for metric in self._table:
            recorder = getattr(self, metric.attribute)
            recorder._fill(_make_collector(metric, registry))
        content, _ = library.render(registry, [])
        return content


def _make_collector(metric, registry):
    options = {'registry': registry}
    if metric.kind == 'histogram':
        options['buckets'] = (*metric_table.LATENCY_BUCKETS_S, math.inf)
    cls = getattr(_import_library(), metric.kind.capitalize())
    return cls(metric.name, metric.help, **options)


def _import_library(module=''):
    # Imported on first use, because it takes memory that a process whose
    # metrics are not read does not need.
    name = f'aioprometheus.{module}' if module else 'aioprometheus'
    return importlib.import_module(name)
