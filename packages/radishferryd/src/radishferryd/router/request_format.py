"""Format the head of a request to a server or another host."""

from __future__ import annotations

from radishferryd import http_message
from radishferryd.platform import headers
from radishferryd.router import relay_headers


def format_head(head, body_size, left_s, server_id=None, origin=None) -> bytes:
    """Return the bytes of the head.

    :param head: The :class:`~radishferryd.http_message.Head` of the caller.
    :param body_size: Bytes of the body that follows.
    :param left_s: Seconds that the server is given.
    :param server_id: The only server that may run the request, or None.
    :param origin: The :class:`~radishferryd.router.relay_headers.Origin` of a
        request to another host, or None.
    """
    connection_options = {
        name.strip().lower() for name in head.header('connection').split(',')
    }
    kept = [
        (name, value)
        for name, value in head.headers
        if name not in http_message.HOP_BY_HOP_HEADERS
        and name not in connection_options
        and name not in relay_headers.OWN_NAMES
        and name != 'content-length'
    ]
    lines = headers.forwarded_headers(kept, max(0.001, left_s), server_id)
    if origin is not None:
        lines.append(
            (relay_headers.RELAY, relay_headers.format_origin(origin))
        )
    if body_size or head.method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(('Content-Length', str(body_size)))
    return http_message.format_request(head.method, head.target, lines)
