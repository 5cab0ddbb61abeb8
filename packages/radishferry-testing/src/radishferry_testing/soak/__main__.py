"""Run soak tests: ``python -m radishferry_testing.soak --seeds 1 2 3``."""

from __future__ import annotations

import pathlib
import sys
import tempfile
import threading
import time

import defopt

from radishferry_testing.soak import callers as callers_module
from radishferry_testing.soak import checks
from radishferry_testing.soak import plan
from radishferry_testing.soak import report
from radishferry_testing.soak import cluster as cluster_module

#: Number of callers of a run.
CALLER_COUNT = 16
#: Interval between samples of the hosts, in seconds.
SAMPLE_INTERVAL_S = 0.5


def run(seed, seconds, plot_directory=None, keep_directory=None, *, drills=0):
    """Run one soak test.

    :param float seconds: Duration of the load, in seconds.
    :param plot_directory: Directory for the plot, None for no plot.
    :param keep_directory: Directory for the logs of a run with findings, None
        to discard them.
    :param int drills: Number of restores of the store from an older copy.
    :returns: Tuple of :class:`checks.Finding`.
    """
    faults = plan.generate(seed, seconds, drills)
    with (
        tempfile.TemporaryDirectory() as directory,
        cluster_module.running(directory) as cluster,
    ):
        samples = []
        start = time.monotonic()
        callers = _create_callers(
            cluster, seed, start + seconds + checks.RECOVERY_WINDOW_S
        )
        callers.start()
        threads = [
            threading.Thread(target=_inject, args=(cluster, fault, start))
            for fault in faults
        ]
        for thread in threads:
            thread.start()
        while time.monotonic() < start + seconds:
            samples.extend(_sample(cluster))
            time.sleep(SAMPLE_INTERVAL_S)
        for thread in threads:
            thread.join()
        # A planned stop may have lasted into the fault-free end of the run;
        # the recovery check needs its whole window without faults.
        time.sleep(checks.RECOVERY_WINDOW_S)
        callers.stop()
        findings = tuple(
            checks.check(
                cluster.call_platform('events'),
                callers.calls,
                cluster,
                samples,
            )
        )
        if findings and keep_directory is not None:
            _save_logs(cluster, keep_directory / f'seed-{seed}')
        if plot_directory is not None:
            plot_directory.mkdir(parents=True, exist_ok=True)
            path = plot_directory / f'soak-{seed}.png'
            report.plot(path, seed, callers.calls, cluster.fault_log)
    print(report.summary(seed, faults, callers.calls, findings), flush=True)
    return findings


def _create_callers(cluster, seed, stop_at):
    """Return callers whose longest work ends before they are stopped."""
    ports = {
        name: cluster.processes.port(name, 'callers') for name in plan.HOSTS
    }
    long_until = stop_at - callers_module.LONG_WORK_S[1]
    return callers_module.Callers(ports, CALLER_COUNT, seed, long_until)


def _inject(cluster, fault, start):
    time.sleep(max(0.0, start + fault.at_s - time.monotonic()))
    cluster.inject(fault)


def _sample(cluster):
    """Yield resource use and configuration version of each running host."""
    for name in plan.HOSTS:
        if not cluster.processes.is_running(name):
            continue
        pid = cluster.processes.pid(name)
        at = time.monotonic()
        state = cluster.state(name)
        try:
            status = pathlib.Path(f'/proc/{pid}/status').read_text()
            files = len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
        except OSError:
            continue
        kilobytes = next(
            (
                int(line.split()[1])
                for line in status.splitlines()
                if line.startswith('VmRSS')
            ),
            0,
        )
        version = state['configuration'] if state else None
        yield checks.Sample(at, name, pid, version, kilobytes / 1024, files)


def _save_logs(cluster, directory):
    directory.mkdir(parents=True, exist_ok=True)
    for name in ('platform', 'links', *plan.HOSTS):
        (directory / f'{name}.log').write_text(cluster.output(name))


def soak(
    *,
    seeds: list[int] = (),
    first: int = 1,
    count: int = 1,
    seconds: float = 50.0,
    drills: int = 0,
    plots: pathlib.Path | None = None,
    keep: pathlib.Path | None = None,
) -> int:
    """Run the real programs under random faults and check the guarantees.

    Exit codes: 0 without findings, 1 with findings.

    :param seeds: Seeds to run, in place of a range.
    :param first: First seed of the range.
    :param count: Number of seeds in the range.
    :param seconds: Duration of the load of a run, in seconds.
    :param drills: Restores of the store from an older copy in each run.
    :param plots: Directory for plots of answers and faults over time.
    :param keep: Directory for the logs of runs with findings.
    """
    chosen = seeds or range(first, first + count)
    failed = [
        seed
        for seed in chosen
        if run(seed, seconds, plots, keep, drills=drills)
    ]
    print(f'{len(chosen)} seeds, failed: {failed or "none"}')
    return 1 if failed else 0


def main():
    """Run the program and exit with its code."""
    sys.exit(defopt.run(soak))


if __name__ == '__main__':
    main()
