"""Dispatch requests to the servers that this host coordinates."""

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

#: Minimum ``Retry-After`` of a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.001
#: Seconds allowed to detect whether a server whose connection broke crashed.
#: The first probe may only discover that the idle connection was closed; the
#: next probe follows 50 ms later.
CRASH_DETECTION_S = 0.15


class LeaseView(typing.Protocol):
    """Report what the coordinator of a server permits."""

    @property
    def term(self) -> int:
        """Return the term, 0 if this host does not coordinate the server."""

    @property
    def active(self) -> dict[int, int]:
        """Return the ranges that accept work, as range id to epoch."""

    def can_send_work(self, now: float) -> bool:
        """Return whether work may be sent."""


class JobObserver(typing.Protocol):
    """Observe the jobs of a server to detect duplicates and crashes."""

    def admit(
        self, job: job_module.Job, now: float
    ) -> outcomes.Refusal | Replay | None:
        """Return the answer to a job that must not be queued, else None."""

    def check_start(
        self, job: job_module.Job, now: float
    ) -> outcomes.Refusal | None:
        """Return the refusal of a job that must not be sent, else None."""

    def started(self, job: job_module.Job, now: float) -> None:
        """Record that a job is being sent."""

    def crashed(self, crash_id: str, now: float) -> None:
        """Record the end of the server's process, by a crash or a restart."""

    def finished(self, job: job_module.Job, now: float) -> None:
        """Record the end of a job, with the outcome in ``job.result``."""

    def ranges_activated(self, range_ids, now: float) -> None:
        """Record that ranges became active on the server."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """Represent the stored answer to a request that already ran."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServerDispatcher:
    """Queue requests for one server and send them as slots become free."""

    def __init__(self, poller, scheduler, service, server, view, observer):
        """Initialise with an empty queue.

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
        self._broken_jobs = []
        self._timer = None
        self._is_pumping = False
        self._pump_again = False

    @property
    def jobs(self) -> dict[int, job_module.Job]:
        """Return the queued and running jobs, by id."""
        return self._jobs

    @property
    def is_idle(self) -> bool:
        """Return whether no job is queued or running."""
        return not self._jobs

    def reconfigure(self, service, server):
        """Apply a new manifest to the same server."""
        self.service = service
        self.server = server
        self.queue.set_slots(service.slots)
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
                self.observer.finished(job.record_refusal(refusal), now)
        if refusal is not None:
            sink.on_refused(refusal)
            return None
        self._jobs[job.job_id] = job
        self.pump()
        return job

    def pump(self):
        """Send queued work while the server has free slots."""
        # A job that is refused when it starts frees its slot and calls this
        # method again. Nesting these calls for 4096 queued jobs would exceed
        # the recursion limit.
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
        if self.view.can_send_work(now):
            for job in self._remaining(self.queue.start(now)):
                job.start(now)
        self._refuse_expired(now)

    def refuse_queued(self):
        """Refuse all queued jobs, because this host stood down."""
        for job in self._remaining(self.queue.drain()):
            job.refuse(
                outcomes.Reason.STALE_ROUTE,
                job_module.MOVE_RETRY_S,
                'The server is being moved to another coordinator.',
            )

    def abandon(self):
        """End all jobs, because the server is lost.

        A frozen server keeps its connections open, so callers would otherwise
        wait until their deadlines.
        """
        for job in list(self._jobs.values()):
            job.abandon()

    def connection_broken(self, end):
        """Delay the end of a job whose connection broke and probe the server.

        :param end: Called without arguments once a crash of the server is
            detected, at the latest after :data:`CRASH_DETECTION_S`.
        """
        self._broken_jobs.append(end)
        self.scheduler.call_later(CRASH_DETECTION_S, self._end_broken_jobs)
        self.probe()

    def crashed(self, crash_id):
        """Handle the end of the server's process, by a crash or a restart.

        :param crash_id: Id of the crash, the same on all hosts.
        """
        self.observer.crashed(crash_id, self.scheduler.now())
        self._end_broken_jobs()

    def _end_broken_jobs(self):
        broken_jobs, self._broken_jobs = self._broken_jobs, []
        for end in broken_jobs:
            end()

    def ended(self, job, now, *, ran):
        """Remove a job that has ended and free its slot."""
        if self._jobs.pop(job.job_id, None) is None:
            return
        if not self.queue.cancel(job.job_id, now):
            self.queue.finish(job.job_id, now, ran=ran)
        self.observer.finished(job, now)
        if self._jobs:
            self.pump()

    def _remaining(self, works):
        """Yield the jobs of some work that have not ended by their turn.

        The end of one may end others, such as those behind it on the
        connection of its caller.
        """
        for work in works:
            job = self._jobs.get(work.work_id)
            if job is not None:
                yield job

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

    def _refuse_expired(self, now):
        for job in self._remaining(self.queue.expire(now)):
            wait_s = self.queue.expected_wait
            if job.work.deadline <= now:
                job.refuse(
                    outcomes.Reason.DEADLINE,
                    wait_s,
                    'The deadline passed before the server had a free slot.',
                )
            else:
                job.refuse(
                    outcomes.Reason.OVERLOADED,
                    max(wait_s, MIN_RETRY_AFTER_S),
                    'The request would not end before its deadline.',
                )
        if self.queue.waiting and self._timer is None:
            self._timer = self.scheduler.call_later(0.01, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self.pump()
