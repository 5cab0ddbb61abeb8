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
#: Most slot time charged late for work that took longer than estimated, in
#: seconds. One request that hangs must not shut out its caller for long.
MAX_DEBT_S = 0.25


class Flow:
    """Hold the waiting work of one caller, or of several by hash.

    :ivar weight: Reserved share; None without a reservation.
    :ivar queues: Waiting work by id in the order of arrival: short, long.
    :ivar cost: Estimated slot seconds of the waiting work: short, long.
    """

    __slots__ = ('weight', 'queues', 'cost', 'tag', 'debt', 'listed', 'load')

    def __init__(self, weight):
        self.weight = weight
        self.queues = (collections.OrderedDict(), collections.OrderedDict())
        self.cost = [0.0, 0.0]
        self.tag = 0.0
        self.debt = 0.0
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

    def share_of(self, flow: Flow) -> float:
        """Return the part of the capacity a flow has while it has demand."""
        weight = self._weight(flow)
        total = self._reserved_load
        if self._open_load:
            total += self._open_weight
        if not flow.load and (flow.weight or not self._open_load):
            total += weight
        return weight / total

    def owed(self, flow: Flow, is_long: bool) -> float:
        """Return what all callers may run before new work of a flow.

        :returns: Slot seconds of the server: the waiting work of the flow,
            and its lead over the virtual time, divided by its share.
        """
        lead = max(0.0, flow.tag - self._virtual_time) * self._weight(flow)
        return (flow.cost[is_long] + lead) / self.share_of(flow)

    def add(self, flow, is_long, work_id, entry, cost):
        """Add waiting work at the end of the queue of its caller.

        :param cost: Estimated slot seconds.
        """
        if not flow.queues[0] and not flow.queues[1]:
            flow.tag = max(flow.tag, self._virtual_time)
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

    def charge(self, flow, cost):
        """Charge a flow for work that starts.

        :param cost: Estimated slot seconds.
        """
        cost += flow.debt
        flow.debt = min(cost, 0.0)
        self._virtual_time = max(self._virtual_time, flow.tag)
        flow.tag = self._virtual_time + max(cost, 0.0) / self._weight(flow)

    def correct(self, flow, difference):
        """Settle a charge when the true cost is known.

        :param difference: True less charged slot seconds.
        """
        debt = flow.debt + difference
        flow.debt = max(-MAX_DEBT_S, min(debt, MAX_DEBT_S))

    def enter(self, flow):
        """Count a request of a flow, waiting or running."""
        flow.load += 1
        if flow.load == 1:
            self._count(flow, 1)

    def leave(self, flow):
        """Stop counting a request of a flow."""
        flow.load -= 1
        if not flow.load:
            self._count(flow, -1)

    def _count(self, flow, sign):
        if flow.weight is None:
            self._open_load += sign
        else:
            self._reserved_load += sign * flow.weight

    def _weight(self, flow):
        if flow.weight is not None:
            return flow.weight
        return self._open_weight / max(1, self._open_load)

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
