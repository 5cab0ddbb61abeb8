"""Send single blocking JSON requests, for tests and scripts."""

from __future__ import annotations

import http.client
import json

#: Longest wait for a response, in seconds.
TIMEOUT_S = 30.0


def call(
    address, method, path, value=None, headers=(), timeout_s=TIMEOUT_S
) -> tuple:
    """Send one request and return its response.

    :param address: ``ip:port``.
    :param value: Sent as JSON; None sends no body.
    :param headers: Pairs of name and value.
    :returns: Status, mapping of headers, and the body as a JSON value, or as
        bytes when it is not JSON.
    :raises OSError: No connection, or no response in time.
    :raises http.client.HTTPException: The response is malformed.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        data = response.read()
    finally:
        connection.close()
    try:
        data = json.loads(data)
    except ValueError:
        pass
    return response.status, response.headers, data
