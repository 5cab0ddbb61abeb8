"""Estimate the service times of request kinds and find long kinds."""

from __future__ import annotations

import statistics

#: Estimate for a kind before any kind has been measured, in seconds.
INITIAL_ESTIMATE_S = 0.02
#: Weight of one sample in the moving averages once a kind has
#: 1 / SMOOTHING_FACTOR samples. For exponentially distributed times, the
#: relative standard deviation of the moving mean is then 18%; with 1/8 it
#: would be 26%.
SMOOTHING_FACTOR = 1 / 16
#: A sample more than this factor above or below the mean is an outlier.
OUTLIER_FACTOR = 4
#: Number of consecutive high outliers after which the service time counts as
#: changed.
HIGH_RUN_LENGTH = 4
#: Number of consecutive low outliers after which the service time counts as
#: changed. It is above HIGH_RUN_LENGTH because 22% of exponentially
#: distributed samples are below a quarter of the mean.
LOW_RUN_LENGTH = 8
#: A kind is classified as long above this multiple of the median kind.
LONG_FACTOR = 8
#: A long kind is classified as short again below this multiple of the median
#: kind.
SHORT_FACTOR = 4
#: A kind below this service time, in seconds, is never classified as long:
#: its slots become free soon, and the limit on long work would leave slots
#: idle for no benefit.
LONG_MIN_S = 0.01
#: Samples of a kind before it can be classified as long.
MIN_SAMPLES = 5
#: Most kinds with an estimate of their own; all further kinds share one.
MAX_KINDS = 64


class ServiceTimeEstimate:
    """Estimate the service time of one kind.

    :ivar mean: Moving average in seconds; high outliers are clipped.
    :ivar deviation: Moving average of the absolute deviation, in seconds.
    :ivar samples: Number of samples.
    :ivar learned_long: Whether the measured service times classify the kind
        as long.
    :ivar running_bound_s: Lower bound on the service time, from requests
        that are still running, in seconds; 0 when there is none.
    :ivar waiting: Number of waiting requests of the kind, as short and as
        long work; maintained by the queue.
    :ivar probe_at: When a request may be admitted as a probe although the
        estimate exceeds its deadline; maintained by the queue.
    """

    __slots__ = (
        'mean',
        'deviation',
        'samples',
        'learned_long',
        'running_bound_s',
        'waiting',
        'probe_at',
        '_high_run',
        '_low_run',
    )

    def __init__(self, mean):
        self.mean = mean
        self.deviation = 0.0
        self.samples = 0
        self.learned_long = False
        self.running_bound_s = 0.0
        self.waiting = [0, 0]
        self.probe_at = 0.0
        self._high_run = []
        self._low_run = []

    @property
    def compared_s(self):
        """Return the service time by which kinds are compared, in seconds.

        This is the mean, or more when running requests exceed it already.
        """
        return max(self.mean, self.running_bound_s)

    def add_sample(self, seconds):
        """Update the estimate with the service time of a finished request.

        High outliers are clipped. A run of outliers on the same side sets the
        mean to the median of the run.

        :param seconds: Time from sending the request to the end of its
            response.
        """
        self.samples += 1
        if self.samples == 1:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        mean = self.mean
        if seconds > mean * OUTLIER_FACTOR:
            if self._completes_run(self._high_run, seconds, HIGH_RUN_LENGTH):
                return
            seconds = mean * OUTLIER_FACTOR
        elif self._high_run:
            self._high_run.clear()
        if seconds * OUTLIER_FACTOR < mean:
            if self._completes_run(self._low_run, seconds, LOW_RUN_LENGTH):
                return
        elif self._low_run:
            self._low_run.clear()
        factor = (
            SMOOTHING_FACTOR
            if self.samples >= 1 / SMOOTHING_FACTOR
            else 1 / self.samples
        )
        error = seconds - mean
        self.mean = mean + factor * error
        self.deviation += factor * (abs(error) - self.deviation)

    def _completes_run(self, run, seconds, length):
        run.append(seconds)
        if len(run) < length:
            return False
        self.mean = statistics.median(run)
        self.deviation = self.mean / 2
        run.clear()
        return True


class ServiceTimes:
    """Hold the service time estimates of all kinds of one server."""

    def __init__(self):
        self._kinds = {}

    def __iter__(self):
        return iter(self._kinds.values())

    def for_kind(self, kind: str) -> ServiceTimeEstimate:
        """Return the estimate of a kind; a new one starts at the median.

        :param kind: Name of the kind.
        """
        estimate = self._kinds.get(kind)
        if estimate is None:
            if len(self._kinds) >= MAX_KINDS:
                kind = ''
            estimate = self._kinds.get(kind)
        if estimate is None:
            estimate = self._kinds[kind] = ServiceTimeEstimate(self.median)
        return estimate

    @property
    def median(self) -> float:
        """Return the service time of the median kind, in seconds."""
        known = [e.compared_s for e in self if _is_measured(e)]
        return statistics.median_low(known) if known else INITIAL_ESTIMATE_S

    def reclassify(self) -> bool:
        """Classify the kinds as short or long by their estimates.

        :returns: Whether the class of any kind changed.
        """
        median = self.median
        changed = False
        for estimate in self:
            is_long = _is_long(estimate, median)
            if is_long != estimate.learned_long:
                estimate.learned_long = is_long
                changed = True
        return changed


def _is_measured(estimate):
    return estimate.samples or estimate.running_bound_s


def _is_long(estimate, median):
    compared_s = estimate.compared_s
    if estimate.learned_long:
        return compared_s >= median * SHORT_FACTOR
    if estimate.samples < MIN_SAMPLES and not estimate.running_bound_s:
        return False
    return compared_s >= LONG_MIN_S and compared_s > median * LONG_FACTOR
