"""Let an upstream of a keyed service crash, and check the fencing tokens."""

from __future__ import annotations

import asyncio

from lab2 import upstream as upstream_module

#: Of the site samsetning-gw, for its service slotvakt.
HEARTBEAT_S = 1.5
SLOTS = 3
WORK_S = 0.14
#: One of these crashes, which is less than the share that the pages name.
UPSTREAMS = 8
HOSTS = 3
KEYS = 65536
#: Requests a second to all hosts together.
RATE = 25
#: Seconds from the crash to the start of the next incarnation.
DOWN_S = 1.0
#: Seconds from the start of the partition to the crash, and from the next
#: incarnation to the end of the partition.
CRASH_AFTER_S = 0.3
HEAL_AFTER_S = 6.0
CALM_S = 4.0
AFTER_S = 5.0


def _grants(bed):
    """Return the grants that upstreams accepted, without renewals."""
    return [
        (at, fields)
        for at, kind, fields in bed.events
        if kind == 'grant' and not fields['renewed']
    ]


def _is_covered(bed):
    held = bytearray(KEYS)
    for _, grant in _grants(bed):
        size = grant['end'] - grant['start'] + 1
        held[grant['start'] : grant['end'] + 1] = b'\x01' * size
    return all(held)


def find_broken(bed):
    """Return the grants whose token is not above those of other lives.

    The rule: an upstream takes a key with a fencing token that is not above
    all with which other upstreams had it. Each start is another upstream.
    """
    found = []
    earlier = []
    for at, new in _grants(bed):
        life = new['upstream'], new['born']
        for old in earlier:
            if (
                (old['upstream'], old['born']) != life
                and old['start'] <= new['end']
                and new['start'] <= old['end']
                and old['fence'] >= new['fence']
            ):
                found.append(
                    f'at {at:.3f} s {life} took keys {new["start"]} to '
                    f'{new["end"]} with token {new["fence"]}, with which '
                    f'{(old["upstream"], old["born"])} had had them'
                )
                break
        earlier.append(new)
    return found


async def play(bed, has_trouble, *, is_cut):
    """Crash one upstream, which starts again under its id.

    :param is_cut: Whether it is partitioned from the store meanwhile.
    :returns: Why the rule is broken, or an empty text.
    """
    await bed.store.start()
    upstreams = [
        upstream_module.Upstream(bed, n, 'keyed', work_s=WORK_S, slots=SLOTS)
        for n in range(UPSTREAMS)
    ]
    for upstream in upstreams:
        await upstream.start()
    bed.configure(
        {'lookup': {'prefix': '/k/', 'kind': 'safe', 'service': 'keyed'}},
        {'keyed': {'sharded': True, 'warm_s': 5.0}},
    )
    await bed.start_hosts(HOSTS)
    for _ in range(200):
        if _is_covered(bed):
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError('not all keys were granted')

    async def send():
        number = 0
        while True:
            number += 1
            key = number * 1009 % KEYS
            host = bed.hosts[number % HOSTS]
            asyncio.create_task(
                bed.request(host, 'GET', f'/k/{key}', 3.0, key=key)
            )
            await asyncio.sleep(1 / RATE)

    callers = asyncio.create_task(send())
    await asyncio.sleep(CALM_S)
    victim = upstreams[1]
    if has_trouble:
        if is_cut:
            victim.is_cut = True
            bed.note('partitioned from the store', upstream=victim.id)
            await asyncio.sleep(CRASH_AFTER_S)
        victim.crash()
        await asyncio.sleep(DOWN_S)
        await victim.start()
        await asyncio.sleep(HEAL_AFTER_S)
        if is_cut:
            victim.is_cut = False
            bed.note('partition ends', upstream=victim.id)
    await asyncio.sleep(AFTER_S)
    callers.cancel()
    await asyncio.sleep(0.5)
    broken = find_broken(bed)
    for line in broken[:5]:
        print(line)
    return f'OWNER, {len(broken)} grants' if broken else ''
