"""Another writer's entry names the address of an upstream."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab import bed as bed_module  # noqa: E402
from lab import owner  # noqa: E402

HOSTS = ('h1', 'h2', 'h3')
#: Seconds of the work of a request; the first upstream is the slowest.
WORK_S = (0.5, 0.2, 0.15, 0.15)
#: Seconds after which other keys are busy.
SHIFT_S = 2.0


def configure(bed):
    bed.store.put(
        'op',
        'config',
        {
            'version': '00000001',
            'routes': {
                'lookup': {
                    'host': 'shop.example',
                    'prefix': '/lookup/',
                    'kind': 'safe',
                    'service': 'stock',
                    'timeout_s': 2.0,
                    'target_latency_s': 0.5,
                    'max_attempts': 2,
                    'priority': 1,
                }
            },
            'services': {
                'stock': {
                    'health_path': '/health',
                    'max_connections': 130,
                    'sharded': True,
                    'warm_s': 0.0,
                }
            },
            'limits': {},
        },
    )


def choose(busiest):
    """Return a request; busy keys are close to one another."""
    key = random.randrange(65536)
    if random.random() < 0.7:
        key = (busiest + int(random.expovariate(1 / 400))) % 65536
    return 'GET', f'/lookup/{key}', key


async def play(bed, trouble):
    configure(bed)
    for number, work_s in enumerate(WORK_S, 1):
        await bed.add_upstream(f'i-{number}', 'stock', work_s, sharded=True)
    bed.start_task(bed.register())
    await bed.start(HOSTS)
    busiest = random.randrange(65536)
    bed.start_task(bed.traffic(70, HOSTS, lambda: choose(busiest)))
    await asyncio.sleep(8)
    if trouble:
        entry = bed.upstreams['i-1'].entry()
        # The other writer names no software version and counts nothing.
        for name in ('version', 'seq', 'warmup_left_s'):
            del entry[name]
        entry['born'] = time.time_ns() // 1_000_000
        bed.record('entry of another writer', 'servers/agent-1', entry)
        bed.store.put('servers', 'agent-1', entry)
    for _ in range(37):
        await asyncio.sleep(SHIFT_S)
        busiest = random.randrange(65536)


def judge(bed):
    if not any(event[1] == 'run' for event in bed.events):
        raise RuntimeError('no request has run')
    return owner.given_while_at_work(bed.events) + owner.broken(bed.events)


bed_module.run(HERE, play, judge)
