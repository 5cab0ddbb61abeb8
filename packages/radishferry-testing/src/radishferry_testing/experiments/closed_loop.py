"""Send a closed-loop load over persistent connections.

Each connection sends its next request once the previous one is answered.
"""

from __future__ import annotations

import asyncio
import json
import time

import httptools

from radishferry_testing import arguments


REASON_HEADER = b'radishferry-reason'


class Caller(asyncio.Protocol):
    """Send the next request when the previous one is answered.

    :param request: Request to send, as bytes.
    :param latencies: List to which the seconds until each response are added.
    :param statuses: Mapping of status, or reason of a refusal, to count;
        updated with each response.
    """

    def __init__(self, request, latencies, statuses):
        self._request = request
        self._latencies = latencies
        self._statuses = statuses
        self._sent_at = 0.0
        self._transport = None
        self._parser = None
        self._reason = ''

    def connection_made(self, transport):
        """Send the first request."""
        self._transport = transport
        self._parser = httptools.HttpResponseParser(self)
        self._send()

    def data_received(self, data):
        """Parse received bytes."""
        self._parser.feed_data(data)

    def on_header(self, name, value):
        """Keep the reason of a refusal."""
        if name.lower() == REASON_HEADER:
            self._reason = value.decode()

    def on_message_complete(self):
        """Record the response and send the next request."""
        self._latencies.append(time.monotonic() - self._sent_at)
        status = self._reason or self._parser.get_status_code()
        self._reason = ''
        self._statuses[status] = self._statuses.get(status, 0) + 1
        self._send()

    def _send(self):
        self._sent_at = time.monotonic()
        self._transport.write(self._request)


async def drive(address, path, keys, seconds) -> dict:
    """Send GET requests and return counts and latencies in seconds.

    :param keys: The key of each connection; one connection is opened per key.
    """
    host, _, port = address.rpartition(':')
    latencies, statuses = [], {}
    loop = asyncio.get_running_loop()
    start = time.monotonic()
    transports = []
    for key in keys:
        request = (
            f'GET {path.replace("{key}", key)} HTTP/1.1\r\n'
            f'Host: {host}\r\n\r\n'
        ).encode()
        transport, _ = await loop.create_connection(
            lambda: Caller(request, latencies, statuses), host, int(port)
        )
        transports.append(transport)
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - start
    for transport in transports:
        transport.abort()
    return {'elapsed_s': elapsed, 'latencies': latencies, 'statuses': statuses}


def main(*, address: str, path: str, key: list[str], seconds: float = 5.0):
    """Send requests and print the results as JSON.

    :param address: Address as ip:port.
    :param path: Path, in which {key} stands for the key.
    :param key: Key of one connection; may be repeated.
    :param seconds: Duration.
    """
    print(json.dumps(asyncio.run(drive(address, path, key, seconds))))


if __name__ == '__main__':
    arguments.run(main, '--key')
