"""Keep the waiting and the running work of one server with its costs."""

from __future__ import annotations

from radishferry import service_times
from radishferry import shares

#: A short request counts as stuck only beyond this time, in seconds.
STUCK_MIN_S = 0.01


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
    :ivar is_long: Whether it counts as long at present.
    :ivar started_at: When it was sent, in seconds.
    """

    __slots__ = ('work', 'times', 'flow', 'cost', 'is_long', 'started_at')

    def __init__(self, work, times, flow, is_long):
        self.work = work
        self.times = times
        self.flow = flow
        self.cost = times.mean
        self.is_long = is_long
        self.started_at = 0.0


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

    def wait(self, flow, is_long):
        """Return the expected wait of work at the end of its queue.

        It is the lesser of two bounds: all waiting work runs first, or the
        waiting work of the same flow runs first at the share of the flow.
        """
        servers = self.long_limit
        if not is_long:
            claimed = self.running_long + self.waiting_long
            servers = self.slots - min(claimed, self.long_limit)
            servers = max(1, servers - self.stuck)
        ahead = self.waiting_cost[is_long]
        if flow is not None and ahead > 0:
            ahead = min(ahead, self.shares.owed(flow, is_long))
        residual = self.running_cost[is_long] / 2
        return (ahead * self.scale[is_long] + residual) / servers

    def stall(self, now):
        """Return for how long the server has made no progress, in seconds."""
        # Time without progress beyond twice the mean service time shows a
        # frozen server before any service time does.
        running = len(self.running)
        if running < self.slots:
            return 0.0
        mean = sum(self.running_cost) / running
        return max(0.0, now - self.progress_at - 2 * mean)

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
        self.shares.charge(entry.flow, entry.cost)

    def end(self, entry, elapsed):
        """Remove running work.

        :param elapsed: Seconds for which it held its slot.
        """
        del self.running[entry.work.work_id]
        self.running_long -= entry.is_long
        self.running_cost[entry.is_long] -= entry.cost
        if not self.running:
            self.running_cost = [0.0, 0.0]
        self.shares.correct(entry.flow, elapsed - entry.cost)
        self.shares.leave(entry.flow)

    def replace_shares(self, reservations):
        """Move all work to the flows of new reservations."""
        self.shares = shares.FairShares(reservations)
        for entry in self.running.values():
            entry.flow = self.shares.flow_of(entry.work.caller)
            self.shares.enter(entry.flow)
        for entry in self.waiting.values():
            entry.flow = self.shares.flow_of(entry.work.caller)
            self.shares.enter(entry.flow)
            self._share(entry)

    def refresh(self, now):
        """Bring estimates up to date with what runs and waits now."""
        self._watch_running(now)
        if self.times.relearn():
            self._reclassify()
        for is_long, fixed in enumerate(self.waiting_cost):
            current = sum(t.waiting[is_long] * t.mean for t in self.times)
            self.scale[is_long] = current / fixed if fixed > 0 else 1.0

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
