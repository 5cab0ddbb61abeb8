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
#: Kinds of faults that excuse no lost request.
PLANNED_KINDS = (
    'stop-host',
    'configuration',
    'server-leave',
    'server-rate-limit',
)
#: Seconds after the grace period until which a lost request counts.
STOP_SLACK_S = 1.0
#: A request whose connection ends within this many seconds after its last byte
#: may have crossed the close.
CROSSING_S = 0.2
#: Seconds after SIGTERM until which a request may be sent, and share of the
#: grace period at whose end its server may still be at work on it, so that it
#: may be lost.
LATE_SENT_S = 3.0
LATE_WORK_SHARE = 1 / 6
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
    run_ends = collections.defaultdict(list)
    for kind, server, detail, at in events:
        if kind == 'run':
            runs[detail['id']].append((server, at))
        elif kind == 'run-end':
            run_ends[detail['id']].append((detail['is_broken_off'], at))
    yield from _check_requests(calls, runs)
    yield from check_owners(events, cluster.fault_log)
    yield from _check_leaving(calls, runs, cluster.fault_log)
    yield from _check_limits(runs, cluster.fault_log)
    yield from _check_stops(cluster.stops)
    yield from _check_lost(calls, runs, run_ends, cluster)
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


def check_owners(events, fault_log):
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


def _check_stops(stops):
    for stop in stops:
        is_regular = (
            stop.exit_status == 0 and stop.took_s <= cluster_module.GRACE_S
        )
        if stop.has_started and not is_regular:
            yield Finding(
                'planned stop',
                f'{stop.host} ended with {stop.exit_status} after '
                f'{stop.took_s} s',
            )


def _check_lost(calls, runs, run_ends, cluster):
    """Check that planned stops lose no request that the host has read."""
    unplanned = [
        (began, ended)
        for began, ended, fault in _spans(cluster.fault_log)
        if fault.kind not in PLANNED_KINDS
    ]
    for call, stop in itertools.product(calls, cluster.stops):
        if not _is_cut_off_by(call, stop):
            continue
        was_passed_on = bool(runs[call.request_id])
        ends = run_ends[call.request_id]
        is_disturbed = any(
            began < call.ended_at and ended > call.sent_at - STABLE_S
            for began, ended in unplanned
        )
        if (
            (was_passed_on or _was_read_alone(call))
            and not is_disturbed
            and not _has_timed_out(call)
            and not any(is_broken_off for is_broken_off, _ in ends)
            and not (was_passed_on and _had_late_work(call, stop, ends))
        ):
            yield Finding(
                'lost at a planned stop',
                f'{call} ended {call.ended_at - stop.signalled_at:.2f} s '
                f'after SIGTERM; passed on: {was_passed_on}',
            )


def _is_cut_off_by(call, stop):
    """Return whether a call is lost between SIGTERM and the last exit."""
    until = stop.signalled_at + cluster_module.GRACE_S + STOP_SLACK_S
    return (
        call.status == callers.CONNECTION_LOST
        and call.host == stop.host
        and stop.signalled_at < call.ended_at < until
    )


def _was_read_alone(call):
    """Return whether the host must have read a call that was not passed on."""
    return (
        call.whole_at is not None
        and call.ended_at - call.whole_at > CROSSING_S
        and not call.is_behind
    )


def _has_timed_out(call):
    timeout_s = min(call.deadline_s, cluster_module.ROUTE_TIMEOUT_S)
    return call.ended_at - call.sent_at >= timeout_s


def _had_late_work(call, stop, ends):
    """Return whether a server worked on a call at the end of the stop.

    :param ends: Ends of its runs; empty if it has not ended.
    """
    late_at = stop.signalled_at + cluster_module.GRACE_S * (
        1 - LATE_WORK_SHARE
    )
    worked_until = max((at for _, at in ends), default=call.ended_at)
    sent_at = call.sent_at if call.whole_at is None else call.whole_at
    return (
        worked_until > late_at and sent_at <= stop.signalled_at + LATE_SENT_S
    )


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
