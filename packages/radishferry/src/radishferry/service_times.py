"""Estimate the service times of request kinds and find long kinds."""

from __future__ import annotations

import statistics

#: Estimate before any kind is measured, in seconds.
INITIAL_S = 0.02
#: Weight of one sample once a kind has enough of them. The mean of
#: exponential times then varies by 18%; with 1/8 it would vary by 26%.
GAIN = 1 / 16
#: A sample beyond this factor from the mean is an outlier.
OUTLIER_FACTOR = 4
#: Consecutive high outliers that show a change of the service time.
HIGH_RUN = 4
#: Consecutive low outliers that show a change. It is above HIGH_RUN because
#: 22% of exponentially distributed samples are below a quarter of the mean.
LOW_RUN = 8
#: A kind becomes long above this multiple of the median kind.
LONG_FACTOR = 8
#: A long kind becomes short again below this multiple.
SHORT_FACTOR = 4
#: A kind below this service time is never learned as long, in seconds: its
#: slots come free soon, and the limit on long kinds would only waste them.
LONG_MIN_S = 0.01
#: Samples of a kind before it is learned as long.
MIN_SAMPLES = 5
#: Kinds measured on their own; further names share one estimate.
MAX_KINDS = 64


class KindTimes:
    """Hold the service time of one kind.

    :ivar mean: Mean in seconds, with outliers cut.
    :ivar deviation: Mean absolute deviation in seconds.
    :ivar samples: Number of samples.
    :ivar learned_long: Whether the service times make the kind long.
    :ivar running_s: Least service time that requests still running show, in
        seconds.
    :ivar waiting: Requests of the kind that wait as short and as long work;
        kept by the queue.
    :ivar probe_at: When a request may run although the estimate says that
        it cannot end in time; kept by the queue.
    """

    __slots__ = (
        'mean',
        'deviation',
        'samples',
        'learned_long',
        'running_s',
        'waiting',
        'probe_at',
        '_high',
        '_low',
    )

    def __init__(self, mean):
        self.mean = mean
        self.deviation = 0.0
        self.samples = 0
        self.learned_long = False
        self.running_s = 0.0
        self.waiting = [0, 0]
        self.probe_at = 0.0
        self._high = []
        self._low = []

    @property
    def known_s(self):
        """Return the service time for the comparison between kinds."""
        return max(self.mean, self.running_s)

    def note(self, seconds):
        """Add the service time of a request that ended.

        :param seconds: From sending the request to the end of its response.
        """
        self.samples += 1
        if self.samples == 1:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        mean = self.mean
        if seconds > mean * OUTLIER_FACTOR:
            if self._ends_run(self._high, seconds, HIGH_RUN):
                return
            seconds = mean * OUTLIER_FACTOR
        elif self._high:
            self._high.clear()
        if seconds * OUTLIER_FACTOR < mean:
            if self._ends_run(self._low, seconds, LOW_RUN):
                return
        elif self._low:
            self._low.clear()
        gain = GAIN if self.samples >= 1 / GAIN else 1 / self.samples
        error = seconds - mean
        self.mean = mean + gain * error
        self.deviation += gain * (abs(error) - self.deviation)

    def _ends_run(self, run, seconds, length):
        run.append(seconds)
        if len(run) < length:
            return False
        self.mean = statistics.median(run)
        self.deviation = self.mean / 2
        run.clear()
        return True


class ServiceTimes:
    """Hold the service times of all kinds of one server."""

    def __init__(self):
        self._kinds = {}

    def __iter__(self):
        return iter(self._kinds.values())

    def of(self, kind: str) -> KindTimes:
        """Return the service time of a kind, at first that of the median.

        :param kind: Name of the kind.
        """
        times = self._kinds.get(kind)
        if times is None:
            if len(self._kinds) >= MAX_KINDS:
                kind = ''
            times = self._kinds.get(kind)
        if times is None:
            times = self._kinds[kind] = KindTimes(self.median)
        return times

    @property
    def median(self) -> float:
        """Return the service time of the median kind, in seconds."""
        known = [times.known_s for times in self if _is_known(times)]
        return statistics.median_low(known) if known else INITIAL_S

    def relearn(self) -> bool:
        """Learn again which kinds are long.

        :returns: Whether any kind changed.
        """
        median = self.median
        changed = False
        for times in self:
            is_long = _is_long(times, median)
            if is_long != times.learned_long:
                times.learned_long = is_long
                changed = True
        return changed


def _is_known(times):
    return times.samples or times.running_s


def _is_long(times, median):
    known_s = times.known_s
    if times.learned_long:
        return known_s >= median * SHORT_FACTOR
    if times.samples < MIN_SAMPLES and not times.running_s:
        return False
    return known_s >= LONG_MIN_S and known_s > median * LONG_FACTOR
