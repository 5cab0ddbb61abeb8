"""Check the guarantees against the records of callers and servers."""

from __future__ import annotations

import collections
import dataclasses
import itertools

from radishferry_testing.soak import callers
from radishferry_testing.soak import plan
from radishferry_testing.soak import cluster as cluster_module

#: Statuses that guarantee that a request has not run.
NOT_RUN = (408, 421, 429, 503)
#: Seconds after a paused host resumes in which grants are not checked for
#: overlaps: orders that it sends late may still arrive.
RESUME_GRACE_S = 0.35
#: Seconds after the announcement of a leaving server from which it must get no
#: new requests, in the direct mode.
LEAVE_NOTICE_S = 2.0
#: Span in seconds in which a server with a limit counts its requests, what it
#: tolerates as a multiple of the limit and in further requests, and the time
#: from the start of the limit from which the check applies.
LIMIT_SPAN_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
LIMIT_NOTICE_S = 3.0
#: Seconds after the store has a configuration from which each host must use
#: it, in the direct mode.
CONFIGURATION_S = 2.0
#: Time bounds apply to a request after this many seconds without a fault.
STABLE_S = 3.0
#: Seconds at the end of a run in which the hosts must have recovered.
RECOVERY_WINDOW_S = 4.0
#: Minimum share of the requests of this window that must be served.
MIN_SERVED_SHARE = 0.95
#: Maximum resident memory of a host, in MB (1024 kB).
MAX_MEMORY_MB = 100.0
#: Maximum number of open files of a host.
MAX_FILES = 500
#: Substrings of log lines that report unexpected errors.
UNEXPECTED_LOG_TEXTS = (
    'Traceback',
    'after an error',
    'before the wait failed',
)


@dataclasses.dataclass(frozen=True)
class Finding:
    """Describe a violation of a guarantee.

    :ivar guarantee: Short name of the guarantee.
    """

    guarantee: str
    detail: str


@dataclasses.dataclass(frozen=True)
class Sample:
    """Describe a host at one moment.

    :ivar at: Monotonic time at which its state was requested, in seconds.
    :ivar version: Version of its configuration, None if it did not answer.
    """

    at: float
    host: str
    pid: int
    version: int | None
    memory_mb: float
    files: int


def check(events, calls, cluster, samples):
    """Yield all findings of a run.

    :param events: Records of the servers: kind, server, detail and time.
    :param samples: :class:`Sample` entries in the order of their times.
    """
    runs = collections.defaultdict(list)
    for kind, server, detail, at in events:
        if kind == 'run':
            runs[detail['id']].append((server, at))
    yield from _check_requests(calls, runs)
    yield from _check_owners(events, cluster.fault_log)
    yield from _check_leaving(calls, runs, cluster.fault_log)
    yield from _check_limits(runs, cluster.fault_log)
    yield from _check_stops(calls, runs, cluster)
    yield from _check_samples(samples)
    yield from _check_configurations(samples, cluster)
    yield from _check_recovery(calls)
    for name in plan.HOSTS:
        output = cluster.output(name)
        for text in UNEXPECTED_LOG_TEXTS:
            if text in output:
                yield Finding('errors', f'{name} logged "{text}"')


def _check_requests(calls, runs):
    for call in calls:
        count = len(runs[call.request_id])
        if call.problem:
            yield Finding('matching answer', f'{call}')
        if call.kind == 'pay' and count > 1:
            yield Finding('at most once', f'{call} ran {count} times')
        if call.kind == 'pay' and call.status in NOT_RUN and count:
            yield Finding('refusal without run', f'{call} had run')
        if call.status == 200 and not count:
            yield Finding('matching answer', f'{call} had not run')
        if 400 <= call.status < 500 and call.status not in NOT_RUN:
            yield Finding('valid requests', f'{call}')


def _check_owners(events, fault_log):
    """Check that no two servers hold the same key at the same time."""
    resumes = [
        at
        for at, what, fault in fault_log
        if what == 'ends' and fault.kind == 'pause-host'
    ]
    holds = collections.defaultdict(list)
    for kind, server, detail, at in events:
        if kind == 'restart':
            holds[server] = []
            continue
        if kind not in ('grant', 'release'):
            continue
        # ``target`` is the last key of the range.
        first, last = detail['start_key'], detail['target']
        holds[server] = [
            hold for hold in holds[server] if hold[1] < first or hold[0] > last
        ]
        if kind == 'release':
            continue
        is_after_resume = any(
            resume <= at < resume + RESUME_GRACE_S for resume in resumes
        )
        for other, held in holds.items():
            for start, end, until in held:
                if other == server or until <= at or is_after_resume:
                    continue
                if start <= last and first <= end:
                    yield Finding(
                        'one owner',
                        f'{server} got {first}-{last} at {at:.3f}, which '
                        f'{other} held until {until:.3f}',
                    )
        holds[server].append((first, last, at + detail['hold_s']))


def _spans(fault_log):
    """Yield start time, end time and fault of each fault."""
    start_times = {}
    for at, what, fault in fault_log:
        if what == 'begins':
            start_times[id(fault)] = at
        else:
            yield start_times[id(fault)], at, fault


def _is_undisturbed(spans, start, end):
    """Return whether no fault of hosts or the store overlaps an interval."""
    return not any(
        began < end and ended > start
        for began, ended, fault in spans
        if not fault.kind.startswith(('server-', 'configuration'))
    )


def _check_leaving(calls, runs, fault_log):
    spans = list(_spans(fault_log))
    for began, ended, fault in spans:
        if fault.kind != 'server-leave':
            continue
        for call in calls:
            for server, at in runs[call.request_id]:
                # The fault ends with the restart of the server, 0.5 s after
                # its entry was deleted. Without its last 0.4 s, the check
                # covers the whole time in which the server was draining, but
                # no runs after the restart.
                if server != fault.target or not began < at < ended - 0.4:
                    continue
                is_late = call.sent_at > began + LEAVE_NOTICE_S
                if is_late and _is_undisturbed(spans, began - STABLE_S, at):
                    yield Finding(
                        'drained server',
                        f'{call} ran at {server} {at - began:.2f} s after',
                    )


def _check_limits(runs, fault_log):
    allowed = (
        LIMIT_RATIO * LIMIT_SPAN_S * cluster_module.SERVER_LIMIT_PER_S
        + LIMIT_SLACK
    )
    spans = list(_spans(fault_log))
    for began, ended, fault in spans:
        is_alone = not any(
            other.target == fault.target and start < ended and end > began
            for start, end, other in spans
            if other is not fault
        )
        # Another fault of the server may keep it from naming its limit.
        if fault.kind != 'server-rate-limit' or not is_alone:
            continue
        times = sorted(
            at
            for server, at in itertools.chain.from_iterable(runs.values())
            if server == fault.target and began + LIMIT_NOTICE_S < at < ended
        )
        for start in times:
            count = sum(start <= at < start + LIMIT_SPAN_S for at in times)
            is_undisturbed = _is_undisturbed(
                spans, began - STABLE_S, start + LIMIT_SPAN_S
            )
            if count > allowed and is_undisturbed:
                yield Finding(
                    'server limit',
                    f'{fault.target} ran {count} requests in '
                    f'{LIMIT_SPAN_S} s from {start - began:.2f} s on',
                )
                break


def _check_stops(calls, runs, cluster):
    for name, status, took_s in cluster.exits:
        if status != 0 or took_s > cluster_module.GRACE_S:
            yield Finding(
                'planned stop', f'{name} ended with {status} after {took_s} s'
            )
    spans = list(_spans(cluster.fault_log))
    stops = [span for span in spans if span[2].kind == 'stop-host']
    for call, (began, ended, fault) in itertools.product(calls, stops):
        if call.status != callers.CONNECTION_LOST or call.host != fault.target:
            continue
        if not began < call.ended_at < ended or not runs[call.request_id]:
            continue
        others = [span for span in spans if span[2] is not fault]
        is_undisturbed = not any(
            start < call.ended_at and end > call.sent_at - STABLE_S
            for start, end, _ in others
        )
        if is_undisturbed:
            yield Finding('planned stop', f'{call} was cut off')


def _check_samples(samples):
    versions = {}
    for sample in samples:
        host, version = sample.host, sample.version
        before = versions.get((host, sample.pid))
        if before is not None and version is not None and version < before:
            yield Finding(
                'configuration', f'{host} went from {before} to {version}'
            )
        versions[host, sample.pid] = version if version is not None else before
        if sample.memory_mb > MAX_MEMORY_MB or sample.files > MAX_FILES:
            yield Finding(
                'resource limits',
                f'{host} has {sample.memory_mb} MB, {sample.files} files',
            )


def _check_configurations(samples, cluster):
    spans = list(_spans(cluster.fault_log))
    for sample in samples:
        due_version = max(
            (
                version
                for acked_at, version in cluster.configurations
                if acked_at < sample.at - CONFIGURATION_S
            ),
            default=0,
        )
        if (
            sample.version is not None
            and sample.version < due_version
            and _is_undisturbed(
                spans, sample.at - CONFIGURATION_S - STABLE_S, sample.at
            )
        ):
            yield Finding(
                'configuration',
                f'{sample.host} had {sample.version} in place of '
                f'{due_version} at {sample.at:.2f}',
            )


def _check_recovery(calls):
    end = max(call.ended_at for call in calls)
    last = [call for call in calls if call.sent_at > end - RECOVERY_WINDOW_S]
    served = sum(call.status == 200 for call in last)
    if served < MIN_SERVED_SHARE * len(last):
        yield Finding('recovery', f'{served} of {len(last)} served at the end')
