"""Divide the slots of a server between callers by weighted shares.

This is start-time fair queueing. Each caller has a start tag, the virtual time
at which its next work is due. The caller with the lowest tag goes next, and
its tag advances by the cost of the work divided by the weight of the caller.
A caller that was idle resumes at the current virtual time. It therefore
cannot save up unused capacity, and it does not wait for callers that used its
share in the meantime.
"""

from __future__ import annotations

import collections
import heapq
import itertools

import xxhash

#: Number of flows for callers without a reservation; the hash of the name
#: selects one. It is fixed because the set of caller names is unbounded.
UNRESERVED_FLOWS = 256
#: Minimum total weight of all callers without a reservation, as a share of
#: the capacity.
UNRESERVED_WEIGHT_MIN = 0.1
#: Most slot time that a flow may be charged beyond its share, in seconds. It
#: limits how long a caller gets no slots after one of its requests hung.
MAX_LEAD_S = 1.0
#: Most slot time credited to a flow for work that ended early, in seconds.
MAX_CREDIT_S = 0.25
#: Weight of one measurement in the moving average of the virtual time rate.
#: At one measurement every 20 ms, the average follows a change in demand
#: within about 80 ms.
RATE_SMOOTHING_FACTOR = 1 / 4


class Flow:
    """Hold the waiting work of one caller, or of callers with equal hashes.

    :ivar weight: Reserved share; None without a reservation.
    :ivar queues: Waiting work by id in order of arrival, short and long.
    :ivar cost: Estimated slot seconds of the waiting work, short and long.
    :ivar pending: Estimated slot seconds of running work not yet charged.
    :ivar tag: Virtual time at which its next work is due.
    :ivar credit: Slot seconds charged in excess, as a value of 0 or below.
    :ivar in_heap: Whether it has an item in the heap for short and for long
        work.
    :ivar requests: Number of its waiting and running requests.
    """

    __slots__ = (
        'weight',
        'queues',
        'cost',
        'pending',
        'tag',
        'credit',
        'in_heap',
        'requests',
    )

    def __init__(self, weight):
        self.weight = weight
        self.queues = (collections.OrderedDict(), collections.OrderedDict())
        self.cost = [0.0, 0.0]
        self.tag = 0.0
        self.credit = 0.0
        self.pending = 0.0
        self.in_heap = [False, False]
        self.requests = 0


class FairShares:
    """Choose whose work runs next.

    Callers without a reservation divide equally what is not reserved, at
    least :data:`UNRESERVED_WEIGHT_MIN`.

    :param reservations: Mapping of callers to their share, above 0; the sum
        may exceed 1, so shares are weights.
    """

    def __init__(self, reservations):
        self._reserved = {
            caller: Flow(share) for caller, share in reservations.items()
        }
        self._unreserved = {}
        self._unreserved_weight = max(
            UNRESERVED_WEIGHT_MIN, 1 - sum(reservations.values())
        )
        self._heaps = ([], [])
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._rate = 0.0
        self._measured_at = 0.0
        self._measured_virtual_time = 0.0
        self._active_reserved_weight = 0.0
        self._active_unreserved = 0

    @property
    def flows(self) -> list[Flow]:
        """Return the flows of all reservations and other callers seen."""
        return [*self._reserved.values(), *self._unreserved.values()]

    def flow_of(self, caller: str) -> Flow:
        """Return the flow that holds the work of a caller."""
        flow = self._reserved.get(caller)
        if flow is not None:
            return flow
        index = xxhash.xxh32_intdigest(caller.encode()) % UNRESERVED_FLOWS
        flow = self._unreserved.get(index)
        if flow is None:
            flow = self._unreserved[index] = Flow(None)
        return flow

    def expected_wait(self, flow, is_long, slots, excluded_cost=0.0):
        """Return the expected wait of work at the end of a queue of a flow.

        The wait is computed from the measured rate of the virtual time, which
        reflects how much of their shares the other flows use. A flow is
        assumed to get at least its share and at most all slots.

        :param slots: Number of slots that the class of the work can use.
        :param excluded_cost: Slot seconds of the queue to leave out.
        :returns: Seconds.
        """
        weight = flow.weight
        total = self._active_reserved_weight
        if self._active_unreserved or weight is None:
            total += self._unreserved_weight
        if weight is None:
            flows = self._active_unreserved + (not flow.requests)
            weight = self._unreserved_weight / flows
        elif not flow.requests:
            total += weight
        virtual_wait = (flow.cost[is_long] - excluded_cost) / weight
        if total > weight:
            # Use beyond its share delays a flow only while other flows have
            # work.
            virtual_wait += flow.pending / weight
            virtual_wait += max(0.0, flow.tag - self._virtual_time)
        rate = self._rate
        if rate * total < slots:
            rate = slots / total
        elif rate * weight > slots:
            rate = slots / weight
        return virtual_wait / rate

    def measure(self, now):
        """Update the measured rate of the virtual time.

        This must be called periodically.

        :param now: Seconds.
        """
        elapsed = now - self._measured_at
        if elapsed > 0:
            rate = (self._virtual_time - self._measured_virtual_time) / elapsed
            self._rate += RATE_SMOOTHING_FACTOR * (rate - self._rate)
        self._measured_at = now
        self._measured_virtual_time = self._virtual_time

    def add(self, flow, is_long, work_id, entry, cost):
        """Append waiting work to the queue of its flow.

        :param cost: Estimated slot seconds.
        """
        flow.queues[is_long][work_id] = entry
        flow.cost[is_long] += cost
        if not flow.in_heap[is_long]:
            flow.in_heap[is_long] = True
            item = (flow.tag, next(self._sequence), flow)
            heapq.heappush(self._heaps[is_long], item)

    def remove(self, flow, is_long, work_id, cost):
        """Remove waiting work and return its entry."""
        queue = flow.queues[is_long]
        entry = queue.pop(work_id)
        flow.cost[is_long] = flow.cost[is_long] - cost if queue else 0.0
        return entry

    def next_flow(self, long_allowed: bool):
        """Return the flow to serve next and the class of its work.

        :param long_allowed: Whether long work may be chosen.
        :returns: ``(flow, is_long)`` or None when no work may run.
        """
        short = self._peek(False)
        long = self._peek(True) if long_allowed else None
        if long is None:
            return None if short is None else (short[2], False)
        if short is None or long[:2] < short[:2]:
            return long[2], True
        return short[2], False

    def charge_start(self, flow, cost):
        """Charge a flow for work that starts and advance the virtual time.

        :param cost: Slot seconds.
        """
        if flow.tag > self._virtual_time:
            self._virtual_time = flow.tag
        else:
            flow.tag = self._virtual_time
        self.charge(flow, cost)

    def charge(self, flow, cost):
        """Charge a flow for work that runs, or credit unused slot time.

        :param cost: Slot seconds. A negative cost reduces later charges,
            because tags never decrease.
        """
        cost += flow.credit
        if cost <= 0:
            flow.credit = max(cost, -MAX_CREDIT_S)
            return
        flow.credit = 0.0
        weight = flow.weight or self._unreserved_weight / max(
            1, self._active_unreserved
        )
        tag = flow.tag + cost / weight
        limit = self._virtual_time + MAX_LEAD_S / weight
        if tag > limit:
            tag = limit
        if tag > flow.tag:
            flow.tag = tag

    def add_request(self, flow):
        """Count a waiting or running request of a flow as demand."""
        flow.requests += 1
        if flow.requests == 1:
            self._count_demand(flow, 1)

    def remove_request(self, flow):
        """Remove a request of a flow from the demand."""
        flow.requests -= 1
        if not flow.requests:
            flow.pending = 0.0  # Discards rounding errors.
            self._count_demand(flow, -1)

    def _count_demand(self, flow, sign):
        if flow.weight is None:
            self._active_unreserved += sign
        else:
            self._active_reserved_weight += sign * flow.weight

    def _peek(self, is_long):
        # A flow has at most one item in each heap. Tags only grow, so an item
        # with an outdated tag is reinserted when it reaches the top.
        heap = self._heaps[is_long]
        while heap:
            tag, _, flow = heap[0]
            if not flow.queues[is_long]:
                heapq.heappop(heap)
                flow.in_heap[is_long] = False
            elif tag < flow.tag:
                item = (flow.tag, next(self._sequence), flow)
                heapq.heapreplace(heap, item)
            else:
                return heap[0]
        return None
