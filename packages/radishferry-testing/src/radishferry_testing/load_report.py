"""Aggregate the results of a load generator."""

from __future__ import annotations

import collections

from hdrh import histogram

#: Range and precision of histograms: 1 us to 1 h, 3 significant digits.
_LOWEST_US, _HIGHEST_US, _DIGITS = 1, 3_600_000_000, 3

PERCENTILES = (50, 90, 99, 99.9)

#: Largest 99th percentile of the lag, in ms; above it latencies describe the
#: generator. It is a quarter of the latency targets (20 ms at the 99th
#: percentile), so that latencies near the targets can still be measured.
MAX_LAG_MS = 5.0


def new_histogram():
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def summary(values) -> dict:
    """Return the count, percentiles and maximum of a histogram, in ms."""
    result = {'count': values.get_total_count()}
    for percentile in PERCENTILES:
        value = values.get_value_at_percentile(percentile)
        result[f'p{percentile}_ms'] = value / 1000
    result['max_ms'] = values.get_max_value() / 1000
    return result


class KindCounts:
    """Count the requests of one kind."""

    def __init__(self):
        self.latency = new_histogram()
        self.outcomes = collections.Counter()
        self.final_outcomes = collections.Counter()
        self.statuses = collections.Counter()
        self.reasons = collections.Counter()
        self.bodies = collections.Counter()
        self.errors = collections.Counter()
        self.retry_after = 0

    def report(self):
        """Return the counts as a JSON-serialisable dictionary."""
        return {
            'latency': summary(self.latency),
            'outcomes': self.outcomes,
            'final_outcomes': self.final_outcomes,
            'statuses': {str(k): n for k, n in self.statuses.items()},
            'reasons': self.reasons,
            'bodies': self.bodies,
            'errors': self.errors,
            'retry_after': self.retry_after,
        }


class LoadReport:
    """Aggregate attempts, latencies from the intended send time and lag."""

    def __init__(self):
        self.kinds = collections.defaultdict(KindCounts)
        self.lag = new_histogram()
        self.skipped = 0
        self.sent = 0
        self.duration_s = 0.0

    @property
    def generator_limited(self) -> bool:
        """Return whether the generator, not the system, limited the run."""
        lag_us = self.lag.get_value_at_percentile(99)
        return self.skipped > 0 or lag_us / 1000 > MAX_LAG_MS

    def add_lag(self, lag_s):
        """Record how late an arrival was handled."""
        self.lag.record_value(max(1, int(lag_s * 1e6)))

    def add_attempt(self, record):
        """Count one attempt of a request."""
        counts = self.kinds[record.kind]
        counts.outcomes[record.outcome] += 1
        counts.bodies[record.body] += 1
        if record.status:
            counts.statuses[record.status] += 1
        if record.reason:
            counts.reasons[record.reason] += 1
        if record.error:
            counts.errors[record.error] += 1
        if record.retry_after_s is not None:
            counts.retry_after += 1
        self.sent += 1

    def add_final(self, record):
        """Count a request after its last attempt."""
        counts = self.kinds[record.kind]
        counts.final_outcomes[record.known_outcome] += 1
        latency_us = (record.end_ns - record.intended_ns) // 1000
        counts.latency.record_value(max(1, latency_us))

    def report(self):
        """Return the totals as a JSON-serialisable dictionary."""
        return {
            'duration_s': round(self.duration_s, 3),
            'sent': self.sent,
            'sent_per_s': round(self.sent / max(self.duration_s, 1e-9), 1),
            'lag': summary(self.lag),
            'skipped': self.skipped,
            'generator_limited': self.generator_limited,
            'kinds': {n: c.report() for n, c in sorted(self.kinds.items())},
        }
