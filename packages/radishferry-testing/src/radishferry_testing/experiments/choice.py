"""Measure the processor time of the choice of a server."""

from __future__ import annotations

import time

from radishferry.direct import cost_choice
from radishferry.direct import registry
from radishferry.direct import selection
from radishferry.direct import server_loads
from radishferry.direct import work
from radishferry_testing.experiments import results

#: Numbers of servers of one service in three data centres.
SIZES = (8, 35, 152, 400)
#: Choices of one measurement.
CHOICES = 2000
#: Hosts of the deployment.
HOSTS = 90


def run(repeats=3):
    """Measure and return :class:`results.Results`."""
    result = results.Results(
        'choice',
        'Choice of a server with 2 slots for a request without a key.',
        'python -m radishferry_testing.bench choice',
        {'microseconds a choice': '100', 'times as with 8 servers': '1.5'},
    )
    for _ in range(repeats):
        for name, measure in (('walk', _walk), ('by cost', _by_cost)):
            first = None
            for size in SIZES:
                microseconds = _measure(size, measure)
                first = first or microseconds
                result.add(
                    f'{name}, {size} servers',
                    {
                        'microseconds a choice': microseconds,
                        'times as with 8 servers': microseconds / first,
                    },
                )
    return result


def _measure(size, measure):
    servers = tuple(
        registry.Server(
            f'i-{n:08x}', 1, 's', ('127.0.0.1', 1), f'dc{n % 3}', 2, False
        )
        for n in range(size)
    )
    stats = {
        server.server_id: selection.ServerStats(2, n / size)
        for n, server in enumerate(servers)
    }
    choose = measure(servers, stats)
    choose(100.0)
    began = time.process_time()
    for number in range(CHOICES):
        choose(100.0 + number * 1e-4)
    return (time.process_time() - began) / CHOICES * 1e6


def _walk(servers, stats):
    for found in stats.values():
        found.note_report(1, 0, 2, 99.9)

    def choose(now):
        return selection.choose(
            servers,
            lambda server: stats[server.server_id],
            usual_s=0.1,
            data_centre='dc0',
            answer_bytes=400,
            now=now,
            hosts=HOSTS,
        )

    return choose


def _by_cost(servers, stats):
    loads = server_loads.SharedLoads()
    for server_id, found in stats.items():
        found.shared = loads.entry(server_id)
    numbers = [server_loads.server_number(name) for name in stats]
    # Loads of 0 to 2 requests and three speeds.
    told = server_loads.Loads(
        numbers,
        [4 * (n % 3) for n in range(len(numbers))],
        [(-20, 0, 12)[n // 3 % 3] for n in range(len(numbers))],
    )
    loads.apply(told, 99.9)
    chooser = cost_choice.CostChoice(
        loads, lambda server: stats[server.server_id], 'dc0'
    )

    known = work.WorkEstimate()

    def choose(now):
        return chooser.choose(
            's', servers, work=known, answer_bytes=400, now=now, hosts=HOSTS
        )

    return choose
