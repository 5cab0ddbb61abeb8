"""Run requests on the servers that this host coordinates."""

from __future__ import annotations

import dataclasses
import itertools
import logging
import typing

from radishferry import outcomes
from radishferry import server_queue
from radishferryd import http_client
from radishferryd import job as job_module
from radishferryd import streams

if typing.TYPE_CHECKING:
    from radishferry import manifest

LOG = logging.getLogger(__name__)

#: Least time after which a refused caller may come back, in seconds.
LEAST_RETRY_S = 0.001
#: Seconds to find out whether a server that broke a connection crashed.
#: The first probe may only find that the idle connection has been closed; the
#: next one follows 50 ms later.
CRASH_WAIT_S = 0.15


class LeaseView(typing.Protocol):
    """Tell what the coordinator of a server allows."""

    @property
    def term(self) -> int:
        """Return the term, 0 when this host does not act."""

    @property
    def active(self) -> dict[int, int]:
        """Return range id to epoch of the ranges open for work."""

    def may_work(self, now: float) -> bool:
        """Tell whether work may be sent."""


class JobObserver(typing.Protocol):
    """Follow the jobs of a server, for duplicates and crashes."""

    def admit(
        self, job: job_module.Job, now: float
    ) -> outcomes.Refusal | Replay | None:
        """Answer a job before it is queued, or return None."""

    def check_start(
        self, job: job_module.Job, now: float
    ) -> outcomes.Refusal | None:
        """Refuse a job that is about to be sent, or return None."""

    def started(self, job: job_module.Job, now: float) -> None:
        """Note that a job is being sent."""

    def crashed(self, crash: str, now: float) -> None:
        """Note that the server's process has ended."""

    def finished(self, job: job_module.Job, now: float) -> None:
        """Note the end of a job; ``job.result`` says how."""

    def ranges_taken(self, range_ids, now: float) -> None:
        """Note that ranges became active here."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """Hold the stored answer to a request that ran before."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServerDispatcher:
    """Queue requests for one server and send them when it has slots."""

    def __init__(self, poller, scheduler, service, server, view, observer):
        """Begin with an empty queue.

        :param service: A :class:`~radishferry.manifest.Service`.
        :param server: A :class:`~radishferry.manifest.Server`.
        :param view: A :class:`LeaseView`.
        :param observer: A :class:`JobObserver`.
        """
        self.scheduler = scheduler
        self.service: manifest.Service = service
        self.server: manifest.Server = server
        self.view = view
        self.observer = observer
        self.pool = http_client.ConnectionPool(
            poller, server.socket_address, service.connections
        )
        self.queue = server_queue.ServerQueue(
            slots=service.slots,
            reservations={r.caller: r.share for r in service.reservations},
        )
        self.probe = lambda: None
        self._ids = itertools.count(1)
        self._jobs = {}
        self._broken = []
        self._timer = None
        self._is_pumping = False
        self._pump_again = False

    @property
    def jobs(self) -> dict[int, job_module.Job]:
        """Return the jobs that wait or run, by id."""
        return self._jobs

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits or runs."""
        return not self._jobs

    def reconfigure(self, service, server):
        """Take a new manifest for the same server."""
        self.service = service
        self.server = server
        self.queue.set_limit(service.slots)
        self.queue.set_reservations(
            {r.caller: r.share for r in service.reservations}
        )

    def begin(self, request, sink) -> streams.Source | None:
        """See :class:`radishferryd.streams.Dispatcher`."""
        now = self.scheduler.now()
        kind = self.service.kind(request.kind)
        job = job_module.Job(self, next(self._ids), request, kind, sink, now)
        refusal = self._check(job, now)
        if isinstance(refusal, Replay):
            sink.on_head(refusal.status, refusal.headers)
            sink.on_chunk(refusal.body, True)
            return None
        if refusal is None:
            refusal = self.queue.offer(job.work, now)
            if refusal is not None:
                self.observer.finished(job.refused_early(refusal), now)
        if refusal is not None:
            sink.on_refused(refusal)
            return None
        self._jobs[job.job_id] = job
        self.pump()
        return job

    def pump(self):
        """Send waiting work while the server has slots."""
        # A job refused at its start frees its slot and pumps again. Nested
        # calls for 4096 waiting jobs would exceed the recursion limit.
        self._pump_again = True
        if self._is_pumping:
            return
        self._is_pumping = True
        try:
            while self._pump_again:
                self._pump_again = False
                self._pump_once()
        finally:
            self._is_pumping = False

    def _pump_once(self):
        now = self.scheduler.now()
        if self.view.may_work(now):
            for work in self.queue.start(now):
                self._jobs[work.work_id].start(now)
        self._expire(now)

    def give_up(self):
        """Refuse everything that waits, because this host stood down."""
        for work in self.queue.drain():
            self._jobs[work.work_id].refuse(
                outcomes.Reason.STALE_ROUTE,
                job_module.MOVE_RETRY_S,
                'The server is being moved to another coordinator.',
            )

    def abandon(self):
        """End what the server runs, because it is lost.

        A frozen server keeps its connections; callers would otherwise wait
        for their deadlines.
        """
        for job in list(self._jobs.values()):
            job.abandon()

    def broken(self, end):
        """Hold a job whose connection broke until the server is probed.

        :param end: Called without arguments when it is known whether the
            server crashed, at most :data:`CRASH_WAIT_S` later.
        """
        self._broken.append(end)
        self.scheduler.call_later(CRASH_WAIT_S, self._end_broken)
        self.probe()

    def crashed(self, crash):
        """Note that the server's process has ended.

        :param crash: Id of the crash that all hosts use.
        """
        self.observer.crashed(crash, self.scheduler.now())
        self._end_broken()

    def _end_broken(self):
        broken, self._broken = self._broken, []
        for end in broken:
            end()

    def ended(self, job, now, *, ran):
        """Free the place of a job that has ended."""
        if self._jobs.pop(job.job_id, None) is None:
            return
        if not self.queue.cancel(job.job_id, now):
            self.queue.finish(job.job_id, now, ran=ran)
        self.observer.finished(job, now)
        if self._jobs:
            self.pump()

    def _check(self, job, now):
        request = job.request
        if not self.view.term or not self._holds(request):
            return outcomes.Refusal(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.STALE_ROUTE,
                job_module.MOVE_RETRY_S,
                f'{self.server.name} does not hold range '
                f'{request.range_id} here.',
            )
        return self.observer.admit(job, now)

    def _holds(self, request):
        return request.range_id < 0 or request.range_id in self.view.active

    def _expire(self, now):
        for work in self.queue.expire(now):
            job = self._jobs[work.work_id]
            wait_s = self.queue.expected_wait
            if work.deadline <= now:
                job.refuse(
                    outcomes.Reason.DEADLINE,
                    wait_s,
                    'The deadline passed before the server had a free slot.',
                )
            else:
                job.refuse(
                    outcomes.Reason.OVERLOADED,
                    max(wait_s, LEAST_RETRY_S),
                    'The request would not end before its deadline.',
                )
        if self.queue.waiting and self._timer is None:
            self._timer = self.scheduler.call_later(0.01, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self.pump()
