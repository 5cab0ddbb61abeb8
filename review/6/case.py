"""A caller that reads slowly sends one more request, and all is in use."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab2 import http  # noqa: E402
from lab2 import play  # noqa: E402
from lab2 import upstream as upstream_module  # noqa: E402

HEARTBEAT_S = 1.5
UPSTREAMS = 8
SLOTS = 3
WORK_S = 0.14
#: Connections that an upstream accepts; the host uses 85% of them.
CONNECTIONS = 12
HOST_CONNECTIONS = 10
#: Seconds of work while one upstream is slow, five times the usual.
SLOW_WORK_S = 0.7
#: Bytes of a download, the largest of the small deployments.
ANSWER_BYTES = 540_000
#: Segments and receive buffer of the slow caller, as on Ethernet.
SEGMENT_BYTES = 1460
RECEIVE_BYTES = 16384
#: Seconds for which it takes nothing of its download, and its deadline (that
#: of the downloads of samsetning-gw-grown).
DOWNLOAD_S = 10.0
STILL_S = 4.2
#: Body of its next request, the longest of the site's deposits.
BODY = b'slow caller ' * 150
#: Seconds from that to the next requests of others, and seconds between them.
LATER_S = 0.8
GAP_S = 0.04
DEPOSITS = 100
DEADLINE_S = 3.0


def find_broken(bed, upstreams, slow_id):
    """Return bytes that came in the place of the slow caller's body."""
    found = []
    for upstream in upstreams:
        for request_id, parts in upstream.late:
            body = b''.join(parts)
            bed.note(
                'read as the body',
                upstream=upstream.id,
                id=request_id,
                size=len(body),
                bytes=body,
            )
            if request_id == slow_id and not BODY.startswith(body):
                found.append(body)
    return found


async def run(bed, has_trouble):
    await bed.store.start()
    upstreams = [
        upstream_module.Upstream(bed, n, 'keyed', work_s=WORK_S, slots=SLOTS)
        for n in range(UPSTREAMS)
    ]
    for upstream in upstreams:
        upstream.answer_bytes = ANSWER_BYTES
        await upstream.start()
    usual = {'kind': 'safe', 'service': 'keyed', 'timeout_s': DEADLINE_S}
    bed.configure(
        {
            'search': usual | {'prefix': '/s/', 'target_latency_s': 2.0},
            'download': usual
            | {'prefix': '/d/', 'kind': 'download', 'timeout_s': DOWNLOAD_S},
            'deposit': usual | {'prefix': '/p/', 'kind': 'unsafe'},
        },
        {
            'keyed': {
                'sharded': True,
                'warm_s': 5.0,
                'max_connections': CONNECTIONS,
            }
        },
    )
    await bed.start_hosts(1)
    (host,) = bed.hosts
    await asyncio.sleep(6.0)
    # Keys that one upstream holds, and one of another upstream.
    grant = next(f for _, kind, f in bed.events if kind == 'grant')
    keys = iter(range(grant['start'], grant['end']))
    other_key = next(
        f['start']
        for _, kind, f in bed.events
        if kind == 'grant' and f['upstream'] != grant['upstream']
    )
    slow = await http.Client.connect(
        host.ports['callers'],
        segment_bytes=SEGMENT_BYTES,
        receive_bytes=RECEIVE_BYTES,
    )
    first_id, slow_id = bed.new_id(), bed.new_id()

    def headers(request_id, key, deadline_s):
        return [
            ('Host', 'example'),
            ('X-Shard-Key', str(key)),
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', str(int(1000 * deadline_s))),
        ]

    bed.note('sent', host=host.name, id=first_id, by='the slow caller')
    slow.send('GET', '/d/1', headers(first_id, other_key, DOWNLOAD_S))
    if has_trouble:
        slow.writer.transport.pause_reading()
    else:
        await slow.receive()
    await asyncio.sleep(STILL_S)
    owner = next(u for u in upstreams if u.id == grant['upstream'])
    for upstream in upstreams:
        upstream.answer_bytes = 200
    owner.work_s = SLOW_WORK_S
    bed.note('turns slow', upstream=owner.id)
    others = []
    for number in range(HOST_CONNECTIONS):
        others.append(
            asyncio.create_task(
                bed.request(
                    host, 'GET', f'/s/{number}', DEADLINE_S, next(keys)
                )
            )
        )
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.02)
    bed.note('sent', host=host.name, id=slow_id, by='the slow caller')
    lines = headers(slow_id, next(keys), DEADLINE_S)
    slow.send('POST', '/s/slow', lines, BODY)
    await asyncio.sleep(LATER_S)
    # Deposits of other callers, on new connections.
    for number in range(DEPOSITS):
        others.append(
            asyncio.create_task(
                bed.request(
                    host,
                    'POST',
                    f'/p/{number}',
                    key=next(keys),
                    body=b'deposit',
                )
            )
        )
        if number == 20:
            owner.work_s = WORK_S
            bed.note('is slow no more', upstream=owner.id)
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*others)
    await asyncio.sleep(0.5)
    broken = find_broken(bed, upstreams, slow_id)
    for body in broken:
        print(f'in the place of the body of {slow_id} came {body!r}')
    return 'UNASKED' if broken else ''


if __name__ == '__main__':
    play.main(run, FOLDER, heartbeat_s=HEARTBEAT_S)
