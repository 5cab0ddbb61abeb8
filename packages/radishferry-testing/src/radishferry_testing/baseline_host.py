"""Run radishferryd with a simpler policy, to compare with."""

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
    """Queue in the order of arrival, without admission or shares.

    Offers what :class:`radishferry.server_queue.ServerQueue` does.
    """

    expected_wait = 0.0

    def __init__(self, *, slots, reservations):
        self._slots = slots
        self._waiting = collections.OrderedDict()
        self._running = set()

    @property
    def in_flight(self):
        """Return how many requests run."""
        return len(self._running)

    @property
    def waiting(self):
        """Return how many requests wait."""
        return len(self._waiting)

    def set_limit(self, slots):
        """Change the number of slots."""
        self._slots = slots

    def set_reservations(self, reservations):
        """Ignore reservations."""

    def offer(self, work, now):
        """Take all work."""
        self._waiting[work.work_id] = work

    def start(self, now):
        """Return the oldest work while there are slots."""
        started = []
        while self._waiting and len(self._running) < self._slots:
            work_id, work = self._waiting.popitem(last=False)
            self._running.add(work_id)
            started.append(work)
        return started

    def finish(self, work_id, now, *, ran=True):
        """Free the slot of work."""
        self._running.discard(work_id)

    def cancel(self, work_id, now):
        """Remove waiting work and tell whether there was any."""
        return self._waiting.pop(work_id, None) is not None

    def expire(self, now):
        """Return waiting work whose deadline has passed."""
        late = [w for w in self._waiting.values() if w.deadline <= now]
        for work in late:
            del self._waiting[work.work_id]
        return late

    def drain(self):
        """Return all waiting work."""
        drained = list(self._waiting.values())
        self._waiting.clear()
        return drained


class RoundRobinChooser(balancing.ServerChooser):
    """Choose the servers in turn, whatever their load."""

    _turns = itertools.count()

    def choose(self, candidates, now):
        """Return the next server."""
        return candidates[next(self._turns) % len(candidates)].name


class DividedDispatcher(dispatch.ServerDispatcher):
    """Give each entry host an equal, fixed part of the slots.

    A host that uses up its part is refused, as a host that sends to the
    servers on its own would have to do.
    """

    hosts = 1

    def begin(self, request, sink):
        """Refuse a host whose slots are all in use."""
        running = self.__dict__.setdefault('_by_host', collections.Counter())
        link = getattr(sink, '_link', None)
        host = link.host if link is not None else ''
        part = max(1, self.service.slots // self.hosts)
        if running[host] >= part:
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
        """Free the slot of the host."""
        if job.job_id in self.jobs:
            self._by_host[getattr(job, 'host', '')] -= 1
        super().ended(job, now, ran=ran)


def main(*, settings: pathlib.Path, policy: str, hosts: int = 1):
    """Run radishferryd with another policy.

    :param settings: The settings file.
    :param policy: fifo, round-robin or divided.
    :param hosts: Entry hosts that divide the slots.
    """
    if policy == 'fifo':
        server_queue.ServerQueue = FifoQueue
    elif policy == 'round-robin':
        balancing.ServerChooser = RoundRobinChooser
    elif policy == 'divided':
        DividedDispatcher.hosts = hosts
        dispatch.ServerDispatcher = DividedDispatcher
    else:
        raise SystemExit(f'no policy {policy!r}')
    importlib.import_module('radishferryd.app')
    host_main.radishferryd(settings=settings)


if __name__ == '__main__':
    arguments.run(main)
