"""Run load generators as processes and read their records."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import pathlib
import subprocess
import sys
import time

import orjson

#: Delay after the intended time, in seconds, above which a request counts as
#: sent late.  The fraction of late requests is among the figures, since it
#: shows whether a generator kept up with its rate.
LATE_THRESHOLD_S = 0.02


@dataclasses.dataclass(frozen=True)
class Load:
    """Declare the load of one generator process.

    :ivar kinds: Values of ``--kind`` of the load generator.
    :ivar rate: Value of ``--rate``.
    :ivar duration_s: Value of ``--duration-s``.
    :ivar start_s: Seconds from the start of the measurement to the start of
        the generator.
    :ivar keys: Value of ``--keys``.
    :ivar resend: Value of ``--resend``.
    """

    kinds: tuple[str, ...]
    rate: str
    duration_s: float
    start_s: float = 0.0
    keys: int = 100_000
    resend: int = 0


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Hold the load of one generator and its records.

    :ivar records: Fields of ``load_kinds.Record`` and, in seconds, ``at``
        (time of sending), ``took`` (duration) and ``late`` (delay of the
        sending after the intended time).
    """

    load: Load
    records: list[dict]


def run(loads, hosts, directory, hosts_by_load=None) -> list[LoadResult]:
    """Run generators concurrently and return their records.

    Times of the records count from the first intended time of any generator,
    so they leave out the start-up of the generator processes.

    :param hosts: List of ``ip:port``.
    :param directory: Directory for the record files.
    :param hosts_by_load: Hosts for each load, in the same order; None for all
        hosts.
    """
    start = time.monotonic()
    with contextlib.ExitStack() as stack:
        started = []
        for number, load in sorted(
            enumerate(loads), key=lambda pair: pair[1].start_s
        ):
            time.sleep(max(0.0, start + load.start_s - time.monotonic()))
            path = pathlib.Path(directory) / f'load-{number}.jsonl'
            popen = subprocess.Popen(
                _command(
                    load,
                    hosts_by_load[number] if hosts_by_load else hosts,
                    path,
                    number,
                ),
                stdout=subprocess.DEVNULL,
            )
            stack.callback(popen.wait)
            started.append((load, path))
    found = [(load, _read(path)) for load, path in started]
    first = min(r['intended_ns'] for _, records in found for r in records)
    for record in itertools.chain.from_iterable(r for _, r in found):
        record['at'] = (record['send_ns'] - first) / 1e9
        record['took'] = (record['end_ns'] - record['send_ns']) / 1e9
        record['late'] = (record['send_ns'] - record['intended_ns']) / 1e9
    return [LoadResult(load, records) for load, records in found]


def late_fraction(records) -> float:
    """Return the fraction of requests that were sent late."""
    first = [r for r in records if not r['attempt']]
    return sum(r['late'] > LATE_THRESHOLD_S for r in first) / max(
        1, len(first)
    )


def is_served(record) -> bool:
    """Return whether a request got a complete response with status 200."""
    return record['status'] == 200 and record['body'] == 'complete'


def served_per_s(records, start, end) -> float:
    """Return the complete responses received per second in a period."""
    ends = (r['at'] + r['took'] for r in records if is_served(r))
    return sum(start <= at < end for at in ends) / (end - start)


def _command(load, hosts, path, seed):
    return [
        sys.executable,
        '-m',
        'radishferry_testing.load',
        *(f'--host={host}' for host in hosts),
        *(f'--kind={kind}' for kind in load.kinds),
        f'--rate={load.rate}',
        f'--duration-s={load.duration_s}',
        f'--keys={load.keys}',
        '--zipf=0',
        f'--resend={load.resend}',
        f'--records={path}',
        f'--seed={seed + 1}',
    ]


def _read(path):
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]
