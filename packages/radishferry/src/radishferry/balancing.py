"""Choose a server for a request that any server of its service can run."""

from __future__ import annotations

import random
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

#: Latency before any request has ended, in seconds.
INITIAL_LATENCY_S = 0.01
#: Weight of one request in the latency and the failure rate.
GAIN = 1 / 5
#: Weight of one request in the usual latency of all servers.
USUAL_GAIN = 1 / 20
#: Time in which a latency that is not measured again comes halfway back to
#: the usual one, in seconds.
LATENCY_HALF_LIFE_S = 5.0
#: Part of the usual latency to which it comes back. Below 1, so that a
#: server that was slow is tried again.
RETURN_FACTOR = 0.9
#: Factor on the score at a failure rate of 1, less 1.
FAILURE_PENALTY = 10
#: Power of the score that divides the chance between two servers. At 50
#: requests/s four equal servers received 21 to 30% each with 2, and 18 to
#: 31% when the better one was always taken.
SCORE_POWER = 2
#: Failures in a row after which a server is avoided.
FAILURES_IN_A_ROW = 3
#: Failure rate above which a server is avoided.
FAILURE_RATE = 0.5
#: First and longest time before an avoided server is tried, in seconds.
PAUSE_S = 0.5
MAX_PAUSE_S = 10.0
#: Time after which a try without an answer is followed by another one, in
#: seconds.
TRY_TIMEOUT_S = 5.0
#: Factor by which a server of another data centre must be better.
REMOTE_FACTOR = 2
#: Most that a load hint adds to the score, as a factor. Hints may mislead,
#: so they only tip the balance between servers that are otherwise close.
HINT_WEIGHT = 0.5
#: Age at which a hint has no effect, in seconds.
HINT_AGE_S = 2.0


class Candidate(typing.Protocol):
    """Describe a server to choose, as :class:`manifest.Server` does."""

    name: str
    data_centre: str


class _Record:
    __slots__ = (
        'in_flight',
        'latency',
        'measured_at',
        'failure_rate',
        'failures',
        'avoided',
        'pause',
        'try_at',
        'trying',
        'hint',
        'hinted_at',
    )

    def __init__(self):
        self.in_flight = 0
        self.latency = None
        self.measured_at = 0.0
        self.failure_rate = 0.0
        self.failures = 0
        self.avoided = False
        self.pause = PAUSE_S
        self.try_at = 0.0
        self.trying = False
        self.hint = 0.0
        self.hinted_at = 0.0


class ServerChooser:
    """Keep what is known of the servers of one service.

    :param data_centre: Where the requests are; its servers are preferred.
    :param slots: Requests that one server runs at the same time.
    :param rng: Source of random numbers.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        slots: int = 6,
        rng: random.Random | None = None,
    ):
        self._slots = max(1, slots)
        self._data_centre = data_centre
        self._random = (rng or random.Random()).random
        self._records = {}
        self._usual_latency = INITIAL_LATENCY_S

    def choose(self, candidates: Sequence[Candidate], now: float) -> str:
        """Return the name of the server for the next request.

        One of two random servers of the own data centre, mostly the better
        one, runs it, unless one chosen so elsewhere is better by far. An
        avoided server receives one request when its pause is over. When all
        servers are avoided, they are all used.

        :param candidates: Servers that may run the request.
        :param now: Seconds.
        :raises ValueError: There is no candidate.
        """
        if not candidates:
            raise ValueError('no server to choose from')
        local, remote = [], []
        for server in candidates:
            record = self._record(server.name)
            if record.avoided:
                if now >= record.try_at:
                    record.try_at = now + TRY_TIMEOUT_S
                    record.trying = True
                    return server.name
                continue
            is_local = server.data_centre == self._data_centre
            (local if is_local else remote).append((server.name, record))
        if not local and not remote:
            local = [(s.name, self._record(s.name)) for s in candidates]
        near = self._one_of_two(local, now)
        far = self._one_of_two(remote, now)
        if near is None:
            return far[0]
        if far is None or self._is_near_enough(near[1], far[1], now):
            return near[0]
        return far[0]

    def started(self, name: str):
        """Note that a request is sent to a server."""
        self._record(name).in_flight += 1

    def finished(self, name: str, latency: float, failed: bool, now: float):
        """Note that a request has ended.

        :param latency: Seconds from sending it to the end of the response.
        :param failed: Whether the server did not serve it.
        :param now: Seconds.
        """
        record = self._record(name)
        record.in_flight = max(0, record.in_flight - 1)
        record.failure_rate += GAIN * (failed - record.failure_rate)
        if not failed:
            usual = self._usual_latency
            self._usual_latency = usual + USUAL_GAIN * (latency - usual)
            self._note_latency(record, latency, now)
            self._note_success(record)
            return
        # A quick error says nothing about the time of good answers.
        if latency > self._latency(record, now):
            self._note_latency(record, latency, now)
        record.failures += 1
        self._note_failure(record, now)

    def cancelled(self, name: str):
        """Note that the caller gave a request up, which says nothing else.

        :param name: The server.
        """
        record = self._record(name)
        record.in_flight = max(0, record.in_flight - 1)

    def hint(self, name: str, busy: int, slots: int, now: float):
        """Note the load that a server reports.

        :param busy: Slots in use.
        :param slots: All slots.
        :param now: When the report was made, in seconds.
        """
        record = self._record(name)
        record.hint = min(1.0, max(0.0, busy / slots)) if slots > 0 else 0.0
        record.hinted_at = now

    def retain(self, names: Iterable[str]):
        """Forget all servers but these."""
        kept = set(names)
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in kept
        }

    def _record(self, name):
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = _Record()
        return record

    def _note_latency(self, record, latency, now):
        known = self._latency(record, now)
        if record.latency is None:
            known = latency
        record.latency = known + GAIN * (latency - known)
        record.measured_at = now

    def _note_success(self, record):
        record.failures = 0
        # Only a try ends the avoidance: answers to requests sent before it
        # may still come in.
        if record.trying:
            record.trying = record.avoided = False
            record.failure_rate = 0.0
            record.pause = PAUSE_S

    def _note_failure(self, record, now):
        if record.avoided:
            if record.trying:
                record.trying = False
                record.pause = min(2 * record.pause, MAX_PAUSE_S)
                record.try_at = now + record.pause
            return
        too_many = record.failures >= FAILURES_IN_A_ROW
        if too_many or record.failure_rate > FAILURE_RATE:
            record.avoided = True
            record.try_at = now + record.pause

    def _one_of_two(self, servers, now):
        """Return name and record, or None without servers."""
        if not servers:
            return None
        count = len(servers)
        index = int(self._random() * count)
        first = servers[index]
        if count == 1:
            return first
        other = int(self._random() * (count - 1))
        second = servers[other + (other >= index)]
        first_score = self._score(first[1], now) ** SCORE_POWER
        second_score = self._score(second[1], now) ** SCORE_POWER
        draw = self._random() * (first_score + second_score)
        return second if draw < first_score else first

    def _score(self, record, now):
        return self._cost(record, now) * (record.in_flight + 1)

    def _is_near_enough(self, near, far, now):
        # Requests in flight up to the number of slots are no reason to
        # leave the data centre; waiting ones are.
        queue = max(1.0, (near.in_flight + 1) / self._slots)
        far_queue = max(1.0, (far.in_flight + 1) / self._slots)
        near_cost = self._cost(near, now) * queue
        return near_cost <= REMOTE_FACTOR * self._cost(far, now) * far_queue

    def _cost(self, record, now):
        """Return the latency with what failures and load add to it."""
        score = self._latency(record, now)
        score *= 1 + FAILURE_PENALTY * record.failure_rate
        age = max(0.0, now - record.hinted_at)
        if record.hint and age < HINT_AGE_S:
            trust = 1 - age / HINT_AGE_S
            score *= 1 + HINT_WEIGHT * record.hint * trust
        return score

    def _latency(self, record, now):
        usual = self._usual_latency
        if record.latency is None:
            return usual
        base = usual * RETURN_FACTOR
        age = max(0.0, now - record.measured_at)
        part = 0.5 ** (age / LATENCY_HALF_LIFE_S)
        return base + (record.latency - base) * part
