"""Share the loads and the speeds of servers between all hosts.

Each host hears from a given server only every few seconds, too seldom to know
its speed or its queue. Each host reports what it hears to the granting host,
which returns what has changed to all.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import dataclasses
import math
import zlib

#: Slots of a server up to which its load is shared and its requests are
#: placed by cost: there a long request at the wrong server takes a third or
#: more of its room. Servers with more slots even out long and short requests.
MAX_SLOTS = 3
#: Number of hosts from which loads are shared. Up to a few hosts hear enough
#: from each server themselves.
MIN_HOSTS = 8
#: Usual age of a load when a heartbeat brings it: half of a report interval
#: and half of a heartbeat interval, in seconds.
USUAL_AGE_S = 0.35
#: Seconds without a heartbeat with loads after which a host relies on its own
#: view: three heartbeats.
STALE_S = 1.5
#: Seconds after which a reported load counts half against the usual load of
#: the server: its requests take about 0.1 to 0.3 s, and a queue some of them.
LOAD_HALF_LIFE_S = 0.5
#: Seconds over which the usual load of a server is averaged.
BASELINE_S = 3.0
#: Seconds without news after which the usual load of a server fades, and the
#: half-life of that: no host is answered by it, so it has probably no work.
QUIET_S, QUIET_HALF_LIFE_S = 1.5, 1.5
#: Smallest change of a load that is sent, in requests.
MIN_LOAD_CHANGE = 0.5
#: Seconds after which a load that was reported again without a change is sent
#: nevertheless, so that it does not fade.
REFRESH_S = 1.0
#: Smallest change of a speed that is sent, as a natural logarithm: 8 %.
MIN_SPEED_CHANGE = 0.08
#: Weights of a new sample in the two averages of the speed of a server. The
#: slow one gives the speed of the machine; the fast one notices within some
#: answers that the server has become slow.
SLOW_WEIGHT, FAST_WEIGHT = 0.01, 0.2
#: Difference of the two averages, as a natural logarithm, from which the fast
#: one holds. Less than a factor of 4 let it follow the spread of the work of
#: usual requests, and servers changed places all the time.
FAST_DIFFERENCE = math.log(4)
#: Largest difference of a sample from the fast average that counts, so that a
#: long request is no sign of a slow server.
MAX_SAMPLE_STEP = 1.2
#: Seconds without a sample after which half of that difference is forgotten,
#: so that a server that was slow is tried again.
FAST_HALF_LIFE_S = 3.0
#: Times its expected duration after which a request is reported to run long.
#: One to three requests in a hundred take that long at a healthy server.
OVERDUE_FACTOR = 4.0
#: Number of samples for which the average of all servers counts.
PRIOR_SAMPLES = 4
#: Limits of the relative time of a server, as natural logarithms: 0.2 to 12.
MIN_LOG, MAX_LOG = math.log(0.2), math.log(12)
#: Units in which loads and speeds are sent, in one byte each: a quarter of a
#: request, and about 3 %.
LOAD_UNIT, LOG_UNIT = 0.25, 1 / 30
#: Sent in place of a load or a speed that is not known or has not changed.
MISSING = -128


def server_number(server_id) -> int:
    """Return the number that stands for a server in messages.

    A signed hash of 32 bits; of 400 servers two have the same one in one of
    50,000 deployments, and would then share a load.
    """
    number = zlib.crc32(server_id.encode())
    return number - (1 << 32) if number >= 1 << 31 else number


@dataclasses.dataclass(frozen=True)
class Loads:
    """Hold loads and speeds of servers as they are sent, one entry each.

    :ivar servers: Numbers of the servers.
    :ivar loads: Requests at each in units of :data:`LOAD_UNIT`, or
        :data:`MISSING`.
    :ivar log_times: Logarithm of the relative time of a request at each in
        units of :data:`LOG_UNIT`, or :data:`MISSING`.
    """

    servers: list[int]
    loads: list[int]
    log_times: list[int]

    def entries(self):
        """Yield number, load and logarithm of the relative time.

        The last two are None where they are missing.

        :raises ValueError: The lists differ in length.
        """
        for number, load, log_time in zip(
            self.servers, self.loads, self.log_times, strict=True
        ):
            yield (
                number,
                None if load == MISSING else load * LOAD_UNIT,
                None if log_time == MISSING else log_time * LOG_UNIT,
            )


def _encode(entries):
    """Return the :class:`Loads` of tuples as of :meth:`Loads.entries`."""
    return Loads(
        [number for number, _, _ in entries],
        [_to_byte(load, LOAD_UNIT) for _, load, _ in entries],
        [_to_byte(log_time, LOG_UNIT) for _, _, log_time in entries],
    )


def _to_byte(value, unit):
    if value is None:
        return MISSING
    return max(MISSING + 1, min(127, round(value / unit)))


@dataclasses.dataclass
class SharedLoad:
    """Hold the load and the speed of one server as all hosts see them.

    :ivar load: Last load that the granting host has told.
    :ivar told_at: When that load was seen, in seconds.
    :ivar relative_time: Time of a request on a free slot, relative to the
        other servers of the service.
    :ivar stale_at: When the load is no longer used unless another heartbeat
        with loads arrives, in seconds.
    """

    load: float = 0.0
    told_at: float = -math.inf
    relative_time: float = 1.0
    stale_at: float = -math.inf
    _baseline: float = 0.0
    _seen_load: float | None = None
    _log_samples: list[float] = dataclasses.field(default_factory=list)

    def is_fresh(self, now) -> bool:
        """Return whether the granting host tells the load of the server."""
        return now < self.stale_at

    def note_seen(self, load):
        """Record the load that the server reported to this host."""
        self._seen_load = load

    def note_sample(self, ratio):
        """Record the time of a request relative to its expected work."""
        self._log_samples.append(math.log(max(1e-3, ratio)))

    def note_running(self, attempt, work_s, now):
        """Record that a request has no answer yet.

        If it runs long, that is reported once, before its answer: a server
        that has become slow answers, and reports its load, late.

        :param attempt: Has ``sent_at`` and ``is_overdue``, which is set when
            it has been reported.
        :param work_s: Expected work of the request in seconds.
        """
        ran_s = now - attempt.sent_at
        if (
            not attempt.is_overdue
            and ran_s > OVERDUE_FACTOR * work_s * self.relative_time
        ):
            attempt.is_overdue = True
            self.note_sample(ran_s / work_s)

    def take_new(self):
        """Return and clear the load and the mean sample, None where none."""
        load, self._seen_load = self._seen_load, None
        samples, self._log_samples = self._log_samples, []
        return load, sum(samples) / len(samples) if samples else None

    def note_told(self, load, now):
        """Record the load that the granting host has told.

        :param now: Time in seconds; the load was seen somewhat earlier.
        """
        seen_at = now - USUAL_AGE_S
        gap_s = seen_at - self.told_at
        if math.isinf(gap_s):
            self._baseline = load
        else:
            # The previous load held until now.
            weight = 1 - 0.5 ** (gap_s / BASELINE_S)
            self._baseline += weight * (self.load - self._baseline)
        self.load = load
        self.told_at = seen_at
        self.stale_at = now + STALE_S

    def expected_load(self, load, seen_at, now) -> float:
        """Return the load that is expected now.

        :param load: Load at an earlier time.
        :param seen_at: That time in seconds.
        """
        baseline = self._baseline
        quiet_s = now - self.told_at - QUIET_S
        if quiet_s > 0:
            baseline *= 0.5 ** (quiet_s / QUIET_HALF_LIFE_S)
        age = max(0.0, now - seen_at)
        return baseline + (load - baseline) * 0.5 ** (age / LOAD_HALF_LIFE_S)


class SharedLoads:
    """Hold the :class:`SharedLoad` of each server with few slots."""

    def __init__(self):
        """Start without servers."""
        self._by_number = {}
        self._applied_at = -math.inf

    def entry(self, server_id) -> SharedLoad:
        """Return the entry of a server, and create it if necessary."""
        return self._by_number.setdefault(
            server_number(server_id), SharedLoad()
        )

    def keep(self, server_ids):
        """Drop all entries except those of the given servers."""
        numbers = set(map(server_number, server_ids))
        self._by_number = {
            number: entry
            for number, entry in self._by_number.items()
            if number in numbers
        }

    def age_s(self, now) -> float:
        """Return the seconds since the granting host last told loads."""
        return now - self._applied_at

    def is_stale(self, now) -> bool:
        """Return whether this host relies on its own view."""
        return self.age_s(now) > STALE_S

    def take_new(self) -> Loads:
        """Return and clear what this host has seen since the last call."""
        entries = [
            (number, *new)
            for number, entry in self._by_number.items()
            if (new := entry.take_new()) != (None, None)
        ]
        return _encode(entries)

    def apply(self, loads, now):
        """Apply what the granting host has told.

        :param loads: :class:`Loads`; servers that this host does not know
            are ignored.
        """
        self._applied_at = now
        for entry in self._by_number.values():
            if entry.told_at > -math.inf:
                entry.stale_at = now + STALE_S
        for number, load, log_time in loads.entries():
            entry = self._by_number.get(number)
            if entry is None:
                continue
            if load is not None:
                entry.note_told(load, now)
            if log_time is not None:
                entry.relative_time = math.exp(
                    min(MAX_LOG, max(MIN_LOG, log_time))
                )


@dataclasses.dataclass
class _Merged:
    """Merge what hosts report of one server."""

    load: float = 0.0
    reported_at: float = -math.inf
    sent_load: float = math.inf
    sent_at: float = -math.inf
    sent_log: float = math.inf
    samples: int = 0
    slow_log: float = 0.0
    _fast_difference: float = 0.0
    _sampled_at: float = 0.0

    def note_sample(self, log_time, now):
        """Record the logarithm of a relative time."""
        difference = self.difference(now)
        fast = self.slow_log + difference
        log_time = min(
            fast + MAX_SAMPLE_STEP, max(fast - MAX_SAMPLE_STEP, log_time)
        )
        self.samples += 1
        weight = max(SLOW_WEIGHT, 1 / (self.samples + PRIOR_SAMPLES))
        if abs(difference) < FAST_DIFFERENCE:
            self.slow_log += weight * (log_time - self.slow_log)
        fast += max(weight, FAST_WEIGHT) * (log_time - fast)
        self._fast_difference = fast - self.slow_log
        self._sampled_at = now

    def difference(self, now):
        """Return by how much the server is slower than usual, or faster."""
        age = max(0.0, now - self._sampled_at)
        return self._fast_difference * 0.5 ** (age / FAST_HALF_LIFE_S)

    def log_time(self, now):
        """Return the logarithm of the time of a request at the server."""
        difference = self.difference(now)
        if abs(difference) < FAST_DIFFERENCE:
            return self.slow_log
        return self.slow_log + difference


class MergedLoads:
    """Merge the reports of all hosts at the granting host."""

    def __init__(self):
        """Start without reports."""
        self._by_number = {}

    def clear(self):
        """Forget all reports, at the end of a term."""
        self._by_number = {}

    def note(self, loads, now):
        """Apply the report of a host.

        :param loads: :class:`Loads`.
        """
        for number, load, log_time in loads.entries():
            merged = self._by_number.get(number)
            if merged is None:
                merged = self._by_number[number] = _Merged()
            if load is not None:
                merged.load = load
                merged.reported_at = now
            if log_time is not None:
                merged.note_sample(log_time, now)

    def keep(self, server_ids):
        """Drop the reports about other servers than the given ones."""
        numbers = set(map(server_number, server_ids))
        self._by_number = {
            number: merged
            for number, merged in self._by_number.items()
            if number in numbers
        }

    def take_changes(self, services, limit, now) -> Loads:
        """Return what has changed noticeably since it was last sent.

        :param services: Ids of the servers of each service, whose speeds are
            compared with each other.
        :param limit: Largest number of servers; those that have changed most
            come first.
        """
        found = []
        for server_ids in services:
            merged_ = [
                (number, merged)
                for number in map(server_number, server_ids)
                if (merged := self._by_number.get(number)) is not None
            ]
            log_times = [merged.log_time(now) for _, merged in merged_]
            # The median does not follow servers that become slow.
            usual = sorted(log_times)[len(log_times) // 2] if log_times else 0
            found += [
                (change, number, merged, log_time - usual)
                for (number, merged), log_time in zip(merged_, log_times)
                if (change := _change(merged, log_time - usual, now))
            ]
        found.sort(key=lambda entry: entry[0], reverse=True)
        return _encode([_take(*entry[1:], now) for entry in found[:limit]])


def _change(merged, log_time, now):
    """Return how much a server has changed since it was sent, 0 if hardly."""
    change = 0.0
    if merged.reported_at > merged.sent_at:
        load_change = abs(merged.load - merged.sent_load)
        if load_change >= MIN_LOAD_CHANGE:
            change += min(10.0, load_change)
        elif now - merged.sent_at >= REFRESH_S:
            change += 0.1
    speed_change = abs(log_time - merged.sent_log)
    if speed_change >= MIN_SPEED_CHANGE:
        change += min(10.0, 3 * speed_change)
    return change


def _take(number, merged, log_time, now):
    """Return the entry of a server, and record that it is sent."""
    load = sent_log = None
    if merged.reported_at > merged.sent_at:
        load = merged.sent_load = merged.load
        merged.sent_at = now
    if abs(log_time - merged.sent_log) >= MIN_SPEED_CHANGE:
        sent_log = merged.sent_log = log_time
    return number, load, sent_log
