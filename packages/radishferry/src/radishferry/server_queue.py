"""Queue the work of one backend server in front of its slots."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import typing

from radishferry import backlog as backlog_module
from radishferry import outcomes
from radishferry import service_times

if typing.TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Mapping

#: Safety factor on the expected wait at admission. With exponential service
#: times and an offered load of 5 times the capacity, up to 1.3% of the
#: requests end after their deadline with 3, 2.1% with 2 and 6.3% with 1.25.
WAIT_MARGIN = 3
#: Number of mean deviations added to the mean service time at admission.
SERVICE_TIME_DEVIATIONS = 2
#: Period at which estimates are updated from all running requests, in seconds.
REFRESH_PERIOD_S = 0.02
#: When the service time of a kind alone exceeds the deadline, one request is
#: admitted as a probe every this many service times. Without probes, an
#: estimate that is too high would never be corrected.
PROBE_SERVICE_TIMES = 5
#: Shortest and longest time between two probes of a kind, in seconds.
PROBE_PERIODS_S = 0.25, 5.0
#: Maximum number of waiting requests of one server.
MAX_WAITING = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Describe a request to the queue.

    :ivar work_id: Unique among waiting and running work.
    :ivar kind: Name of the request kind.
    :ivar caller: Caller whose share of the server the request uses.
    :ivar deadline: When the response must be complete, in seconds on the
        clock of the ``now`` arguments.
    :ivar is_long: Whether the manifest declares the kind long.
    """

    work_id: Hashable
    kind: str
    caller: str
    deadline: float
    is_long: bool


class ServerQueue:
    """Admit, order and track the work of one server.

    :param slots: Requests that the server runs at the same time.
    :param reservations: Mapping of callers to their share of the server,
        above 0; the sum may exceed 1.
    """

    def __init__(self, *, slots: int, reservations: Mapping[str, float]):
        self._backlog = backlog_module.Backlog(max(1, slots), reservations)
        self._deadlines = []
        self._sequence = itertools.count()
        self._expired = []
        self._refresh_at = 0.0
        self._now = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that run on the server."""
        return len(self._backlog.running)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._backlog.waiting)

    @property
    def expected_wait(self) -> float:
        """Return the expected wait behind all short work, in seconds."""
        return self._backlog.expected_wait(None, False, self._now)

    def set_slots(self, slots: int):
        """Change the number of slots; running work is not affected.

        :param slots: At least 1.
        """
        self._backlog.set_slots(max(1, slots))

    def set_reservations(self, reservations: Mapping[str, float]):
        """Replace the reservations.

        The waiting work of each caller keeps its order.

        :param reservations: As for the constructor.
        """
        self._backlog.replace_shares(reservations)

    def offer(self, work: Work, now: float) -> outcomes.Refusal | None:
        """Admit work, or refuse it when it cannot be served in time.

        :param work: The request.
        :param now: Seconds.
        :returns: None when the work is admitted and waits for :meth:`start`.
        :raises ValueError: The work id is already waiting or running.
        """
        backlog = self._backlog
        if work.work_id in backlog.waiting or work.work_id in backlog.running:
            raise ValueError(f'work id {work.work_id!r} is in use')
        self._now = now
        if now >= self._refresh_at:
            self._refresh(now)
        estimate = backlog.times.for_kind(work.kind)
        is_long = work.is_long or estimate.learned_long
        flow = backlog.shares.flow_of(work.caller)
        refusal = self._admit(work, estimate, flow, is_long, now)
        if refusal is not None:
            return refusal
        backlog.insert(backlog_module.Entry(work, estimate, flow, is_long))
        heapq.heappush(
            self._deadlines,
            (work.deadline, next(self._sequence), work.work_id),
        )
        if len(self._deadlines) > 2 * len(backlog.waiting) + 64:
            self._rebuild_deadlines()
        return None

    def start(self, now: float) -> list[Work]:
        """Return the work to send to the server now.

        Work whose deadline has passed is returned by :meth:`expire` instead.

        :param now: Seconds.
        """
        self._now = now
        if now >= self._refresh_at:
            self._refresh(now)
        backlog = self._backlog
        started = []
        while len(backlog.running) < backlog.slots:
            backlog.progress_at = now
            choice = backlog.shares.next_flow(
                backlog.running_long < backlog.long_limit
            )
            if choice is None:
                break
            flow, is_long = choice
            entry = next(iter(flow.queues[is_long].values()))
            if entry.work.deadline <= now:
                self._expired.append(backlog.drop(entry))
                continue
            backlog.start(backlog.dequeue(entry), now)
            started.append(entry.work)
        return started

    def finish(self, work_id: Hashable, now: float, *, ran: bool = True):
        """Free the slot of work that ended.

        :param work_id: Id of running work; other ids are ignored.
        :param now: Seconds.
        :param ran: Whether the work ran to completion, so that its time counts
            as a service time. False for refused, cancelled and lost work.
        """
        entry = self._backlog.running.get(work_id)
        if entry is None:
            return
        self._backlog.progress_at = now
        elapsed = now - entry.started_at
        self._backlog.finish(entry, elapsed)
        if ran:
            if elapsed * service_times.OUTLIER_FACTOR < entry.estimate.mean:
                entry.estimate.probe_at = now
            entry.estimate.add_sample(elapsed)

    def cancel(self, work_id: Hashable, now: float) -> bool:
        """Remove waiting work.

        :returns: Whether the work was waiting. Running work keeps its slot
            until :meth:`finish`.
        """
        entry = self._backlog.waiting.get(work_id)
        if entry is None:
            return False
        self._backlog.drop(entry)
        return True

    def expire(self, now: float) -> list[Work]:
        """Remove and return waiting work that cannot start in time.

        This is work whose deadline has passed, and, beginning with the newest
        work of a queue, work that is not expected to start before its
        deadline, for example because the share of its caller has shrunk since
        the work was admitted.

        :param now: Seconds.
        """
        self._now = now
        if now >= self._refresh_at:
            self._refresh(now)
        expired = self._expired
        self._expired = []
        deadlines = self._deadlines
        while deadlines and deadlines[0][0] <= now:
            entry = self._backlog.waiting.get(heapq.heappop(deadlines)[2])
            if entry is not None and entry.work.deadline <= now:
                expired.append(self._backlog.drop(entry))
        for flow in self._backlog.shares.flows:
            self._shed(flow, False, now, expired)
            self._shed(flow, True, now, expired)
        return expired

    def drain(self) -> list[Work]:
        """Remove and return all waiting work; running work is not affected."""
        drained = self._expired
        self._expired = []
        entries = list(self._backlog.waiting.values())
        drained.extend(self._backlog.drop(entry) for entry in entries)
        self._deadlines.clear()
        return drained

    def _refresh(self, now):
        self._refresh_at = now + REFRESH_PERIOD_S
        self._backlog.refresh(now)

    def _admit(self, work, estimate, flow, is_long, now):
        slack = work.deadline - now
        if slack <= 0:
            return _refusal(
                outcomes.Reason.DEADLINE,
                None,
                'The deadline passed before the request was queued.',
            )
        backlog = self._backlog
        if backlog.has_free_slot(is_long):
            return None
        wait = backlog.expected_wait(flow, is_long, now)
        needed = estimate.mean + SERVICE_TIME_DEVIATIONS * estimate.deviation
        in_time = wait * WAIT_MARGIN + needed <= slack
        if in_time and len(backlog.waiting) < MAX_WAITING:
            return None
        if needed > slack:
            if wait * WAIT_MARGIN < slack and now >= estimate.probe_at:
                estimate.probe_at = now + _probe_period(estimate)
                return None
            wait = max(wait, estimate.probe_at - now)
        return _refusal(
            outcomes.Reason.OVERLOADED,
            wait + estimate.mean,
            'The request would not end before its deadline.',
        )

    def _shed(self, flow, is_long, now, expired):
        queue = flow.queues[is_long]
        while queue:
            entry = next(reversed(queue.values()))
            if now + self._backlog.wait_of_last(entry) < entry.work.deadline:
                return
            expired.append(self._backlog.drop(entry))

    def _rebuild_deadlines(self):
        entries = self._backlog.waiting.values()
        self._deadlines = [
            (entry.work.deadline, next(self._sequence), entry.work.work_id)
            for entry in entries
        ]
        heapq.heapify(self._deadlines)


def _probe_period(estimate):
    low, high = PROBE_PERIODS_S
    return min(high, max(low, PROBE_SERVICE_TIMES * estimate.mean))


def _refusal(reason, retry_after_s, detail):
    return outcomes.Refusal(
        outcomes.Outcome.NOT_RUN, reason, retry_after_s, detail
    )
