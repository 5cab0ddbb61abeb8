"""Name the headers of requests and answers on the wire."""

from __future__ import annotations

import dataclasses
import math

#: Identifies one attempt of a caller; echoed by servers.
REQUEST_ID = 'x-request-id'
#: Milliseconds that the sender will still wait; not a point in time.
REMAINING_MS = 'x-deadline-ms'
#: Shows that an answer was made by a server.
SIGNATURE = 'x-response-signature'
#: The one server that may run the request.
EXPECTED_SERVER = 'x-expected-instance'
#: Present, whatever its value, if the server did not run the request.
NOT_RUN = 'x-not-executed'
#: The key of the request, a number.
KEY = 'x-shard-key'
#: Token of the state that a released range leaves to its next owner.
HANDOVER = 'x-handover'
#: Id of the answering server.
SERVER_ID = 'x-instance-id'
#: Load of a server: running, waiting, slots.
LOAD = 'x-server-load'
#: ``1`` in all answers of a server that is about to stop.
LEAVING = 'server-leaving'
#: In a 503 of a server: seconds, or a date, before which it wants no further
#: request from the host that got the answer.
RETRY_AFTER = 'retry-after'
#: Time of day at which a server made its answer.
DATE = 'date'

#: Status with which a server says that it is not the expected one, or does
#: not hold the key; the request was not run.
MISDIRECTED = 421

#: Statuses that promise a caller that its request has not run.
PROMISES_NOT_RUN = frozenset((408, MISDIRECTED, 429, 503))

#: Headers of a caller that only this system or a server may set.
_RESERVED = frozenset(
    (REMAINING_MS, EXPECTED_SERVER, SIGNATURE, NOT_RUN, HANDOVER, LEAVING)
)


@dataclasses.dataclass(frozen=True)
class Load:
    """Hold the load that a server tells."""

    running: int
    waiting: int
    slots: int


def parse_load(text) -> Load | None:
    """Return the load in a header, None when it is missing or malformed."""
    try:
        running, waiting, slots = (int(part) for part in text.split(','))
    except ValueError:
        return None
    return Load(running, waiting, slots)


def parse_remaining_s(text) -> float | None:
    """Return the seconds that a caller waits, None when it does not say."""
    try:
        value = float(text) / 1000
    except ValueError:
        return None
    return value if 0 <= value < 86400 else None


def is_leaving(head) -> bool:
    """Tell whether an answer says that its server is about to stop."""
    return head.header(LEAVING).strip() == '1'


def wanted_pause_s(head, clock_s) -> float | None:
    """Return for how long a server wants no request, None if it does not say.

    :param clock_s: Time of day of this host as Unix seconds, against which
        a date is read if the answer has none of its own.
    :raises ValueError: The value is neither seconds nor a date.
    """
    # Asked of each answer, nearly all of which are no 503.
    text = head.header(RETRY_AFTER).strip() if head.status == 503 else ''
    if not text:
        return None
    try:
        pause_s = float(text)
    except ValueError:
        sent = head.header(DATE)
        clock_s = _date_s(sent) if sent else clock_s
        return max(0.0, _date_s(text) - clock_s)
    if not math.isfinite(pause_s) or pause_s < 0:
        raise ValueError(f'no number of seconds: {text[:40]!r}')
    return pause_s


def _date_s(text):
    """Return a date of HTTP as Unix seconds.

    :raises ValueError: The text is no date.
    """
    # Few servers send dates, and the module takes memory in each process.
    from email import utils

    return utils.parsedate_to_datetime(text).timestamp()


def is_not_run(head) -> bool:
    """Tell whether an answer proves that the server ran nothing."""
    return bool(head.header(NOT_RUN)) or head.status == MISDIRECTED


def promises_not_run(head) -> bool:
    """Tell whether a caller would take an answer for such a proof."""
    return is_not_run(head) or head.status in PROMISES_NOT_RUN


def forwarded(headers, remaining_s, server_id):
    """Return the headers of a request to a server.

    :param headers: Headers of the caller without those of its connection.
    :param remaining_s: Seconds for which the server may work.
    :param server_id: The only server that may run the request.
    """
    return [
        *((n, v) for n, v in headers if n not in _RESERVED),
        (REMAINING_MS, str(max(1, int(remaining_s * 1000)))),
        (EXPECTED_SERVER, server_id),
    ]
