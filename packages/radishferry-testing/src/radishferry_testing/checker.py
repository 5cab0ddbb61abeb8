"""Check run logs of servers and records of callers for violations."""

from __future__ import annotations

import collections
import dataclasses
import math
import sys

from radishferry_testing import arguments
from radishferry_testing import bodies
from radishferry_testing import evidence

#: Lowest status of responses that may come from work that did not commit.
SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True)
class Violation:
    """Describe one violation of an invariant.

    :ivar rule: Short name of the invariant.
    :ivar places: Log lines (``path:line``) that prove it.
    :ivar message: What happened, as a sentence.
    """

    rule: str
    places: tuple[str, ...]
    message: str

    def __str__(self):
        return f'{self.rule}: {self.message} ({", ".join(self.places)})'


def check(history) -> list[Violation]:
    """Return all violations.

    :param history: :class:`radishferry_testing.evidence.Evidence`.
    """
    runs_by_id = _group(history.runs, lambda run: run.id)
    return [
        *_check_ranges(history.runs),
        *_check_keys(history.runs, history.unkeyed),
        *_check_single_commits(history.records, runs_by_id),
        *_check_not_run_answers(history.records, runs_by_id),
        *_check_ran_answers(history.records, runs_by_id),
    ]


def _group(values, key):
    groups = collections.defaultdict(list)
    for value in values:
        groups[key(value)].append(value)
    return groups


def _check_ranges(runs):
    with_range = [run for run in runs if run.range is not None]
    groups = _group(with_range, lambda run: (run.service, run.range))
    for (service, range_id), group in groups.items():
        subject = f'range {range_id} of {service or "the service"}'
        yield from _check_overlap('range-overlap', subject, group)
        yield from _check_epochs(subject, group)


def _check_keys(runs, unkeyed):
    keyed = [
        run
        for run in runs
        if run.range is not None
        and run.key is not None
        and run.service not in unkeyed
    ]
    groups = _group(keyed, lambda run: (run.service, run.key))
    for (service, key), group in groups.items():
        subject = f'key {key!r} of {service or "the service"}'
        yield from _check_overlap('key-overlap', subject, group)


def _check_overlap(rule, subject, runs):
    last_by_owner = {}
    committed = [run for run in runs if run.commit_ns is not None]
    for run in sorted(committed, key=lambda run: run.start_ns):
        for owner, last in last_by_owner.items():
            if owner != run.owner and last.commit_ns > run.start_ns:
                yield Violation(
                    rule,
                    (last.place, run.place),
                    f'{subject} ran at {last.owner[0]} (epoch {last.epoch}) '
                    f'and at {run.owner[0]} (epoch {run.epoch}) at the same '
                    'time',
                )
        last = last_by_owner.get(run.owner)
        if last is None or last.commit_ns < run.commit_ns:
            last_by_owner[run.owner] = run


def _check_epochs(subject, runs):
    highest = None
    for run in sorted(runs, key=lambda run: run.start_ns):
        if highest is not None and run.epoch < highest.epoch:
            yield Violation(
                'epoch-backwards',
                (highest.place, run.place),
                f'{subject} started at {run.owner[0]} under epoch {run.epoch} '
                f'after epoch {highest.epoch} at {highest.owner[0]}',
            )
        elif (
            highest is not None
            and run.epoch == highest.epoch
            and run.owner != highest.owner
        ):
            yield Violation(
                'epoch-shared',
                (highest.place, run.place),
                f'{subject} started under epoch {run.epoch} at '
                f'{highest.owner[0]} and at {run.owner[0]}',
            )
        else:
            highest = run


def _check_single_commits(records, runs_by_id):
    request_ids = {
        record['id'] for _, record in records if not record['idempotent']
    }
    for request_id in request_ids:
        committed = [
            run
            for run in runs_by_id.get(request_id, ())
            if run.commit_ns is not None
        ]
        if len(committed) > 1:
            servers = ', '.join(run.owner[0] for run in committed)
            yield Violation(
                'committed-twice',
                tuple(run.place for run in committed),
                f'non-idempotent request {request_id} committed '
                f'{len(committed)} times, at {servers}',
            )


def _check_not_run_answers(records, runs_by_id):
    records_by_id = _group(records, lambda pair: pair[1]['id'])
    for request_id, group in records_by_id.items():
        not_run_places = [
            p for p, r in group if evidence.known_outcome(r) == 'not-run'
        ]
        if not not_run_places:
            continue
        first_send_ns = min(
            (
                r['send_ns']
                for _, r in group
                if evidence.known_outcome(r) not in ('not-run', 'not-sent')
            ),
            default=math.inf,
        )
        for run in runs_by_id.get(request_id, ()):
            # Another attempt, not answered not-run, may have caused the run.
            if run.start_ns >= first_send_ns:
                continue
            progress = 'started' if run.commit_ns is None else 'committed'
            yield Violation(
                f'not-run-{progress}',
                (*not_run_places, run.place),
                f'request {request_id} was answered not-run but {progress} at '
                f'{run.owner[0]}',
            )


def _check_ran_answers(records, runs_by_id):
    for place, record in records:
        if evidence.known_outcome(record) != 'ran':
            continue
        runs = [
            run
            for run in runs_by_id.get(record['id'], ())
            if run.start_ns <= record['end_ns']
        ]
        if record['status'] < SERVER_ERROR:
            runs = [
                run
                for run in runs
                if run.commit_ns is not None
                and run.commit_ns <= record['end_ns']
            ]
        if not runs:
            yield Violation(
                'ran-without-commit',
                (place,),
                f'request {record["id"]} was answered ran with status '
                f'{record["status"]} but no server had run it',
            )
        elif record['status'] < SERVER_ERROR and not record.get('reason'):
            # A response with a reason was generated by the router.
            yield from _check_body(place, record, runs)


def _check_body(place, record, runs):
    sizes = {run.body_bytes for run in runs}
    if record['body_bytes'] in sizes:
        expected = bodies.body_hash(record['id'], record['body_bytes'])
        if record['body_hash'] == expected:
            return
    yield Violation(
        'wrong-body',
        (place, *(run.place for run in runs)),
        f'request {record["id"]} got a complete body of '
        f'{record["body_bytes"]} bytes that no server sent',
    )


def main(
    *, log: list[str], records: list[str] = (), unkeyed: list[str] = ()
) -> int:
    """Print all violations and return 1 if there are any, else 0.

    :param log: Run log of a server; may be repeated.
    :param records: Records of a load generator; may be repeated.
    :param unkeyed: Service not partitioned by key; may be repeated.
    """
    history = evidence.Evidence(
        evidence.read_runs(log),
        evidence.read_records(records),
        frozenset(unkeyed),
    )
    violations = check(history)
    for violation in violations:
        print(violation)
    print(
        f'{len(violations)} violations in {len(history.runs)} runs and '
        f'{len(history.records)} records'
    )
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(arguments.run(main, '--log', '--records', '--unkeyed'))
