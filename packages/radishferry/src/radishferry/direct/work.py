"""Learn how much work the requests of a route cause.

Work is the time that a request occupies a slot of a server of average speed.
The estimate keeps a histogram, since the mean of a heavy-tailed distribution
says little about how long a request that has run for a while will go on.
"""

from __future__ import annotations

import math

#: Work that is assumed before the first answers, in seconds.
DEFAULT_WORK_S = 0.1
#: Number of answers for which that assumption counts.
DEFAULT_ANSWERS = 3.0
#: Upper edge of the first class of the histogram in seconds, and the ratio of
#: two neighbouring edges: 32 classes reach from 5 ms to 20 s.
FIRST_EDGE_S = 0.005
EDGE_RATIO = 1.3
CLASSES = 32
#: Number of latest answers that determine the estimate. A host gets two to
#: six a second for a route, and a tail of 1 to 3 % needs some hundred to show.
MEMORY_ANSWERS = 300.0
#: Times the mean above which a single answer counts no more towards it.
MAX_RATIO = 12.0


class WorkEstimate:
    """Estimate the distribution of the work of one kind of request."""

    def __init__(self):
        """Start with the default."""
        self._counts = [0.0] * CLASSES
        self._total_s = DEFAULT_WORK_S * DEFAULT_ANSWERS
        self._weight = DEFAULT_ANSWERS
        self._answers = 0.0
        #: Weight of the next answer; it grows instead of all older weights
        #: being reduced with each answer.
        self._unit = 1.0

    @property
    def mean_s(self) -> float:
        """Return the mean work in seconds."""
        return self._total_s / self._weight

    @property
    def is_known(self) -> bool:
        """Return whether enough answers have been seen."""
        return self._answers >= 3 * DEFAULT_ANSWERS

    def note(self, work_s):
        """Record the work of one answered request, in seconds."""
        if self.is_known:
            work_s = min(work_s, MAX_RATIO * self.mean_s)
        self._answers += 1
        self._unit *= 1 + 1 / MEMORY_ANSWERS
        self._counts[_class_of(work_s)] += self._unit
        self._total_s += self._unit * work_s
        self._weight += self._unit
        if self._unit > 1e6:
            self._rescale()

    def share_above(self, work_s) -> float:
        """Return the share of requests whose work exceeds some seconds."""
        total = sum(self._counts)
        if not total:
            return 0.0
        number = _class_of(work_s)
        above = sum(self._counts[number + 1 :])
        # Part of the class itself, as if it were filled evenly.
        low_s = FIRST_EDGE_S * EDGE_RATIO ** (number - 1)
        part = 1 - (work_s / low_s - 1) / (EDGE_RATIO - 1)
        above += self._counts[number] * min(1.0, max(0.0, part))
        return above / total

    def rest_s(self, done_s) -> float:
        """Return the expected further work of a request.

        It grows with the work done where the tail is heavy.

        :param done_s: Work that the request has taken, in seconds.
        """
        if not self.is_known:
            return self.mean_s
        first = _class_of(done_s) + 1
        rest = total = 0.0
        for number in range(first, CLASSES):
            count = self._counts[number]
            total += count
            rest += count * (_middle_s(number) - done_s)
        if total < self._unit:
            # No request of late has taken longer, so the time that it has
            # taken is the only measure.
            return max(self.mean_s, done_s)
        return rest / total

    def _rescale(self):
        factor = 1 / self._unit
        self._counts = [count * factor for count in self._counts]
        self._total_s *= factor
        self._weight *= factor
        self._unit = 1.0


def _class_of(work_s):
    if work_s <= FIRST_EDGE_S:
        return 0
    number = math.ceil(math.log(work_s / FIRST_EDGE_S) / math.log(EDGE_RATIO))
    return min(CLASSES - 1, number)


def _middle_s(number):
    return FIRST_EDGE_S * EDGE_RATIO ** (number - 0.5)
