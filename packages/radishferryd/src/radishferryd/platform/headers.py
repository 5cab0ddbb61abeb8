"""Define the headers of requests and responses on the wire."""

from __future__ import annotations

import dataclasses
import math

#: Identifies one attempt of a caller; echoed by servers.
REQUEST_ID = 'x-request-id'
#: Milliseconds for which the sender will still wait; not a timestamp.
REMAINING_MS = 'x-deadline-ms'
#: Marks a response as coming from a server.
SIGNATURE = 'x-response-signature'
#: The one server that may run the request.
EXPECTED_SERVER = 'x-expected-instance'
#: Present, whatever its value, if the server did not run the request.
NOT_RUN = 'x-not-executed'
#: The key of the request, a number.
KEY = 'x-shard-key'
#: Token of the state that a release hands over to the next owner of a range.
HANDOVER = 'x-handover'
#: ID of the responding server.
SERVER_ID = 'x-instance-id'
#: Load of a server: running, waiting, slots and, at some servers, the time
#: that work takes there now in percent of its usual time.
LOAD = 'x-server-load'
#: ``1`` in all responses of a server that is about to stop.
LEAVING = 'server-leaving'
#: In a 503 response of a server: seconds, or a date, before which the host
#: that received the response should send it no further request.
RETRY_AFTER = 'retry-after'
#: Requests a second that a server takes from all hosts together, for as long
#: as its responses say so.
LIMIT = 'server-limit'
#: Time of day at which a server created its response.
DATE = 'date'

#: Status of a server that is not the expected one or does not own the key;
#: the request was not run.
MISDIRECTED = 421

#: Statuses from which a caller concludes that its request has not run.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED, 429, 503))

#: Headers that only this system or a server may set; removed from requests.
_RESERVED_NAMES = frozenset(
    (
        REMAINING_MS,
        EXPECTED_SERVER,
        SIGNATURE,
        NOT_RUN,
        HANDOVER,
        LEAVING,
        LIMIT,
    )
)


#: Digits of the highest load that a server may report.
MAX_LOAD_DIGITS = 6


@dataclasses.dataclass(frozen=True)
class Load:
    """Represent the load that a server reports.

    :ivar slowdown: Time that work takes on the server's machine at this
        moment, relative to its usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def parse_load(text) -> Load | None:
    """Return the load in a header, None when it is missing or malformed."""
    parts = text.split(',')
    if len(parts) not in (3, 4) or not all(map(_is_count, parts)):
        return None
    running, waiting, slots, *percent = map(int, parts)
    slowdown = percent[0] / 100 if percent and percent[0] else 1.0
    return Load(running, waiting, slots, slowdown)


def _is_count(text):
    """Return whether a text is a number that a server may report."""
    text = text.strip()
    return text.isascii() and text.isdigit() and len(text) <= MAX_LOAD_DIGITS


def parse_remaining_s(text) -> float | None:
    """Return the seconds that a caller waits, None when not specified."""
    try:
        value = float(text) / 1000
    except ValueError:
        return None
    return value if 0 <= value < 86400 else None


def is_leaving(head) -> bool:
    """Return whether a response announces that its server is about to stop."""
    return head.header(LEAVING).strip() == '1'


def limit_per_s(head) -> float | None:
    """Return the limit that a server names, None if it names none.

    :returns: Requests a second from all hosts together.
    :raises ValueError: The value is not a number of at least 0.
    """
    text = head.header(LIMIT).strip()
    if not text:
        return None
    limit = float(text)
    if not math.isfinite(limit) or limit < 0:
        raise ValueError(f'not a valid number of requests: {text[:40]!r}')
    return limit


def retry_after_s(head, clock_s) -> float | None:
    """Return for how long to send a server no request, None if not specified.

    :param clock_s: Time of day of this host as Unix seconds, to which a date
        is compared if the response has no ``Date`` header.
    :raises ValueError: The value is neither seconds nor a date.
    """
    # Called for each response, so the status is checked first: few are 503.
    text = head.header(RETRY_AFTER).strip() if head.status == 503 else ''
    if not text:
        return None
    try:
        pause_s = float(text)
    except ValueError:
        sent_date = head.header(DATE)
        clock_s = _parse_date_s(sent_date) if sent_date else clock_s
        return max(0.0, _parse_date_s(text) - clock_s)
    if not math.isfinite(pause_s) or pause_s < 0:
        raise ValueError(f'not a valid number of seconds: {text[:40]!r}')
    return pause_s


def _parse_date_s(text):
    """Return an HTTP date as Unix seconds.

    :raises ValueError: The text is not a date.
    """
    # Imported on first use: few servers send dates, and the module takes
    # memory in each process.
    from email import utils

    try:
        return utils.parsedate_to_datetime(text).timestamp()
    except (TypeError, OverflowError, OSError) as exc:
        raise ValueError(f'not a date: {text[:40]!r}') from exc


def is_not_run(head) -> bool:
    """Return whether a response proves that the request was not run."""
    return bool(head.header(NOT_RUN)) or head.status == MISDIRECTED


def implies_not_run(head) -> bool:
    """Return whether a caller would conclude that its request was not run."""
    return is_not_run(head) or head.status in NOT_RUN_STATUSES


def parse_delay_s(text) -> float | None:
    """Return the seconds in a ``Retry-After`` header of another host.

    :returns: None if it is missing or malformed.
    """
    try:
        delay_s = float(text)
    except ValueError:
        return None
    return delay_s if 0 <= delay_s < 86400 else None


def forwarded_headers(headers, remaining_s, server_id=None):
    """Return the headers of a request to a server or to another host.

    :param headers: Headers of the caller without hop-by-hop headers.
    :param remaining_s: Seconds for which the server may work.
    :param server_id: The only server that may run the request, None if
        another host chooses it.
    """
    lines = [
        *((n, v) for n, v in headers if n not in _RESERVED_NAMES),
        (REMAINING_MS, str(max(1, int(remaining_s * 1000)))),
    ]
    if server_id is not None:
        lines.append((EXPECTED_SERVER, server_id))
    return lines
