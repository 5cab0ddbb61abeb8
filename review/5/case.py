"""A request that crashes upstreams comes again and again."""

import asyncio
import itertools
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab import bed as bed_module  # noqa: E402

HOSTS = ('h1', 'h2', 'h3')
#: Bound stable_s of the site.
STABLE_S = 3.0
#: Crashes after which the rule counts, and retries that it allows then.
CRASHES = 3
ALLOWED = 3
POISON = '/pay/7'
DOWN_S = 3.0
RATE_PER_S = 20


def configure(bed):
    route = {
        'host': 'shop.example',
        'service': 'ledger',
        'timeout_s': 2.0,
        'target_latency_s': 0.5,
        'max_attempts': 2,
        'priority': 1,
    }
    bed.store.put(
        'op',
        'config',
        {
            'version': '00000001',
            'routes': {
                'look': route | {'prefix': '/look/', 'kind': 'safe'},
                'pay': route | {'prefix': '/pay/', 'kind': 'unsafe'},
            },
            'services': {
                'ledger': {'health_path': '/health', 'max_connections': 130}
            },
            'limits': {},
        },
    )


def choose():
    number = random.randrange(100, 10000)
    if random.random() < 0.5:
        return 'GET', f'/look/{number}', None
    return 'POST', f'/pay/{number}', None


async def play(bed, trouble):
    configure(bed)
    names = (f'i-{number}' for number in itertools.count(1))

    def on_run(found, request):
        if request.path == POISON and trouble:
            asyncio.ensure_future(crash(found))

    async def crash(found):
        new_id = next(names)
        task = asyncio.ensure_future(
            bed.crash_upstream(found, DOWN_S, new_id)
        )
        while new_id not in bed.upstreams and not task.done():
            await asyncio.sleep(0.01)
        bed.upstreams[new_id].on_run = on_run
        await task

    for _ in range(6):
        found = await bed.add_upstream(next(names), 'ledger', 0.2)
        found.on_run = on_run
    bed.start_task(bed.register())
    await bed.start(HOSTS)
    bed.start_task(bed.traffic(RATE_PER_S, HOSTS, choose))
    await asyncio.sleep(5)
    for _ in range(16):
        await bed.ask(random.choice(HOSTS), 'POST', POISON)
        await asyncio.sleep(random.uniform(3.0, 5.0))


def judge(bed):
    ids = {e[3]: e[0] for e in bed.events if e[1] == 'sent' and e[5] == POISON}
    runs = [e for e in bed.events if e[1] == 'run' and e[3] in ids]
    if not runs:
        raise RuntimeError('the request never ran')
    crashes = [e[0] for e in bed.events if e[1] == 'crash']
    if len(crashes) < CRASHES:
        return []
    begin = crashes[CRASHES - 1] + STABLE_S
    late = [e for e in runs if ids[e[3]] > begin]
    if len({e[3] for e in late}) <= ALLOWED:
        return []
    ended = {(e[2], e[3]) for e in bed.events if e[1] == 'run-end'}
    failed = {e[3] for e in bed.events if e[1] == 'answered' and e[4] == 502}
    lost = [
        e[3]
        for e in bed.events
        if e[1] == 'run'
        and e[0] > begin
        and e[3] not in ids
        and (e[2], e[3]) not in ended
        and e[3] in failed
    ]
    return [
        f'BUDGET: the request crashed its third upstream at '
        f'{crashes[CRASHES - 1]:.3f} s; {len(late)} retries sent later than '
        f'{STABLE_S} s after that reached upstreams, {ALLOWED} are allowed; '
        f'{len(crashes)} crashes; {len(lost)} other requests were at work at these '
        f'upstreams after that, and ended with 502: {" ".join(lost)}'
    ]


bed_module.run(HERE, play, judge)
