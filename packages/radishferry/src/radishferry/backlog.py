"""Keep the waiting and the running work of one server with its costs."""

from __future__ import annotations

from radishferry import service_times
from radishferry import shares

#: A short request counts as stuck only beyond this time, in seconds.
STUCK_MIN_S = 0.01
#: Most slot time charged in advance, in seconds. The rest is charged while
#: the work runs, so an estimate that is too high costs its caller little.
ADVANCE_S = 0.05


def long_limit(slots: int) -> int:
    """Return how many slots long work may hold.

    A third of the slots, at least one, stays free of long work: 1 of 2 to 5,
    2 of 6 to 8. With a single slot long work may take it.

    :param slots: Slots of the server.
    """
    return max(1, slots - max(1, slots // 3))


class Entry:
    """Hold one request.

    :ivar work: What the caller of the queue gave.
    :ivar times: Service time of its kind.
    :ivar flow: Whose share it uses.
    :ivar cost: Estimated slot seconds, fixed while it waits or runs.
    :ivar charged: Slot seconds charged to the flow.
    :ivar is_long: Whether it counts as long at present.
    :ivar started_at: When it was sent, in seconds.
    """

    __slots__ = (
        'work',
        'times',
        'flow',
        'cost',
        'charged',
        'is_long',
        'started_at',
    )

    def __init__(self, work, times, flow, is_long):
        self.work = work
        self.times = times
        self.flow = flow
        self.cost = times.mean
        self.charged = 0.0
        self.is_long = is_long
        self.started_at = 0.0

    @property
    def uncharged(self):
        """Return the slot seconds still to be charged, as estimated."""
        return max(0.0, self.cost - self.charged)


class Backlog:
    """Count work by class; each pair of numbers is for short and long.

    :ivar waiting: Waiting entries by work id.
    :ivar running: Running entries by work id.
    :ivar waiting_cost: Slot seconds of waiting work, as estimated when it
        came; times ``scale`` as estimated now. Each class has a scale of its
        own: long work that proves longer must not lengthen the expected
        wait of short work.
    :ivar running_cost: Slot seconds of running work.
    :ivar stuck: Running short work far beyond its service time.
    :ivar progress_at: When a slot was last free or came free, in seconds.
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
        self.set_limit(slots)

    def set_limit(self, slots):
        """Change the number of slots."""
        self.slots = slots
        self.long_limit = long_limit(slots)

    def has_free_slot(self, is_long):
        """Return whether new work can run before any running work ends."""
        waiting = len(self.waiting)
        if not is_long:
            waiting -= self.waiting_long
        elif self.running_long + self.waiting_long >= self.long_limit:
            return False
        return len(self.running) + waiting < self.slots

    def wait(self, flow, is_long, now):
        """Return the expected wait of new work at the end of a queue.

        :param flow: Whose queue; None for all waiting work of the class.
        :returns: Seconds.
        """
        servers = self._servers(is_long)
        if not is_long and self.stuck:
            servers = max(1, servers - self.stuck)
        residual = self.running_cost[is_long] / 2 / servers
        if flow is None:
            wait = self.waiting_cost[is_long] / servers
        else:
            wait = self.shares.wait(flow, is_long, servers)
        wait = wait * self.scale[is_long] + residual
        running = len(self.running)
        if running >= self.slots:
            # Time without progress beyond twice the mean service time shows
            # a frozen server before any service time does.
            mean = sum(self.running_cost) / running
            stalled = now - self.progress_at - 2 * mean
            if stalled > 0:
                wait += stalled
        return wait

    def wait_of_last(self, entry):
        """Return the expected wait of the last work of a queue, in seconds.

        Stuck work does not count here. Counting it gave up 20 times as much
        admitted work, most of which could still be served.
        """
        servers = self._servers(entry.is_long)
        residual = self.running_cost[entry.is_long] / 2 / servers
        wait = self.shares.wait(entry.flow, entry.is_long, servers, entry.cost)
        return wait * self.scale[entry.is_long] + residual

    def insert(self, entry):
        """Let new work wait."""
        self.shares.enter(entry.flow)
        self._queue(entry)

    def take(self, entry):
        """Remove waiting work that still counts as demand of its caller."""
        work_id = entry.work.work_id
        is_long = entry.is_long
        del self.waiting[work_id]
        self.waiting_long -= is_long
        self.waiting_cost[is_long] -= entry.cost
        if not self.waiting:
            self.waiting_cost = [0.0, 0.0]
        entry.times.waiting[is_long] -= 1
        self.shares.remove(entry.flow, is_long, work_id, entry.cost)
        return entry

    def drop(self, entry):
        """Remove waiting work for good and return it."""
        self.shares.leave(self.take(entry).flow)
        return entry.work

    def run(self, entry, now):
        """Count work that was taken as running."""
        entry.cost = entry.times.mean
        entry.started_at = now
        self.running[entry.work.work_id] = entry
        self.running_long += entry.is_long
        self.running_cost[entry.is_long] += entry.cost
        entry.charged = entry.cost
        if entry.cost > ADVANCE_S:
            entry.charged = ADVANCE_S
            entry.flow.pending += entry.uncharged
        self.shares.begin(entry.flow, entry.charged)

    def end(self, entry, elapsed):
        """Remove running work.

        :param elapsed: Seconds for which it held its slot.
        """
        del self.running[entry.work.work_id]
        self.running_long -= entry.is_long
        self.running_cost[entry.is_long] -= entry.cost
        if not self.running:
            self.running_cost = [0.0, 0.0]
        if entry.cost > entry.charged:
            entry.flow.pending -= entry.uncharged
        self.shares.charge(entry.flow, elapsed - entry.charged)
        self.shares.leave(entry.flow)

    def replace_shares(self, reservations):
        """Move all work to the flows of new reservations."""
        self.shares = shares.FairShares(reservations)
        for entry in self.running.values():
            entry.flow = self.shares.flow_of(entry.work.caller)
            self.shares.enter(entry.flow)
            entry.flow.pending += entry.uncharged
        for entry in self.waiting.values():
            entry.flow = self.shares.flow_of(entry.work.caller)
            self.shares.enter(entry.flow)
            self._share(entry)

    def refresh(self, now):
        """Bring estimates up to date with what runs and waits now."""
        self._watch_running(now)
        self.shares.measure(now)
        if self.times.relearn():
            self._reclassify()
        for is_long, fixed in enumerate(self.waiting_cost):
            current = sum(t.waiting[is_long] * t.mean for t in self.times)
            self.scale[is_long] = current / fixed if fixed > 0 else 1.0

    def _servers(self, is_long):
        """Return how many slots the work of a class can use."""
        if is_long:
            return self.long_limit
        claimed = self.running_long + self.waiting_long
        if claimed > self.long_limit:
            claimed = self.long_limit
        return max(1, self.slots - claimed)

    def _queue(self, entry):
        self.waiting[entry.work.work_id] = entry
        self.waiting_long += entry.is_long
        self.waiting_cost[entry.is_long] += entry.cost
        entry.times.waiting[entry.is_long] += 1
        self._share(entry)

    def _share(self, entry):
        self.shares.add(
            entry.flow, entry.is_long, entry.work.work_id, entry, entry.cost
        )

    def _watch_running(self, now):
        self.stuck = 0
        elapsed_by_kind = {}
        for entry in self.running.values():
            elapsed = now - entry.started_at
            if elapsed > entry.charged:
                self._charge(entry, elapsed)
            elapsed_by_kind.setdefault(entry.times, []).append(elapsed)
            limit = entry.times.mean * service_times.OUTLIER_FACTOR
            if not entry.is_long and elapsed > max(limit, STUCK_MIN_S):
                self.stuck += 1
        for times in self.times:
            elapsed = sorted(elapsed_by_kind.get(times, ()), reverse=True)
            # One slow request of a measured kind is an outlier, two are not.
            index = int(times.samples >= service_times.MIN_SAMPLES)
            known = len(elapsed) > index
            times.running_s = elapsed[index] if known else 0.0

    def _charge(self, entry, elapsed):
        entry.flow.pending -= entry.uncharged
        self.shares.charge(entry.flow, elapsed - entry.charged)
        entry.charged = elapsed
        entry.flow.pending += entry.uncharged

    def _reclassify(self):
        for entry in self.running.values():
            self.running_long -= entry.is_long
            self.running_cost[entry.is_long] -= entry.cost
            entry.is_long = entry.work.is_long or entry.times.learned_long
            self.running_long += entry.is_long
            self.running_cost[entry.is_long] += entry.cost
        for entry in list(self.waiting.values()):
            is_long = entry.work.is_long or entry.times.learned_long
            if is_long != entry.is_long:
                self.take(entry)
                entry.is_long = is_long
                self._queue(entry)
