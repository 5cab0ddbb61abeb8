"""Read run logs of servers and records of load generators."""

from __future__ import annotations

import dataclasses

from radishferry_testing import run_log


@dataclasses.dataclass
class Run:
    """Hold one execution of a request at a server.

    Times are monotonic, in ns.

    :ivar place: Log line (``path:line``) of its start.
    :ivar owner: Server and boot id.
    :ivar commit_ns: None if it did not commit.
    """

    place: str
    owner: tuple[str, str]
    service: str
    id: str
    key: str | None
    range: str | None
    epoch: int
    start_ns: int
    commit_ns: int | None = None
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Hold the runs and records to check.

    :ivar runs: List of :class:`Run`.
    :ivar records: Pairs of place (``path:line``) and fields of
        :class:`radishferry_testing.load_kinds.Record`.
    :ivar unkeyed: Services that are not partitioned by key.
    """

    runs: list
    records: list
    unkeyed: frozenset = frozenset()


def read_runs(paths) -> list[Run]:
    """Return the executions in run logs.

    :raises ValueError: A log is corrupt.
    """
    runs = {}
    for path in paths:
        for place, line in run_log.read(path):
            if line['event'] == 'start':
                run = _run(place, line)
                runs[run.owner, line['run']] = run
            elif line['event'] == 'commit':
                run = runs[(line['server'], line['boot_id']), line['run']]
                run.commit_ns = line['time_ns']
                run.body_bytes = line['body_bytes']
    return list(runs.values())


def read_records(paths) -> list:
    """Return the pairs of place and fields in records of load generators."""
    return [pair for path in paths for pair in run_log.read(path)]


def known_outcome(record) -> str:
    """Return the outcome of one attempt as far as the caller knows it.

    It is ``unknown`` without a response or with a truncated body, whatever
    the response header says.
    """
    if record['outcome'] == 'lost' or record['body'] == 'broken':
        return 'unknown'
    return record['outcome']


def _run(place, line):
    return Run(
        place,
        (line['server'], line['boot_id']),
        line.get('service', ''),
        line['id'],
        line['key'],
        line['range'],
        line['epoch'],
        line['time_ns'],
    )
