"""Generate arrival times and keys of an open-loop load."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import math

#: Multiplier that spreads ranks over key numbers; a prime above 100 million,
#: so that it shares no factor with a smaller number of keys.
_KEY_MULTIPLIER = 2_147_483_647


@dataclasses.dataclass(frozen=True)
class RateSchedule:
    """Hold a piecewise linear rate.

    :ivar points: Pairs of time in seconds and requests per second, by time;
        two points at the same time are a step. The last rate continues.
    """

    points: tuple[tuple[float, float], ...]

    @property
    def peak(self) -> float:
        """Return the highest rate."""
        return max(rate for _, rate in self.points)

    def rate(self, time_s) -> float:
        """Return the rate at a time."""
        after = bisect.bisect_right(self.points, (time_s, math.inf))
        if after == 0:
            return self.points[0][1]
        start_s, start_rate = self.points[after - 1]
        if after == len(self.points):
            return start_rate
        end_s, end_rate = self.points[after]
        fraction = (time_s - start_s) / (end_s - start_s)
        return start_rate + fraction * (end_rate - start_rate)


def parse_schedule(text: str) -> RateSchedule:
    """Parse a rate schedule.

    ``constant:RATE``, ``step:RATE:NEW_RATE:AT_S`` or
    ``ramp:RATE:NEW_RATE:DURATION_S``.

    :raises ValueError: The text has another form.
    """
    name, *numbers = text.split(':')
    values = [float(number) for number in numbers]
    match name, values:
        case 'constant', [rate]:
            return RateSchedule(((0.0, rate),))
        case 'step', [rate, new_rate, at_s]:
            return RateSchedule(((0.0, rate), (at_s, rate), (at_s, new_rate)))
        case 'ramp', [rate, new_rate, duration_s]:
            return RateSchedule(((0.0, rate), (duration_s, new_rate)))
    raise ValueError(f'rate {text!r} is not constant, step or ramp')


def poisson(schedule, duration_s, rng):
    """Yield the times of a Poisson process by thinning.

    :param duration_s: End of the process, in seconds.
    :param rng: ``random.Random``.
    """
    peak = schedule.peak
    time_s = rng.expovariate(peak)
    while time_s < duration_s:
        if rng.random() * peak < schedule.rate(time_s):
            yield time_s
        time_s += rng.expovariate(peak)


class ZipfRanks:
    """Draw ranks with probability proportional to ``rank ** -exponent``.

    Rejection-inversion sampling (Hörmann and Derflinger, 1996) needs neither
    a table of the ranks nor their sum.

    :param count: Number of ranks.
    :param exponent: 0 draws uniformly.
    """

    def __init__(self, count, exponent=1.0):
        self._count = count
        self._exponent = exponent
        self._low = self._integral(1.5) - 1
        self._high = self._integral(count + 0.5)
        self._squeeze = 2 - self._inverse(
            self._integral(2.5) - self._density(2)
        )

    def draw(self, rng) -> int:
        """Return a rank from 1 to the count.

        :param rng: ``random.Random``.
        """
        while True:
            area = self._high + rng.random() * (self._low - self._high)
            point = self._inverse(area)
            rank = min(max(int(point + 0.5), 1), self._count)
            if rank - point <= self._squeeze:
                return rank
            if area >= self._integral(rank + 0.5) - self._density(rank):
                return rank

    def _density(self, rank):
        return rank**-self._exponent

    def _integral(self, point):
        power = 1 - self._exponent
        return (point**power - 1) / power if power else math.log(point)

    def _inverse(self, area):
        power = 1 - self._exponent
        return (1 + area * power) ** (1 / power) if power else math.exp(area)


class Keys:
    """Draw key names; the hottest keys change with :attr:`shift`.

    :param count: Number of keys.
    :param exponent: Exponent of the Zipf distribution.
    :ivar shift: Offset of key numbers; changing it makes other keys hot.
    """

    def __init__(self, count, exponent=1.0, prefix='key-'):
        self._count = count
        self._ranks = ZipfRanks(count, exponent)
        self._prefix = prefix
        self.shift = 0

    def name(self, rank) -> str:
        """Return the key of a rank."""
        number = (rank * _KEY_MULTIPLIER + self.shift) % self._count
        return f'{self._prefix}{number}'

    def draw(self, rng) -> str:
        """Return a random key."""
        return self.name(self._ranks.draw(rng))

    def hottest(self, count) -> list[str]:
        """Return the hottest keys in descending order."""
        ranks = itertools.islice(range(1, self._count + 1), count)
        return [self.name(rank) for rank in ranks]
