"""Divide the slots of a server between callers by weighted shares.

Start-time fair queueing: each caller has a tag, the virtual time at which its
next work is due. The caller with the lowest tag goes next and its tag moves
by the cost of the work over the weight of the caller. A caller that comes
back starts at the present virtual time, so it neither saves up unused
capacity nor waits for those who borrowed it.
"""

from __future__ import annotations

import collections
import heapq
import itertools

import xxhash

#: Queues for callers without a reservation, chosen by the hash of the name.
#: The number is fixed because caller names are unbounded input.
OPEN_FLOWS = 256
#: Least weight that all callers without a reservation have together, as a
#: share of the capacity.
OPEN_WEIGHT_MIN = 0.1
#: Most slot time by which a flow may be ahead of its share, in seconds. One
#: request that hangs must not shut out its caller for long.
MAX_LEAD_S = 1.0
#: Most slot time given back for work that ended early, in seconds.
MAX_CREDIT_S = 0.25
#: Weight of one measurement of the rate of the virtual time. With one in
#: 20 ms a change of the demand shows after about 80 ms.
RATE_GAIN = 1 / 4


class Flow:
    """Hold the waiting work of one caller, or of several by hash.

    :ivar weight: Reserved share; None without a reservation.
    :ivar queues: Waiting work by id in the order of arrival: short, long.
    :ivar cost: Estimated slot seconds of the waiting work: short, long.
    :ivar pending: Slot seconds of running work not charged yet, estimated.
    :ivar tag: Virtual time at which its next work is due.
    :ivar credit: Slot seconds charged too much, 0 or below.
    :ivar listed: Whether it has an item in the heap: short, long.
    :ivar load: Number of its requests, waiting and running.
    """

    __slots__ = (
        'weight',
        'queues',
        'cost',
        'pending',
        'tag',
        'credit',
        'listed',
        'load',
    )

    def __init__(self, weight):
        self.weight = weight
        self.queues = (collections.OrderedDict(), collections.OrderedDict())
        self.cost = [0.0, 0.0]
        self.tag = 0.0
        self.credit = 0.0
        self.pending = 0.0
        self.listed = [False, False]
        self.load = 0


class FairShares:
    """Choose whose work runs next.

    Callers without a reservation have together what is not reserved, at
    least :data:`OPEN_WEIGHT_MIN`, in equal parts.

    :param reservations: Mapping of callers to their share, above 0; the sum
        may exceed 1, so shares are weights.
    """

    def __init__(self, reservations):
        self._reserved = {
            caller: Flow(share) for caller, share in reservations.items()
        }
        self._open = {}
        self._open_weight = max(
            OPEN_WEIGHT_MIN, 1 - sum(reservations.values())
        )
        self._heaps = ([], [])
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._rate = 0.0
        self._measured_at = 0.0
        self._measured_time = 0.0
        self._reserved_load = 0.0
        self._open_load = 0

    @property
    def flows(self) -> list[Flow]:
        """Return the flows of all callers seen."""
        return [*self._reserved.values(), *self._open.values()]

    def flow_of(self, caller: str) -> Flow:
        """Return the flow that holds the work of a caller."""
        flow = self._reserved.get(caller)
        if flow is not None:
            return flow
        number = xxhash.xxh32_intdigest(caller.encode()) % OPEN_FLOWS
        flow = self._open.get(number)
        if flow is None:
            flow = self._open[number] = Flow(None)
        return flow

    def wait(self, flow, is_long, servers, less=0.0):
        """Return the expected wait of work at the end of a queue of a flow.

        :param servers: Slots that the class of the work can use.
        :param less: Slot seconds of the queue not to count.
        :returns: Seconds, from the measured rate of the virtual time. The
            rate tells how much of their shares the others use; a flow has
            no less than its share and no more than all slots.
        """
        weight = flow.weight
        total = self._reserved_load
        if self._open_load or weight is None:
            total += self._open_weight
        if weight is None:
            callers = self._open_load + (not flow.load)
            weight = self._open_weight / callers
        elif not flow.load:
            total += weight
        due = (flow.cost[is_long] - less) / weight
        if total > weight:
            # What the flow has used beyond its share only counts while
            # others want theirs.
            due += flow.pending / weight
            due += max(0.0, flow.tag - self._virtual_time)
        rate = self._rate
        if rate * total < servers:
            rate = servers / total
        elif rate * weight > servers:
            rate = servers / weight
        return due / rate

    def measure(self, now):
        """Measure the rate of the virtual time; call this periodically.

        :param now: Seconds.
        """
        elapsed = now - self._measured_at
        if elapsed > 0:
            rate = (self._virtual_time - self._measured_time) / elapsed
            self._rate += RATE_GAIN * (rate - self._rate)
        self._measured_at = now
        self._measured_time = self._virtual_time

    def add(self, flow, is_long, work_id, entry, cost):
        """Add waiting work at the end of the queue of its caller.

        :param cost: Estimated slot seconds.
        """
        flow.queues[is_long][work_id] = entry
        flow.cost[is_long] += cost
        if not flow.listed[is_long]:
            flow.listed[is_long] = True
            item = (flow.tag, next(self._order), flow)
            heapq.heappush(self._heaps[is_long], item)

    def remove(self, flow, is_long, work_id, cost):
        """Remove waiting work and return its entry."""
        queue = flow.queues[is_long]
        entry = queue.pop(work_id)
        flow.cost[is_long] = flow.cost[is_long] - cost if queue else 0.0
        return entry

    def first(self, long_allowed: bool):
        """Return the flow whose turn it is, and whether with long work.

        :param long_allowed: Whether long work may be chosen.
        :returns: ``(flow, is_long)`` or None when no work may run.
        """
        short = self._top(False)
        long = self._top(True) if long_allowed else None
        if long is None:
            return None if short is None else (short[2], False)
        if short is None or long[:2] < short[:2]:
            return long[2], True
        return short[2], False

    def begin(self, flow, cost):
        """Charge a flow for work that starts.

        :param cost: Slot seconds.
        """
        if flow.tag > self._virtual_time:
            self._virtual_time = flow.tag
        else:
            flow.tag = self._virtual_time
        self.charge(flow, cost)

    def charge(self, flow, cost):
        """Charge a flow for work that runs, or give back what it saved.

        :param cost: Slot seconds; below 0 they count against later charges,
            because tags never decrease.
        """
        cost += flow.credit
        if cost <= 0:
            flow.credit = max(cost, -MAX_CREDIT_S)
            return
        flow.credit = 0.0
        weight = flow.weight or self._open_weight / max(1, self._open_load)
        tag = flow.tag + cost / weight
        limit = self._virtual_time + MAX_LEAD_S / weight
        if tag > limit:
            tag = limit
        if tag > flow.tag:
            flow.tag = tag

    def enter(self, flow):
        """Count a request of a flow, waiting or running."""
        flow.load += 1
        if flow.load == 1:
            self._count(flow, 1)

    def leave(self, flow):
        """Stop counting a request of a flow."""
        flow.load -= 1
        if not flow.load:
            flow.pending = 0.0  # Drops what rounding left.
            self._count(flow, -1)

    def _count(self, flow, sign):
        if flow.weight is None:
            self._open_load += sign
        else:
            self._reserved_load += sign * flow.weight

    def _top(self, is_long):
        # A flow has at most one item in each heap. Tags only grow, so an
        # item with an old tag is moved back when it comes up.
        heap = self._heaps[is_long]
        while heap:
            tag, _, flow = heap[0]
            if not flow.queues[is_long]:
                heapq.heappop(heap)
                flow.listed[is_long] = False
            elif tag < flow.tag:
                item = (flow.tag, next(self._order), flow)
                heapq.heapreplace(heap, item)
            else:
                return heap[0]
        return None
