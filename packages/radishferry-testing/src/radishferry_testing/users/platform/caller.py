"""Define the headers of requests and answers of callers."""

from __future__ import annotations

#: Header that proves that a server made the answer.
SIGNATURE = 'X-Response-Signature'


def request_headers(request_id, deadline_ms, key=None):
    """Return the headers of one request.

    :param deadline_ms: How long the caller waits, in milliseconds.
    :param key: Key of the request, None for a service without keys.
    """
    headers = {
        'Host': 'example',
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
    }
    if key is not None:
        headers['X-Shard-Key'] = str(key)
    return headers
