"""Track the waiting and running work of one server and its estimated cost."""

from __future__ import annotations

from radishferry import service_times
from radishferry import shares

#: Running time below which a short request never counts as stuck, in seconds.
STUCK_MIN_S = 0.01
#: Most slot time charged when work starts, in seconds. The rest is charged
#: while the work runs, so that a caller pays little for an estimate that is
#: too high.
MAX_ADVANCE_CHARGE_S = 0.05


def long_limit(slots: int) -> int:
    """Return the number of slots that long work may occupy.

    A third of the slots, rounded down and at least one, is reserved for short
    work: 1 of 2 to 5 slots, 2 of 6 to 8. A single slot is open to long work.

    :param slots: Slots of the server.
    """
    return max(1, slots - max(1, slots // 3))


class Entry:
    """Hold one waiting or running request.

    :ivar work: The :class:`~radishferry.server_queue.Work` offered.
    :ivar estimate: Service time estimate of its kind.
    :ivar flow: Flow whose share it uses.
    :ivar cost: Estimated slot seconds; updated only when the work starts.
    :ivar charged: Slot seconds charged to the flow so far.
    :ivar is_long: Whether it is currently classified as long.
    :ivar started_at: When it was sent to the server, in seconds.
    """

    __slots__ = (
        'work',
        'estimate',
        'flow',
        'cost',
        'charged',
        'is_long',
        'started_at',
    )

    def __init__(self, work, estimate, flow, is_long):
        self.work = work
        self.estimate = estimate
        self.flow = flow
        self.cost = estimate.mean
        self.charged = 0.0
        self.is_long = is_long
        self.started_at = 0.0

    @property
    def uncharged(self):
        """Return the estimated slot seconds that are not charged yet."""
        return max(0.0, self.cost - self.charged)


class Backlog:
    """Track work by class; each pair of numbers is for short and long work.

    :ivar waiting: Waiting entries by work id.
    :ivar running: Running entries by work id.
    :ivar waiting_cost: Slot seconds of waiting work, as estimated at its
        arrival. Multiplied by ``scale`` it is the current estimate. Each
        class has its own scale, so that long work that takes longer than
        estimated does not increase the expected wait of short work.
    :ivar running_cost: Estimated slot seconds of running work.
    :ivar stuck: Number of running short requests that far exceed their
        service time.
    :ivar progress_at: When a slot was last free or became free, in seconds.
    """

    def __init__(self, slots, reservations):
        self.times = service_times.ServiceTimes()
        self.shares = shares.FairShares(reservations)
        self.waiting = {}
        self.running = {}
        self.waiting_long = 0
        self.running_long = 0
        self.waiting_cost = [0.0, 0.0]
        self.running_cost = [0.0, 0.0]
        self.scale = [1.0, 1.0]
        self.stuck = 0
        self.progress_at = 0.0
        self.set_slots(slots)

    def set_slots(self, slots):
        """Change the number of slots."""
        self.slots = slots
        self.long_limit = long_limit(slots)

    def has_free_slot(self, is_long):
        """Return whether new work can start before any running work ends."""
        waiting = len(self.waiting)
        if not is_long:
            waiting -= self.waiting_long
        elif self.running_long + self.waiting_long >= self.long_limit:
            return False
        return len(self.running) + waiting < self.slots

    def expected_wait(self, flow, is_long, now):
        """Return the expected wait of new work at the end of a queue.

        :param flow: Flow of the queue; None for all waiting work of the class.
        :returns: Seconds.
        """
        slots = self._usable_slots(is_long)
        if not is_long and self.stuck:
            slots = max(1, slots - self.stuck)
        # Running work is half done on average.
        residual = self.running_cost[is_long] / 2 / slots
        if flow is None:
            wait = self.waiting_cost[is_long] / slots
        else:
            wait = self.shares.expected_wait(flow, is_long, slots)
        wait = wait * self.scale[is_long] + residual
        running = len(self.running)
        if running >= self.slots:
            # A frozen server produces no service times. It is detected by a
            # time without progress of more than twice the mean service time.
            mean = sum(self.running_cost) / running
            stalled = now - self.progress_at - 2 * mean
            if stalled > 0:
                wait += stalled
        return wait

    def wait_of_last(self, entry):
        """Return the expected wait of the last work of a queue, in seconds.

        Stuck work is not taken into account here. Counting it sheds 20 times
        as much admitted work, most of which can still be served.
        """
        slots = self._usable_slots(entry.is_long)
        residual = self.running_cost[entry.is_long] / 2 / slots
        wait = self.shares.expected_wait(
            entry.flow, entry.is_long, slots, entry.cost
        )
        return wait * self.scale[entry.is_long] + residual

    def insert(self, entry):
        """Add new work to the queue of its flow."""
        self.shares.add_request(entry.flow)
        self._add_waiting(entry)

    def dequeue(self, entry):
        """Remove work from its queue and keep counting it as demand."""
        work_id = entry.work.work_id
        is_long = entry.is_long
        del self.waiting[work_id]
        self.waiting_long -= is_long
        self.waiting_cost[is_long] -= entry.cost
        if not self.waiting:
            self.waiting_cost = [0.0, 0.0]
        entry.estimate.waiting[is_long] -= 1
        self.shares.remove(entry.flow, is_long, work_id, entry.cost)
        return entry

    def drop(self, entry):
        """Remove work from its queue and from the demand, and return it."""
        self.shares.remove_request(self.dequeue(entry).flow)
        return entry.work

    def start(self, entry, now):
        """Add dequeued work to the running work and charge its flow."""
        entry.cost = entry.estimate.mean
        entry.started_at = now
        self.running[entry.work.work_id] = entry
        self.running_long += entry.is_long
        self.running_cost[entry.is_long] += entry.cost
        entry.charged = entry.cost
        if entry.cost > MAX_ADVANCE_CHARGE_S:
            entry.charged = MAX_ADVANCE_CHARGE_S
            entry.flow.pending += entry.uncharged
        self.shares.charge_start(entry.flow, entry.charged)

    def finish(self, entry, elapsed):
        """Remove running work and charge its flow for the rest.

        :param elapsed: Seconds for which it occupied its slot.
        """
        del self.running[entry.work.work_id]
        self.running_long -= entry.is_long
        self.running_cost[entry.is_long] -= entry.cost
        if not self.running:
            self.running_cost = [0.0, 0.0]
        if entry.cost > entry.charged:
            entry.flow.pending -= entry.uncharged
        self.shares.charge(entry.flow, elapsed - entry.charged)
        self.shares.remove_request(entry.flow)

    def replace_shares(self, reservations):
        """Replace the reservations and move all work to the new flows."""
        self.shares = shares.FairShares(reservations)
        for entry in self.running.values():
            entry.flow = self.shares.flow_of(entry.work.caller)
            self.shares.add_request(entry.flow)
            entry.flow.pending += entry.uncharged
        for entry in self.waiting.values():
            entry.flow = self.shares.flow_of(entry.work.caller)
            self.shares.add_request(entry.flow)
            self._add_to_flow(entry)

    def refresh(self, now):
        """Update all estimates from the running and waiting work."""
        self._check_running(now)
        self.shares.measure(now)
        if self.times.reclassify():
            self._reclassify()
        for is_long, arrival_cost in enumerate(self.waiting_cost):
            current_cost = sum(e.waiting[is_long] * e.mean for e in self.times)
            self.scale[is_long] = (
                current_cost / arrival_cost if arrival_cost > 0 else 1.0
            )

    def _usable_slots(self, is_long):
        """Return how many slots the work of a class can use."""
        if is_long:
            return self.long_limit
        long_slots = self.running_long + self.waiting_long
        if long_slots > self.long_limit:
            long_slots = self.long_limit
        return max(1, self.slots - long_slots)

    def _add_waiting(self, entry):
        self.waiting[entry.work.work_id] = entry
        self.waiting_long += entry.is_long
        self.waiting_cost[entry.is_long] += entry.cost
        entry.estimate.waiting[entry.is_long] += 1
        self._add_to_flow(entry)

    def _add_to_flow(self, entry):
        self.shares.add(
            entry.flow, entry.is_long, entry.work.work_id, entry, entry.cost
        )

    def _check_running(self, now):
        self.stuck = 0
        elapsed_by_kind = {}
        for entry in self.running.values():
            elapsed = now - entry.started_at
            if elapsed > entry.charged:
                self._charge(entry, elapsed)
            elapsed_by_kind.setdefault(entry.estimate, []).append(elapsed)
            limit = entry.estimate.mean * service_times.OUTLIER_FACTOR
            if not entry.is_long and elapsed > max(limit, STUCK_MIN_S):
                self.stuck += 1
        for estimate in self.times:
            elapsed = sorted(elapsed_by_kind.get(estimate, ()), reverse=True)
            # The slowest request of a measured kind is ignored as an outlier;
            # the second slowest sets the bound.
            index = int(estimate.samples >= service_times.MIN_SAMPLES)
            has_bound = len(elapsed) > index
            estimate.running_bound_s = elapsed[index] if has_bound else 0.0

    def _charge(self, entry, elapsed):
        entry.flow.pending -= entry.uncharged
        self.shares.charge(entry.flow, elapsed - entry.charged)
        entry.charged = elapsed
        entry.flow.pending += entry.uncharged

    def _reclassify(self):
        for entry in self.running.values():
            self.running_long -= entry.is_long
            self.running_cost[entry.is_long] -= entry.cost
            entry.is_long = entry.work.is_long or entry.estimate.learned_long
            self.running_long += entry.is_long
            self.running_cost[entry.is_long] += entry.cost
        for entry in list(self.waiting.values()):
            is_long = entry.work.is_long or entry.estimate.learned_long
            if is_long != entry.is_long:
                self.dequeue(entry)
                entry.is_long = is_long
                self._add_waiting(entry)
