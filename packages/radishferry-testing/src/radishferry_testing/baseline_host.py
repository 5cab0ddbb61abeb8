"""Run radishferryd with a simpler policy as a baseline of comparisons."""

from __future__ import annotations

import collections
import importlib
import itertools
import pathlib

from radishferry import balancing
from radishferry import outcomes
from radishferry import server_queue
from radishferry_testing import arguments
from radishferryd import dispatch
from radishferryd import main as host_main


class FifoQueue:
    """Queue in the order of arrival, without admission control or shares.

    It has the interface of :class:`radishferry.server_queue.ServerQueue`.
    """

    expected_wait = 0.0

    def __init__(self, *, slots, reservations):
        self._slots = slots
        self._waiting = collections.OrderedDict()
        self._running = set()

    @property
    def in_flight(self):
        """Return the number of running requests."""
        return len(self._running)

    @property
    def waiting(self):
        """Return the number of waiting requests."""
        return len(self._waiting)

    def set_slots(self, slots):
        """Change the number of slots."""
        self._slots = slots

    def set_reservations(self, reservations):
        """Ignore reservations."""

    def offer(self, work, now):
        """Accept all work."""
        self._waiting[work.work_id] = work

    def start(self, now):
        """Start the oldest work in the free slots and return it."""
        started = []
        while self._waiting and len(self._running) < self._slots:
            work_id, work = self._waiting.popitem(last=False)
            self._running.add(work_id)
            started.append(work)
        return started

    def finish(self, work_id, now, *, ran=True):
        """Release the slot of work."""
        self._running.discard(work_id)

    def cancel(self, work_id, now):
        """Remove waiting work and return whether it was found."""
        return self._waiting.pop(work_id, None) is not None

    def expire(self, now):
        """Remove and return waiting work whose deadline has passed."""
        expired = [w for w in self._waiting.values() if w.deadline <= now]
        for work in expired:
            del self._waiting[work.work_id]
        return expired

    def drain(self):
        """Remove and return all waiting work."""
        drained = list(self._waiting.values())
        self._waiting.clear()
        return drained


class RoundRobinChooser(balancing.ServerChooser):
    """Choose servers in round-robin order, regardless of their load."""

    _counter = itertools.count()

    def choose(self, candidates, now):
        """Return the next server."""
        return candidates[next(self._counter) % len(candidates)].name


class DividedDispatcher(dispatch.ServerDispatcher):
    """Give each entry host an equal, fixed share of the slots.

    Requests of a host beyond its share are refused, as they would have to be
    if hosts sent requests to the servers without coordination.
    """

    hosts = 1

    def begin(self, request, sink):
        """Refuse a request of a host whose slots are all in use."""
        running = self.__dict__.setdefault('_by_host', collections.Counter())
        link = getattr(sink, '_link', None)
        host = link.host if link is not None else ''
        limit = max(1, self.service.slots // self.hosts)
        if running[host] >= limit:
            sink.on_refused(
                outcomes.Refusal(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.OVERLOADED,
                    0.1,
                    'All slots of this host are in use.',
                )
            )
            return None
        running[host] += 1
        job = super().begin(request, sink)
        if job is None:
            running[host] -= 1
        else:
            job.host = host
        return job

    def ended(self, job, now, *, ran):
        """Release the slot of the host."""
        if job.job_id in self.jobs:
            self._by_host[getattr(job, 'host', '')] -= 1
        super().ended(job, now, ran=ran)


def main(*, settings: pathlib.Path, policy: str, hosts: int = 1):
    """Run radishferryd with another policy.

    :param settings: The settings file.
    :param policy: fifo, round-robin or divided.
    :param hosts: Number of entry hosts among which slots are divided.
    """
    if policy == 'fifo':
        server_queue.ServerQueue = FifoQueue
    elif policy == 'round-robin':
        balancing.ServerChooser = RoundRobinChooser
    elif policy == 'divided':
        DividedDispatcher.hosts = hosts
        dispatch.ServerDispatcher = DividedDispatcher
    else:
        raise SystemExit(f'unknown policy {policy!r}')
    importlib.import_module('radishferryd.app')
    host_main.radishferryd(settings=settings)


if __name__ == '__main__':
    arguments.run(main)
