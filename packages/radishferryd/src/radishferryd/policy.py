"""Apply the load policies: duplicates, poison, retries, server selection."""

from __future__ import annotations

import collections
import logging
import time

import xxhash

from radishferry import balancing
from radishferry import dedupe
from radishferry import hotkeys
from radishferry import keyspace
from radishferry import outcomes
from radishferry import poison
from radishferry import retries
from radishferryd import dispatch
from radishferryd import planner
from radishferryd import streams
from radishferryd.gen import ttypes

LOG = logging.getLogger(__name__)

#: ``Retry-After`` of a duplicate of a request that is running, in seconds.
IN_PROGRESS_RETRY_S = 0.1
#: Seconds for which a request whose connection broke still counts as in flight
#: if its server crashed.  A crash may become known only once the server has
#: restarted; without this period, a single request crashed up to 15 servers.
BROKEN_RETENTION_S = 5.0
#: Maximum number of hot keys that a host reports for a service.
MAX_REPORTED_KEYS = 64
#: Maximum age of a demand report that is taken into account, in seconds.
MAX_DEMAND_REPORT_AGE_S = 5.0
#: Maximum number of fingerprints in one ``PoisonPush``.
MAX_POISON_PER_PUSH = 64

key_hash = keyspace.key_hash


class JobObserver:
    """Check and record the jobs of one server.

    Implements :class:`radishferryd.dispatch.JobObserver`.
    """

    def __init__(self, policy, service, server):
        self._policy = policy
        self._service = service.name
        self._server = server.name
        self._memory = dedupe.RequestMemory()
        self._sent = set()
        self._broken = collections.deque()

    def admit(self, job, now):
        """Refuse poison requests and duplicates that must not run again."""
        self._expire_broken(now)
        request = job.request
        fingerprint = job.fingerprint = _fingerprint(request)
        verdict = self._policy.detector.check(self._server, fingerprint, now)
        if verdict is poison.Verdict.REFUSED or request.crashes > 1:
            return _POISON_REFUSAL
        if request.key and request.range_id >= 0:
            self._policy.sketch(self._service).record(
                request.range_id, keyspace.key_hash(request.key)
            )
        if job.kind.idempotent or request.range_id < 0:
            return None
        return self._admit_non_idempotent(request, now)

    def check_start(self, job, now):
        """Refuse a suspect while another suspect is running."""
        verdict = self._policy.detector.check(
            self._server, job.fingerprint, now
        )
        if verdict is poison.Verdict.REFUSED:
            return _POISON_REFUSAL
        if verdict is poison.Verdict.WAIT:
            return _SUSPECT_REFUSAL
        return None

    def started(self, job, now):
        """Record that a job is being sent."""
        self._sent.add(job.job_id)
        self._policy.detector.start(self._server, job.fingerprint, now)

    def finished(self, job, now):
        """Record the end of a job."""
        request = job.request
        ran = job.result is outcomes.Outcome.RAN
        if job.job_id in self._sent:
            self._sent.discard(job.job_id)
            if job.has_broken_connection:
                self._broken.append(
                    (now + BROKEN_RETENTION_S, job.fingerprint)
                )
            else:
                self._policy.detector.finish(
                    self._server, job.fingerprint, now, ran=ran
                )
        if job.kind.idempotent or request.range_id < 0:
            return
        if ran:
            status, headers = job.response
            self._memory.finish(
                request.range_id,
                request.request_id,
                status,
                headers,
                job.stored_body,
            )
        elif job.result is outcomes.Outcome.NOT_RUN:
            self._memory.forget(request.range_id, request.request_id)
        else:
            self._memory.mark_unknown(request.range_id, request.request_id)

    def ranges_activated(self, range_ids, now):
        """Start to record the requests of ranges for deduplication."""
        clock_ms = time.time() * 1000
        for range_id in range_ids:
            self._memory.start_range(range_id, now, clock_ms)

    def crashed(self, crash_id, now):
        """Record the end of the server's process, by a crash or a restart."""
        records = self._policy.detector.crash(self._server, crash_id, now)
        self._sent.clear()
        self._broken.clear()
        if records:
            LOG.warning(
                'poison: %s crashed with %d requests in flight.',
                self._server,
                len(records),
            )
            self._policy.push_poison(records)

    def _expire_broken(self, now):
        while self._broken and self._broken[0][0] <= now:
            _, fingerprint = self._broken.popleft()
            self._policy.detector.finish(
                self._server, fingerprint, now, ran=False
            )

    def _admit_non_idempotent(self, request, now):
        try:
            verdict = self._memory.begin(
                request.range_id,
                request.request_id,
                now,
                _request_hash(request),
                first=request.is_first,
            )
        except KeyError:
            return _not_run(
                outcomes.Reason.STALE_ROUTE,
                IN_PROGRESS_RETRY_S,
                'The range is being taken over.',
            )
        return _VERDICT_HANDLERS[type(verdict)](verdict)


class Policy:
    """Provide the policy objects to the other parts of the process."""

    def __init__(self, app):
        """Initialise without services.

        :param app: Provides ``scheduler``, ``broadcaster``, ``host_name`` and
            ``data_centre``.
        """
        self._app = app
        self.budget = retries.RetryBudget()
        self.detector = poison.PoisonDetector()
        self._choosers = {}
        self._slots = {}
        self._sketches = {}
        self._demand = {}

    def configure(self, manifest):
        """Apply a manifest."""
        self._slots = {s.name: s.slots for s in manifest.services}
        for service in manifest.services:
            chooser = self._choosers.get(service.name)
            if chooser is not None:
                chooser.retain(server.name for server in service.servers)

    def chooser(self, service_name) -> balancing.ServerChooser:
        """Return the server chooser of a service without keys."""
        chooser = self._choosers.get(service_name)
        if chooser is None:
            chooser = self._choosers[service_name] = balancing.ServerChooser(
                data_centre=self._app.data_centre,
                slots=self._slots.get(service_name, 1),
            )
        return chooser

    def observer(self, service, server) -> JobObserver:
        """Return an observer for the jobs of a server."""
        return JobObserver(self, service, server)

    def sketch(self, service_name) -> hotkeys.HotKeySketch:
        """Return the hot key sketch of a service."""
        entry = self._sketches.get(service_name)
        if entry is None:
            now = self._app.scheduler.now()
            entry = hotkeys.HotKeySketch(now), now
            self._sketches[service_name] = entry
        return entry[0]

    # Demand.

    def demand_reports(self):
        """Return the demand reports of this host, one per service."""
        now = self._app.scheduler.now()
        return [
            ttypes.DemandReport(
                name,
                sketch.range_loads(now),
                {
                    streams.to_signed64(hash_value): rate
                    for hash_value, rate in sketch.top(now, MAX_REPORTED_KEYS)
                },
                self._app.host_name,
            )
            for name, (sketch, since) in self._sketches.items()
            if now - since > hotkeys.DECAY_S
        ]

    def demand_reported(self, message):
        """Handle a ``DemandReport``."""
        now = self._app.scheduler.now()
        by_host = self._demand.setdefault(message.service_name, {})
        by_host[message.host] = (now, message)

    def demand(self, service_name) -> planner.Demand:
        """Return the load of a service, summed over all hosts."""
        now = self._app.scheduler.now()
        by_host = self._demand.get(service_name, {})
        recent = [
            message
            for at, message in by_host.values()
            if now - at < MAX_DEMAND_REPORT_AGE_S
        ]
        return planner.Demand(
            hotkeys.merge_loads(m.ranges for m in recent),
            hotkeys.merge_top(
                [
                    (streams.to_unsigned64(hash_value), rate)
                    for hash_value, rate in m.hot_keys.items()
                ]
                for m in recent
            ),
        )

    def load_reported(self, load):
        """Handle a ``ServerLoad``."""
        slots = self._slots.get(load.service_name)
        if slots and load.service_name in self._choosers:
            self._choosers[load.service_name].record_load(
                load.server,
                load.in_flight + load.waiting,
                slots,
                self._app.scheduler.now(),
            )

    # Poison.

    def push_poison(self, records):
        """Send fingerprints to all hosts."""
        for start in range(0, len(records), MAX_POISON_PER_PUSH):
            part = records[start : start + MAX_POISON_PER_PUSH]
            self._app.broadcaster.send(
                'poison_push',
                ttypes.PoisonPush([_poison_entry(r) for r in part]),
            )

    def poison_reported(self, message):
        """Handle a ``PoisonPush``."""
        now = self._app.scheduler.now()
        self.detector.merge([_poison_record(e) for e in message.entries], now)

    def poison(self):
        """Return the poison fingerprints in the form shown to operators."""
        now = self._app.scheduler.now()
        return [
            {
                'service': record.fingerprint.service,
                'kind': record.fingerprint.kind,
                'target': record.fingerprint.key,
                'body_hash': f'{record.fingerprint.body_hash:016x}',
                'crashes': list(record.crashes),
                'refused': record.refused,
                'expires_in_s': round(record.expires_in_s, 1),
            }
            for record in self.detector.records(now)
        ]

    def dump(self):
        """Return the policy state for a state dump."""
        counts = collections.Counter(
            'refused' if record['refused'] else 'suspect'
            for record in self.poison()
        )
        return {
            'poison': dict(counts),
            'demand_hosts': {
                name: sorted(by_host) for name, by_host in self._demand.items()
            },
        }


def _fingerprint(request):
    # The target distinguishes requests of kinds without a key.
    return poison.Fingerprint(
        request.service, request.kind, request.target, request.body_hash
    )


def _request_hash(request):
    text = '\n'.join(
        (
            request.caller,
            request.method,
            request.target,
            f'{request.body_hash:x}',
        )
    )
    return xxhash.xxh64_intdigest(text.encode())


def _poison_entry(record):
    fingerprint = record.fingerprint
    return ttypes.PoisonEntry(
        fingerprint.service,
        fingerprint.kind,
        fingerprint.key,
        streams.to_signed64(fingerprint.body_hash),
        list(record.crashes),
        int(record.expires_in_s * 1000),
    )


def _poison_record(entry):
    return poison.Record(
        poison.Fingerprint(
            entry.service_name,
            entry.kind,
            entry.key,
            streams.to_unsigned64(entry.body_hash),
        ),
        tuple(entry.crashes),
        entry.expires_in_ms / 1000,
    )


def _not_run(reason, retry_after_s, detail):
    return outcomes.Refusal(
        outcomes.Outcome.NOT_RUN, reason, retry_after_s, detail
    )


def _finished(verdict):
    if verdict.body is None or verdict.status is None:
        return outcomes.Refusal(
            outcomes.Outcome.RAN,
            outcomes.Reason.DUPLICATE,
            None,
            'The request ran before; its answer is not kept.',
        )
    return dispatch.Replay(verdict.status, verdict.headers, verdict.body)


def _in_progress(verdict):
    return outcomes.Refusal(
        outcomes.Outcome.UNKNOWN,
        outcomes.Reason.DUPLICATE,
        IN_PROGRESS_RETRY_S,
        'The same request is running.',
    )


def _possibly_run(verdict):
    return outcomes.Refusal(
        outcomes.Outcome.UNKNOWN,
        outcomes.Reason.POSSIBLY_RUN,
        None,
        'The request may have run before and is not run again.',
    )


def _bad_id(verdict):
    return _not_run(outcomes.Reason.BAD_REQUEST, None, f'{verdict.finding}.')


_VERDICT_HANDLERS = {
    dedupe.New: lambda verdict: None,
    dedupe.InProgress: _in_progress,
    dedupe.Finished: _finished,
    dedupe.PossiblyRun: _possibly_run,
    dedupe.BadId: _bad_id,
}

_POISON_REFUSAL = _not_run(
    outcomes.Reason.POISON,
    None,
    'Servers crashed while they ran this request.',
)
_SUSPECT_REFUSAL = _not_run(
    outcomes.Reason.OVERLOADED,
    IN_PROGRESS_RETRY_S,
    'A server crashed while it ran this request; another suspect is running.',
)
